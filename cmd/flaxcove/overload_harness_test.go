package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// messageDeadlineMS is the time to the deadline of all messages, in milliseconds, as the settings have it for their class.
const messageDeadlineMS = 60_000

// limitedSender describes a process with limits, one destination and one endpoint.
type limitedSender struct {
	memoryMB, sockets int
	diskMB            float64
	callsOut          int
	endpoint          string // address
	state             string // folder
}

// runningSender is a process started from a limitedSender.
type runningSender struct {
	listen  string
	program *exec.Cmd
	peak    func() float64 // ends the measurement and returns the highest anonymous memory, in MB
	logFile string
}

// buildProgram builds the program without the race detector, which takes memory itself.
func buildProgram(t *testing.T) (binary string) {
	t.Helper()
	binary = filepath.Join(t.TempDir(), "flaxcove")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// start starts the process, measures its memory from the beginning, and waits until it answers.
func (l limitedSender) start(t *testing.T, binary string) *runningSender {
	t.Helper()
	folder := t.TempDir()
	s := &runningSender{listen: freeAddr(t), logFile: filepath.Join(folder, "log")}
	configFile := filepath.Join(folder, "config.json")
	writeFile(t, configFile, fmt.Sprintf(`{"name":"s","listen":%q,"discovery":"127.0.0.1:1","state":%q,
"limits":{"memory_mb":%d,"sockets":%d,"disk_mb":%g},
"known":{"version":1,"full":true,"servers":[{"id":"e","addr":%q,"zone":"z","kind":"k","cell":1,"state":"up","weight":1}]},
"settings":{"machineTypes":["k"],"zones":["z"],"classes":[{"name":"a","idempotency":"pure","deadline":%d}],
"extra":{"callsOut":%d}}}`, s.listen, l.state, l.memoryMB, l.sockets, l.diskMB, l.endpoint, messageDeadlineMS*int(time.Millisecond), l.callsOut))
	log, err := os.Create(s.logFile)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	s.program = exec.Command(binary, "serve")
	s.program.Env = append(os.Environ(), "EDGE_CONFIG="+configFile)
	s.program.Stderr = log
	startProgram(t, s.program)
	s.peak = watchMemory(t, s.program.Process.Pid)
	eventually(t, "the sender answers PING", func() bool {
		text, err := sendCommand(s.listen, "PING")
		return err == nil && text == "PONG"
	})
	return s
}

// kill kills the process.
func (s *runningSender) kill() {
	s.program.Process.Kill()
	s.program.Wait()
}

// counter returns a counter of the process, -1 if it cannot be read.
func (s *runningSender) counter(name string) int {
	text, err := sendCommand(s.listen, "INFO")
	if err != nil {
		return -1
	}
	for line := range strings.Lines(text) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), name+":"); found {
			n, _ := strconv.Atoi(value)
			return n
		}
	}
	return -1
}

// expectMemoryWithin ends the measurement of memory, and reports an error if it was above the limit.
func (s *runningSender) expectMemoryWithin(t *testing.T, limitMB int) {
	t.Helper()
	mb := s.peak()
	t.Logf("the process took %.0f MB, its limit is %d MB", mb, limitMB)
	if mb > float64(limitMB) || mb == 0 {
		t.Errorf("the process took %.0f MB, its limit is %d MB", mb, limitMB)
	}
}

// endpointServer answers calls after a delay, and records them.
type endpointServer struct {
	addr    string
	release chan struct{} // calls are answered once it is closed
	delay   time.Duration

	mu     sync.Mutex
	begun  map[string]time.Time // by message
	bodies map[string]string    // by message
}

// startEndpoint starts an endpoint that answers each call after delay. Until release is closed it answers none.
func startEndpoint(t *testing.T, addr string, delay time.Duration, release chan struct{}) *endpointServer {
	t.Helper()
	e := &endpointServer{release: release, delay: delay, begun: map[string]time.Time{}, bodies: map[string]string{}}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	e.addr = ln.Addr().String()
	server := &http.Server{Handler: e}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return e
}

// ServeHTTP implements http.Handler.
func (e *endpointServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	e.begun[id] = time.Now()
	e.bodies[id] = string(body)
	e.mu.Unlock()
	select {
	case <-e.release:
		time.Sleep(e.delay)
	case <-r.Context().Done():
	}
}

// addCommandText returns an OUT.ADD command as it is sent.
func addCommandText(id string, deadlineMS int, body string) string {
	list := fmt.Sprintf("c=a,d=%d,dest=1", deadlineMS)
	return fmt.Sprintf("*5\r\n$7\r\nOUT.ADD\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(list), list, len(body), body)
}
