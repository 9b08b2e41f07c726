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

// This file runs the hosts' processes and carries orders to them.

// hostThreads limits a host to two threads of Go code, as a sender with a cluster has: ten hosts with a thread for each core
// would compete for them and answer probes late.
const hostThreads = "GOMAXPROCS=2"

// hostCollector has the garbage collector of a host run a quarter as often as by default: with forty members and a small
// heap, a quarter of the processor time went into allocation and collection (360 members starting).
const hostCollector = "GOGC=400"

// membersPerStep is how many hollow members are started at a time. The next step begins once all that run see each other, or
// after stepTimeout: a machine that starts hundreds at once has no processor time left to answer probes, so that members
// take each other for dead, which costs even more processor time to correct.
const (
	membersPerStep = 40
	stepTimeout    = 30 * time.Second
)

const (
	hostEndTimeout = 15 * time.Second
	maxAnswerBytes = 64 << 20
)

// hostProcess is the process of one host.
type hostProcess struct {
	role    fleet.Role
	members []int
	cmd     *exec.Cmd
	ended   chan error

	mu      sync.Mutex // held from an order to its answer; no other lock is taken under it
	in      io.WriteCloser
	answers *bufio.Scanner
}

// startHosts starts a process for the members of each role, and several for members that coordinate nothing.
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
		for _, part := range deal(groups[role], parts) {
			h, err := r.startHost(role, part)
			if err != nil {
				return err
			}
			r.hosts = append(r.hosts, h)
		}
	}
	return nil
}

// deal splits numbers into parts of nearly the same size, without empty ones.
func deal(all []int, parts int) (dealt [][]int) {
	for part := range parts {
		from, to := part*len(all)/parts, (part+1)*len(all)/parts
		if to > from {
			dealt = append(dealt, all[from:to])
		}
	}
	return dealt
}

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

// HostVariable is the environment variable that tells a program to run as a host.
const HostVariable = "FLAXCOVE_SCALE_HOST"

// startMembers starts the hollow members of all hosts, step by step.
func (r *run) startMembers(ctx context.Context) error {
	var all []int
	for _, h := range r.hosts {
		all = append(all, h.members...)
	}
	// In an order in which each host has some to start in each step; founders first, which the others contact.
	slices.SortStableFunc(all, func(a, b int) int { return cmp.Compare(r.startsAt(a), r.startsAt(b)) })
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

// awaitStep waits until the hollow members that were started see each other, for stepTimeout at most.
func (r *run) awaitStep(ctx context.Context, started int) error {
	began := time.Now()
	for time.Since(began) < stepTimeout {
		looked := time.Now()
		answers, err := r.orderAllHosts(host.Order{Do: host.State})
		if err != nil {
			return err
		}
		if seeEachOther(answers, started) {
			return nil
		}
		if !sleep(ctx, max(pollEvery, pollPause*time.Since(looked))) {
			return ctx.Err()
		}
	}
	r.options.Say("the first %d started do not all see each other after %v", started, stepTimeout)
	return nil
}

// seeEachOther reports whether as many members run as were started, and each sees that many.
func seeEachOther(answers []*host.Answer, started int) bool {
	up := 0
	for _, answer := range answers {
		for _, state := range answer.States {
			if !state.Up {
				continue
			}
			if up++; state.Here != started {
				return false
			}
		}
	}
	return up == started
}

// startsAt is a member's rank in the order of starts.
func (r *run) startsAt(no int) int {
	if slices.Contains(r.fleet.Founders, r.fleet.Members[no].Name) {
		return -1
	}
	return no
}

// order sends a host an order and returns its answer.
func (h *hostProcess) order(order host.Order) (*host.Answer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := json.NewEncoder(h.in).Encode(order); err != nil {
		return nil, fmt.Errorf("host of %ss: %w", h.role, err)
	}
	if !h.answers.Scan() {
		return nil, fmt.Errorf("host of %ss ended: %w", h.role, errors.Join(h.answers.Err(), io.ErrUnexpectedEOF))
	}
	var a host.Answer
	if err := json.Unmarshal(h.answers.Bytes(), &a); err != nil {
		return nil, err
	}
	if a.Error != "" {
		return nil, fmt.Errorf("host of %ss: %s: %s", h.role, order.Do, a.Error)
	}
	return &a, nil
}

// orderAllHosts sends all hosts the same order concurrently. The answers are in the hosts' order.
func (r *run) orderAllHosts(order host.Order) ([]*host.Answer, error) {
	return r.orderHosts(func(*hostProcess) *host.Order { return &order })
}

// orderHosts sends each host its order concurrently, unless that is nil.
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

// end closes a host's input, upon which it ends, and kills it if it does not.
func (h *hostProcess) end() error {
	h.in.Close()
	go func() { h.ended <- h.cmd.Wait() }()
	select {
	case err := <-h.ended:
		return err
	case <-time.After(hostEndTimeout):
		syscall.Kill(-h.cmd.Process.Pid, syscall.SIGKILL)
		<-h.ended
		return fmt.Errorf("host of %ss did not end in time", h.role)
	}
}
