package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"flaxcove/lab/referee"
)

// An invalid argument, flag or file is reported in one line on standard error; nothing runs, and the exit code is 2.
func ExampleMain_labInput() {
	dir, _ := os.MkdirTemp("", "lab")
	defer os.RemoveAll(dir)
	os.WriteFile(filepath.Join(dir, "bad.toml"), []byte("seconds = 10\n[load]\nrate = 0\n[[workload]]\nname = \"w\"\ncontract_ms = 9\nhard_stop_ms = 99\n[[partner]]\n"), 0o644)
	for _, args := range [][]string{{"run", "bad.toml"}, {"run"}, {"run", "--policy", "best", "calm"}, {"run", "--engine", "real", "calm"},
		{"run", "--set", "load.rates=3", "calm"}, {"run", "--set", "load.rate=-3", "calm"}, {"load", "calm"}, {"load", "--rates", "fast", "calm"},
		{"report", "none.json"}, {"experiment", "none.toml"}, {"scenarios", "bad.toml"}} {
		code, stdout, stderr := runLab(dir, args...)
		fmt.Printf("%d %q %s", code, stdout, stderr)
	}
	// Output:
	// 2 "" flaxcove: bad.toml:3: field load.rate: 0 is not within 0.001 and 1e+06
	// 2 "" flaxcove: expected one argument: a scenario; `flaxcove lab scenarios` lists the built-in ones
	// 2 "" flaxcove: --policy: unknown policy "best"
	// 2 "" flaxcove: --engine: "real" is neither simulated nor sockets
	// 2 "" flaxcove: "load.rates": there is no such field
	// 2 "" flaxcove: calm: field load.rate: -3 is not within 0.001 and 1e+06
	// 2 "" flaxcove: one of --search, --rates and --soak is required
	// 2 "" flaxcove: --rates: "fast" is not a valid rate in messages per second
	// 2 "" flaxcove: open none.json: no such file or directory
	// 2 "" flaxcove: open none.toml: no such file or directory
	// 2 "" flaxcove: bad.toml:3: field load.rate: 0 is not within 0.001 and 1e+06
}

// Invalid flags of lab limits are reported and nothing runs; with valid flags a grid is printed.
func ExampleMain_limits() {
	for _, args := range [][]string{{"--only", "thunder"}, {"--policy", "best"},
		{"--only", "noise", "--rates", "50", "--shares", "0.06", "--seconds", "5", "--cores", "1"}} {
		code, stdout, stderr := runLab("", append([]string{"limits"}, args...)...)
		if code == 0 {
			stderr = "" // progress
		}
		fmt.Println(code, len(stdout) > 0, strings.TrimSpace(stderr))
	}
	// Output:
	// 2 false flaxcove: --only: "thunder" is neither noise nor sharing
	// 2 false flaxcove: --policy: unknown policy "best"
	// 0 true
}

// TestLabRunAndReport checks that a run prints its verdict as valid JSON and writes an HTML page, that its exit code shows
// whether rules were broken, and that `lab report` makes a page of a stored verdict.
func TestLabRunAndReport(t *testing.T) {
	dir := t.TempDir()
	code, stdout, stderr := runLab(dir, "run", "--json", "--out", "v.json", "--report", "v.html", "--set", "seconds=10", "calm")
	var v referee.Verdict
	if err := json.Unmarshal([]byte(stdout), &v); code != 0 || err != nil || v.Asked == 0 || v.Figure < 0.5 {
		t.Fatalf("%d, %v, %s", code, err, stderr)
	}
	if code, stdout, _ := runLab(dir, "run", "--policy", "one_try", "hard-outage"); code != exitRuleBroken || !strings.Contains(stdout, "broken rules:") {
		t.Errorf("exit code of a run that breaks rules: %d, want %d: %s", code, exitRuleBroken, stdout)
	}
	if code, _, stderr := runLab(dir, "report", "--out", "r.html", "v.json"); code != 0 {
		t.Error(code, stderr)
	}
	for _, name := range []string{"v.html", "r.html"} {
		if text, err := os.ReadFile(filepath.Join(dir, name)); err != nil || !bytes.Contains(text, []byte("<svg")) {
			t.Errorf("%s: %v, %d bytes", name, err, len(text))
		}
	}
}

// TestLabInterrupt checks that SIGINT ends a run on sockets within 8 s, and that the run removes its temporary folder.
func TestLabInterrupt(t *testing.T) {
	dir := t.TempDir()
	program := exec.Command(os.Args[0], "lab", "run", "--engine", "sockets", "calm")
	program.Dir = dir
	program.Env = append(os.Environ(), "TMPDIR="+dir)
	startProgram(t, program)
	eventually(t, "the logs of three senders exist", func() bool {
		logs, _ := filepath.Glob(filepath.Join(dir, "flaxcove-lab-*", "s*.log"))
		return len(logs) == 3
	})
	program.Process.Signal(syscall.SIGINT)
	interruptedAt := time.Now()
	err := program.Wait()
	if err == nil || time.Since(interruptedAt) > 8*time.Second {
		t.Errorf("the run ended %v after SIGINT with error %v", time.Since(interruptedAt), err)
	}
	if rest, _ := os.ReadDir(dir); len(rest) > 0 {
		t.Errorf("files left behind: %v", rest)
	}
}
