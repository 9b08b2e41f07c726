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

// endpointsAfterLists applies lists to a new sender and returns a description of each of its endpoints.
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

// TestUnusualLists checks that a full list without a known endpoint removes it, that a list without a readable entry
// changes nothing, and how lists with repeated, partial or unknown entries are applied.
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
		"full and empty":            {[]string{`{"version":2,"full":true,"servers":[]}`}, nil},
		"full, without a":           {[]string{`{"version":2,"full":true,"servers":[` + fmt.Sprintf(entry, "q", "h:3", 2, "up") + `]}`}, map[choice.EndpointID]string{"q": "h:3 dest 2 kind 0 ready true gone false"}},
		"full, none readable":       {[]string{`{"version":2,"full":true,"servers":[{"id":"a","state":"odd"},{"name":"b"}]}`}, map[choice.EndpointID]string{"a": a, "b": b, "z": z}},
		"an update without entries": {[]string{`{"version":2}`, `{"version":3,"servers":null}`}, map[choice.EndpointID]string{"a": a, "b": b, "z": z}},
		"a version decreases":       {[]string{delta(9, fmt.Sprintf(entry, "a", "127.0.0.1:1", 1, "draining")), delta(1, fmt.Sprintf(entry, "a", "127.0.0.1:1", 1, "up"))}, map[choice.EndpointID]string{"a": a, "b": b, "z": z}},
		"an unknown one is removed": {[]string{delta(2, `{"id":"q","state":"removed"}`)}, map[choice.EndpointID]string{"a": a, "b": b, "z": z}},
		"an unknown one is up":      {[]string{delta(2, fmt.Sprintf(entry, "q", "h:3", 2, "up"))}, map[choice.EndpointID]string{"a": a, "b": b, "z": z, "q": "h:3 dest 2 kind 0 ready true gone false"}},
		"drains, id alone":          {[]string{delta(2, `{"id":"b","state":"draining"}`)}, map[choice.EndpointID]string{"a": a, "z": z, "b": "127.0.0.1:2 dest 2 kind 1 ready false gone false"}},
		"removed, id alone":         {[]string{delta(2, `{"id":"b","state":"removed"}`)}, map[choice.EndpointID]string{"a": a, "z": z}},
		"moved":                     {[]string{delta(2, fmt.Sprintf(entry, "a", "h:3", 2, "up"))}, map[choice.EndpointID]string{"a": "h:3 dest 2 kind 0 ready true gone false", "b": b, "z": z}},
		"twice, moved":              {[]string{delta(2, fmt.Sprintf(entry, "a", "h:3", 1, "up")+","+fmt.Sprintf(entry, "a", "h:4", 2, "up"))}, map[choice.EndpointID]string{"a": "h:4 dest 2 kind 0 ready true gone false", "b": b, "z": z}},
		"twice, drains, id alone":   {[]string{delta(2, fmt.Sprintf(entry, "q", "h:3", 2, "up")+`,{"id":"q","state":"draining"}`)}, map[choice.EndpointID]string{"a": a, "b": b, "z": z, "q": "h:3 dest 2 kind 0 ready false gone false"}},
		"twice, removed and up":     {[]string{delta(2, `{"id":"a","state":"removed"},`+fmt.Sprintf(entry, "a", "127.0.0.1:1", 1, "up"))}, map[choice.EndpointID]string{"a": a, "b": b, "z": z}},
	} {
		t.Run(name, func(t *testing.T) {
			h, got := endpointsAfterLists(t, c.lists...)
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("%v\nwant %v", got, c.want)
			}
			if _, known := h.s.destinationSeen[0]; known {
				t.Error("destination 0 is known, though no list names it")
			}
		})
	}
}

// blockingEndpoint starts an endpoint that sends the id of each message to received, and answers once release is closed.
func blockingEndpoint(t *testing.T) (addr string, received chan string, release chan struct{}) {
	received, release = make(chan string, 10), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/inbox" {
			return // a probe
		}
		io.Copy(io.Discard, r.Body)
		received <- r.Header.Get("X-Request-Id")
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), received, release
}

// startMovable starts a sender with one endpoint, e, at addr for destination 1. submit submits a message for destination 1,
// and update applies a list update with one entry.
func startMovable(t *testing.T, addr string) (s *Sender, submit func(id string), update func(entry directory.Entry)) {
	discovery := httptest.NewServer(http.HandlerFunc(rejectAll))
	t.Cleanup(discovery.CloseClientConnections)
	cfg := testConfig(t.TempDir(), 100)
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", discovery.Listener.Addr().String()
	cfg.InitialList.Entries = []directory.Entry{readyEntry("e", addr, 1)}
	s, conn, done := startServing(t, cfg)
	t.Cleanup(func() {
		conn.Close()
		s.Drain()
		<-done
	})
	return s, func(id string) {
			conn.Write(outAdd("0", id, "c=order,d=20000,dest=1", "x"))
		}, func(entry directory.Entry) {
			applied := make(chan struct{})
			s.post(func() {
				s.updateEndpoints(directory.List{Version: 2, Entries: []directory.Entry{entry}}, false)
				close(applied)
			})
			<-applied
		}
}

