package recovery

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// This file runs the sender processes.

// sender is one sender: its folder, and the process that uses it now.
type sender struct {
	number  int
	command []string // the program and its arguments
	folder  string
	address string // on which it serves clients

	mu  sync.Mutex
	cmd *exec.Cmd
}

// start starts a process.
func (s *sender) start() error {
	log, err := os.OpenFile(filepath.Join(s.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(s.command[0], s.command[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+s.configPath())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cmd = cmd
	return cmd.Start()
}

// kill kills the process, if there is one, and waits for its end.
func (s *sender) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil && s.cmd.Process != nil {
		s.cmd.Process.Kill()
		s.cmd.Wait()
	}
	s.cmd = nil
}

func (s *sender) configPath() string { return filepath.Join(s.folder, "config.json") }

// writeConfig writes the configuration of the sender.
func (s *sender) writeConfig(plan Plan, discovery string, list endpointList) error {
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("s%d", s.number), "listen": s.address, "discovery": discovery, "state": filepath.Join(s.folder, "state"),
		"seed":   fmt.Sprintf("%016x", plan.Seed*1_000_003+uint64(s.number)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 512, "disk_mb": 3},
		"known":  list, "settings": settings(plan, s.number),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(s.configPath(), text, 0o600)
}

// settings returns the settings of a sender.
func settings(plan Plan, number int) map[string]any {
	rating := "nominal"
	if plan.RoughRating {
		rating = "rough"
	}
	class := func(name, repeat string, objective, deadline time.Duration, value float64) map[string]any {
		return map[string]any{"name": name, "idempotency": repeat, "group": "all", "aim": objective, "deadline": deadline, "worth": value,
			"lateWorth": 0.5, "repeatWindow": 5 * time.Second, "byArrival": false, "streaming": false}
	}
	return map[string]any{
		"balancers": plan.Senders, "slotNo": number, "quantum": 5 * time.Millisecond, "zone": 0, "zones": []string{"here"},
		"weights": rating, "discovery": "pushed", "machineTypes": []string{"small"},
		"classes": []any{class(statusClass, "pure", 800*time.Millisecond, statusDeadline, 1),
			class(orderClass, "side_effect", 4*time.Second, orderDeadline, 3)},
		"bounds": map[string]any{"connIdle": 10 * time.Second, "dialTimeout": time.Second, "maxAttempts": 12, "maxOpen": 211,
			"maxRetryAfter": 2 * time.Second, "peers": false, "probing": plan.Probing, "retryAfter": true, "cancel": true, "secondCopies": false},
		"extra": map[string]any{"bundleMax": []int{1}, "callsOut": 15, "fades": "halving", "separateRoutes": []bool{false}},
		"rules": map[string]any{"drainGrace": 500 * time.Millisecond, "cold": slowStartTime, "coldFrom": slowStartFrom,
			"fall": overloadWindow, "fallMultiple": overloadFactor, "answerSlack": 20 * time.Millisecond},
		"stats": map[string]any{"fields": []string{"x0", "x1"}, "source": "inline"},
	}
}
