package peers

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flaxcove/internal/fielderror"
)

// TestMain fails if a goroutine is still running after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// socket returns a UDP socket that plays the role of a peer.
func socket(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(mustAddr(t, "127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// started opens and starts Peers on a free port with the given options, and returns it with the notes that it receives.
func started(t *testing.T, o Options) (*Peers, chan []byte) {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	p, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	notes := make(chan []byte, 100)
	p.Start(func(note []byte) { notes <- note })
	t.Cleanup(func() { p.Close() })
	return p, notes
}

// send sends one datagram.
func send(t *testing.T, from *net.UDPConn, to string, text []byte) {
	t.Helper()
	if _, err := from.WriteToUDPAddrPort(text, mustAddr(t, to)); err != nil {
		t.Fatal(err)
	}
}

// TestReceived checks that notes of a peer are received, duplicates included. Datagrams from an unknown address or the
// sender itself, and damaged or too long ones, are dropped and counted.
func TestReceived(t *testing.T) {
	peer, own, stranger := socket(t), socket(t), socket(t)
	p, notes := started(t, Options{Peers: []string{own.LocalAddr().String(), peer.LocalAddr().String()}, Own: 0})
	good := frame([]byte("abc"))
	for range 2 {
		send(t, peer, p.Addr(), good)
	}
	send(t, stranger, p.Addr(), good)
	send(t, own, p.Addr(), good)
	damaged := 0
	for i := range good {
		bad := append([]byte(nil), good...)
		bad[i] ^= 4
		send(t, peer, p.Addr(), bad)
		send(t, peer, p.Addr(), good[:i])
		damaged += 2
	}
	send(t, peer, p.Addr(), frame(nil))
	send(t, peer, p.Addr(), append(good, 0))
	for _, size := range []int{MaxDatagramSize + 1, 9000} {
		send(t, peer, p.Addr(), frame(make([]byte, size-1-checksumSize)))
	}
	longest := make([]byte, MaxDatagramSize-1-checksumSize)
	send(t, peer, p.Addr(), frame(longest))
	for _, want := range []string{"abc", "abc", string(longest)} {
		if got := string(<-notes); got != want {
			t.Errorf("received %q, want %q", got, want)
		}
	}
	want := Counts{Received: 3, UnknownSource: 1, FromSelf: 1, Malformed: int64(damaged) + 2, TooLong: 2}
	if got := p.Counts(); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// TestSend checks that a note is sent from the listening socket, either once to the address that reaches all senders or
// to each sender except itself, and that a peer that is gone does not affect the others.
func TestSend(t *testing.T) {
	a, b, all, gone := socket(t), socket(t), socket(t), socket(t)
	gone.Close()
	list := []string{gone.LocalAddr().String(), a.LocalAddr().String(), "127.0.0.1:9", b.LocalAddr().String()}
	hears := func(conn *net.UDPConn, from string) {
		t.Helper()
		buf := make([]byte, 300)
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, src, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil || src.String() != from || string(unframe(buf[:n])) != "xyz" {
			t.Errorf("%q from %v, %v", buf[:n], src, err)
		}
	}
	each, _ := started(t, Options{Peers: list, Own: 2})
	for range 3 {
		each.Send([]byte("xyz"))
		hears(a, each.Addr())
		hears(b, each.Addr())
	}
	once, _ := started(t, Options{Peers: list, Own: 2, All: all.LocalAddr().String()})
	once.Send([]byte("xyz"))
	hears(all, once.Addr())
	a.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, _, err := a.ReadFromUDPAddrPort(make([]byte, 300)); err == nil {
		t.Errorf("%d bytes sent to a single sender in addition to the address of all", n)
	}
	once.Send(make([]byte, MaxDatagramSize))
	if got := once.Counts(); got.Sent != 1 || got.Unsent != 1 {
		t.Errorf("%+v", got)
	}
}

// TestSendNeverWaits checks that Send drops and counts notes, instead of blocking, if the queue is full because nothing
// is sent.
func TestSendNeverWaits(t *testing.T) {
	p, err := Open(Options{Listen: "127.0.0.1:0", Peers: []string{"127.0.0.1:9"}, Own: 1})
	if err != nil {
		t.Fatal(err)
	}
	for range queueLength + 7 {
		p.Send([]byte("abc"))
	}
	if got := p.Counts(); got.Unsent != 7 {
		t.Errorf("%+v", got)
	}
	if err := p.Close(); err != nil {
		t.Error(err)
	}
}

// TestOpenNamesTheField checks that the error of Open for invalid options names the field, and that a port in use is an
// error.
func TestOpenNamesTheField(t *testing.T) {
	for _, o := range []Options{{}, {Listen: "127.0.0.1:0"}, {Listen: "host:1", Peers: []string{"127.0.0.1:1"}},
		{Listen: "127.0.0.1:0", Peers: []string{"127.0.0.1:1", "[::1]:1"}},
		{Listen: "127.0.0.1:0", Peers: []string{"127.0.0.1:1"}, All: "all"}} {
		_, err := Open(o)
		var field *fielderror.Error
		if !errors.As(err, &field) || !strings.HasPrefix(err.Error(), "field peer") {
			t.Errorf("%+v: %v", o, err)
		}
	}
	taken := socket(t)
	if _, err := Open(Options{Listen: fmt.Sprint(taken.LocalAddr()), Peers: []string{"127.0.0.1:1"}}); err == nil {
		t.Error("Open returned no error for an address in use")
	}
}

// mustAddr parses an IP address with a port.
func mustAddr(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		t.Fatal(err)
	}
	return a
}
