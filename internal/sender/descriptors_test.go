package sender

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"flaxcove/internal/directory"
)

// descriptorLimits configures a sender in a process of its own: the address of discovery, the state folder, and the limits of
// descriptors in the settings and in the system.
type descriptorLimits struct {
	Discovery, Dir             string
	SettingsLimit, SystemLimit uint64
}

const (
	// descriptorLimitsEnv is the environment variable that passes descriptorLimits, as JSON, to TestLimitedProcess.
	descriptorLimitsEnv = "FLAXCOVE_TEST_DESCRIPTOR_LIMITS"
	// answeredLine is a line that the process echoes once all commands that it has read are answered.
	answeredLine = "answered"
)

// TestLimitedProcess is not a test. It runs a sender in a process of its own, for startLimited, until its standard input
// ends. Each line of input is answeredLine or a new descriptor limit.
func TestLimitedProcess(t *testing.T) {
	text := os.Getenv(descriptorLimitsEnv)
	if text == "" {
		return
	}
	var n descriptorLimits
	if err := json.Unmarshal([]byte(text), &n); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n.SystemLimit, Max: n.SystemLimit}); err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(n.Dir, 1000)
	cfg.Listen, cfg.Discovery, cfg.Limits.Sockets = "127.0.0.1:0", n.Discovery, int(n.SettingsLimit)
	s, conn, done := startServing(t, cfg)
	conn.Close()
	fmt.Println("serves at", s.Addr())
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		if lines.Text() == answeredLine {
			waitUntilAnswered(t, s)
			fmt.Println(answeredLine)
			continue
		}
		limit := syscall.Rlimit{Max: n.SystemLimit}
		limit.Cur, _ = strconv.ParseUint(lines.Text(), 10, 64)
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Fatal(err)
		}
		fmt.Println("has", limit.Cur)
	}
	s.Drain()
	<-done
	fmt.Println("submitted", s.counts.submitted)
}

// limitedProcess is a sender in a process of its own, with a limit of descriptors.
type limitedProcess struct {
	*exec.Cmd
	addr  string
	input io.WriteCloser
	lines *bufio.Scanner
}

// startLimited starts a limitedProcess and waits until it serves clients.
func startLimited(t *testing.T, n descriptorLimits) *limitedProcess {
	t.Helper()
	text, _ := json.Marshal(n)
	p := &limitedProcess{Cmd: exec.Command(os.Args[0], "-test.run=^TestLimitedProcess$")}
	p.Env = append(os.Environ(), descriptorLimitsEnv+"="+string(text))
	p.input, _ = p.StdinPipe()
	output, _ := p.StdoutPipe()
	p.lines = bufio.NewScanner(output)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill() })
	p.addr = p.waitForLine(t, "serves at ")
	return p
}

// waitForLine reads the process's output up to a line that starts with prefix, and returns the rest of that line.
func (p *limitedProcess) waitForLine(t *testing.T, prefix string) string {
	t.Helper()
	for p.lines.Scan() {
		if rest, does := strings.CutPrefix(p.lines.Text(), prefix); does {
			return rest
		}
	}
	t.Fatal("the process has ended without printing a line that starts with", prefix)
	return ""
}

// limit sets the process's descriptor limit.
func (p *limitedProcess) limit(t *testing.T, descriptors int) {
	t.Helper()
	fmt.Fprintln(p.input, descriptors)
	p.waitForLine(t, "has ")
}

// waitUntilAnswered waits until the process has answered all commands that it has read.
func (p *limitedProcess) waitUntilAnswered(t *testing.T) {
	t.Helper()
	fmt.Fprintln(p.input, answeredLine)
	p.waitForLine(t, answeredLine)
}

// dialPing connects a client to the process and sends a PING.
func (p *limitedProcess) dialPing(t *testing.T) net.Conn {
	t.Helper()
	conn := p.dial(t)
	io.WriteString(conn, pingText)
	return conn
}

// dial connects a client to the process.
func (p *limitedProcess) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

// end closes the process's standard input, so that it shuts down gracefully, and waits until it has ended.
func (p *limitedProcess) end(t *testing.T) {
	t.Helper()
	p.input.Close()
	for p.lines.Scan() { // until the output ends
	}
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}

// fakePartner is discovery, an endpoint and the platform in one server.
type fakePartner struct {
	*httptest.Server
	discoveryUp            atomic.Bool  // discovery answers; before, it closes each connection
	discoveryRequests      atomic.Int64 // requests to discovery
	callCount, reportCount atomic.Int64 // calls to the endpoint, and reports to the platform
}

func (p *fakePartner) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	switch r.URL.Path {
	case "/api/targets":
		p.discoveryRequests.Add(1)
		if !p.discoveryUp.Load() {
			conn, _, _ := out.(http.Hijacker).Hijack()
			conn.Close()
			return
		}
		json.NewEncoder(out).Encode(directory.List{Version: 9, Full: true, Entries: []directory.Entry{
			readyEntry("new", p.Listener.Addr().String(), 1),
			{ID: "leaves", Addr: "127.0.0.1:9", Zone: "z", Kind: "one", Destination: 9, State: "draining", Weight: 100}}})
		out.(http.Flusher).Flush()
		<-r.Context().Done()
	case "/v1/outcomes":
		p.reportCount.Add(1)
		out.WriteHeader(http.StatusNoContent)
	case "/inbox":
		p.callCount.Add(1)
	}
}

