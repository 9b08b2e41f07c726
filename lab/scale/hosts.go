package scale

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"flaxcove/lab/scale/fleet"
	"flaxcove/lab/scale/host"
)

// This file runs the processes of hosts and sends orders to them.

// hostThreads is an environment variable that limits a host to two threads of Go code, the number that a sender with a cluster
// has. Ten hosts with a thread for each core would compete for the cores and answer probes late.
const hostThreads = "GOMAXPROCS=2"

// hostCollector is an environment variable that makes the garbage collector of a host run a quarter as often as by default. With
// the default, forty members in a host and a small heap, a quarter of the processor time went into allocation and collection
// while 360 members started.
const hostCollector = "GOGC=400"

// membersPerStep is the number of hollow members that are started together. The next step begins once all running members see
// each other, or after stepTimeout. A machine that starts hundreds of members together has too little processor time to answer
// probes: members then take each other for dead, and to correct that costs even more processor time.
const (
	membersPerStep = 40
	stepTimeout    = 30 * time.Second
)

const (
	hostEndTimeout = 15 * time.Second
	maxAnswerBytes = 64 << 20
)

// hostProcess is the process of one host and the pipe to it.
type hostProcess struct {
	role    fleet.Role
	members []int
	cmd     *exec.Cmd
	ended   chan error

	mu      sync.Mutex // held from an order to its answer; no other lock is acquired while it is held
	in      io.WriteCloser
	answers *bufio.Scanner
}

// startHosts starts a host for the hollow members of each role, and Options.Hosts of them for the role Plain.
func (r *run) startHosts() error {
	groups := map[fleet.Role][]int{}
	for _, m := range r.fleet.Members {
		if !m.Real {
			groups[m.Role] = append(groups[m.Role], m.No)
		}
	}
	for _, role := range fleet.Roles {
		parts := 1
		if role == fleet.Plain {
			parts = r.options.Hosts
		}
		for _, part := range split(groups[role], parts) {
			h, err := r.startHost(role, part)
			if err != nil {
				return err
			}
			r.hosts = append(r.hosts, h)
		}
	}
	return nil
}

// split splits numbers into parts of nearly equal size and leaves empty parts out.
func split(all []int, parts int) (groups [][]int) {
	for part := range parts {
		from, to := part*len(all)/parts, (part+1)*len(all)/parts
		if to > from {
			groups = append(groups, all[from:to])
		}
	}
	return groups
}

// startHost starts one host and sends it its spec.
func (r *run) startHost(role fleet.Role, members []int) (*hostProcess, error) {
	h := &hostProcess{role: role, members: members, ended: make(chan error, 1)}
	h.cmd = exec.Command(r.options.HostCommand[0], r.options.HostCommand[1:]...)
	h.cmd.Env = append(os.Environ(), HostVariable+"=1", hostThreads, hostCollector)
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	h.cmd.Stderr = os.Stderr
	in, err := h.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	h.in, h.answers = in, bufio.NewScanner(out)
	h.answers.Buffer(nil, maxAnswerBytes)
	spec := host.Spec{Fleet: r.fleet.Size, Members: members, Load: r.options.Load, Folder: filepath.Join(r.dir, "hollow"), Began: r.began.UnixNano()}
	if r.options.Logs != "" {
		spec.Log = filepath.Join(r.options.Logs, fmt.Sprintf("host-%d.log", len(r.hosts)))
		spec.Profile = filepath.Join(r.options.Logs, fmt.Sprintf("host-%d.pprof", len(r.hosts)))
	}
	return h, json.NewEncoder(in).Encode(spec)
}

// HostVariable is the environment variable that makes the program run as a host, with any value but "".
const HostVariable = "FLAXCOVE_SCALE_HOST"

