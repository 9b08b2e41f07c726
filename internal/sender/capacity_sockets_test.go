package sender

// This file holds the benchmarks of docs/CAPACITY.md on real sockets. The sender runs in a process of its own, so that its
// processor time is measured without that of its clients and endpoints.

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
	"testing"
	"time"

	"flaxcove/internal/config"
	"flaxcove/internal/resp"
	"flaxcove/lab/capacity/bench"
)

const (
	capacityEnv = "FLAXCOVE_TEST_CAPACITY" // environment variable with a capacityChild as JSON
	// capacityHosts is the number of loopback addresses over which endpoints are spread: a single address has too few ports
	// for the connections that end within a minute.
	capacityHosts       = 16
	capacityMessages    = 20_000           // messages of one iteration
	capacityMaxInFlight = 500              // messages that may be in flight at once
	capacityDuration    = 30 * time.Second // after which no more messages are sent
	capacitySockets     = 16_384
	// defaultSockets is the default of limits.sockets in a configuration file.
	defaultSockets = 1024
)

// capacityChild is the configuration of the sender's process.
type capacityChild struct {
	Discovery, Dir string   // address of discovery and the platform; state folder
	Endpoints      []string // addresses
	Destinations   int
	Sockets        int
}

// TestCapacityProcess is not a test: it runs the sender in the process that capacityStart starts, until the end of its
// standard input.
func TestCapacityProcess(t *testing.T) {
	text := os.Getenv(capacityEnv)
	if text == "" {
		return
	}
	var child capacityChild
	if err := json.Unmarshal([]byte(text), &child); err != nil {
		t.Fatal(err)
	}
	settings := strings.Replace(fmt.Sprintf(twoClassSettings, 100_000), `"callsOut":8`, `"callsOut":256`, 1)
	cfg := testConfigWith(child.Dir, settings, `{"version":1,"full":true}`)
	cfg.InitialList = capacityList(child.Destinations)
	for i := range cfg.InitialList.Entries {
		cfg.InitialList.Entries[i].Addr = child.Endpoints[i%len(child.Endpoints)]
	}
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", child.Discovery
	cfg.Limits = config.Limits{MemoryMB: 1 << 20, Sockets: child.Sockets, DiskMB: 1 << 20}
	s, done := startRunning(t, cfg)
	fmt.Println("serves at", s.Addr())
	io.Copy(io.Discard, os.Stdin)
	s.Drain()
	<-done
}

// capacityServer serves as discovery, which never sends a list, as all endpoints, and as the platform. It counts the
// messages delivered, those rejected with an error to the client, and the endings reported.
type capacityServer struct{ delivered, rejected, ended atomic.Int64 }

// finished returns how many messages were delivered, rejected or ended otherwise.
func (w *capacityServer) finished() int64 {
	return w.delivered.Load() + w.rejected.Load() + w.ended.Load()
}

// countRejections counts the errors among the replies to a client, until the end of its connection.
func (w *capacityServer) countRejections(from io.Reader) {
	for lines := bufio.NewScanner(from); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "-") {
			w.rejected.Add(1)
		}
	}
}

// ServeHTTP answers messages and endings, and says that the endpoint list is unchanged.
func (w *capacityServer) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch r.URL.Path {
	case "/api/targets":
		answerUnchanged(out, r)
	case "/inbox":
		w.delivered.Add(1)
	case "/v1/outcomes":
		w.ended.Add(int64(strings.Count(string(body), "\n")))
		out.WriteHeader(http.StatusNoContent)
	}
}

// capacityServers serves w on capacityHosts loopback addresses, and returns them.
func capacityServers(b *testing.B, w http.Handler) (addrs []string) {
	for i := range capacityHosts {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", i+1))
		if err != nil {
			b.Fatal(err)
		}
		s := &httptest.Server{Listener: l, Config: &http.Server{Handler: w}}
		s.Start()
		b.Cleanup(func() {
			s.CloseClientConnections()
			s.Close()
		})
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}

// capacityStart starts the sender's process and waits until it serves.
func capacityStart(b *testing.B, child capacityChild) (addr string, pid int) {
	text, err := json.Marshal(child)
	if err != nil {
		b.Fatal(err)
	}
	p := exec.Command(os.Args[0], "-test.run=^TestCapacityProcess$")
	p.Env = append(os.Environ(), capacityEnv+"="+string(text))
	input, err := p.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := p.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := p.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		input.Close()
		p.Process.Kill()
		p.Wait()
	})
	for lines := bufio.NewScanner(output); lines.Scan(); {
		if addr, found := strings.CutPrefix(lines.Text(), "serves at "); found {
			return addr, p.Process.Pid
		}
	}
	b.Fatal("the sender's process ended before it served")
	return "", 0
}

// capacityUsed returns the processor time of a process, and its peak resident memory in bytes.
func capacityUsed(b *testing.B, pid int) (cpu time.Duration, bytes float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	text, err = os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			bytes = 1024 * kb
		}
	}
	return time.Duration(user+system) * 10 * time.Millisecond, bytes
}

// BenchmarkCapacitySockets delivers messages spread evenly over n destinations, as fast as the sender accepts them with 500
// in flight. With many destinations hardly any message finds a connection to reuse.
func BenchmarkCapacitySockets(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000}, func(b *testing.B, n int) { deliver(b, n, capacitySockets) })
}

// BenchmarkCapacityNarrow is like BenchmarkCapacitySockets, but with the default number of sockets: links are closed to
// open others. A slow run ends after half a minute.
func BenchmarkCapacityNarrow(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000}, func(b *testing.B, n int) { deliver(b, n, defaultSockets) })
}

// deliver runs a sender with the given numbers of destinations and sockets, and submits messages to it.
func deliver(b *testing.B, destinations, sockets int) {
	w := &capacityServer{}
	addrs := capacityServers(b, w)
	addr, pid := capacityStart(b, capacityChild{Discovery: addrs[0], Dir: b.TempDir(), Endpoints: addrs, Destinations: destinations, Sockets: sockets})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	go w.countRejections(conn)
	body := []byte(strings.Repeat("x", capacityBodySize))
	began, sent := time.Now(), int64(0)
	before, _ := capacityUsed(b, pid)
	timeIsUp := func() bool { return time.Since(began) > capacityDuration }
	for b.Loop() {
		for end := sent + capacityMessages; sent < end && !timeIsUp(); sent++ {
			for sent-w.finished() >= capacityMaxInFlight && !timeIsUp() {
				time.Sleep(time.Millisecond)
			}
			command := resp.AppendCommand(nil, []byte("OUT.ADD"), []byte("0"), fmt.Appendf(nil, "message-%012d", sent),
				fmt.Appendf(nil, "c=status,d=60000,dest=%d", sent%int64(destinations)), body)
			if _, err := conn.Write(command); err != nil {
				b.Fatal(err)
			}
		}
	}
	after, peak := capacityUsed(b, pid)
	b.ReportMetric(float64(after-before)/float64(w.delivered.Load()), "ns/message")
	b.ReportMetric(float64(w.delivered.Load())/time.Since(began).Seconds(), "messages/s")
	b.ReportMetric(float64(w.rejected.Load())/float64(sent), "refused/sent")
	b.ReportMetric(float64(w.ended.Load())/float64(sent), "ended/sent")
	b.ReportMetric(peak, "rss-B")
}