// cpuTime returns the CPU time that a process has used, in user and system mode, to 10 ms.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// floodWithIdle connects clients that send a PING and stay connected. First many connect without waiting, and some of them
// may be rejected. Then more clients than there are places connect one after the other, each when all commands are answered,
// so that each must be served at once.
func floodWithIdle(t *testing.T, program *limitedProcess) (idle []net.Conn) {
	t.Helper()
	const flood, oneByOne = 240, 60
	for range flood {
		idle = append(idle, program.dialPing(t))
	}
	expectFloodAnswers(t, idle)
	for range oneByOne {
		program.waitUntilAnswered(t)
		conn := program.dialPing(t)
		mustRead(t, conn, pongText)
		idle = append(idle, conn)
	}
	return idle
}

// TestFewDescriptors checks that discovery, calls, reports to the platform, the journal and new clients still get descriptors
// while idle clients hold all those that clients may have. Discovery is down when the idle clients connect. If the system's
// limit is lower than that of the settings, the process must neither end nor use CPU time in a busy loop.
func TestFewDescriptors(t *testing.T) {
	for _, n := range []descriptorLimits{{SettingsLimit: 128, SystemLimit: 128}, {SettingsLimit: 512, SystemLimit: 96}} {
		t.Run(fmt.Sprintf("%d of %d", n.SystemLimit, n.SettingsLimit), func(t *testing.T) {
			p := &fakePartner{}
			p.Server = httptest.NewServer(p)
			defer p.Server.Close()
			defer p.CloseClientConnections()
			n.Discovery, n.Dir = p.Listener.Addr().String(), t.TempDir()
			program := startLimited(t, n)
			dial, pid := program.dial, program.Process.Pid
			idle := floodWithIdle(t, program)
			used := cpuTime(t, pid)
			asked, since := p.discoveryRequests.Load(), time.Now()
			waitUntil(t, "discovery is asked twice while idle clients hold all descriptors", func() bool { return p.discoveryRequests.Load() >= asked+2 })
			if used, took := cpuTime(t, pid)-used, time.Since(since); used > took/2 {
				t.Errorf("the process used %v of CPU time within %v while it had nothing to do", used, took)
			}
			p.discoveryUp.Store(true)
			conn := dial(t)
			answers := bufio.NewReader(conn)
			send := func(id, list string, size int) {
				t.Helper()
				text := outAdd("0", id, list, strings.Repeat("\x00", size))
				waitUntil(t, "the message is accepted", func() bool { // the journal has capacity for a few at a time
					conn.Write(text)
					line, err := answers.ReadString('\n')
					if err != nil {
						t.Fatal(id, err)
					}
					return line == "+OK\r\n"
				})
			}
			for i := range 60 {
				send(fmt.Sprint("many", i), "c=status,d=6000,dest=1", 4<<10)
			}
			send("nowhere", "c=status,d=1200,dest=9", 4<<10)
			waitUntil(t, "60 messages are delivered and one end is reported", func() bool { return p.callCount.Load() >= 60 && p.reportCount.Load() >= 1 })
			readInfo := func() string {
				io.WriteString(conn, "*1\r\n$4\r\nINFO\r\n")
				line, _ := answers.ReadString('\n')
				size, _ := strconv.Atoi(strings.Trim(line, "$\r\n"))
				info := make([]byte, size+2)
				io.ReadFull(answers, info)
				return string(info)
			}
			waitUntil(t, "the journal is rewritten", func() bool {
				info := readInfo()
				return strings.Contains(info, "journal_rewritings") && !strings.Contains(info, "journal_rewritings:0")
			})
			for _, c := range idle {
				c.Close()
			}
			// The end of a connection is handled some time after a new connection that came later.
			waitUntil(t, "the ends of the idle clients are handled", func() bool { return strings.Contains(readInfo(), "\r\nclients:1\r\n") })
			last := dial(t)
			io.WriteString(last, pingText)
			mustRead(t, last, pongText)
			last.Close()
			conn.Close()
			program.end(t)
		})
	}
}

// TestAcceptWithoutDescriptors checks that an accept without a free descriptor is repeated after a pause. The process must
// neither end nor use CPU time in a busy loop, and the waiting client is served once there is a descriptor.
func TestAcceptWithoutDescriptors(t *testing.T) {
	program := startLimited(t, descriptorLimits{Discovery: "127.0.0.1:1", Dir: t.TempDir(), SettingsLimit: 128, SystemLimit: 128})
	program.limit(t, 3)
	waiting := program.dial(t)
	io.WriteString(waiting, pingText)
	used, pause := cpuTime(t, program.Process.Pid), 2*time.Second
	time.Sleep(pause) // nothing can be accepted meanwhile, so the CPU time measured is that of repeated accepts
	if used := cpuTime(t, program.Process.Pid) - used; used > pause/2 {
		t.Errorf("the process used %v of CPU time within %v while it could not accept", used, pause)
	}
	program.limit(t, 128)
	mustRead(t, waiting, pongText)
	waiting.Close()
	program.end(t)
}
