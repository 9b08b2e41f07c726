package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// process is one sender, started by the command `run` of the deploy file.
type process struct {
	rec     *record
	name    string
	listen  string
	folder  string
	command string
	env     []string
	log     *os.File

	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

var allProcesses []*process

// killAll ends every process that was started.
func killAll() {
	for _, p := range allProcesses {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.ended
		}
	}
}

// start starts the process. It must be called on the main goroutine, whose thread is locked: the processes end with it.
func (p *process) start() error {
	if p.log == nil {
		var err error
		if p.log, err = os.Create(filepath.Join(p.folder, "log.txt")); err != nil {
			return err
		}
		allProcesses = append(allProcesses, p)
	}
	p.cmd = exec.Command("/bin/sh", "-c", p.command)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	cmd, ended := p.cmd, p.ended
	go func() {
		p.err = cmd.Wait()
		close(ended)
	}()
	p.rec.line("%s: started", p.name)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.rec.line("%s: %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// waitEnded waits until the process has ended, for a bounded time.
func (p *process) waitEnded(most time.Duration) error {
	select {
	case <-p.ended:
		return nil
	case <-time.After(most):
		return fmt.Errorf("%s has not ended", p.name)
	}
}

// waitReady waits until the sender answers PING.
func (p *process) waitReady(most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.ended:
			return fmt.Errorf("%s ended at its start: %v", p.name, p.err)
		default:
		}
		c, err := dialClient(p.listen)
		if err != nil {
			continue
		}
		got, _ := c.call("PING")
		c.conn.Close()
		if strings.HasPrefix(got, "+PONG") {
			p.rec.line("%s: ready", p.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready in time", p.name)
}

// freePort returns a loopback address whose port is free for TCP and UDP.
func freePort() (string, error) {
	for range 50 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		addr := ln.Addr().String()
		packet, err := net.ListenPacket("udp", addr)
		ln.Close()
		if err != nil {
			continue
		}
		packet.Close()
		return addr, nil
	}
	return "", errors.New("no free port")
}

// runCommand returns the command `run` of the deploy file, which starts a sender from the root of the repository.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "run = "); found {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", errors.New("deploy/balancer.toml has no run")
}

// senderOptions are what differs between the senders of a case.
type senderOptions struct {
	name, discovery string
	known           list
	settings        map[string]any
	limits          map[string]any
	clusterFile     string
}

// newSender writes the configuration of a sender into a folder of its own.
func newSender(rec *record, tmp string, o senderOptions) (*process, error) {
	folder := filepath.Join(tmp, o.name)
	state := filepath.Join(folder, "state")
	if err := os.MkdirAll(state, 0o755); err != nil {
		return nil, err
	}
	listen, err := freePort()
	if err != nil {
		return nil, err
	}
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	limits := o.limits
	if limits == nil {
		limits = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
	}
	config := map[string]any{"name": o.name, "listen": listen, "discovery": o.discovery, "seed": "8c1f30d27a5be964", "limits": limits,
		"known": o.known, "settings": o.settings, "state": state}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return nil, err
	}
	p := &process{rec: rec, name: o.name, listen: listen, folder: folder, command: run,
		env: []string{"EDGE_CONFIG=" + path, "EDGE_NAME=" + o.name, "EDGE_LISTEN=" + listen, "EDGE_DISCOVERY=" + o.discovery, "EDGE_STATE=" + state}}
	if o.clusterFile != "" {
		p.command += " --cluster " + o.clusterFile
	}
	return p, nil
}

// smallSettings returns the settings object of a small deployment, in the form of the wire page. Durations are nanoseconds.
func smallSettings(senders, slot int) map[string]any {
	ms := func(n int) int64 { return int64(n) * 1_000_000 }
	return map[string]any{
		"accounts": []any{}, "balancers": senders, "slotNo": slot, "stage": 0, "family": "deliver", "quantum": ms(5),
		"bounds": map[string]any{"cancel": true, "connIdle": ms(10000), "cpuUsPerRequest": 0.0, "cpuUsPerS": 50000, "dialTimeout": ms(1000),
			"maxAttempts": 12, "maxOpen": 211, "maxRetryAfter": ms(2000), "peers": true, "probing": true, "retryAfter": true,
			"secondCopies": false, "streamsPerConn": 8},
		"callers": map[string]any{"marksRetry": false},
		"classes": []any{
			map[string]any{"name": "status", "aim": ms(800), "deadline": ms(6000), "group": "all", "idempotency": "pure", "lateWorth": 0.1,
				"repeatWindow": ms(5000), "streaming": false, "worth": 1.0},
			map[string]any{"name": "order", "aim": ms(4000), "deadline": ms(20000), "group": "all", "idempotency": "side_effect", "lateWorth": 0.5,
				"repeatWindow": ms(5000), "streaming": false, "worth": 3.0},
		},
		"countedBy": "request", "discovery": "pushed",
		"deductions": map[string]any{"handshake": 0.02, "lateFail": 0.019, "probe": 0.0091, "waste": 0.05},
		"extra": map[string]any{"bundleMax": []int{10, 1}, "callsOut": 15, "carriage": []float64{0}, "fades": "halving",
			"separateRoutes": []bool{false, false}, "turnedAwayPrice": 0.03},
		"goal":         map[string]any{"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.25},
		"machineTypes": []string{"bulk", "small"}, "overShareWorth": 0.1,
		"rules": map[string]any{"answerSlack": ms(20), "askWithin": ms(10000), "cold": ms(13000), "coldFrom": 0.14, "drainGrace": ms(500),
			"fall": ms(1500), "fallMultiple": 2.5},
		"stats": map[string]any{"fields": []string{"x0", "x1"}, "source": "inline"}, "tiers": []string{"partners"}, "weights": "rough",
		"zone": 0, "zones": []string{"marabella"},
	}
}

// rewrite replaces the configuration file of the process by a changed one.
func (p *process) rewrite(change func(map[string]any)) error {
	path := filepath.Join(p.folder, "config.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	change(config)
	if text, err = json.Marshal(config); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
