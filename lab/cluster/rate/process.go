package rate

// This file starts and stops the sender processes and writes their configuration and cluster files. A process counts as ready
// only once it has answered a PING.

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
	pollInterval = 50 * time.Millisecond
	// clockTick is the unit of processor times in /proc. It has this value on every Linux that Go supports.
	clockTick = 10 * time.Millisecond

	class = "status"
	kind  = "one"
	zone  = "z0"
)

// settingsText is the settings object of all senders. Its limits are above the number of messages that the client keeps in
// progress.
const settingsText = `{"balancers":1,"quantum":5000000,"machineTypes":["one"],"zones":["z0"],
"bounds":{"maxOpen":100000,"maxAttempts":9,"connIdle":10000000000,"dialTimeout":1000000000,"probing":true,"retryAfter":true,
"maxRetryAfter":2000000000},
"classes":[{"name":"status","idempotency":"pure","aim":800000000,"deadline":6000000000,"worth":1}],
"extra":{"bundleMax":[1],"callsOut":256},
"rules":{"cold":1000000000,"coldFrom":0.5,"fallMultiple":2},"stats":{"fields":["x0","x1"]}}`

// sender is one sender process.
type sender struct {
	listen  string // its listen address; "" until it is in the log
	log     string // path of its log file
	command *exec.Cmd
	exited  chan struct{} // closed once the process has ended
}

// senders holds all sender processes of a run and the relays between them.
type senders struct {
	all  []*sender
	mesh *mesh.Mesh // nil without a cluster
}

// startSenders starts all processes of a run in folders below home.
func startSenders(ctx context.Context, o Options, home string, env *environment) (s *senders, err error) {
	s = &senders{}
	if o.Cluster {
		if s.mesh, err = openMesh(o); err != nil {
			return nil, err
		}
	}
	for no := range o.Members {
		if err := s.start(ctx, o, no, filepath.Join(home, fmt.Sprintf("s%d", no)), env); err != nil {
			s.end()
			return nil, err
		}
	}
	return s, nil
}

// openMesh opens the relays between the processes of a cluster; all are founders in one zone.
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

// start starts process no in the folder home, with a cluster file if there is a cluster.
func (s *senders) start(ctx context.Context, o Options, no int, home string, env *environment) error {
	if err := os.MkdirAll(filepath.Join(home, "state"), 0o755); err != nil {
		return err
	}
	process := &sender{log: filepath.Join(home, "log"), exited: make(chan struct{})}
	path := filepath.Join(home, "config.json")
	if err := writeConfiguration(path, no, filepath.Join(home, "state"), env); err != nil {
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
	log, err := os.Create(process.log)
	if err != nil {
		return err
	}
	defer log.Close()
	process.command = exec.CommandContext(ctx, o.Command[0], arguments...)
	process.command.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=", "EDGE_STATE=")
	process.command.Stdout, process.command.Stderr = log, log
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the kernel kills it when its parent ends
	if err := process.command.Start(); err != nil {
		return err
	}
	go func() {
		process.command.Wait()
		close(process.exited)
	}()
	s.all = append(s.all, process)
	return nil
}

func (s *senders) writeClusterFile(path string, no int, folder string) error {
	text, err := s.mesh.ClusterFile(no, folder)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// writeConfiguration writes the configuration file of process no.
func writeConfiguration(path string, no int, state string, env *environment) error {
	var settings map[string]any
	if err := json.Unmarshal([]byte(settingsText), &settings); err != nil {
		return err
	}
	settings["zone"], settings["slotNo"] = 0, 0 // numbers of the zone and of the slot
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("s%d", no), "listen": "127.0.0.1:0", "discovery": env.addresses[0], "state": state, "seed": "1",
		"limits": map[string]any{"memory_mb": 1024, "sockets": 16384, "disk_mb": 1024},
		"known":  env.list(), "settings": settings})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// awaitReady waits until each process answers and, in a cluster, reports a leader.
func (s *senders) awaitReady(ctx context.Context) error {
	for _, process := range s.all {
		for !process.ready() {
			select {
			case <-process.exited:
				text, _ := os.ReadFile(process.log)
				return fmt.Errorf("a sender process ended during start-up, with the log: %s", text)
			case <-ctx.Done():
				return errors.New("not all senders answered within the time limit")
			case <-time.After(pollInterval):
			}
		}
	}
	for no := 0; s.mesh != nil && no < len(s.all); {
		if knowsLeader(ctx, s.mesh.HTTP(no)) {
			no++
		} else if sleep(ctx, pollInterval) != nil {
			return errors.New("not all members reported a leader within the time limit")
		}
	}
	return nil
}

// knowsLeader reports whether the member at an HTTP address reports a leader.
func knowsLeader(ctx context.Context, address string) bool {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/cluster", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var answered status.Status
	return json.NewDecoder(answer.Body).Decode(&answered) == nil && answered.Leader != ""
}

// ready reports whether the sender answers a PING at the address in its log.
func (process *sender) ready() bool {
	if process.listen == "" {
		process.listen = loggedAddress(process.log)
	}
	if process.listen == "" {
		return false
	}
	connection, err := net.DialTimeout("tcp", process.listen, time.Second)
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

// loggedAddress returns the listen address in the sender's log at path, or "" if it is not logged yet.
func loggedAddress(path string) string {
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

// end sends SIGTERM to all processes, kills those that do not end within endTimeout, and closes the relays.
func (s *senders) end() {
	for _, process := range s.all {
		process.command.Process.Signal(syscall.SIGTERM)
	}
	deadline := time.After(endTimeout)
	for _, process := range s.all {
		select {
		case <-process.exited:
			continue
		case <-deadline:
		}
		deadline = time.After(0)
		process.command.Process.Kill()
		<-process.exited
	}
	if s.mesh != nil {
		s.mesh.Close()
	}
}

// processorTime returns the processor time that a process has used so far, in user and system mode.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	return parseProcessorTime(string(text))
}

// parseProcessorTime adds fields 14 and 15 of /proc/PID/stat. Field 2, the name of the program in parentheses, may contain any
// character, so that fields are counted from its end.
func parseProcessorTime(stat string) (time.Duration, error) {
	const user, system = 14 - 3, 15 - 3 // indexes from the field after the name
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= system {
		return 0, fmt.Errorf("/proc/PID/stat has %d fields after the name, too few for the processor time", len(fields))
	}
	total := 0
	for _, field := range []string{fields[user], fields[system]} {
		ticks, err := strconv.Atoi(field)
		if err != nil {
			return 0, err
		}
		total += ticks
	}
	return time.Duration(total) * clockTick, nil
}
