package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestHangUp checks that SIGHUP reloads the configuration and never terminates the process, even if the file is invalid by
// then; that error is logged.
func TestHangUp(t *testing.T) {
	listen, dir := freeAddr(t), t.TempDir()
	configFile := filepath.Join(dir, "config.json")
	good := fmt.Sprintf(`{"name":"s","listen":%q,"discovery":"127.0.0.1:1","state":%q,"settings":{"classes":[{"name":"a",
"idempotency":"pure","deadline":6000000000}],"extra":{"callsOut":4}}}`, listen, t.TempDir())
	writeFile(t, configFile, good)
	logFile, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer logFile.Close()
	program := exec.Command(os.Args[0], "serve")
	program.Env = append(os.Environ(), "EDGE_CONFIG="+configFile)
	program.Stderr = logFile
	startProgram(t, program)
	eventually(t, "the sender answers PING", func() bool {
		text, err := sendCommand(listen, "PING")
		return err == nil && text == "PONG"
	})
	reloads := func(n int) func() bool {
		return func() bool {
			text, err := sendCommand(listen, "INFO")
			return err == nil && strings.Contains(text, fmt.Sprintf("reloads:%d\r", n))
		}
	}
	for _, step := range []struct {
		config, expected string
		done             func() bool
	}{
		{good, "the first reload is counted", reloads(1)},
		{"{", "an error is logged", func() bool { return strings.Contains(readFile(t, logFile.Name()), `"level":"error"`) }},
		{good, "the second reload is counted", reloads(2)},
	} {
		writeFile(t, configFile, step.config)
		program.Process.Signal(syscall.SIGHUP)
		eventually(t, step.expected, step.done)
	}
	program.Process.Signal(syscall.SIGTERM)
	if err := program.Wait(); err != nil {
		t.Error(err)
	}
}

// TestSignalDuringTheStart checks that firstSignalTime returns the time at which a signal was received, not the later time at
// which the start of the process has finished and the result is read.
func TestSignalDuringTheStart(t *testing.T) {
	signals := make(chan os.Signal) // unbuffered, so that a signal is received as soon as the send returns
	signalledAt := firstSignalTime(signals)
	signals <- syscall.SIGTERM
	eventually(t, "the time of the signal is available", func() bool { return len(signalledAt) > 0 })
	startFinished := time.Now()
	if at := <-signalledAt; at.After(startFinished) {
		t.Errorf("time of the signal: %v, which is after the end of the start at %v", at, startFinished)
	}
}
