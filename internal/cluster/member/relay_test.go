package member

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"flaxcove/internal/loopback"
)

// relay forwards packets and streams to its target. Without a target it drops packets and closes streams.
type relay struct {
	addr   string // on which it listens
	mu     sync.Mutex
	addrTo string // the target; "" for none
}

func (r *relay) forwardTo(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addrTo = to
}

func (r *relay) target() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addrTo
}

func newRelay(t *testing.T) *relay {
	t.Helper()
	streams, packets, err := loopback.ListenPair("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{addr: streams.Addr().String()}
	var work sync.WaitGroup
	t.Cleanup(func() {
		_, _ = streams.Close(), packets.Close()
		work.Wait()
	})
	work.Go(func() {
		buf := make([]byte, 1<<16)
		for {
			n, _, err := packets.ReadFrom(buf)
			if err != nil {
				return
			}
			if to, err := net.ResolveUDPAddr("udp", r.target()); err == nil && r.target() != "" {
				_, _ = packets.WriteTo(buf[:n], to)
			}
		}
	})
	work.Go(func() {
		for {
			near, err := streams.Accept()
			if err != nil {
				return
			}
			far, err := net.DialTimeout("tcp", r.target(), time.Second)
			if err != nil {
				_ = near.Close()
				continue
			}
			for _, c := range []net.Conn{near, far} {
				_ = c.SetDeadline(time.Now().Add(2 * time.Second))
			}
			pass := func(to, from net.Conn) {
				_, _ = io.Copy(to, from)
				_, _ = to.Close(), from.Close()
			}
			work.Go(func() { pass(near, far) })
			work.Go(func() { pass(far, near) })
		}
	})
	return r
}
