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

// SIGHUP must never end the process, whatever the file holds by then, and what is wrong with the file is logged.
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
	eventually(t, "the program answers", func() bool {
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
		config, what string
		done         func() bool
	}{
		{good, "the first reload", reloads(1)},
		{"{", "an error is logged", func() bool { return strings.Contains(readFile(t, logFile.Name()), `"level":"error"`) }},
		{good, "the second reload", reloads(2)},
	} {
		writeFile(t, configFile, step.config)
		program.Process.Signal(syscall.SIGHUP)
		eventually(t, step.what, step.done)
	}
	program.Process.Signal(syscall.SIGTERM)
	if err := program.Wait(); err != nil {
		t.Error(err)
	}
}

// A signal that comes during the start counts from then, not from when the start is over.
func TestSignalDuringTheStart(t *testing.T) {
	signals := make(chan os.Signal) // unbuffered: once it is sent, it is received
	signalledAt := firstSignalTime(signals)
	signals <- syscall.SIGTERM
	eventually(t, "the time of the signal is there", func() bool { return len(signalledAt) > 0 })
	startOver := time.Now()
	if at := <-signalledAt; at.After(startOver) {
		t.Errorf("the signal counts from %v, after %v", at, startOver)
	}
}
