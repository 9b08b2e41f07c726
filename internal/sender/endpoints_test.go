package sender

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/choice"
	"flaxcove/internal/directory"
)

// endpointsAfterLists applies lists and describes the endpoints that the sender then has.
func endpointsAfterLists(t *testing.T, lists ...string) (*harness, map[choice.EndpointID]string) {
	h := start("", 100)
	t.Cleanup(func() { os.RemoveAll(h.dir) })
	for _, text := range lists {
		h.updateList(text)
	}
	all := map[choice.EndpointID]string{}
	for id, e := range h.s.endpoints {
		all[id] = fmt.Sprintf("%s dest %d kind %d ready %v gone %v", e.addr, e.destination, e.kind, e.ready, e.gone)
	}
	return h, all
}

// Unusual lists: one that lacks an endpoint is applied, and one that cannot be read changes nothing.
func TestUnusualLists(t *testing.T) {
	const (
		a     = "127.0.0.1:1 dest 1 kind 0 ready true gone false"
		b     = "127.0.0.1:2 dest 2 kind 1 ready true gone false"
		z     = "127.0.0.1:9 dest 9 kind 0 ready false gone false"
		entry = `{"id":"%s","addr":"%s","zone":"z","kind":"one","cell":%d,"state":"%s","weight":100}`
	)
	delta := func(version int, entries string) string {
		return fmt.Sprintf(`{"version":%d,"full":false,"servers":[%s]}`, version, entries)
	}
	for name, c := range map[string]struct {
		lists []string
		want  map[choice.EndpointID]string
	}{
		"whole and empty":       {[]string{`{"version":2,"full":true,"servers":[]}`}, nil},
		"whole, without a":      {[]string{`{"version":2,"full":true,"servers":[` + fmt.Sprintf(entry, "q", "h:3", 2, "up") + `]}`}, map[choice.EndpointID]string{"q": "h:3 dest 2 kind 0 ready true gone false"}},
		"whole, none read":      {[]string{`{"version":2,"full":true,"servers":[{"id":"a","state":"odd"},{"name":"b"}]}`}, map[choice.EndpointID]string{"a": a, "b": b, "z": z}},
		"a change without any":  {[]string{`{"version":2}`, `{"version":3,"servers":null}`}, map[choice.EndpointID]string{"a": a, "b": b, "z": z}},
		"a version goes back":   {[]string{delta(9, fmt.Sprintf(entry, "a", "127.0.0.1:1", 1, "draining")), delta(1, fmt.Sprintf(entry, "a", "127.0.0.1:1", 1, "up"))}, map[choice.EndpointID]string{"a": a, "b": b, "z": z}},
		"a stranger is removed": {[]string{delta(2, `{"id":"q","state":"removed"}`)}, map[choice.EndpointID]string{"a": a, "b": b, "z": z}},
		"a stranger is up":      {[]string{delta(2, fmt.Sprintf(entry, "q", "h:3", 2, "up"))}, map[choice.EndpointID]string{"a": a, "b": b, "z": z, "q": "h:3 dest 2 kind 0 ready true gone false"}},
		"drains, by its id":     {[]string{delta(2, `{"id":"b","state":"draining"}`)}, map[choice.EndpointID]string{"a": a, "z": z, "b": "127.0.0.1:2 dest 2 kind 1 ready false gone false"}},
		"removed, by its id":    {[]string{delta(2, `{"id":"b","state":"removed"}`)}, map[choice.EndpointID]string{"a": a, "z": z}},
		"elsewhere":             {[]string{delta(2, fmt.Sprintf(entry, "a", "h:3", 2, "up"))}, map[choice.EndpointID]string{"a": "h:3 dest 2 kind 0 ready true gone false", "b": b, "z": z}},
		"twice, elsewhere":      {[]string{delta(2, fmt.Sprintf(entry, "a", "h:3", 1, "up")+","+fmt.Sprintf(entry, "a", "h:4", 2, "up"))}, map[choice.EndpointID]string{"a": "h:4 dest 2 kind 0 ready true gone false", "b": b, "z": z}},
		"twice, drains by id":   {[]string{delta(2, fmt.Sprintf(entry, "q", "h:3", 2, "up")+`,{"id":"q","state":"draining"}`)}, map[choice.EndpointID]string{"a": a, "b": b, "z": z, "q": "h:3 dest 2 kind 0 ready false gone false"}},
		"twice, removed and up": {[]string{delta(2, `{"id":"a","state":"removed"},`+fmt.Sprintf(entry, "a", "127.0.0.1:1", 1, "up"))}, map[choice.EndpointID]string{"a": a, "b": b, "z": z}},
	} {
		t.Run(name, func(t *testing.T) {
			h, got := endpointsAfterLists(t, c.lists...)
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("%v\nwant %v", got, c.want)
			}
			if _, taken := h.s.destinationSeen[0]; taken {
				t.Error("a destination that no list names is known")
			}
		})
	}
}

// blockingEndpoint is an endpoint that reports each message and answers once let is closed.
func blockingEndpoint(t *testing.T) (addr string, came chan string, let chan struct{}) {
	came, let = make(chan string, 10), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/inbox" {
			return // a probe
		}
		io.Copy(io.Discard, r.Body)
		came <- r.Header.Get("X-Request-Id")
		select {
		case <-let:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), came, let
}

