// Package relay carries bytes between two processes of the laboratory and can be told to fail.
//
// One Relay is one way on which one process reaches another: a TCP and a UDP port of ours on loopback, led to the
// other's real ones. What goes there and what comes back can fail apart from each other, so that a cut can be one way.
// It owns its ports and the connections through it. It must never look into what it carries, connect anywhere but to
// loopback, or leave a goroutine behind once it is closed.
package relay

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"flaxcove/internal/loopback"
)

// Fault is what a relay does to one direction. The zero Fault carries all.
type Fault struct {
	// Drop loses datagrams, and bytes of streams without an end of them: they stay open and silent, as when a machine
	// is cut off. New connections come up and stay silent, or with Refuse never do.
	Drop bool
	// Stall holds everything back until it is over, and then hands it on in order.
	Stall bool
	// Refuse ends new connections at once; those that stand go on.
	Refuse bool
	// Delay is how much later everything comes.
	Delay time.Duration
}

// Direction is one of the two.
type Direction int

const (
	Forward Direction = iota // from whom the relay serves to the other
	Backward
)

const (
	chunkBytes      = 16 << 10
	dialTimeout     = time.Second
	flowIdleTimeout = 30 * time.Second // a UDP sender not heard for so long is forgotten
	maxFlows        = 64
	pollEvery       = 5 * time.Millisecond // how often a stalled direction looks whether it is over
)

// Relay is one way. Its methods may be called from any goroutine.
type Relay struct {
	target string
	tcp    net.Listener
	udp    *net.UDPConn

	mu     sync.Mutex
	faults [2]Fault
	conns  map[net.Conn]struct{}
	flows  map[string]*flow
	closed bool
	wg     sync.WaitGroup
}

// Open listens at addr, TCP and UDP, and carries to target.
func Open(addr, target string) (*Relay, error) {
	tcp, udp, err := loopback.ListenPair(addr)
	if err != nil {
		return nil, err
	}
	if at := tcp.Addr().(*net.TCPAddr); !at.IP.IsLoopback() {
		return nil, errors.Join(fmt.Errorf("%s is not on loopback", addr), tcp.Close(), udp.Close())
	}
	r := &Relay{target: target, tcp: tcp, udp: udp, conns: map[net.Conn]struct{}{}, flows: map[string]*flow{}}
	r.wg.Add(2)
	go r.accept()
	go r.datagrams()
	return r, nil
}

// Addr is where the one whom the relay serves finds the other.
func (r *Relay) Addr() string { return r.tcp.Addr().String() }

// Set puts a fault in the place of the one that stands in a direction.
func (r *Relay) Set(d Direction, f Fault) {
	r.mu.Lock()
	r.faults[d] = f
	r.mu.Unlock()
}

// Reset ends all connections through the relay at once, as a reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, is := c.(*net.TCPConn); is {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// Close ends the relay and waits for its goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.tcp.Close()
	r.udp.Close()
	r.Reset()
	r.mu.Lock()
	for _, f := range r.flows {
		f.out.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) fault(d Direction) (f Fault, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults[d], r.closed
}

// waitForFault keeps a goroutine back while its direction is stalled, or late; false says to lose what it has.
func (r *Relay) waitForFault(d Direction) bool {
	late := time.Time{}
	for {
		f, closed := r.fault(d)
		switch {
		case closed:
			return false
		case f.Stall:
			time.Sleep(pollEvery)
		case f.Drop:
			return false
		case f.Delay > 0 && late.IsZero():
			late = time.Now().Add(f.Delay)
		case !late.IsZero() && time.Now().Before(late):
			time.Sleep(min(pollEvery, time.Until(late)))
		default:
			return true
		}
	}
}
