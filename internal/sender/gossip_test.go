package sender

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/directory"
)

// udp is a socket of the test's own.
func udp(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// rejectAll rejects every message with a Retry-After, and its list never changes.
func rejectAll(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/inbox" {
		io.Copy(io.Discard, r.Body)
		out.Header().Set("Retry-After", "2")
		out.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if r.URL.Path == "/v1/outcomes" {
		out.WriteHeader(http.StatusNoContent)
		return
	}
	<-r.Context().Done()
}

// A Retry-After that one sender gets holds back the other one too, though it sent nothing there. Packets of strangers, and
// those that are broken or no gossip of package choice, change nothing. Where gossip is off no socket is bound.
func TestGossip(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(rejectAll))
	defer server.CloseClientConnections()
	var at [3]string
	for i := range at {
		conn := udp(t)
		at[i] = conn.LocalAddr().String()
		conn.Close()
	}
	begin := func(number int, on bool) (*Sender, net.Conn, <-chan struct{}) {
		cfg := testConfig(t.TempDir(), 100)
		cfg.Listen, cfg.Discovery = "127.0.0.1:0", server.Listener.Addr().String()
		cfg.PeerListen, cfg.Peers = at[number], append(at[:], "127.0.0.1:7", "127.0.0.1:7", "127.0.0.1:7")
		cfg.Settings.Senders, cfg.Settings.Number, cfg.Settings.Notes = 20, choice.PeerNo(number), on
		cfg.Known.Servers = []directory.Entry{readyEntry("full", server.Listener.Addr().String(), 1)}
		return startServing(t, cfg)
	}
	teller, client, ended := begin(0, true)
	hearer, client2, ended2 := begin(1, true)
	// The third peer is the test's: what it sends is heard as a peer's.
	peer, err := net.ListenPacket("udp4", at[2])
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	look := func(s *Sender, until func() bool) bool {
		answer := make(chan bool)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			s.post(func() { answer <- until() })
			if <-answer {
				return true
			}
		}
		return false
	}
	client.Write(outAdd("0", "id", "c=status,d=1500,dest=1", ""))
	if !look(hearer, func() bool { return hearer.module.Learnt("full").Wait > 0 }) {
		t.Error("a wait told to one sender does not reach the other")
	}
	note := make([]byte, 300)
	peer.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, _, err := peer.ReadFrom(note)
	if err != nil {
		t.Fatal(err)
	}
	to, _ := net.ResolveUDPAddr("udp4", at[1])
	stranger := udp(t)
	for range 3 {
		stranger.WriteTo(note[:n], to)
	}
	peer.WriteTo(note[:n-1], to)                      // cut short
	peer.WriteTo(bytes.Repeat([]byte("n"), 4000), to) // too long
	peer.WriteTo(note[:n], to)                        // once more, and late
	want := []string{"notes_from_strangers:3", "notes_spoilt:1", "notes_too_long:1"}
	if !look(hearer, func() bool {
		text := strings.Join(hearer.Counters(), " ")
		for _, counter := range want {
			if !strings.Contains(text, counter+" ") && !strings.HasSuffix(text, counter) {
				return false
			}
		}
		return hearer.peers.Counts().Heard >= 2
	}) {
		t.Errorf("%v", hearer.Counters())
	}
	for _, odd := range [][]byte{{}, {1}, {1, 2}, {1, 2, 3}, {1, 2, 3, 4}} {
		hearer.post(func() { hearer.module.Heard(odd) })
	}
	off, client3, ended3 := begin(2, false)
	if off.peers != nil {
		t.Error("a socket is bound though notes are off")
	}
	for _, conn := range []net.Conn{client, client2, client3} {
		conn.Close()
	}
	for s, done := range map[*Sender]<-chan struct{}{teller: ended, hearer: ended2, off: ended3} {
		s.Drain()
		<-done // the socket's goroutines have ended with it
	}
	if conn, err := net.ListenPacket("udp4", at[0]); err != nil {
		t.Error("the socket is still bound: ", err)
	} else {
		conn.Close()
	}
}

// A socket that cannot be bound keeps no sender from serving: it runs without gossip, and package choice knows.
func TestGossipUnavailable(t *testing.T) {
	cfg := testConfig(t.TempDir(), 100)
	cfg.Settings.Notes, cfg.Peers, cfg.PeerListen = true, []string{"127.0.0.1:1"}, fmt.Sprint(udp(t).LocalAddr())
	without, p := openGossip(cfg, zap.NewNop())
	if p != nil || without.Settings.Notes || !cfg.Settings.Notes {
		t.Errorf("%v, notes %v", p, without.Settings.Notes)
	}
}

// Before the loop runs, what comes in is done until discovery has spoken, or for as long as it may take.
func TestAwaitFirstList(t *testing.T) {
	s := start(t.TempDir(), 100).s
	s.inbox <- func() {}
	s.inbox <- func() { s.updateEndpoints(directory.List{Version: 2}, false) }
	s.inbox <- func() { t.Error("done before its turn") }
	s.awaitFirstList(nil)
	if !s.listReceived {
		t.Error("no list")
	}
	s = start(t.TempDir(), 100).s
	late := make(chan time.Time)
	close(late)
	if s.awaitFirstList(late); s.listReceived {
		t.Error("a list from nowhere")
	}
}
