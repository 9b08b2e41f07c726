package relay

import (
	"io"
	"net"
)

// This file carries streams.

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		in, err := r.tcp.Accept()
		if err != nil {
			return
		}
		if f, _ := r.fault(Forward); f.Refuse || !r.register(in) {
			in.(*net.TCPConn).SetLinger(0)
			in.Close()
			continue
		}
		r.wg.Add(1)
		go r.serve(in)
	}
}

// register has a connection end with the relay; false if that is over already.
func (r *Relay) register(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.conns[c] = struct{}{}
	}
	return !r.closed
}

func (r *Relay) unregister(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	c.Close()
}

func (r *Relay) serve(in net.Conn) {
	defer r.wg.Done()
	defer r.unregister(in)
	if !r.waitForFault(Forward) {
		io.Copy(io.Discard, in) // cut off: it hears nothing until it gives up
		return
	}
	out, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		in.(*net.TCPConn).SetLinger(0)
		return
	}
	if !r.register(out) {
		out.Close()
		return
	}
	defer r.unregister(out)
	done := make(chan struct{})
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer close(done)
		r.copyDirection(in, out, Backward)
	}()
	r.copyDirection(out, in, Forward)
	<-done
}

// copyDirection hands on what comes from one to another. Bytes that were lost once make the rest of their stream worthless, so
// it is silent from then on, also after the cut is over, until an end gives up: as on a network that forgets a flow.
func (r *Relay) copyDirection(to, from net.Conn, d Direction) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if r.waitForFault(d) {
				return
			}
			io.Copy(io.Discard, to) // an end that is cut off is not told either
			return
		}
		if !r.waitForFault(d) {
			io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
