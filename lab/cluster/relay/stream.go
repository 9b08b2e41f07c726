package relay

import (
	"io"
	"net"
)

// This file forwards TCP connections.

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

// register has a connection closed with the relay. It is false if the relay is closed already.
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
		io.Copy(io.Discard, in) // cut off: the caller gets no answer until it gives up
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

// copyDirection forwards from one connection to another. Once bytes were lost the rest of the stream is useless: the stream
// stays silent from then on, also after the cut, until an end gives up, as on a network that forgets a flow.
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
			io.Copy(io.Discard, to) // the end of the connection is lost too
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
