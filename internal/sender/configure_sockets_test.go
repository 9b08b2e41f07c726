package sender

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxcove/internal/directory"
	"flaxcove/internal/resp"
	"flaxcove/internal/sender/together"
)

// Over sockets, with clients that hand in without a pause while settings change many times: each message that was taken
// on is delivered once, or handed back once where room became scarce, and a new class is served from its version on.
func TestConfigureUnderTraffic(t *testing.T) {
	w := &fakeServer{received: map[string][]string{}}
	server := httptest.NewServer(w)
	defer server.Close()
	addr := server.Listener.Addr().String()
	list := directory.List{Version: 1, Full: true}
	for i := range 4 {
		list.Servers = append(list.Servers, directory.Entry{ID: fmt.Sprint("e", i), Addr: addr, Zone: "z", Kind: "one", Cell: float64(i), State: "up", Weight: 1000})
	}
	cfg := loadedConfig(t, t.TempDir(), settingsWith(t, `"connIdle":10000000000`, `"connIdle":9000000000`), list)
	cfg.Discovery = addr
	s, first, done := startServing(t, cfg)
	first.Close()
	order := func(c together.Configuration) error {
		answer := make(chan error, 1)
		s.Orders().Configure(c, func(err error) { answer <- err })
		select {
		case err := <-answer:
			return err
		case <-time.After(20 * time.Second):
			return errors.New("no answer")
		}
	}
	const body = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	var taken sync.Map
	hand := func(conn net.Conn, in *bufio.Reader, id, class string, dest int) string {
		conn.Write(resp.AppendCommand(nil, []byte("OUT.ADD"), []byte("0"), []byte(id), fmt.Appendf(nil, "c=%s,d=15000,dest=%d", class, dest), []byte(body)))
		line, err := in.ReadString('\n')
		if err != nil {
			t.Error(err)
		}
		return strings.TrimSpace(line)
	}
	connect := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(60 * time.Second))
		return conn, bufio.NewReader(conn)
	}
	var clients sync.WaitGroup
	over := make(chan struct{})
	for client := range 4 {
		conn, in := connect()
		clients.Go(func() {
			defer conn.Close()
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				default:
				}
				id := fmt.Sprint("m", client, "-", i)
				if answer := hand(conn, in, id, []string{"status", "order"}[i%2], i%4); answer == "+OK" {
					taken.Store(id, true)
				} else if !strings.HasPrefix(answer, "-BUSY") {
					t.Errorf("%s: %s", id, answer)
				}
			}
		})
	}
	conn, in := connect()
	defer conn.Close()
	if answer := hand(conn, in, "early", "offer", 1); !strings.HasPrefix(answer, "-ERR") {
		t.Errorf("a class that is not there yet: %s", answer)
	}
	forms := [][]string{
		{`"maxOpen":100`, `"maxOpen":20`},
		{`"worth":3}`, `"worth":30}`, `"aim":800000000`, `"aim":400000000`},
		{`"callsOut":8`, `"callsOut":1`, `"deadline":6000000000`, `"deadline":1000000000`},
		{`"connIdle":10000000000`, `"connIdle":1000000`, `"quantum":5000000`, `"quantum":1000000`},
		{`"maxAttempts":9`, `"maxAttempts":1`, `"probing":true`, `"probing":false`},
		{},
	}
	for version := range 4 * len(forms) {
		form := append([]string{classEnd, withNew}, forms[version%len(forms)]...)
		if version%len(forms) == 1 { // the text of the class's end is changed already
			form = append([]string{classEnd, `"worth":30},` + offer + `],`}, forms[1][2:]...)
		}
		if err := order(together.Configuration{Version: uint64(version + 1), Settings: settingsWith(t, form...)}); err != nil {
			t.Fatalf("version %d: %v", version+1, err)
		}
		id := fmt.Sprint("new", version)
		if answer := hand(conn, in, id, "offer", version%4); answer == "+OK" {
			taken.Store(id, true)
		} else if !strings.HasPrefix(answer, "-BUSY") {
			t.Errorf("%s: %s", id, answer)
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(over)
	clients.Wait()
	waitUntil(t, "all has ended", func() (none bool) {
		onLoop(t, s, func() { none = len(s.pending) == 0 })
		return none
	})
	delivered, ofNew := 0, 0
	taken.Range(func(id, _ any) bool {
		if strings.HasPrefix(id.(string), "new") {
			ofNew++
		}
		switch met := w.receivedFor(id.(string)); met {
		case body:
			delivered++
		case "handed_back": // where room became scarce
		default:
			t.Errorf("%v met %q", id, met)
		}
		return true
	})
	if delivered < 100 || ofNew == 0 {
		t.Errorf("%d delivered, %d of the new class", delivered, ofNew)
	}
	if s.cfg.Version != uint64(4*len(forms)) {
		t.Errorf("version %d", s.cfg.Version)
	}
	s.Drain()
	waitEnded(t, done)
}

// Links that idle as the time for that becomes shorter end by the new one, counted from when they became idle.
func TestConfigureEndsIdleLinksSooner(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) }))
	defer endpoint.Close()
	list := directory.List{Version: 1, Full: true, Servers: []directory.Entry{{ID: "e", Addr: endpoint.Listener.Addr().String(), Zone: "z",
		Kind: "one", Cell: 1, State: "up", Weight: 1000}}}
	s, conn, done := startServing(t, loadedConfig(t, t.TempDir(), settingsWith(t, `"connIdle":10000000000`, `"connIdle":600000000000`), list))
	defer conn.Close()
	conn.Write(resp.AppendCommand(nil, []byte("OUT.ADD"), []byte("0"), []byte("id"), []byte("c=status,d=6000,dest=1"), nil))
	idle := func(want int) func() bool {
		return func() (is bool) {
			onLoop(t, s, func() { is = s.openLinks == want && len(s.endpoints["e"].idle) == want && len(s.pending) == 0 })
			return is
		}
	}
	waitUntil(t, "a link idles", idle(1))
	answer := make(chan error, 1)
	s.Orders().Configure(together.Configuration{Version: 1, Settings: settingsWith(t, `"connIdle":10000000000`, `"connIdle":20000000`)},
		func(err error) { answer <- err })
	if err := <-answer; err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the link has ended", idle(0))
	s.Drain()
	waitEnded(t, done)
}
