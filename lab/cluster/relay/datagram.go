package relay

import (
	"errors"
	"net"
	"time"
)

// This file forwards datagrams. Each sender gets its own port towards the target, so that replies can be assigned to it.

// maxDatagram is the size of the receive buffers in bytes.
const maxDatagram = 64 << 10

// flow is the forwarding state of one sender of datagrams: the port towards the target and the time of its last datagram.
type flow struct {
	out          *net.UDPConn
	lastReceived time.Time
}

// forwardDatagrams forwards datagrams to the target until the port is closed.
func (r *Relay) forwardDatagrams() {
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

// send forwards a datagram, at once or after the fault's delay. A stalled direction loses datagrams, since no network stores
// them.
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

// flow returns the flow of a sender and opens one if there is none. It returns nil if the relay is closed, has maxFlows flows,
// or cannot open a port.
func (r *Relay) flow(from *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if f := r.flows[from.String()]; f != nil {
		f.lastReceived = now
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
		r.forwardReplies(out, from)
	}()
	return f
}

// closeIdleFlows closes the flows that received no datagram for flowIdleTimeout. The caller holds mu.
func (r *Relay) closeIdleFlows(now time.Time) {
	for key, f := range r.flows {
		if now.Sub(f.lastReceived) > flowIdleTimeout {
			f.out.Close()
			delete(r.flows, key)
		}
	}
}

// forwardReplies forwards the replies of a flow to its sender until the flow is closed.
func (r *Relay) forwardReplies(out *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := out.Read(buf)
		if err != nil {
			if err, is := err.(net.Error); is && !err.Timeout() && !isClosed(err) {
				continue // an ICMP error: nothing listened at the target when an earlier datagram arrived
			}
			return
		}
		r.send(append([]byte(nil), buf[:n]...), Backward, func(b []byte) { r.udp.WriteToUDP(b, to) })
	}
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
