package live

// This file manages one sender's folder and its process. A process is ready once it has answered a PING.

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

const (
	endTimeout = 4500 * time.Millisecond // time that a sender has to end after SIGTERM before it is killed
	pingEvery  = 20 * time.Millisecond   // interval of the PINGs until a sender serves
)

// process is one sender: its folder, and the current process that uses it.
type process struct {
	e      *engine
	no     world.SenderNo
	config string // path of the configuration file
	state  string // path of the state folder
	folder string
	args   []string // arguments that Options.SenderArgs returned

	cmd         *exec.Cmd     // nil if this engine has started no process
	exited      chan struct{} // closed when the current process has ended
	cpuSeconds  float64       // CPU time of all incarnations; may be read once the last one has exited
	ready       bool
	endExpected bool // the end of the process is no failure
	incarnation int
}

// newProcess creates a sender's folder and configuration file. It starts no process.
func (e *engine) newProcess(s world.SenderNo) (*process, error) {
	p := &process{e: e, no: s}
	under := e.opts.WorldOnlyFolder
	home, err := e.makeFolder(under, fmt.Sprintf("s%d", s))
	if err != nil {
		return nil, err
	}
	if p.state, err = e.makeFolder(home, "state"); err != nil {
		return nil, err
	}
	p.config = filepath.Join(home, "config.json")
	p.folder = home
	if e.opts.SenderArgs != nil {
		if p.args, err = e.opts.SenderArgs(s, home); err != nil {
			return nil, err
		}
	}
	text, err := p.configuration()
	if err != nil {
		return nil, err
	}
	return p, os.WriteFile(p.config, text, 0o644)
}

// configuration returns the text of the sender's configuration file, with the current addresses.
func (p *process) configuration() ([]byte, error) {
	e, s := p.e, p.no
	settings := sim.SettingsJSON(e.w)
	if e.opts.Settings != nil {
		settings = e.opts.Settings(settings)
	}
	var object map[string]any
	if err := json.Unmarshal(settings, &object); err != nil {
		return nil, err
	}
	object["zone"], object["slotNo"] = e.w.Zone(s), int(s)
	known := e.discoveries[s].message(e.w.InitialList())
	spec := &e.opts.Spec.Sender
	return json.MarshalIndent(map[string]any{
		"name": fmt.Sprintf("s%d", s), "listen": e.senderAddr(s), "discovery": e.discoveryAddr(s), "state": p.state,
		"seed":   fmt.Sprintf("%x", e.opts.Seed*1_000_003+uint64(s)),
		"limits": map[string]any{"memory_mb": spec.MemoryMB, "sockets": spec.Sockets, "disk_mb": spec.DiskMB},
		"known":  known, "settings": object,
	}, "", "  ")
}

// reload replaces the configuration file atomically and sends the process SIGHUP.
func (p *process) reload(text []byte) {
	next := p.config + ".next"
	err := os.WriteFile(next, text, 0o644)
	if err == nil {
		err = os.Rename(next, p.config)
	}
	if err != nil {
		p.e.failure = fmt.Sprintf("the configuration file of sender %d cannot be replaced: %v", p.no, err)
		return
	}
	p.signal(syscall.SIGHUP)
}

// start starts a new incarnation of the sender. With Options.WorldOnlyFolder it only waits until the user has started it.
func (p *process) start() {
	p.ready, p.endExpected = false, false
	p.incarnation++
	if p.e.opts.WorldOnlyFolder == "" {
		if err := p.spawn(); err != nil {
			p.e.failure = fmt.Sprintf("the process of sender %d cannot be started: %v", p.no, err)
			return
		}
	} else {
		p.exited = make(chan struct{})
	}
	incarnation, exited := p.incarnation, p.exited
	p.e.wg.Add(1)
	go func() {
		defer p.e.wg.Done()
		p.waitUntilServing(incarnation, exited)
	}()
}

