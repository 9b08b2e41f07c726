package member

// This file addresses the library's packets and streams by the name of a process, never by the address that the library
// gossips. There may be a relay between any two processes, so only the sending process knows the address at which it
// reaches another. The library therefore gossips one placeholder address for all members. This also keeps it from
// rejecting a process that restarts on another port as an address conflict.

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
	// placeholderAddr is the address that the library has for every member. Nothing is ever sent to it.
	placeholderAddr = "127.0.0.1:1"
	// maxBindAttempts is how many ephemeral ports are tried to find one that is free for both UDP and TCP.
	maxBindAttempts = 10
)

// errNoAddress is the error of a packet or stream to a process whose address is unknown, or from which this one is
// partitioned.
var errNoAddress = errors.New("no address is known for this name")

// joinAddr returns a member's name and address in the form that the library's Join takes.
func joinAddr(name string) string { return name + "/" + placeholderAddr }

// transport is the library's transport over UDP and TCP, with members addressed by name.
type transport struct {
	*memberlist.NetTransport
	snapshots       *snapshotter
	addressOf       func(name view.Name) (addr string, known bool) // Members.addressOf
	partitionedFrom func(name view.Name) bool                      // Options.Partitioned; may be nil
	bytesSent       atomic.Int64                                   // of packets sent, and of dialled streams in both directions
	packetsSent     atomic.Int64
}

// bind listens for packets and streams on the address listen, and returns the library's transport with the bound
// address. Port 0 stands for an ephemeral port. As UDP and TCP need the same port, bind tries up to maxBindAttempts of
// these.
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

// FinalAdvertiseAddr returns placeholderAddr, which the library gossips as this process's address.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IPv4(127, 0, 0, 1).To4(), 1, nil
}

// WriteToAddress sends a packet to the process that a.Name names. Without a known address it returns the error of an
// unreachable host, so that the process is suspected instead of counting as alive forever.
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

// isPartitioned reports whether packets and streams to the named process are dropped, by Options.Partitioned.
func (t *transport) isPartitioned(name view.Name) bool {
	return t.partitionedFrom != nil && t.partitionedFrom(name)
}

// DialAddressTimeout opens a stream to the process that a.Name names, or to the snapshot instance.
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