// mustReceive checks that the next message that an endpoint receives is want.
func mustReceive(t *testing.T, received <-chan string, endpoint, want string) {
	t.Helper()
	select {
	case got := <-received:
		if got != want {
			t.Fatalf("%s received %s, want %s", endpoint, got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("%s did not receive %s within 20 s", endpoint, want)
	}
}

// TestMovedDuringCall checks that the old connection to an endpoint that moves while a call is in flight carries no other
// call, though the call is answered on it.
func TestMovedDuringCall(t *testing.T) {
	first, atFirst, releaseFirst := blockingEndpoint(t)
	second, atSecond, releaseSecond := blockingEndpoint(t)
	close(releaseSecond)
	s, submit, update := startMovable(t, first)
	submit("one")
	mustReceive(t, atFirst, "the first address", "one")
	update(readyEntry("e", second, 1))
	close(releaseFirst)
	for done, end := false, time.Now().Add(20*time.Second); !done; {
		if time.Now().After(end) {
			t.Fatal("the call to the first address has not ended after 20 s")
		}
		pending := make(chan int)
		s.post(func() { pending <- len(s.pending) })
		done = <-pending == 0
	}
	submit("two")
	select {
	case id := <-atFirst:
		t.Errorf("message %s was sent to the old address", id)
	case id := <-atSecond:
		if id != "two" {
			t.Errorf("message %s was sent to the second address, want two", id)
		}
	case <-time.After(20 * time.Second):
		t.Error("message two was not sent within 20 s")
	}
}

// TestMovedDuringDial checks that a call is not sent on a connection whose endpoint moved, or changed to another
// destination, during the dial. If the endpoint still serves the destination, the call is sent to its new address.
func TestMovedDuringDial(t *testing.T) {
	for _, cell := range []float64{1, 2} {
		t.Run(fmt.Sprint("cell ", cell), func(t *testing.T) {
			first, atFirst, releaseFirst := blockingEndpoint(t)
			second, atSecond, releaseSecond := blockingEndpoint(t)
			close(releaseFirst)
			close(releaseSecond)
			s, submit, update := startMovable(t, first)
			connected, release := make(chan net.Addr, 10), make(chan struct{})
			s.post(func() {
				dial := s.dial
				s.dial = func(c *call) {
					s.dial = dial // for all later calls
					addr := c.endpoint.addr
					go func() {
						conn, err := netpoll.DialConnection("tcp", addr, 10*time.Second)
						if err != nil {
							t.Error(err)
							return
						}
						connected <- conn.RemoteAddr()
						<-release
						s.post(func() { s.onDialed(c, conn, err) })
					}()
				}
			})
			submit("one")
			<-connected
			update(directory.Entry{ID: "e", Addr: second, Zone: "z", Kind: "one", Destination: cell, State: "up", Weight: 100})
			close(release)
			if cell == 1 {
				mustReceive(t, atSecond, "the second address", "one")
			} else {
				// Endpoint e no longer serves destination 1. Endpoint f does so at the second address.
				update(readyEntry("f", second, 1))
				mustReceive(t, atSecond, "the second address", "one")
			}
			select {
			case id := <-atFirst:
				t.Errorf("cell %v: message %s was sent to the old address", cell, id)
			default:
			}
		})
	}
}

// TestDestinationChangedBeforeSending checks that no call is queued between turns, when list updates are applied, and that
// a queued call is not sent to an endpoint that has changed to another destination since.
func TestDestinationChangedBeforeSending(t *testing.T) {
	h := start("", 100)
	defer os.RemoveAll(h.dir)
	c := newClient()
	h.handle(c, "OUT.ADD k one c=order,d=20000,dest=1 x")
	if len(h.s.starting) != 0 {
		t.Errorf("%d calls queued before the turn, want none", len(h.s.starting))
	}
	h.s.turn()
	if len(h.calls) != 1 {
		t.Fatalf("%d calls, want 1", len(h.calls))
	}
	first := h.calls[0]
	h.calls, h.s.starting = nil, []*call{first}
	h.updateList(`{"version":2,"servers":[{"id":"a","addr":"127.0.0.1:3","zone":"z","kind":"one","cell":2,"state":"up","weight":100}]}`)
	h.s.startCalls()
	if len(h.calls) != 0 {
		t.Errorf("a call for destination 1 was sent to an endpoint of destination %d at %s", h.calls[0].endpoint.destination, h.calls[0].endpoint.addr)
	}
}
