package loopback

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// ownIP is a loopback address that nothing but these tests binds. On 127.0.0.1 other tests that run beside these take ports
// for TCP, too: a port that UDP had was once in use there, and the first draw failed.
var ownIP = net.IPv4(127, 73, 0, 1)

// occupied is a port of ownIP that UDP has and TCP does not.
func occupied(t *testing.T) *net.TCPAddr {
	t.Helper()
	packets, err := net.ListenUDP("udp", &net.UDPAddr{IP: ownIP})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { packets.Close() })
	at := packets.LocalAddr().(*net.UDPAddr)
	return &net.TCPAddr{IP: at.IP, Port: at.Port}
}

// drawPorts hands out a port that UDP has at first, so many times, and then whatever the system draws.
func drawPorts(t *testing.T, taken int) (draw func() (*net.TCPListener, error), drawn *int) {
	t.Helper()
	at := occupied(t)
	drawn = new(int)
	return func() (*net.TCPListener, error) {
		*drawn++
		if *drawn <= taken {
			return net.ListenTCP("tcp", at)
		}
		return net.ListenTCP("tcp", &net.TCPAddr{IP: at.IP})
	}, drawn
}

// A port that is free for TCP may be taken for UDP: CI once failed on "listen udp: address already in use".
func TestDrawsAgainWhereUDPIsTaken(t *testing.T) {
	draw, drawn := drawPorts(t, 2)
	streams, packets, err := listenPair(true, draw)
	if err != nil {
		t.Fatalf("after %d draws: %v", *drawn, err)
	}
	defer streams.Close()
	defer packets.Close()
	if *drawn != 3 {
		t.Errorf("%d draws, want 3", *drawn)
	}
	if tcp, udp := streams.Addr().(*net.TCPAddr).Port, packets.LocalAddr().(*net.UDPAddr).Port; tcp != udp {
		t.Errorf("TCP at port %d and UDP at %d", tcp, udp)
	}
}

func TestGivesUpAfterMaxDraws(t *testing.T) {
	draw, drawn := drawPorts(t, maxBindAttempts)
	if _, _, err := listenPair(true, draw); !errors.Is(err, syscall.EADDRINUSE) || *drawn != maxBindAttempts {
		t.Errorf("%v after %d draws, want %v after %d", err, *drawn, syscall.EADDRINUSE, maxBindAttempts)
	}
}

// A port that was named must not be changed for another, and its TCP half must not stay taken.
func TestNamedPortIsNotDrawnAgain(t *testing.T) {
	at := occupied(t)
	if _, _, err := ListenPair(at.String()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Fatalf("%v, want %v", err, syscall.EADDRINUSE)
	}
	streams, err := net.ListenTCP("tcp", at)
	if err != nil {
		t.Fatalf("the TCP half is still taken: %v", err)
	}
	streams.Close()
}

func TestUnknownAddress(t *testing.T) {
	if _, _, err := ListenPair("127.0.0.1:none"); err == nil {
		t.Error("no error")
	}
}
