package loopback

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// ownIP is a loopback address that only these tests use. On 127.0.0.1 tests of other packages, which run at the same
// time, use TCP ports too: the port that occupied chose was once in use there for TCP, and the first attempt failed.
var ownIP = net.IPv4(127, 73, 0, 1)

// occupied returns a port of ownIP that is in use for UDP but free for TCP.
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

// drawPorts returns a function that listens with TCP on a port that is in use for UDP the first taken times, and then on
// an ephemeral port. attempts counts its calls.
func drawPorts(t *testing.T, taken int) (listenTCP func() (*net.TCPListener, error), attempts *int) {
	t.Helper()
	at := occupied(t)
	attempts = new(int)
	return func() (*net.TCPListener, error) {
		*attempts++
		if *attempts <= taken {
			return net.ListenTCP("tcp", at)
		}
		return net.ListenTCP("tcp", &net.TCPAddr{IP: at.IP})
	}, attempts
}

// TestDrawsAgainWhereUDPIsTaken checks that ListenPair tries another ephemeral port if the first is in use for UDP.
// Without the retry, tests failed occasionally with "listen udp: address already in use".
func TestDrawsAgainWhereUDPIsTaken(t *testing.T) {
	listenTCP, attempts := drawPorts(t, 2)
	streams, packets, err := listenPair(true, listenTCP)
	if err != nil {
		t.Fatalf("after %d attempts: %v", *attempts, err)
	}
	defer streams.Close()
	defer packets.Close()
	if *attempts != 3 {
		t.Errorf("%d attempts, want 3", *attempts)
	}
	if tcp, udp := streams.Addr().(*net.TCPAddr).Port, packets.LocalAddr().(*net.UDPAddr).Port; tcp != udp {
		t.Errorf("TCP on port %d and UDP on port %d", tcp, udp)
	}
}

// TestGivesUpAfterMaxDraws checks that ListenPair returns the error of UDP after maxBindAttempts ports.
func TestGivesUpAfterMaxDraws(t *testing.T) {
	listenTCP, attempts := drawPorts(t, maxBindAttempts)
	if _, _, err := listenPair(true, listenTCP); !errors.Is(err, syscall.EADDRINUSE) || *attempts != maxBindAttempts {
		t.Errorf("%v after %d attempts, want %v after %d", err, *attempts, syscall.EADDRINUSE, maxBindAttempts)
	}
}

// TestNamedPortIsNotDrawnAgain checks that a given port is not replaced by another one, and that after the error it is
// free for TCP again.
func TestNamedPortIsNotDrawnAgain(t *testing.T) {
	at := occupied(t)
	if _, _, err := ListenPair(at.String()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Fatalf("%v, want %v", err, syscall.EADDRINUSE)
	}
	streams, err := net.ListenTCP("tcp", at)
	if err != nil {
		t.Fatalf("the port is still in use for TCP: %v", err)
	}
	streams.Close()
}

// TestUnknownAddress checks that an address whose port is not valid is an error.
func TestUnknownAddress(t *testing.T) {
	if _, _, err := ListenPair("127.0.0.1:none"); err == nil {
		t.Error("no error")
	}
}
