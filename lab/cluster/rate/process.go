package rate

// This file starts and stops the senders' processes, with their folders, configuration and cluster files. A process counts
// as ready only once it has answered.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"flaxcove/internal/cluster/status"
	"flaxcove/internal/resp"
	"flaxcove/lab/cluster/mesh"
)

const (
	setUpTimeout = 40 * time.Second
	endTimeout   = 5 * time.Second
	pollEvery    = 50 * time.Millisecond
	// tick is the unit of processor times in /proc, on every Linux that Go runs on.
	tick = 10 * time.Millisecond

	class = "status"
	kind  = "one"
	zone  = "z0"
)

// settingsText is the settings object of all senders, with limits above what the client has in progress.
const settingsText = `{"balancers":1,"quantum":5000000,"machineTypes":["one"],"zones":["z0"],
"bounds":{"maxOpen":100000,"maxAttempts":9,"connIdle":10000000000,"dialTimeout":1000000000,"probing":true,"retryAfter":true,
"maxRetryAfter":2000000000},
"classes":[{"name":"status","idempotency":"pure","aim":800000000,"deadline":6000000000,"worth":1}],
"extra":{"bundleMax":[1],"callsOut":256},
"rules":{"cold":1000000000,"coldFrom":0.5,"fallMultiple":2},"stats":{"fields":["x0","x1"]}}`

// sender is one process.
type sender struct {
	listen  string // its address, "" until its log names it
	log     string
	command *exec.Cmd
	exited  chan struct{}
}

type senders struct {
	all  []*sender
	mesh *mesh.Mesh // nil without a cluster
}

func startSenders(ctx context.Context, o Options, home string, out *environment) (s *senders, err error) {
	s = &senders{}
	if o.Cluster {
		if s.mesh, err = openMesh(o); err != nil {
			return nil, err
		}
	}
	for no := range o.Members {
		if err := s.start(ctx, o, no, filepath.Join(home, fmt.Sprintf("s%d", no)), out); err != nil {
			s.end()
			return nil, err
		}
	}
	return s, nil
}

func openMesh(o Options) (*mesh.Mesh, error) {
	all := mesh.Options{Cluster: "rate"}
	if !o.Plain {
		all.Uses = []string{"configuration"}
	}
	for no := range o.Members {
		name := fmt.Sprintf("s%d", no)
		all.Processes = append(all.Processes, mesh.Process{Name: name, Zone: zone, Region: "r0"})
		all.Founders = append(all.Founders, name)
	}
	return mesh.Open(all, o.Port)
}

// start starts one process in a folder of its own.
func (s *senders) start(ctx context.Context, o Options, no int, home string, out *environment) error {
	if err := os.MkdirAll(filepath.Join(home, "state"), 0o755); err != nil {
		return err
	}
	one := &sender{log: filepath.Join(home, "log"), exited: make(chan struct{})}
	path := filepath.Join(home, "config.json")
	if err := writeConfiguration(path, no, filepath.Join(home, "state"), out); err != nil {
		return err
	}
	arguments := slices.Clone(o.Command[1:])
	if s.mesh != nil {
		file := filepath.Join(home, "cluster.toml")
		if err := s.writeClusterFile(file, no, filepath.Join(home, "cluster")); err != nil {
			return err
		}
		arguments = append(arguments, "--cluster", file)
	}
	log, err := os.Create(one.log)
	if err != nil {
		return err
	}
	defer log.Close()
	one.command = exec.CommandContext(ctx, o.Command[0], arguments...)
	one.command.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=", "EDGE_STATE=")
	one.command.Stdout, one.command.Stderr = log, log
	one.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it is killed with this process
	if err := one.command.Start(); err != nil {
		return err
	}
	go func() {
		one.command.Wait()
		close(one.exited)
	}()
	s.all = append(s.all, one)
	return nil
}

func (s *senders) writeClusterFile(path string, no int, folder string) error {
	text, err := s.mesh.ClusterFile(no, folder)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

func writeConfiguration(path string, no int, state string, out *environment) error {
	var settings map[string]any
	if err := json.Unmarshal([]byte(settingsText), &settings); err != nil {
		return err
	}
	settings["zone"], settings["slotNo"] = 0, 0 // their numbers
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("s%d", no), "listen": "127.0.0.1:0", "discovery": out.addresses[0], "state": state, "seed": "1",
		"limits": map[string]any{"memory_mb": 1024, "sockets": 16384, "disk_mb": 1024},
		"known":  out.list(), "settings": settings})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// awaitReady waits until each process serves and, in a cluster, knows the leader.
func (s *senders) awaitReady(ctx context.Context) error {
	for _, one := range s.all {
		for !one.ready() {
			select {
			case <-one.exited:
				text, _ := os.ReadFile(one.log)
				return fmt.Errorf("a sender ended by itself: %s", text)
			case <-ctx.Done():
				return errors.New("not all senders were ready in time")
			case <-time.After(pollEvery):
			}
		}
	}
	for no := 0; s.mesh != nil && no < len(s.all); {
		if knowsLeader(ctx, s.mesh.HTTP(no)) {
			no++
		} else if sleep(ctx, pollEvery) != nil {
			return errors.New("not all members knew who leads in time")
		}
	}
	return nil
}

func knowsLeader(ctx context.Context, address string) bool {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	question, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/cluster", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(question)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var answered status.Status
	return json.NewDecoder(answer.Body).Decode(&answered) == nil && answered.Leader != ""
}

// ready reports whether the sender answers at the address that its log names.
func (one *sender) ready() bool {
	if one.listen == "" {
		one.listen = addressIn(one.log)
	}
	if one.listen == "" {
		return false
	}
	connection, err := net.DialTimeout("tcp", one.listen, time.Second)
	if err != nil {
		return false
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(time.Second))
	if _, err := connection.Write(resp.AppendCommand(nil, []byte("PING"))); err != nil {
		return false
	}
	answer := make([]byte, len("+PONG"))
	_, err = connection.Read(answer)
	return err == nil && string(answer) == "+PONG"
}

// addressIn is the address that a sender's log names, or "" if it names none yet.
func addressIn(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(text)) {
		var entry struct{ Msg, Listen string }
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "serving" {
			return entry.Listen
		}
	}
	return ""
}

// end sends all processes SIGTERM and kills those that do not end in time.
func (s *senders) end() {
	for _, one := range s.all {
		one.command.Process.Signal(syscall.SIGTERM)
	}
	deadline := time.After(endTimeout)
	for _, one := range s.all {
		select {
		case <-one.exited:
			continue
		case <-deadline:
		}
		deadline = time.After(0)
		one.command.Process.Kill()
		<-one.exited
	}
	if s.mesh != nil {
		s.mesh.Close()
	}
}

// processorTime is the processor time of a process so far, in user and system mode.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	return parseProcessorTime(string(text))
}

// parseProcessorTime reads fields 14 and 15 of /proc/PID/stat. Field 2 is a name that may contain any characters.
func parseProcessorTime(stat string) (time.Duration, error) {
	const user, system = 14 - 3, 15 - 3 // counted from the field behind the name
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= system {
		return 0, fmt.Errorf("/proc/PID/stat has %d fields behind the name", len(fields))
	}
	total := 0
	for _, field := range []string{fields[user], fields[system]} {
		ticks, err := strconv.Atoi(field)
		if err != nil {
			return 0, err
		}
		total += ticks
	}
	return time.Duration(total) * tick, nil
}
