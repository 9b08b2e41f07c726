package sender

// The benchmark of docs/CAPACITY.md on real sockets: a sender in a process of its own, so that its processor time can be
// told from that of the clients and endpoints around it.

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
	capacityEnv = "FLAXCOVE_TEST_CAPACITY"
	// capacityHosts are loopback addresses that endpoints are spread over: one alone has too few ports for as many
	// connections as end in a minute.
	capacityHosts    = 16
	capacityMessages = 20_000
	capacityAhead    = 500              // messages that may be under way at once
	capacityWithin   = 30 * time.Second // of sending, whatever has been delivered by then
	capacitySockets  = 16_384
	// usualSockets is what a configuration file that says nothing gives.
	usualSockets = 1024
)

// capacityChild configures the sender's process.
type capacityChild struct {
	Discovery, Dir string
	Endpoints      []string // addresses
	Destinations   int
	Sockets        int
}

// TestCapacityProcess is no test: it is the sender in a process of its own, until its standard input ends.
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
	cfg.Known = capacityList(child.Destinations)
	for i := range cfg.Known.Entries {
		cfg.Known.Entries[i].Addr = child.Endpoints[i%len(child.Endpoints)]
	}
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", child.Discovery
	cfg.Limits = config.Limits{MemoryMB: 1 << 20, Sockets: child.Sockets, DiskMB: 1 << 20}
	s, done := startRunning(t, cfg)
	fmt.Println("serves at", s.Addr())
	io.Copy(io.Discard, os.Stdin)
	s.Drain()
	<-done
}

// capacityServer is discovery that lists nothing, all endpoints, and the platform.
type capacityServer struct{ delivered, rejected, ended atomic.Int64 }

// finished is how many messages have ended.
func (w *capacityServer) finished() int64 {
	return w.delivered.Load() + w.rejected.Load() + w.ended.Load()
}

// countRejections counts the errors that a client reads.
func (w *capacityServer) countRejections(from io.Reader) {
	for lines := bufio.NewScanner(from); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "-") {
			w.rejected.Add(1)
		}
	}
}

func (w *capacityServer) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch r.URL.Path {
	case "/api/targets":
		<-r.Context().Done()
	case "/inbox":
		w.delivered.Add(1)
	case "/v1/outcomes":
		w.ended.Add(int64(strings.Count(string(body), "\n")))
		out.WriteHeader(http.StatusNoContent)
	}
}

// capacityServers listens on loopback addresses.
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
		if rest, does := strings.CutPrefix(lines.Text(), "serves at "); does {
			return rest, p.Process.Pid
		}
	}
	b.Fatal("the sender does not serve")
	return "", 0
}

// capacityUsed is a process's processor time, and the most memory that it ever had.
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
		if rest, is := strings.CutPrefix(line, "VmHWM:"); is {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			bytes = 1024 * kb
		}
	}
	return time.Duration(user+system) * 10 * time.Millisecond, bytes
}

// BenchmarkCapacitySockets delivers messages spread evenly over so many destinations, as fast as the sender takes them
// with 500 under way. With many destinations hardly any message finds a connection to reuse.
func BenchmarkCapacitySockets(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000}, func(b *testing.B, n int) { deliver(b, n, capacitySockets) })
}

// BenchmarkCapacityNarrow is the same with the sockets that a configuration gives that says nothing: links are closed
// to open the next. A slow one is ended after half a minute.
func BenchmarkCapacityNarrow(b *testing.B) {
	bench.Sizes(b, "destinations", []int{610, 6_100, 61_000}, func(b *testing.B, n int) { deliver(b, n, usualSockets) })
}

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
	body := []byte(strings.Repeat("x", capacityBody))
	began, sent := time.Now(), int64(0)
	before, _ := capacityUsed(b, pid)
	late := func() bool { return time.Since(began) > capacityWithin }
	for b.Loop() {
		for end := sent + capacityMessages; sent < end && !late(); sent++ {
			for sent-w.finished() >= capacityAhead && !late() {
				time.Sleep(time.Millisecond)
			}
			command := resp.AppendCommand(nil, []byte("OUT.ADD"), []byte("0"), fmt.Appendf(nil, "message-%012d", sent),
				fmt.Appendf(nil, "c=status,d=60000,dest=%d", sent%int64(destinations)), body)
			if _, err := conn.Write(command); err != nil {
				b.Fatal(err)
			}
		}
	}
	after, most := capacityUsed(b, pid)
	b.ReportMetric(float64(after-before)/float64(w.delivered.Load()), "ns/message")
	b.ReportMetric(float64(w.delivered.Load())/time.Since(began).Seconds(), "messages/s")
	b.ReportMetric(float64(w.rejected.Load())/float64(sent), "refused/sent")
	b.ReportMetric(float64(w.ended.Load())/float64(sent), "ended/sent")
	b.ReportMetric(most, "rss-B")
}
