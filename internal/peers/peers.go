// Package peers sends and receives gossip between senders: short notes in UDP datagrams, each from one sender to all
// others.
//
// It uses one socket, defines the format of a datagram, and bounds the queue of notes to be sent. A note may be lost,
// delayed or duplicated, and its receiver must allow for that. Sending never blocks the caller. The package sends no
// datagram longer than MaxDatagramSize, which the platform forbids. It drops received datagrams that come from an address that
// is not a peer's, are too long, or are damaged.
package peers

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"flaxcove/internal/fielderror"
)

const (
	// MaxDatagramSize is the maximum size of a datagram in bytes. Source: the section of the protocol's page about traffic between
	// senders; a longer datagram makes a run invalid.
	MaxDatagramSize = 256
	// queueLength is the maximum number of notes that wait to be sent. In a longer queue a note would be outdated when
	// it is sent.
	queueLength = 64
)

// Options is the part of a sender's configuration that concerns peers. Addresses are IPv4 addresses with a port.
type Options struct {
	Listen string   // address of this sender's socket; datagrams are sent from it too, and the peers identify the sender by it
	Peers  []string // address of each sender of the tier, including this one, in the order of their numbers
	Own    int      // this sender's number
	All    string   // an address that reaches every sender of the tier; empty if a note must be sent to each of Peers
}

// Counts holds the numbers of notes and datagrams since Open.
type Counts struct {
	Sent          int64 // notes sent
	Unsent        int64 // notes dropped: too long, queue full, or rejected by the socket
	Received      int64 // notes received and passed on
	UnknownSource int64 // received datagrams dropped because their source is not the address of a peer
	FromSelf      int64 // received datagrams dropped because this sender sent them
	TooLong       int64 // received datagrams dropped because they are longer than MaxDatagramSize
	Malformed     int64 // received datagrams dropped because they are malformed or damaged
}

// Peers is a socket with two goroutines, one that sends and one that receives. Send and Counts may be called at any
// time from any goroutine.
type Peers struct {
	conn         *net.UDPConn
	destinations []netip.AddrPort            // each note is sent to all of them
	known        map[netip.AddrPort]struct{} // the addresses in Options.Peers
	own          netip.AddrPort              // this sender's address; invalid if Options.Own is not a position in Options.Peers
	queue        chan []byte                 // datagrams to be sent
	stop         chan struct{}               // closed by Close
	goroutines   sync.WaitGroup

	sent, unsent, received, unknownSender, fromSelf, tooLong, malformed atomic.Int64
}

var (
	errMissing = errors.New("missing")
	errNotIPv4 = errors.New("not an IPv4 address")
)

// Open binds the socket. The error is a *fielderror.Error with the field of the configuration. Until Start, received
// datagrams wait in the socket.
func Open(o Options) (*Peers, error) {
	p := &Peers{known: map[netip.AddrPort]struct{}{}, queue: make(chan []byte, queueLength), stop: make(chan struct{})}
	listen, err := parseAddress("peer_listen", o.Listen)
	if err != nil {
		return nil, err
	}
	if len(o.Peers) == 0 {
		return nil, &fielderror.Error{Field: "peers", Err: errMissing}
	}
	for i, text := range o.Peers {
		peer, err := parseAddress(fmt.Sprintf("peers[%d]", i), text)
		if err != nil {
			return nil, err
		}
		p.known[peer] = struct{}{}
		if i == o.Own {
			p.own = peer
		} else {
			p.destinations = append(p.destinations, peer)
		}
	}
	if o.All != "" {
		all, err := parseAddress("peers_all", o.All)
		if err != nil {
			return nil, err
		}
		p.destinations = []netip.AddrPort{all}
	}
	p.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, &fielderror.Error{Field: "peer_listen", Err: err}
	}
	return p, nil
}

// parseAddress parses an IPv4 address with a port. It does not resolve host names. The error names the field.
func parseAddress(field, text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err == nil && !a.Addr().Unmap().Is4() {
		err = errNotIPv4
	}
	if err != nil {
		return a, &fielderror.Error{Field: field, Err: err}
	}
	return unmapIPv4(a), nil
}

// unmapIPv4 converts an IPv4-mapped IPv6 address to IPv4, so that equal addresses compare equal.
func unmapIPv4(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Addr returns the local address of the socket.
func (p *Peers) Addr() string { return p.conn.LocalAddr().String() }

// Start starts sending and receiving. The receiving goroutine calls onNote with each note, which onNote may keep. While
// onNote blocks, datagrams are lost once the socket's buffer is full.
func (p *Peers) Start(onNote func(note []byte)) {
	p.goroutines.Go(p.sendQueued)
	p.goroutines.Go(func() { p.receive(onNote) })
}

// Send queues a note for all other senders. It never blocks: if the note is too long or the queue is full, the note is
// dropped and counted.
func (p *Peers) Send(note []byte) {
	datagram := frame(note)
	if len(datagram) > MaxDatagramSize {
		p.unsent.Add(1)
		return
	}
	select {
	case p.queue <- datagram:
	default:
		p.unsent.Add(1)
	}
}

// Close closes the socket, stops both goroutines and waits until they have ended. It blocks while onNote does.
func (p *Peers) Close() error {
	close(p.stop)
	err := p.conn.Close()
	p.goroutines.Wait()
	return err
}

// Counts returns the current counts. They are not a consistent snapshot: notes may be counted while it reads.
func (p *Peers) Counts() Counts {
	return Counts{
		Sent:          p.sent.Load(),
		Unsent:        p.unsent.Load(),
		Received:      p.received.Load(),
		UnknownSource: p.unknownSender.Load(),
		FromSelf:      p.fromSelf.Load(),
		TooLong:       p.tooLong.Load(),
		Malformed:     p.malformed.Load(),
	}
}

// sendQueued sends the queued datagrams until Close.
func (p *Peers) sendQueued() {
	for {
		select {
		case <-p.stop:
			return
		case datagram := <-p.queue:
			p.send(datagram)
		}
	}
}

// send sends a datagram to all destinations. It counts the note as sent if the socket accepted the datagram for at least
// one of them; whether it arrives is unknown.
func (p *Peers) send(datagram []byte) {
	anySent := false
	for _, to := range p.destinations {
		if _, err := p.conn.WriteToUDPAddrPort(datagram, to); err == nil {
			anySent = true
		}
	}
	if anySent {
		p.sent.Add(1)
	} else {
		p.unsent.Add(1)
	}
}

// receive passes received notes to onNote until Close.
func (p *Peers) receive(onNote func(note []byte)) {
	buf := make([]byte, MaxDatagramSize+1) // the additional byte reveals a datagram that is too long
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the error concerns one datagram only, for example one sent to a port on which nobody listens
		}
		if note := p.accept(buf[:n], unmapIPv4(from)); note != nil {
			p.received.Add(1)
			onNote(note)
		}
	}
}

// accept returns a copy of the note in a datagram received from the address from. If the datagram must be dropped,
// accept counts the reason and returns nil.
func (p *Peers) accept(datagram []byte, from netip.AddrPort) []byte {
	if _, known := p.known[from]; !known {
		p.unknownSender.Add(1)
		return nil
	}
	if from == p.own {
		p.fromSelf.Add(1)
		return nil
	}
	if len(datagram) > MaxDatagramSize {
		p.tooLong.Add(1)
		return nil
	}
	note := unframe(datagram)
	if note == nil {
		p.malformed.Add(1)
	}
	return note
}
