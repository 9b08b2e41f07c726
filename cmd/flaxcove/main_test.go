package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"
)

// TestMain lets the test's own binary stand in for the program.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && slices.Contains([]string{"serve", "lab", "routes"}, os.Args[1]) {
		main()
		return
	}
	os.Exit(m.Run())
}

// SIGHUP must never end the process, whatever the file holds by then.
func TestHangUp(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := ln.Addr().String()
	ln.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	good := fmt.Sprintf(`{"name":"s","listen":%q,"discovery":"127.0.0.1:1","state":%q,"settings":{"classes":[{"name":"a",
"idempotency":"pure","deadline":6000000000}],"extra":{"callsOut":4}}}`, listen, t.TempDir())
	write(good)
	program := exec.Command(os.Args[0], "serve")
	program.Env = append(os.Environ(), "EDGE_CONFIG="+path)
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	answers := func() bool {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if text, err := ask(listen, "PING"); err == nil && text == "PONG" {
				return true
			}
		}
		return false
	}
	for _, text := range []string{good, "{", good} {
		if !answers() {
			t.Error("the program does not answer")
		}
		write(text)
		program.Process.Signal(syscall.SIGHUP)
		time.Sleep(20 * time.Millisecond)
	}
	if !answers() {
		t.Error("the program does not answer any more")
	}
	program.Process.Signal(syscall.SIGTERM)
	if err := program.Wait(); err != nil {
		t.Error(err)
	}
}

// A signal that comes during the start counts from then, not from when the start is over.
func TestSignalDuringTheStart(t *testing.T) {
	signals := make(chan os.Signal) // without room: once it is sent, it is taken
	signalledAt := firstSignalTime(signals)
	signals <- syscall.SIGTERM
	for end := time.Now().Add(20 * time.Second); len(signalledAt) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nobody notes when the signal came")
		}
	}
	startOver := time.Now()
	if at := <-signalledAt; at.After(startOver) {
		t.Errorf("told at %v, after %v", at, startOver)
	}
}