// waitUntilServing sends PINGs until the sender answers one, and then records in the world that the sender serves.
func (p *process) waitUntilServing(incarnation int, exited chan struct{}) {
	for {
		if ping(p.e.senderAddr(p.no)) == nil {
			p.e.post(func() {
				if p.incarnation == incarnation {
					p.ready = true
					p.e.w.SetServing(p.no, true)
				}
			})
			return
		}
		select {
		case <-time.After(pingEvery):
		case <-exited:
			return
		case <-p.e.done:
			return
		}
	}
}

// spawn starts the sender's command and appends its output to a log file.
func (p *process) spawn() error {
	logs := p.e.opts.Logs
	if logs == "" {
		logs = p.e.tempDir
	}
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath(logs), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := p.command()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	exited, incarnation := p.exited, p.incarnation
	p.e.wg.Add(1)
	go func() {
		defer p.e.wg.Done()
		p.waitForExit(cmd, exited, incarnation, logs)
	}()
	return nil
}

// command returns the sender's command. It runs in a process group of its own, and is killed if this process ends.
func (p *process) command() *exec.Cmd {
	cmd := exec.Command(p.e.opts.Command[0], slices.Concat(p.e.opts.Command[1:], p.args)...)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+p.config, "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=", "EDGE_STATE=")
	for name, value := range p.e.opts.Env {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd
}

// waitForExit waits for the end of the process. An unexpected end fails the run.
func (p *process) waitForExit(cmd *exec.Cmd, exited chan struct{}, incarnation int, logs string) {
	err := cmd.Wait()
	// The child processes are killed too, whether paused or not.
	syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
	if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		p.cpuSeconds += float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
	}
	close(exited)
	p.e.post(func() {
		if p.incarnation != incarnation || p.endExpected {
			return
		}
		p.e.w.SetServing(p.no, false)
		p.e.failure = fmt.Sprintf("sender %d ended by itself: %v; %s", p.no, err, p.lastLogLines(logs))
	})
}

// logPath returns the path of the sender's log in a folder.
func (p *process) logPath(folder string) string {
	return filepath.Join(folder, fmt.Sprintf("s%d.log", p.no))
}

// lastLogLines returns the last three lines of the sender's log, or "" if it cannot be read.
func (p *process) lastLogLines(folder string) string {
	text, err := os.ReadFile(p.logPath(folder))
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-3):], " | ")
}

// alive reports whether this engine has started a process that has not ended.
func (p *process) alive() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the sender's process group, unless the process has ended.
func (p *process) signal(s syscall.Signal) {
	if p.alive() {
		syscall.Kill(-p.cmd.Process.Pid, s)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.endExpected = true
	p.signal(syscall.SIGKILL)
	if p.cmd != nil {
		<-p.exited
	}
}

// beginShutdown begins a graceful shutdown. Clients use the sender for another 0.3 s, since on the platform too they learn
// of a shutdown with a delay.
func (p *process) beginShutdown() {
	p.endExpected = true
	p.signal(syscall.SIGTERM)
	p.e.w.After(3*world.Second/10, func() { p.e.w.SetServing(p.no, false) })
}

// pause stops the process with SIGSTOP, or continues it with SIGCONT.
func (p *process) pause(on bool) {
	if on {
		p.signal(syscall.SIGSTOP)
	} else {
		p.signal(syscall.SIGCONT)
	}
}

// stop sends the process SIGTERM and waits for its end. If the process has not ended within endTimeout, stop kills it and
// the run fails.
func (p *process) stop() {
	p.endExpected = true
	if p.cmd == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	deadline := time.After(endTimeout)
	for {
		select {
		case <-p.exited:
			return
		case do := <-p.e.tasks:
			do()
		case <-deadline:
			if p.e.failure == "" {
				p.e.failure = fmt.Sprintf("sender %d did not end within %v of SIGTERM", p.no, endTimeout)
				p.e.slowEnd = true
			}
			p.signal(syscall.SIGKILL)
			deadline = nil
		}
	}
}
