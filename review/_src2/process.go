package main

// This file starts senders as the deploy file says, and keeps the record of a run.

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// sender is one sender process and its folder.
type sender struct {
	rec    *record
	name   string
	root   string // of the repository
	folder string // configuration, state and log
	listen string
	cmd    *exec.Cmd
	ended  chan struct{}
	err    error
}

// freeAddr returns a free loopback address.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// runCommand returns the line run of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "run = "); found {
			return strings.Trim(rest, "\" "), nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no line run")
}

// configure writes the configuration.
func (s *sender) configure(config map[string]any) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	path := filepath.Join(s.folder, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts the process and waits until it answers PING.
func (s *sender) start() error {
	run, err := runCommand(s.root)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	if os.Getenv("TRACE") != "" {
		run += " --trace"
	}
	s.cmd = exec.Command("/bin/sh", "-c", run)
	s.cmd.Dir, s.cmd.Stdout, s.cmd.Stderr = s.root, log, log
	s.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+filepath.Join(s.folder, "config.json"))
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		return err
	}
	ended, cmd := make(chan struct{}), s.cmd
	s.ended = ended
	go func() {
		s.err = cmd.Wait()
		close(ended)
	}()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		c, err := dialClient(s.listen)
		if err != nil {
			continue
		}
		answer, err := c.do(command("PING"), time.Second)
		c.conn.Close()
		if err == nil && answer == "+PONG" {
			s.rec.add("sender %s is ready, process %d", s.name, s.cmd.Process.Pid)
			return nil
		}
	}
	return fmt.Errorf("sender %s is not ready after 10 s", s.name)
}

// signal sends a signal to the process.
func (s *sender) signal(sig syscall.Signal) {
	s.rec.add("sender %s: signal %s", s.name, sig)
	s.cmd.Process.Signal(sig)
}

// kill ends the process and waits for its end.
func (s *sender) kill() {
	if s.cmd == nil {
		return
	}
	s.cmd.Process.Kill()
	<-s.ended
}

// hasEnded reports whether the process has ended.
func (s *sender) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}
