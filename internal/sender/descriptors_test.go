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

// descriptorLimits configures a sender in a process of its own: where discovery is, and how many descriptors the settings and the
// system give it.
type descriptorLimits struct {
	Discovery, Dir   string
	Settings, System uint64
}

const (
	descriptorLimitsEnv = "FLAXCOVE_TEST_NARROW"
	// answeredLine asks the process to say the same once all commands that it has read are answered.
	answeredLine = "answered"
)

// TestNarrowProcess is no test: it is the sender in a process of its own, until its standard input ends. Each line of input
// is answeredLine, or the number of descriptors that the system gives from then on.
func TestNarrowProcess(t *testing.T) {
	text := os.Getenv(descriptorLimitsEnv)
	if text == "" {
		return
	}
	var n descriptorLimits
	if err := json.Unmarshal([]byte(text), &n); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n.System, Max: n.System}); err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(n.Dir, 1000)
	cfg.Listen, cfg.Discovery, cfg.Limits.Sockets = "127.0.0.1:0", n.Discovery, int(n.Settings)
	s, conn, done := startServing(t, cfg)
	conn.Close()
	fmt.Println("serves at", s.Addr())
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		if lines.Text() == answeredLine {
			waitUntilAnswered(t, s)
			fmt.Println(answeredLine)
			continue
		}
		limit := syscall.Rlimit{Max: n.System}
		limit.Cur, _ = strconv.ParseUint(lines.Text(), 10, 64)
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Fatal(err)
		}
		fmt.Println("has", limit.Cur)
	}
	s.Drain()
	<-done
	fmt.Println("was handed", s.counts.submitted)
}

// limitedProcess is a sender in a process of its own.
type limitedProcess struct {
	*exec.Cmd
	addr  string
	input io.WriteCloser
	lines *bufio.Scanner
}

func startLimited(t *testing.T, n descriptorLimits) *limitedProcess {
	t.Helper()
	text, _ := json.Marshal(n)
	p := &limitedProcess{Cmd: exec.Command(os.Args[0], "-test.run=^TestNarrowProcess$")}
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

func (p *limitedProcess) waitForLine(t *testing.T, what string) string {
	t.Helper()
	for p.lines.Scan() {
		if rest, does := strings.CutPrefix(p.lines.Text(), what); does {
			return rest
		}
	}
	t.Fatal("the process never says:", what)
	return ""
}

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

// dialPing connects a client and sends a PING.
func (p *limitedProcess) dialPing(t *testing.T) net.Conn {
	t.Helper()
	conn := p.dial(t)
	io.WriteString(conn, pingText)
	return conn
}

func (p *limitedProcess) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

func (p *limitedProcess) end(t *testing.T) {
	t.Helper()
	p.input.Close()
	for p.lines.Scan() { // to the end of what it says
	}
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}

// fakePartner is discovery, which does not answer before it is up, an endpoint and the platform in one.
type fakePartner struct {
	*httptest.Server
	up             atomic.Bool
	asked          atomic.Int64
	inbox, outcome atomic.Int64
}

func (p *fakePartner) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	switch r.URL.Path {
	case "/api/targets":
		p.asked.Add(1)
		if !p.up.Load() {
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
		p.outcome.Add(1)
		out.WriteHeader(http.StatusNoContent)
	case "/inbox":
		p.inbox.Add(1)
	}
}

// cpuTime is what a process has used up so far.
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

// floodWithIdle connects clients that send a PING and stay: first many that wait for nothing, some of which may be rejected,
// then more than there are places, one after the other. Each of these comes when all commands are answered, and so must be
// served at once.
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

// While discovery is down idle clients take all descriptors that clients may have; discovery, calls, reports to the platform
// and the journal still get theirs, and so do new clients. Where the system gives fewer than the settings allow, the process
// neither ends nor spins.
func TestFewDescriptors(t *testing.T) {
	for _, n := range []descriptorLimits{{Settings: 128, System: 128}, {Settings: 512, System: 96}} {
		t.Run(fmt.Sprintf("%d of %d", n.System, n.Settings), func(t *testing.T) {
			p := &fakePartner{}
			p.Server = httptest.NewServer(p)
			defer p.Server.Close()
			defer p.CloseClientConnections()
			n.Discovery, n.Dir = p.Listener.Addr().String(), t.TempDir()
			program := startLimited(t, n)
			dial, pid := program.dial, program.Process.Pid
			idle := floodWithIdle(t, program)
			used := cpuTime(t, pid)
			asked, since := p.asked.Load(), time.Now()
			waitUntil(t, "discovery is asked while clients hold all", func() bool { return p.asked.Load() >= asked+2 })
			if used, took := cpuTime(t, pid)-used, time.Since(since); used > took/2 {
				t.Errorf("%v used of %v with nothing to do", used, took)
			}
			p.up.Store(true)
			conn := dial(t)
			answers := bufio.NewReader(conn)
			send := func(id, list string, size int) {
				t.Helper()
				text := outAdd("0", id, list, strings.Repeat("\x00", size))
				waitUntil(t, "it is taken on", func() bool { // there is capacity for some at a time
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
			waitUntil(t, "all is delivered, and the end told", func() bool { return p.inbox.Load() >= 60 && p.outcome.Load() >= 1 })
			waitUntil(t, "the journal is rewritten", func() bool {
				io.WriteString(conn, "*1\r\n$4\r\nINFO\r\n")
				line, _ := answers.ReadString('\n')
				size, _ := strconv.Atoi(strings.Trim(line, "$\r\n"))
				info := make([]byte, size+2)
				_, err := io.ReadFull(answers, info)
				return err == nil && strings.Contains(string(info), "journal_rewritings") && !strings.Contains(string(info), "journal_rewritings:0")
			})
			for _, c := range append(idle, conn) {
				c.Close()
			}
			last := dial(t)
			io.WriteString(last, pingText)
			mustRead(t, last, pongText)
			last.Close()
			program.end(t)
		})
	}
}

// An accept that finds no descriptor is repeated after a pause: the process neither ends nor spins, and the client that waits
// is served once there is one.
func TestAcceptWithoutDescriptors(t *testing.T) {
	program := startLimited(t, descriptorLimits{Discovery: "127.0.0.1:1", Dir: t.TempDir(), Settings: 128, System: 128})
	program.limit(t, 3)
	waits := program.dial(t)
	io.WriteString(waits, pingText)
	used, rest := cpuTime(t, program.Process.Pid), 2*time.Second
	time.Sleep(rest) // in which nothing can come: what it takes is measured
	if used := cpuTime(t, program.Process.Pid) - used; used > rest/2 {
		t.Errorf("%v used of %v", used, rest)
	}
	program.limit(t, 128)
	mustRead(t, waits, pongText)
	waits.Close()
	program.end(t)
}
