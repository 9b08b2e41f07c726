package experiment

// This file plays a single run, with the engine and the build that it asks for.

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

// RunSpec is one run.
type RunSpec struct {
	Engine   string
	Spec     *world.Spec
	Scenario *scenario.Scenario // whose trace is played; may be nil
	Seed     uint64
	Policy   string
	Binary   string // another build, which plays simulated runs itself and is the sender on sockets
	Self     string
	Logs     string
}

// RunOnce plays a run with the engine and the build that it asks for.
func RunOnce(ctx context.Context, s RunSpec) (*referee.Verdict, error) {
	switch {
	case s.Engine == engineSockets:
		return onSockets(ctx, s)
	case s.Binary != "":
		return onOtherBinary(ctx, s)
	}
	return simulated(ctx, s)
}

// trace is the recorded load that replaces the spec's, or nil.
func (s *RunSpec) trace() []load.Arrival {
	if s.Scenario == nil {
		return nil
	}
	return s.Scenario.Trace
}

// onSockets plays with real senders.
func onSockets(ctx context.Context, s RunSpec) (*referee.Verdict, error) {
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

// simulated plays in simulated time, in this program.
func simulated(ctx context.Context, s RunSpec) (*referee.Verdict, error) {
	o := sim.Options{Spec: s.Spec, Seed: s.Seed, Trace: s.trace(), Until: func() bool { return ctx.Err() != nil }}
	if s.Policy != "" {
		o.Policy = baseline.Named(s.Policy)
	}
	return sim.Run(o)
}

// onOtherBinary has another build play a simulated run.
func onOtherBinary(ctx context.Context, s RunSpec) (*referee.Verdict, error) {
	path, err := temporaryScenario(s.Spec)
	if err != nil {
		return nil, err
	}
	defer os.Remove(path)
	cmd := exec.CommandContext(ctx, s.Binary, "lab", "run", "--engine", engineSimulated, "--seed", fmt.Sprint(s.Seed), "--json", path)
	var said bytes.Buffer
	cmd.Stderr = &said
	out, err := cmd.Output()
	// A run with a broken rule exits with code 3 and writes its verdict all the same.
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: %w: %s", s.Binary, err, strings.TrimSpace(said.String()))
	}
	var v referee.Verdict
	if err := json.Unmarshal(out, &v); err != nil {
		return nil, fmt.Errorf("%s: %w", s.Binary, err)
	}
	return &v, nil
}

// temporaryScenario writes a scenario to a file that its caller removes.
func temporaryScenario(spec *world.Spec) (path string, err error) {
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
