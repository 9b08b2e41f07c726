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

// listenUDP opens a UDP socket on loopback, which is closed at the end of the test.
func listenUDP(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// rejectAll serves as endpoint, platform and discovery: it rejects every message with a Retry-After, accepts all endings,
// and says that the endpoint list is unchanged.
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
	answerUnchanged(out, r)
}

// gossipRun runs senders of a fleet. The test itself acts as one of the three peers.
type gossipRun struct {
	platform *httptest.Server // also discovery and the endpoint
	peers    [3]string        // addresses of the peers, by number
}

// startGossipRun starts the platform and reserves the addresses of the peers.
func startGossipRun(t *testing.T) *gossipRun {
	t.Helper()
	r := &gossipRun{platform: httptest.NewServer(http.HandlerFunc(rejectAll))}
	t.Cleanup(r.platform.CloseClientConnections)
	for i := range r.peers {
		conn := listenUDP(t)
		r.peers[i] = conn.LocalAddr().String()
		conn.Close()
	}
	return r
}

// start starts the sender with a number, with gossip on or off.
func (r *gossipRun) start(t *testing.T, number int, on bool) (*Sender, net.Conn, <-chan struct{}) {
	t.Helper()
	addr := r.platform.Listener.Addr().String()
	cfg := testConfig(t.TempDir(), 100)
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", addr
	cfg.PeerListen, cfg.Peers = r.peers[number], append(r.peers[:], "127.0.0.1:7", "127.0.0.1:7", "127.0.0.1:7")
	cfg.Settings.Senders, cfg.Settings.Number, cfg.Settings.Notes = 20, choice.PeerNo(number), on
	cfg.InitialList.Entries = []directory.Entry{readyEntry("full", addr, 1)}
	return startServing(t, cfg)
}

// sendBroken sends a packet of gossip to peer 1: from an unknown address, then broken from the address of peer, and last
// intact from there.
func (r *gossipRun) sendBroken(t *testing.T, peer net.PacketConn, packet []byte) {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp4", r.peers[1])
	if err != nil {
		t.Fatal(err)
	}
	stranger := listenUDP(t)
	for range 3 {
		stranger.WriteTo(packet, to)
	}
	peer.WriteTo(packet[:len(packet)-1], to)          // cut short
	peer.WriteTo(bytes.Repeat([]byte("n"), 4000), to) // too long
	peer.WriteTo(packet, to)                          // intact, and late
}

// hasCounters reports whether INFO has all lines of want.
func hasCounters(s *Sender, want ...string) bool {
	lines := s.Counters()
	for _, counter := range want {
		if !slices.Contains(lines, counter) {
			return false
		}
	}
	return true
}

// TestGossip checks that a Retry-After to one sender also pauses the other one, which sent nothing to the endpoint. Packets
// from unknown addresses, and packets that are broken or not gossip of package choice, change nothing. If gossip is off, no
// socket is bound.
func TestGossip(t *testing.T) {
	r := startGossipRun(t)
	first, client, done := r.start(t, 0, true)
	second, client2, done2 := r.start(t, 1, true)
	peer, err := net.ListenPacket("udp4", r.peers[2])
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	client.Write(outAdd("0", "id", "c=status,d=1500,dest=1", ""))
	waitOnLoop(t, second, "a Retry-After to one sender reaches the other", func() bool { return second.choice.LearnedState("full").Wait > 0 })
	packet := make([]byte, 300)
	peer.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, _, err := peer.ReadFrom(packet)
	if err != nil {
		t.Fatal(err)
	}
	r.sendBroken(t, peer, packet[:n])
	waitOnLoop(t, second, "all packets are counted", func() bool {
		return hasCounters(second, "notes_from_strangers:3", "notes_spoilt:1", "notes_too_long:1") && second.peers.Counts().Received >= 2
	})
	for _, invalid := range [][]byte{{}, {1}, {1, 2}, {1, 2, 3}, {1, 2, 3, 4}} {
		second.post(func() { second.choice.ReceiveNote(invalid) })
	}
	third, client3, done3 := r.start(t, 2, false)
	if third.peers != nil {
		t.Error("a socket is bound though gossip is off")
	}
	for _, conn := range []net.Conn{client, client2, client3} {
		conn.Close()
	}
	for s, ended := range map[*Sender]<-chan struct{}{first: done, second: done2, third: done3} {
		s.Drain()
		<-ended // the goroutines of the socket have ended too
	}
	if conn, err := net.ListenPacket("udp4", r.peers[0]); err != nil {
		t.Error("the socket is still bound: ", err)
	} else {
		conn.Close()
	}
}

// TestGossipUnavailable checks that a sender that cannot bind its gossip socket runs without gossip, with settings that say
// so to package choice.
func TestGossipUnavailable(t *testing.T) {
	cfg := testConfig(t.TempDir(), 100)
	cfg.Settings.Notes, cfg.Peers, cfg.PeerListen = true, []string{"127.0.0.1:1"}, fmt.Sprint(listenUDP(t).LocalAddr())
	without, p := openGossip(cfg, zap.NewNop())
	if p != nil || without.Settings.Notes || !cfg.Settings.Notes {
		t.Errorf("peers %v, gossip %v in the new configuration and %v in the old one, want none, false and true", p, without.Settings.Notes, cfg.Settings.Notes)
	}
}

// TestAwaitFirstList checks that before the loop runs, events are handled until a list of discovery has been applied, or
// until the timeout.
func TestAwaitFirstList(t *testing.T) {
	s := start(t.TempDir(), 100).s
	s.inbox <- func() {}
	s.inbox <- func() { s.updateEndpoints(directory.List{Version: 2}, false) }
	s.inbox <- func() { t.Error("an event after the first list was handled before the loop runs") }
	s.awaitFirstList(nil)
	if !s.listReceived {
		t.Error("awaitFirstList returned before the first list")
	}
	s = start(t.TempDir(), 100).s
	timeout := make(chan time.Time)
	close(timeout)
	if s.awaitFirstList(timeout); s.listReceived {
		t.Error("a list counts as received though none was sent")
	}
}
