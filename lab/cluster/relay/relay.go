// Package relay forwards TCP and UDP traffic between two processes of the laboratory and injects faults into it.
//
// A Relay listens on a TCP and a UDP port on loopback and forwards to the ports of the target process. Each direction has its
// own fault, so that a cut can affect one direction only. A relay does not interpret the traffic, uses loopback addresses only,
// and leaves no goroutine behind once it is closed.
package relay

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"flaxcove/internal/loopback"
)

// Fault is the fault of one direction of a relay. The zero Fault forwards everything.
type Fault struct {
	// Drop discards datagrams and the bytes of streams. Streams stay open and silent, as when a machine is cut off. New
	// connections are accepted and stay silent, unless Refuse is set as well.
	Drop bool
	// Stall holds the bytes of streams back until it is cleared, and then forwards them in order. Datagrams are lost.
	Stall bool
	// Refuse resets new connections at once. Established connections are not affected.
	Refuse bool
	// Delay is added to the latency of all traffic.
	Delay time.Duration
}

// Direction is one of the two directions of a relay.
type Direction int

const (
	Forward Direction = iota // from the process that connects to the relay to the target
	Backward
)

const (
	chunkBytes        = 16 << 10
	dialTimeout       = time.Second
	flowIdleTimeout   = 30 * time.Second // after which a UDP flow without datagrams is closed
	maxFlows          = 64
	stallPollInterval = 5 * time.Millisecond // time between two checks of a stalled direction's fault
)

// Relay forwards traffic from one process to another, and the replies. Its methods may be called concurrently.
type Relay struct {
	target string
	tcp    net.Listener
	udp    *net.UDPConn

	mu     sync.Mutex // guards the fields below, except wg
	faults [2]Fault
	conns  map[net.Conn]struct{}
	flows  map[string]*flow
	closed bool
	wg     sync.WaitGroup
}

// Open listens at addr by TCP and UDP and forwards to target. It returns an error unless addr is on loopback.
func Open(addr, target string) (*Relay, error) {
	tcp, udp, err := loopback.ListenPair(addr)
	if err != nil {
		return nil, err
	}
	if at := tcp.Addr().(*net.TCPAddr); !at.IP.IsLoopback() {
		return nil, errors.Join(fmt.Errorf("relay address %s is not on loopback", addr), tcp.Close(), udp.Close())
	}
	r := &Relay{target: target, tcp: tcp, udp: udp, conns: map[net.Conn]struct{}{}, flows: map[string]*flow{}}
	r.wg.Add(2)
	go r.accept()
	go r.forwardDatagrams()
	return r, nil
}

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() string { return r.tcp.Addr().String() }

// Set replaces the fault of a direction.
func (r *Relay) Set(d Direction, f Fault) {
	r.mu.Lock()
	r.faults[d] = f
	r.mu.Unlock()
}

// Reset closes all TCP connections through the relay with a reset.
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

// Close closes the relay and all its connections and waits for its goroutines.
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

// fault returns the current fault of a direction, and whether the relay is closed.
func (r *Relay) fault(d Direction) (f Fault, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults[d], r.closed
}

// applyFault waits while a direction is stalled or delayed. It returns false if the data is to be discarded, since the
// direction drops it or the relay is closed.
func (r *Relay) applyFault(d Direction) bool {
	due := time.Time{}
	for {
		f, closed := r.fault(d)
		switch {
		case closed:
			return false
		case f.Stall:
			time.Sleep(stallPollInterval)
		case f.Drop:
			return false
		case f.Delay > 0 && due.IsZero():
			due = time.Now().Add(f.Delay)
		case !due.IsZero() && time.Now().Before(due):
			time.Sleep(min(stallPollInterval, time.Until(due)))
		default:
			return true
		}
	}
}
