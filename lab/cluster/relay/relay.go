// Package relay forwards bytes between two processes of the laboratory and can be made to fail.
//
// A Relay is how one process reaches another: a TCP and a UDP port on loopback, forwarded to the other's real ones. Each
// direction can fail by itself, so that a cut can be one way. A relay does not interpret what it carries, connects to
// loopback only, and leaves no goroutine behind once it is closed.
package relay

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"flaxcove/internal/loopback"
)

// Fault is what a relay does to one direction. The zero Fault forwards everything.
type Fault struct {
	// Drop loses datagrams, and bytes of streams, which stay open and silent as when a machine is cut off. New connections
	// come up and stay silent, or are refused with Refuse.
	Drop bool
	// Stall holds the bytes of streams back until it is over, and then forwards them in order. Datagrams are lost.
	Stall bool
	// Refuse resets new connections at once; established ones go on.
	Refuse bool
	// Delay is added to the latency of everything.
	Delay time.Duration
}

// Direction is one of the two directions of a relay.
type Direction int

const (
	Forward Direction = iota // from the process that uses the relay to the other
	Backward
)

const (
	chunkBytes      = 16 << 10
	dialTimeout     = time.Second
	flowIdleTimeout = 30 * time.Second // after which a UDP sender is forgotten
	maxFlows        = 64
	pollEvery       = 5 * time.Millisecond // how often a stalled direction checks whether the fault is over
)

// Relay forwards from one process to another, and what comes back. Its methods may be called from any goroutine.
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

// Open listens at addr, TCP and UDP, and forwards to target.
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

// Addr is the address at which the relay listens.
func (r *Relay) Addr() string { return r.tcp.Addr().String() }

// Set replaces the fault of a direction.
func (r *Relay) Set(d Direction, f Fault) {
	r.mu.Lock()
	r.faults[d] = f
	r.mu.Unlock()
}

// Reset closes all connections through the relay with a TCP reset.
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

// Close closes the relay and waits for its goroutines.
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

// waitForFault waits while a direction is stalled or delayed. It is false if what is to be forwarded is lost.
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
