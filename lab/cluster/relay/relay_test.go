package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flaxcove/internal/loopback"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo starts a server that sends back every byte and every datagram, and returns its address.
func echo(t *testing.T) string {
	ln, udp, err := loopback.ListenPair("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close(); udp.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	go func() {
		buf := make([]byte, 2048)
		for {
			n, from, err := udp.ReadFromUDP(buf)
			if err != nil {
				return
			}
			udp.WriteToUDP(buf[:n], from)
		}
	}()
	return ln.Addr().String()
}

// open opens a relay to an echo server.
func open(t *testing.T) *Relay {
	r, err := Open("127.0.0.1:0", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// exchange writes a line and returns an error unless the same line comes back within a time.
func exchange(c net.Conn, line string, within time.Duration) error {
	c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return err
	}
	got, err := bufio.NewReader(c).ReadString('\n')
	if err == nil && got != line+"\n" {
		return errors.New("received " + got)
	}
	return err
}

// dial connects to a relay.
func dial(t *testing.T, network string, r *Relay) net.Conn {
	c, err := net.Dial(network, r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// TestFaults applies every fault to both directions of a relay, and checks the effect with an echo server.
func TestFaults(t *testing.T) {
	const long, short = 5 * time.Second, 60 * time.Millisecond
	for _, d := range []Direction{Forward, Backward} {
		r := open(t)
		for _, network := range []string{"tcp", "udp"} {
			c := dial(t, network, r)
			if err := exchange(c, "before", long); err != nil {
				t.Fatalf("%s, no fault: %v", network, err)
			}
			r.Set(d, Fault{Drop: true})
			if err := exchange(c, "lost", short); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s, direction %d with Drop: %v, want a timeout", network, d, err)
			}
			r.Set(d, Fault{})
		}
		c := dial(t, "tcp", r)
		r.Set(d, Fault{Stall: true})
		time.AfterFunc(short, func() { r.Set(d, Fault{}) })
		began := time.Now()
		if err := exchange(c, "held back", long); err != nil || time.Since(began) < short {
			t.Errorf("direction %d with Stall: %v after %v", d, err, time.Since(began))
		}
		r.Set(d, Fault{Delay: short})
		began = time.Now()
		if err := exchange(c, "late", long); err != nil || time.Since(began) < short {
			t.Errorf("direction %d with Delay: %v after %v", d, err, time.Since(began))
		}
		r.Reset()
		if err := exchange(c, "reset", long); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("exchange after Reset: %v, want a reset", err)
		}
	}
	r := open(t)
	r.Set(Forward, Fault{Refuse: true})
	c, err := net.Dial("tcp", r.Addr())
	if err == nil { // the reset may arrive during Dial
		t.Cleanup(func() { c.Close() })
		err = exchange(c, "refused", long)
	}
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("new connection with Refuse: %v, want a reset", err)
	}
}
