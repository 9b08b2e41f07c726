package sender

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
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

// gossipRun is two senders of a fleet whose third peer is the test.
type gossipRun struct {
	platform *httptest.Server
	peers    [3]string // addresses, by number
}

func startGossipRun(t *testing.T) *gossipRun {
	t.Helper()
	r := &gossipRun{platform: httptest.NewServer(http.HandlerFunc(rejectAll))}
	t.Cleanup(r.platform.CloseClientConnections)
	for i := range r.peers {
		conn := udp(t)
		r.peers[i] = conn.LocalAddr().String()
		conn.Close()
	}
	return r
}

// start starts the sender of a number.
func (r *gossipRun) start(t *testing.T, number int, on bool) (*Sender, net.Conn, <-chan struct{}) {
	t.Helper()
	addr := r.platform.Listener.Addr().String()
	cfg := testConfig(t.TempDir(), 100)
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", addr
	cfg.PeerListen, cfg.Peers = r.peers[number], append(r.peers[:], "127.0.0.1:7", "127.0.0.1:7", "127.0.0.1:7")
	cfg.Settings.Senders, cfg.Settings.Number, cfg.Settings.Notes = 20, choice.PeerNo(number), on
	cfg.Known.Entries = []directory.Entry{readyEntry("full", addr, 1)}
	return startServing(t, cfg)
}

// sendBroken sends a packet of gossip as a stranger would, and broken ones, and then as it is.
func (r *gossipRun) sendBroken(t *testing.T, peer net.PacketConn, packet []byte) {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp4", r.peers[1])
	if err != nil {
		t.Fatal(err)
	}
	stranger := udp(t)
	for range 3 {
		stranger.WriteTo(packet, to)
	}
	peer.WriteTo(packet[:len(packet)-1], to)          // cut short
	peer.WriteTo(bytes.Repeat([]byte("n"), 4000), to) // too long
	peer.WriteTo(packet, to)                          // once more, and late
}

// hasCounters reports whether INFO has all of these lines.
func hasCounters(s *Sender, want ...string) bool {
	lines := s.Counters()
	for _, counter := range want {
		if !slices.Contains(lines, counter) {
			return false
		}
	}
	return true
}

// A Retry-After that one sender gets holds back the other one too, though it sent nothing there. Packets of strangers, and
// those that are broken or no gossip of package choice, change nothing. Where gossip is off no socket is bound.
func TestGossip(t *testing.T) {
	r := startGossipRun(t)
	sending, client, ended := r.start(t, 0, true)
	hearing, client2, ended2 := r.start(t, 1, true)
	peer, err := net.ListenPacket("udp4", r.peers[2])
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	client.Write(outAdd("0", "id", "c=status,d=1500,dest=1", ""))
	waitOnLoop(t, hearing, "a Retry-After to one sender reaches the other", func() bool { return hearing.choice.LearnedState("full").Wait > 0 })
	packet := make([]byte, 300)
	peer.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, _, err := peer.ReadFrom(packet)
	if err != nil {
		t.Fatal(err)
	}
	r.sendBroken(t, peer, packet[:n])
	waitOnLoop(t, hearing, "all packets are counted", func() bool {
		return hasCounters(hearing, "notes_from_strangers:3", "notes_spoilt:1", "notes_too_long:1") && hearing.peers.Counts().Heard >= 2
	})
	for _, invalid := range [][]byte{{}, {1}, {1, 2}, {1, 2, 3}, {1, 2, 3, 4}} {
		hearing.post(func() { hearing.choice.Heard(invalid) })
	}
	off, client3, ended3 := r.start(t, 2, false)
	if off.peers != nil {
		t.Error("a socket is bound though gossip is off")
	}
	for _, conn := range []net.Conn{client, client2, client3} {
		conn.Close()
	}
	for s, done := range map[*Sender]<-chan struct{}{sending: ended, hearing: ended2, off: ended3} {
		s.Drain()
		<-done // the socket's goroutines have ended with it
	}
	if conn, err := net.ListenPacket("udp4", r.peers[0]); err != nil {
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
