package relay

import (
	"io"
	"net"
)

// This file forwards TCP connections.

// accept accepts connections until the listener is closed. It resets them while Refuse is set.
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

// register adds a connection to those that Reset and Close close. It returns false if the relay is closed.
func (r *Relay) register(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.conns[c] = struct{}{}
	}
	return !r.closed
}

// unregister removes a connection and closes it.
func (r *Relay) unregister(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	c.Close()
}

// serve connects to the target and forwards both directions of a connection until it ends.
func (r *Relay) serve(in net.Conn) {
	defer r.wg.Done()
	defer r.unregister(in)
	if !r.applyFault(Forward) {
		io.Copy(io.Discard, in) // the direction is cut: keep the connection open and silent until the caller closes it
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

// copyDirection forwards bytes from one connection to another until one of them ends. Once bytes were lost, the rest of the
// stream is useless: the stream stays silent even after the fault ends, until an end closes it, as on a network that drops the
// state of a flow.
func (r *Relay) copyDirection(to, from net.Conn, d Direction) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if r.applyFault(d) {
				return
			}
			io.Copy(io.Discard, to) // the close is lost, too: the other end notices nothing
			return
		}
		if !r.applyFault(d) {
			io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
