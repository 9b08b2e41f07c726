package main

import (
	"bytes"
	"errors"
	"net"
	"os"
	"os/exec"
	"slices"
	"testing"
	"time"
)

// startTimeout bounds the time that a test waits for a condition of a process that it has started.
const startTimeout = 30 * time.Second

// TestMain runs the program itself if the test binary is started with one of the program's sub-commands as its first
// argument, so that tests can start the program without building it. With overloadCommand it runs a load.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && slices.Contains([]string{"serve", "lab", "routes"}, os.Args[1]) {
		main()
		return
	}
	if len(os.Args) > 2 && os.Args[1] == overloadCommand {
		runOverload(os.Args[2], os.Args[3:])
		return
	}
	code := m.Run()
	if loadFolder != "" {
		os.RemoveAll(loadFolder)
	}
	os.Exit(code)
}

// runProgram runs the program in a folder until it exits, and returns its exit code (-1 if it did not start) and its output.
func runProgram(dir string, args ...string) (code int, stdout, stderr string) {
	program := exec.Command(os.Args[0], args...)
	program.Dir = dir
	var out, errOut bytes.Buffer
	program.Stdout, program.Stderr = &out, &errOut
	err := program.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		code = -1
	}
	return code, out.String(), errOut.String()
}

// runLab runs a lab command in a folder until it exits.
func runLab(dir string, args ...string) (code int, stdout, stderr string) {
	return runProgram(dir, append([]string{"lab"}, args...)...)
}

// startProgram starts the program. It is killed at the end of the test if it is still running.
func startProgram(t *testing.T, program *exec.Cmd) {
	t.Helper()
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		program.Process.Kill()
		program.Wait()
	})
}

// freeAddr returns a loopback address with a port that was free a moment ago.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// eventually polls until the condition holds, and fails the test if that takes longer than startTimeout.
func eventually(t *testing.T, expected string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(startTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", startTimeout, expected)
		}
	}
}
