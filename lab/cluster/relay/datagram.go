package relay

import (
	"errors"
	"net"
	"time"
)

// This file forwards datagrams. Each sender is served from a port of its own, so that answers find their way back.

const maxDatagram = 64 << 10

// flow is one sender of datagrams, with the port that it is served from.
type flow struct {
	out   *net.UDPConn
	heard time.Time
}

func (r *Relay) datagrams() {
	defer r.wg.Done()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		f := r.flow(from)
		if f == nil {
			continue
		}
		r.send(append([]byte(nil), buf[:n]...), Forward, func(b []byte) { f.out.Write(b) })
	}
}

// send forwards a datagram, now or after a delay. Stalled ones are lost, as no network keeps datagrams.
func (r *Relay) send(b []byte, d Direction, write func([]byte)) {
	f, closed := r.fault(d)
	if closed || f.Drop || f.Stall {
		return
	}
	if f.Delay == 0 {
		write(b)
		return
	}
	time.AfterFunc(f.Delay, func() { write(b) })
}

// flow is the flow of a sender, a new one if it has none. It is nil if the relay is closed, has too many flows or cannot
// open one.
func (r *Relay) flow(from *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if f := r.flows[from.String()]; f != nil {
		f.heard = now
		return f
	}
	r.closeIdleFlows(now)
	if r.closed || len(r.flows) >= maxFlows {
		return nil
	}
	to, err := net.ResolveUDPAddr("udp", r.target)
	if err != nil {
		return nil
	}
	out, err := net.DialUDP("udp", nil, to)
	if err != nil {
		return nil
	}
	f := &flow{out, now}
	r.flows[from.String()] = f
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.answers(out, from)
	}()
	return f
}

// closeIdleFlows closes the flows of senders that were not heard for flowIdleTimeout. The caller holds mu.
func (r *Relay) closeIdleFlows(now time.Time) {
	for key, f := range r.flows {
		if now.Sub(f.heard) > flowIdleTimeout {
			f.out.Close()
			delete(r.flows, key)
		}
	}
}

// answers carries what comes back on a flow until it is closed.
func (r *Relay) answers(out *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := out.Read(buf)
		if err != nil {
			if err, is := err.(net.Error); is && !err.Timeout() && !isClosed(err) {
				continue // the system reports that nobody listened for an earlier datagram
			}
			return
		}
		r.send(append([]byte(nil), buf[:n]...), Backward, func(b []byte) { r.udp.WriteToUDP(b, to) })
	}
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
