package live

// This file owns one sender's folder and the processes that run on it. It must never take a process for ready before it has said so.

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

const endTimeout = 4500 * time.Millisecond // from SIGTERM, after which a sender is killed

// process is one sender: its folder, which lasts, and the process that runs on it.
type process struct {
	e      *engine
	no     world.SenderNo
	config string
	state  string
	folder string
	args   []string // arguments of its command

	cmd         *exec.Cmd
	exited      chan struct{}
	cpuSeconds  float64 // CPU seconds of all its lives; to be read once the last has exited
	ready       bool
	endExpected bool // its end is
	incarnation int
}

func (e *engine) newProcess(s world.SenderNo) (*process, error) {
	p := &process{e: e, no: s}
	under := e.o.WorldOnlyFolder
	home, err := e.makeFolder(under, fmt.Sprintf("s%d", s))
	if err != nil {
		return nil, err
	}
	if p.state, err = e.makeFolder(home, "state"); err != nil {
		return nil, err
	}
	p.config = filepath.Join(home, "config.json")
	p.folder = home
	if e.o.SenderArgs != nil {
		if p.args, err = e.o.SenderArgs(s, home); err != nil {
			return nil, err
		}
	}
	text, err := p.configuration()
	if err != nil {
		return nil, err
	}
	return p, os.WriteFile(p.config, text, 0o644)
}

// configuration is what the sender is told, with the addresses of the moment.
func (p *process) configuration() ([]byte, error) {
	e, s := p.e, p.no
	settings := sim.SettingsJSON(e.w)
	if e.o.Settings != nil {
		settings = e.o.Settings(settings)
	}
	var object map[string]any
	if err := json.Unmarshal(settings, &object); err != nil {
		return nil, err
	}
	object["zone"], object["slotNo"] = e.w.Zone(s), int(s)
	known := e.directories[s].message(e.w.InitialList())
	spec := &e.o.Spec.Sender
	return json.MarshalIndent(map[string]any{
		"name": fmt.Sprintf("s%d", s), "listen": e.senderAddr(s), "discovery": e.directoryAddr(s), "state": p.state,
		"seed":   fmt.Sprintf("%x", e.o.Seed*1_000_003+uint64(s)),
		"limits": map[string]any{"memory_mb": spec.MemoryMB, "sockets": spec.Sockets, "disk_mb": spec.DiskMB},
		"known":  known, "settings": object,
	}, "", "  ")
}

// reload puts a configuration in the place of the last one, whole, and says so to the process.
func (p *process) reload(text []byte) {
	next := p.config + ".next"
	err := os.WriteFile(next, text, 0o644)
	if err == nil {
		err = os.Rename(next, p.config)
	}
	if err != nil {
		p.e.failure = fmt.Sprintf("the configuration of sender %d cannot be replaced: %v", p.no, err)
		return
	}
	p.signal(syscall.SIGHUP)
}

// start starts a process, or waits for somebody to.
func (p *process) start() {
	p.ready, p.endExpected = false, false
	p.incarnation++
	if p.e.o.WorldOnlyFolder == "" {
		if err := p.spawn(); err != nil {
			p.e.failure = fmt.Sprintf("sender %d does not start: %v", p.no, err)
			return
		}
	} else {
		p.exited = make(chan struct{})
	}
	life, exited := p.incarnation, p.exited
	p.e.wg.Add(1)
	go func() {
		defer p.e.wg.Done()
		for {
			if ping(p.e.senderAddr(p.no)) == nil {
				p.e.post(func() {
					if p.incarnation == life {
						p.ready = true
						p.e.w.SetServing(p.no, true)
					}
				})
				return
			}
			select {
			case <-time.After(20 * time.Millisecond):
			case <-exited:
				return
			case <-p.e.done:
				return
			}
		}
	}()
}

func (p *process) spawn() error {
	cmd := exec.Command(p.e.o.Command[0], slices.Concat(p.e.o.Command[1:], p.args)...)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+p.config, "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=", "EDGE_STATE=")
	for name, value := range p.e.o.Env {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	// It goes when we go, however we do.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	logs := p.e.o.Logs
	if logs == "" {
		logs = p.e.dir
	}
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath(logs), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	exited, life := p.exited, p.incarnation
	p.e.wg.Add(1)
	go func() {
		defer p.e.wg.Done()
		err := cmd.Wait()
		// What it had started goes with it, stopped or not.
		syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			p.cpuSeconds += float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
		}
		close(exited)
		p.e.post(func() {
			if p.incarnation != life || p.endExpected {
				return
			}
			p.e.w.SetServing(p.no, false)
			p.e.failure = fmt.Sprintf("sender %d ended by itself: %v; %s", p.no, err, p.lastLogLines(logs))
		})
	}()
	return nil
}

func (p *process) logPath(folder string) string {
	return filepath.Join(folder, fmt.Sprintf("s%d.log", p.no))
}

// lastLogLines are the last lines of its log.
func (p *process) lastLogLines(folder string) string {
	text, err := os.ReadFile(p.logPath(folder))
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-3):], " | ")
}

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

func (p *process) signal(s syscall.Signal) {
	if p.alive() {
		syscall.Kill(-p.cmd.Process.Pid, s)
	}
}

func (p *process) kill() {
	p.endExpected = true
	p.signal(syscall.SIGKILL)
	if p.cmd != nil {
		<-p.exited
	}
}

// term is a planned end's signal. Programs still come for a moment, as they do on the platform.
func (p *process) term() {
	p.endExpected = true
	p.signal(syscall.SIGTERM)
	p.e.w.After(3*world.Second/10, func() { p.e.w.SetServing(p.no, false) })
}

func (p *process) pause(on bool) {
	if on {
		p.signal(syscall.SIGSTOP)
	} else {
		p.signal(syscall.SIGCONT)
	}
}

// measure reads what the machine knows of the process, and its own counters; one that does not answer hangs.
func (p *process) measure() {
	if !p.alive() || p.e.failure != "" {
		return
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err == nil {
		for line := range strings.SplitSeq(string(status), "\n") {
			if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
				p.e.figures.PeakMB = max(p.e.figures.PeakMB, kb/1024)
			}
		}
	}
	if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
		p.e.figures.Descriptors = max(p.e.figures.Descriptors, len(fds))
	}
	files, _ := os.ReadDir(p.state)
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			p.e.figures.JournalBytes += info.Size()
		}
	}
	counters, err := info(p.e.senderAddr(p.no))
	if err != nil {
		p.e.failure = fmt.Sprintf("sender %d hangs: it does not answer INFO: %v", p.no, err)
		return
	}
	p.e.figures.Counters = append(p.e.figures.Counters, counters)
}

// stop asks the process to stop, and sees to it.
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
