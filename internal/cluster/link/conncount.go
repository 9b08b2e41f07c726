package link

import (
	"net"
	"sync"
)

// countingListener accepts connections and wraps them to count their bytes. It closes connections beyond
// maxInboundConns at once, so that a peer that opens too many of them keeps out later ones but does not exhaust the
// process.
type countingListener struct {
	net.Listener
	link *Link
}

func (c *countingListener) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c.link.inboundConns.Add(1) <= maxInboundConns {
			return &countingConn{Conn: conn, link: c.link, inbound: true}, nil
		}
		c.link.inboundConns.Add(-1)
		conn.Close()
	}
}

// countingConn is an inbound or outbound connection that adds its bytes to the link's traffic.
type countingConn struct {
	net.Conn
	link      *Link
	inbound   bool      // it was accepted by the listener, and is counted in Link.inboundConns
	closeOnce sync.Once // for the decrement of Link.inboundConns
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.link.bytesIn.Add(uint64(max(n, 0)))
	return n, err
}

// Write counts the bytes before it writes them, as the peer may have read and answered them before this goroutine runs
// again. It subtracts the bytes that were not written.
func (c *countingConn) Write(b []byte) (int, error) {
	c.link.bytesOut.Add(uint64(len(b)))
	n, err := c.Conn.Write(b)
	c.link.bytesOut.Add(-uint64(len(b) - max(n, 0)))
	return n, err
}

func (c *countingConn) Close() error {
	if c.inbound {
		c.closeOnce.Do(func() { c.link.inboundConns.Add(-1) })
	}
	return c.Conn.Close()
}
