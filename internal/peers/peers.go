// Package peers carries gossip between senders: short notes, in datagrams from this sender's own address to all others.
//
// It owns one UDP socket, the form of a datagram and the bound on the notes that wait to be sent. A note may be lost, late or
// duplicated; its receiver has to allow for that. The package does not have its caller wait, does not send a datagram longer
// than MostBytes, which the platform forbids, and does not pass on what came from an address that is no peer's, is too long
// or was damaged.
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
	// MostBytes is the longest datagram. Source: the protocol's page, between senders; a longer one voids the run.
	MostBytes = 256
	// queueLength is how many notes wait to be sent at most. A note that waits behind more would be out of date.
	queueLength = 64
)

// Options are what a configuration says about peers.
type Options struct {
	Listen string   // address of this sender's socket, from which it sends as well: the others know it by this address
	Peers  []string // one address for each sender of the tier, with this one's own, in the order of their numbers
	Own    int      // this sender's number
	All    string   // reaches every sender of the tier; empty where each must be addressed alone
}

// Counts are what has become of datagrams since the start.
type Counts struct {
	Sent    int64 // notes sent
	Unsent  int64 // notes dropped: too long, too many waiting, or rejected by the socket
	Heard   int64 // notes received and handed on
	Strange int64 // datagrams dropped because they came from an address that is no peer's
	Own     int64 // datagrams dropped because they came from this sender itself
	TooLong int64 // datagrams dropped because they are longer than MostBytes
	Spoilt  int64 // datagrams dropped because they are malformed or damaged
}

// Peers is the socket with its two goroutines, one of which sends and one receives.
type Peers struct {
	conn         *net.UDPConn
	destinations []netip.AddrPort // where each note goes
	known        map[netip.AddrPort]struct{}
	own          netip.AddrPort // not valid where Options.Own is beyond the list
	queue        chan []byte    // datagrams to be sent
	stop         chan struct{}
	goroutines   sync.WaitGroup

	sent, unsent, received, unknownSender, fromSelf, tooLong, malformed atomic.Int64
}

var (
	errMissing = errors.New("missing")
	errNotIPv4 = errors.New("not an IPv4 address")
)

// Open binds the socket. An error is a *fielderror.Error with the field of the configuration. Datagrams that arrive wait in the socket until Start.
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

// parseAddress reads an IPv4 address with a port; names are not resolved.
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

// unmapIPv4 is an address in its IPv4 form, in which addresses are compared.
func unmapIPv4(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Addr is where the socket is bound.
func (p *Peers) Addr() string { return p.conn.LocalAddr().String() }

// Start begins to send and to receive. onNote is called for each note from the receiving goroutine, one at a time, and may
// retain the note; while it waits, datagrams are lost once the socket is full.
func (p *Peers) Start(onNote func(note []byte)) {
	p.goroutines.Go(p.sendQueued)
	p.goroutines.Go(func() { p.receive(onNote) })
}

// Tell queues a note for all others, and drops it if the queue is full. It never waits.
func (p *Peers) Tell(note []byte) {
	datagram := frame(note)
	if len(datagram) > MostBytes {
		p.unsent.Add(1)
		return
	}
	select {
	case p.queue <- datagram:
	default:
		p.unsent.Add(1)
	}
}

// Close ends both goroutines and waits for them, so onNote must return.
func (p *Peers) Close() error {
	close(p.stop)
	err := p.conn.Close()
	p.goroutines.Wait()
	return err
}

// Counts may be asked for at any time.
func (p *Peers) Counts() Counts {
	return Counts{
		Sent:    p.sent.Load(),
		Unsent:  p.unsent.Load(),
		Heard:   p.received.Load(),
		Strange: p.unknownSender.Load(),
		Own:     p.fromSelf.Load(),
		TooLong: p.tooLong.Load(),
		Spoilt:  p.malformed.Load(),
	}
}

// sendQueued sends what is queued until Close.
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

// send counts a note as sent where one of its datagrams was sent; whether that arrives is not known.
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

// receive hands on notes until Close.
func (p *Peers) receive(onNote func(note []byte)) {
	buf := make([]byte, MostBytes+1) // one byte more shows that a datagram is too long
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the error is of one datagram, such as that nobody listens where the last one went
		}
		if note := p.accept(buf[:n], unmapIPv4(from)); note != nil {
			p.received.Add(1)
			onNote(note)
		}
	}
}

// accept returns a copy of the note in a datagram; nil, with the reason counted, if the datagram is dropped.
func (p *Peers) accept(datagram []byte, from netip.AddrPort) []byte {
	if _, known := p.known[from]; !known {
		p.unknownSender.Add(1)
		return nil
	}
	if from == p.own {
		p.fromSelf.Add(1)
		return nil
	}
	if len(datagram) > MostBytes {
		p.tooLong.Add(1)
		return nil
	}
	note := unframe(datagram)
	if note == nil {
		p.malformed.Add(1)
	}
	return note
}