// startMovable starts a sender with one endpoint, e, for destination 1. tell applies a change of the list.
func startMovable(t *testing.T, addr string) (s *Sender, hand func(id string), tell func(entry directory.Entry)) {
	discovery := httptest.NewServer(http.HandlerFunc(rejectAll))
	t.Cleanup(discovery.CloseClientConnections)
	cfg := testConfig(t.TempDir(), 100)
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", discovery.Listener.Addr().String()
	cfg.Known.Entries = []directory.Entry{readyEntry("e", addr, 1)}
	s, conn, done := startServing(t, cfg)
	t.Cleanup(func() {
		conn.Close()
		s.Drain()
		<-done
	})
	return s, func(id string) {
			conn.Write(outAdd("0", id, "c=order,d=20000,dest=1", "x"))
		}, func(entry directory.Entry) {
			heard := make(chan struct{})
			s.post(func() {
				s.updateEndpoints(directory.List{Version: 2, Entries: []directory.Entry{entry}}, false)
				close(heard)
			})
			<-heard
		}
}

func mustReceive(t *testing.T, came <-chan string, where, want string) {
	t.Helper()
	select {
	case got := <-came:
		if got != want {
			t.Fatalf("%s got %s, want %s", where, got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("%s never got %s", where, want)
	}
}

// An endpoint that moves while a call to it is out: its old connection carries no other call, though it ends well.
func TestMovedUnderCall(t *testing.T) {
	first, atFirst, letFirst := blockingEndpoint(t)
	second, atSecond, letSecond := blockingEndpoint(t)
	close(letSecond)
	s, hand, tell := startMovable(t, first)
	hand("one")
	mustReceive(t, atFirst, "the first place", "one")
	tell(readyEntry("e", second, 1))
	close(letFirst)
	for over, end := false, time.Now().Add(20*time.Second); !over; {
		if time.Now().After(end) {
			t.Fatal("the call to the first place never ends")
		}
		owed := make(chan int)
		s.post(func() { owed <- len(s.pending) })
		over = <-owed == 0
	}
	hand("two")
	select {
	case id := <-atFirst:
		t.Errorf("%s went to the place that was left", id)
	case id := <-atSecond:
		if id != "two" {
			t.Errorf("%s went to the second place", id)
		}
	case <-time.After(20 * time.Second):
		t.Error("nothing came")
	}
}

// An endpoint that moves, or turns to another destination, while a connection to it comes up: the call does not leave
// on it. Where the endpoint still serves its destination it goes to the new place.
func TestMovedUnderDial(t *testing.T) {
	for _, cell := range []float64{1, 2} {
		t.Run(fmt.Sprint("cell ", cell), func(t *testing.T) {
			first, atFirst, letFirst := blockingEndpoint(t)
			second, atSecond, letSecond := blockingEndpoint(t)
			close(letFirst)
			close(letSecond)
			s, hand, tell := startMovable(t, first)
			up, dialed := make(chan net.Addr, 10), make(chan struct{})
			s.post(func() {
				dial := s.dial
				s.dial = func(c *call) {
					s.dial = dial // the later ones
					addr := c.endpoint.addr
					go func() {
						conn, err := netpoll.DialConnection("tcp", addr, 10*time.Second)
						if err != nil {
							t.Error(err)
							return
						}
						up <- conn.RemoteAddr()
						<-dialed
						s.post(func() { s.onDialed(c, conn, err) })
					}()
				}
			})
			hand("one")
			<-up
			tell(directory.Entry{ID: "e", Addr: second, Zone: "z", Kind: "one", Destination: cell, State: "up", Weight: 100})
			close(dialed)
			if cell == 1 {
				mustReceive(t, atSecond, "the second place", "one")
			} else {
				// Nobody serves its destination any more; the next to come to the second place is for the new one.
				tell(readyEntry("f", second, 1))
				mustReceive(t, atSecond, "the second place", "one")
			}
			select {
			case id := <-atFirst:
				t.Errorf("cell %v: %s went to the place that was left", cell, id)
			default:
			}
		})
	}
}

// Nothing is laid up between turns, where lists come; and a call that were does not leave for an endpoint that has since
// turned to another destination.
func TestDrainedBeforeSending(t *testing.T) {
	h := start("", 100)
	defer os.RemoveAll(h.dir)
	c := newClient()
	h.handle(c, "OUT.ADD k one c=order,d=20000,dest=1 x")
	if len(h.s.starting) != 0 {
		t.Errorf("%d calls laid up before the turn", len(h.s.starting))
	}
	h.s.turn()
	if len(h.calls) != 1 {
		t.Fatalf("%d calls, want the one", len(h.calls))
	}
	first := h.calls[0]
	h.calls, h.s.starting = nil, []*call{first}
	h.updateList(`{"version":2,"servers":[{"id":"a","addr":"127.0.0.1:3","zone":"z","kind":"one","cell":2,"state":"up","weight":100}]}`)
	h.s.startCalls()
	if len(h.calls) != 0 {
		t.Errorf("a call for destination 1 leaves for %d at %s", h.calls[0].endpoint.destination, h.calls[0].endpoint.addr)
	}
}
