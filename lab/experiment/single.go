package experiment

// This file executes a single run with the selected engine and build of the program.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"flaxcove/lab/baseline"
	"flaxcove/lab/live"
	"flaxcove/lab/load"
	"flaxcove/lab/referee"
	"flaxcove/lab/scenario"
	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

// RunSpec holds the parameters of one run.
type RunSpec struct {
	Engine   string // simulated or sockets
	Spec     *world.Spec
	Scenario *scenario.Scenario // the scenario whose recorded trace is replayed; nil for none
	Seed     uint64
	Policy   string // see lab/baseline; "" for the project's own decisions; engine simulated only
	Binary   string // path of another build: it executes simulated runs, or is the sender on sockets; "" for this build
	Self     string // path of this program, which is the sender on sockets if Binary is ""
	Logs     string // folder for the senders' logs, on sockets; "" for none
}

// RunOnce executes a run with the selected engine and build, and returns its verdict.
func RunOnce(ctx context.Context, s RunSpec) (*referee.Verdict, error) {
	switch {
	case s.Engine == engineSockets:
		return runOnSockets(ctx, s)
	case s.Binary != "":
		return runWithBinary(ctx, s)
	}
	return runSimulated(ctx, s)
}

// trace returns the recorded arrivals that replace the load of the spec, or nil if there are none.
func (s *RunSpec) trace() []load.Arrival {
	if s.Scenario == nil {
		return nil
	}
	return s.Scenario.Trace
}

// runOnSockets executes a run with real senders on loopback sockets.
func runOnSockets(ctx context.Context, s RunSpec) (*referee.Verdict, error) {
	binary := s.Self
	if s.Binary != "" {
		binary = s.Binary
	}
	r, err := live.Run(ctx, live.Options{Spec: s.Spec, Seed: s.Seed, Command: []string{binary, "serve"}, Logs: s.Logs, Trace: s.trace()})
	if err != nil {
		return nil, err
	}
	if r.Fault != "" {
		return nil, errors.New(r.Fault)
	}
	return r.Verdict, nil
}

// runSimulated executes a run in simulated time, in this process.
func runSimulated(ctx context.Context, s RunSpec) (*referee.Verdict, error) {
	o := sim.Options{Spec: s.Spec, Seed: s.Seed, Trace: s.trace(), Until: func() bool { return ctx.Err() != nil }}
	if s.Policy != "" {
		o.Policy = baseline.Named(s.Policy)
	}
	return sim.Run(o)
}

// runWithBinary starts another build of the program to execute a simulated run, and reads the verdict from its output.
func runWithBinary(ctx context.Context, s RunSpec) (*referee.Verdict, error) {
	path, err := writeTemporaryScenario(s.Spec)
	if err != nil {
		return nil, err
	}
	defer os.Remove(path)
	cmd := exec.CommandContext(ctx, s.Binary, "lab", "run", "--engine", engineSimulated, "--seed", fmt.Sprint(s.Seed), "--json", path)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	// A run that broke a rule exits with code 3 and a void one with code 4, but both have written their verdict.
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: no verdict: %w: %s", s.Binary, err, strings.TrimSpace(stderr.String()))
	}
	var v referee.Verdict
	if err := json.Unmarshal(out, &v); err != nil {
		return nil, fmt.Errorf("%s: cannot parse the verdict: %w", s.Binary, err)
	}
	return &v, nil
}

// writeTemporaryScenario writes a scenario to a temporary file and returns its path. The caller must remove the file.
func writeTemporaryScenario(spec *world.Spec) (path string, err error) {
	text, err := scenario.Write(spec)
	if err != nil {
		return "", err
	}
	file, err := os.CreateTemp("", "flaxcove-scenario-*.toml")
	if err != nil {
		return "", err
	}
	_, err = file.Write(text)
	if err = errors.Join(err, file.Close()); err != nil {
		os.Remove(file.Name())
		return "", err
	}
	return file.Name(), nil
}