// startMembers starts the hollow members of all hosts in steps of membersPerStep.
func (r *run) startMembers(ctx context.Context) error {
	var all []int
	for _, h := range r.hosts {
		all = append(all, h.members...)
	}
	// Founders start first, since the others contact them; the rest start in the order of their numbers.
	slices.SortStableFunc(all, func(a, b int) int { return cmp.Compare(r.startRank(a), r.startRank(b)) })
	for started := 0; started < len(all); {
		n := min(membersPerStep, len(all)-started)
		if _, err := r.orderHosts(orderFor(setOf(all[started:started+n]), host.Start)); err != nil {
			return err
		}
		if started += n; started == len(all) {
			break
		}
		if err := r.awaitStep(ctx, started); err != nil {
			return err
		}
	}
	return nil
}

// awaitStep waits until the hollow members that were started see each other, but no longer than stepTimeout.
func (r *run) awaitStep(ctx context.Context, started int) error {
	began := time.Now()
	for time.Since(began) < stepTimeout {
		pollStarted := time.Now()
		answers, err := r.orderAllHosts(host.Order{Kind: host.ReportState})
		if err != nil {
			return err
		}
		if seeEachOther(answers, started) {
			return nil
		}
		if !sleep(ctx, max(pollInterval, pollPauseFactor*time.Since(pollStarted))) {
			return ctx.Err()
		}
	}
	r.options.Logf("the first %d members that were started do not all see each other after %v; the next step begins", started, stepTimeout)
	return nil
}

// seeEachOther reports whether all started members run and each sees exactly that number of members alive.
func seeEachOther(answers []*host.Answer, started int) bool {
	running := 0
	for _, answer := range answers {
		for _, state := range answer.States {
			if !state.Up {
				continue
			}
			if running++; state.Alive != started {
				return false
			}
		}
	}
	return running == started
}

// startRank returns the position of a member in the order of starts: founders before all others, which start by number.
func (r *run) startRank(no int) int {
	if slices.Contains(r.fleet.Founders, r.fleet.Members[no].Name) {
		return -1
	}
	return no
}

// order sends an order to a host and returns the answer. An error in the answer becomes the returned error.
func (h *hostProcess) order(order host.Order) (*host.Answer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := json.NewEncoder(h.in).Encode(order); err != nil {
		return nil, fmt.Errorf("sending an order to the host of role %s: %w", h.role, err)
	}
	if !h.answers.Scan() {
		return nil, fmt.Errorf("host of role %s ended before it answered: %w", h.role, errors.Join(h.answers.Err(), io.ErrUnexpectedEOF))
	}
	var a host.Answer
	if err := json.Unmarshal(h.answers.Bytes(), &a); err != nil {
		return nil, err
	}
	if a.Error != "" {
		return nil, fmt.Errorf("host of role %s: order %s: %s", h.role, order.Kind, a.Error)
	}
	return &a, nil
}

// orderAllHosts sends the same order to all hosts concurrently. The answers are in the order of the hosts.
func (r *run) orderAllHosts(order host.Order) ([]*host.Answer, error) {
	return r.orderHosts(func(*hostProcess) *host.Order { return &order })
}

// orderHosts sends each host the order that orderOf returns for it, concurrently. A host with a nil order is left out; its
// answer is nil.
func (r *run) orderHosts(orderOf func(*hostProcess) *host.Order) ([]*host.Answer, error) {
	answers, problems := make([]*host.Answer, len(r.hosts)), make([]error, len(r.hosts))
	var wait sync.WaitGroup
	for i, h := range r.hosts {
		if order := orderOf(h); order != nil {
			wait.Go(func() { answers[i], problems[i] = h.order(*order) })
		}
	}
	wait.Wait()
	return answers, errors.Join(problems...)
}

// end closes the input of a host, which makes it end, and kills it if it has not ended within hostEndTimeout.
func (h *hostProcess) end() error {
	h.in.Close()
	go func() { h.ended <- h.cmd.Wait() }()
	select {
	case err := <-h.ended:
		return err
	case <-time.After(hostEndTimeout):
		syscall.Kill(-h.cmd.Process.Pid, syscall.SIGKILL)
		<-h.ended
		return fmt.Errorf("host of role %s did not end within the time limit and was killed", h.role)
	}
}
