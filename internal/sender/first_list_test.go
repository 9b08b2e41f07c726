package sender

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"flaxcove/internal/directory"
)

// TestAttemptsWaitForFirstList guards against a restarted sender that, while discovery is silent, sends a message to the
// address of an endpoint that was replaced: no message is sent before the list, and then it goes to the new endpoint.
func TestAttemptsWaitForFirstList(t *testing.T) {
	receivedBy := make(chan string, 10)
	endpoint := func(name string) string {
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { receivedBy <- name }))
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	replaced, added := endpoint("the replaced endpoint"), endpoint("the new endpoint")
	returned := make(chan struct{})
	discovery := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		select {
		case <-returned:
			fmt.Fprintf(out, `{"version":2,"full":false,"servers":[{"id":"a","cell":1,"state":"removed"},
{"id":"n","addr":%q,"zone":"z","kind":"one","cell":1,"state":"up","weight":9}]}`, added)
			out.(http.Flusher).Flush()
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(discovery.Close)
	t.Cleanup(discovery.CloseClientConnections)
	cfg := testConfig(t.TempDir(), 100)
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", discovery.Listener.Addr().String()
	cfg.InitialList.Entries = []directory.Entry{readyEntry("a", replaced, 1)}
	s, conn, done := startServing(t, cfg)
	(&testClient{Conn: conn}).Write([]byte(addText("id")))
	mustRead(t, conn, "+OK\r\n")
	for range 3 { // turns in which the message could be sent
		turns := int64(0)
		onLoop(t, s, func() { turns = s.turns })
		waitOnLoop(t, s, "another turn", func() bool { return s.turns > turns })
	}
	select {
	case by := <-receivedBy:
		t.Errorf("%s received the message before the list", by)
	default:
	}
	close(returned)
	mustReceive(t, receivedBy, "discovery's endpoint", "the new endpoint")
	conn.Close()
	s.Drain()
	<-done
}

// TestSilenceBeforeTheStart checks that attempts don't wait if the process before saw discovery silent up to its end, with the
// list of the configuration, and wait in all other cases.
func TestSilenceBeforeTheStart(t *testing.T) {
	for _, row := range []struct {
		name     string
		silent   time.Duration // time for which discovery is silent before the kill
		answered bool          // and then it answers before the kill
		version  int64         // of the list of the first process, if discovery changed it
		down     time.Duration // time from the kill to the next start
		waits    bool
	}{
		{name: "silent at the kill", silent: 8 * time.Second, down: 600 * time.Millisecond},
		{name: "not silent before", down: 600 * time.Millisecond, waits: true},
		{name: "answered meanwhile", silent: 8 * time.Second, answered: true, down: 600 * time.Millisecond, waits: true},
		{name: "down for long", silent: 8 * time.Second, down: time.Minute, waits: true},
		{name: "another list", silent: 8 * time.Second, version: 2, down: 600 * time.Millisecond, waits: true},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := start(t.TempDir(), 100)
			if row.version > 0 {
				h.s.updateEndpoints(directory.List{Version: row.version}, false)
			}
			if row.silent > 0 {
				h.s.discoveryFellSilent()
				h.advance(row.silent)
			}
			if row.answered {
				h.s.discoveryAnswered(false)
			}
			next := startAt(testConfig(h.dir, 100), h.clock+row.down)
			timeout := make(chan time.Time)
			close(timeout)
			next.s.awaitFirstList(timeout)
			if next.s.listAwaited != row.waits {
				t.Errorf("attempts wait: %v, want %v", next.s.listAwaited, row.waits)
			}
		})
	}
}

// TestUnchangedListLetsAttemptsBegin guards against a sender that waits for ever for a list which discovery has no reason to
// send: its first answer is an empty line, by which nothing has changed.
func TestUnchangedListLetsAttemptsBegin(t *testing.T) {
	received := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/inbox" {
			received <- r.Header.Get("X-Request-Id")
			return
		}
		out.Write([]byte("\n"))
		out.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	cfg := testConfig(t.TempDir(), 100)
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", server.Listener.Addr().String()
	cfg.InitialList.Entries = []directory.Entry{readyEntry("a", cfg.Discovery, 1)}
	s, conn, done := startServing(t, cfg)
	conn.Write([]byte(addText("id")))
	mustReceive(t, received, "the endpoint", "id")
	conn.Close()
	s.Drain()
	<-done
}
