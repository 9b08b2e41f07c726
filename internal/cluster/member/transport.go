package member

// This file delivers the library's packets and streams by a process's name, never by the address that the library
// gossips. There may be a relay between any two processes, so only the sender knows which address reaches whom. The
// library therefore gossips one placeholder address for all members, which also keeps it from rejecting a process that
// restarts on another port as an address conflict.

import (
	"errors"
	"fmt"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"flaxcove/internal/cluster/view"
)

const (
	// placeholderAddr is the address that the library has of every member; nothing is ever sent there.
	placeholderAddr = "127.0.0.1:1"
	// maxBindAttempts bounds the ephemeral ports tried until one is free for both UDP and TCP.
	maxBindAttempts = 10
)

var errNoAddress = errors.New("no address is known for this name")

// joinAddr is a member in the form in which the library's Join takes it: name and address.
func joinAddr(name string) string { return name + "/" + placeholderAddr }

// transport is the library's own transport over UDP and TCP, addressed by name.
type transport struct {
	*memberlist.NetTransport
	snapshots       *snapshotter
	addressOf       func(name view.Name) (addr string, known bool) // Members.addressOf
	partitionedFrom func(name view.Name) bool                      // Options.Cut; may be nil
	bytesSent       atomic.Int64                                   // of packets sent, and of streams dialled in both directions
	packetsSent     atomic.Int64
}

// bind listens on one address for packets and streams. Port 0 stands for an ephemeral port; as both protocols need the
// same one, a few attempts may be needed.
func bind(listen string, logger *log.Logger) (*memberlist.NetTransport, string, error) {
	addr, err := net.ResolveTCPAddr("tcp", listen)
	if err != nil {
		return nil, "", fmt.Errorf("membership: listen address %q: %w", listen, err)
	}
	ip := "0.0.0.0"
	if addr.IP != nil {
		ip = addr.IP.String()
	}
	for attempt := 1; ; attempt++ {
		nt, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
			BindAddrs: []string{ip}, BindPort: addr.Port, Logger: logger})
		if err == nil {
			return nt, net.JoinHostPort(ip, fmt.Sprint(nt.GetAutoBindPort())), nil
		}
		if addr.Port != 0 || attempt == maxBindAttempts {
			return nil, "", fmt.Errorf("membership: listen on %q: %w", listen, err)
		}
	}
}

// FinalAdvertiseAddr returns the placeholder, which the library gossips as this process's address.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IPv4(127, 0, 0, 1).To4(), 1, nil
}

// WriteToAddress sends a packet to a name. A name without an address fails as an unreachable host does, so that the
// process is suspected instead of counting as alive for ever.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	addr, known := t.addressOf(view.Name(a.Name))
	if !known {
		return time.Time{}, &net.OpError{Op: "write", Net: "udp", Err: errNoAddress}
	}
	t.bytesSent.Add(int64(len(b)))
	t.packetsSent.Add(1)
	if t.isPartitioned(view.Name(a.Name)) {
		return time.Now(), nil
	}
	return t.NetTransport.WriteToAddress(b, memberlist.Address{Addr: addr, Name: a.Name})
}

// isPartitioned reports whether what is sent to a name is lost.
func (t *transport) isPartitioned(name view.Name) bool {
	return t.partitionedFrom != nil && t.partitionedFrom(name)
}

// DialAddressTimeout opens a stream to a name.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if a.Name == snapshotNode {
		return t.snapshots.dial(timeout)
	}
	addr, known := t.addressOf(view.Name(a.Name))
	if !known || t.isPartitioned(view.Name(a.Name)) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errNoAddress}
	}
	conn, err := t.NetTransport.DialAddressTimeout(memberlist.Address{Addr: addr, Name: a.Name}, timeout)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &t.bytesSent}, nil
}

// countingConn adds the bytes of a stream to the transport's bytesSent.
type countingConn struct {
	net.Conn
	sum *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.sum.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sum.Add(int64(n))
	return n, err
}
