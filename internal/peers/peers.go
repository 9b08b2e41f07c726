// Package peers carries notes between senders: datagrams from this sender's own address to all others.
//
// It owns one UDP socket, the form of a datagram and the bound on what waits to be sent. A note may be lost, late or
// come twice; it is then for who hears it to take no harm. It must never have its caller wait, send a datagram over
// MostBytes, which the platform forbids, or pass on what came from an address that is no peer's, is too long, or is
// not what was sent.
package peers

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

const (
	// MostBytes is the longest datagram. Source: the protocol's page, between senders; a longer one voids the run.
	MostBytes = 256
	// mostWaiting notes wait to be sent. A note that waits behind so many tells of what was.
	mostWaiting = 64
)

// Options are what a configuration tells of peers.
type Options struct {
	Listen string   // our socket, from which we send as well: the others know us by its address
	Peers  []string // one address for each sender of the tier, ours among them, in the order of their numbers
	Own    int      // our number
	All    string   // reaches every sender of the tier; empty where only each alone can be reached
}

// Counts are what has become of datagrams since the start.
type Counts struct {
	Sent    int64 // notes sent
	Unsent  int64 // notes dropped: too long, too many waiting, or refused by the socket
	Heard   int64 // notes handed on
	Strange int64 // datagrams dropped, from an address that is no peer's
	Own     int64 // likewise, our own come back
	TooLong int64 // likewise
	Spoilt  int64 // likewise, not readable
}

// Peers is the socket with its two goroutines, of which one sends and one receives.
type Peers struct {
	conn  *net.UDPConn
	to    []netip.AddrPort
	known map[netip.AddrPort]struct{}
	own   netip.AddrPort // not valid where our number is beyond the list
	queue chan []byte
	stop  chan struct{}
	ended sync.WaitGroup

	sent, unsent, heard, strange, mine, tooLong, spoilt atomic.Int64
}

// Open binds the socket. It tells what is wrong with the addresses by the configuration's field. What comes waits in
// the socket until Start.
func Open(o Options) (*Peers, error) {
	p := &Peers{known: map[netip.AddrPort]struct{}{}, queue: make(chan []byte, mostWaiting), stop: make(chan struct{})}
	listen, err := address("peer_listen", o.Listen)
	if err != nil {
		return nil, err
	}
	if len(o.Peers) == 0 {
		return nil, errors.New("field peers: missing")
	}
	for i, text := range o.Peers {
		peer, err := address(fmt.Sprintf("peers[%d]", i), text)
		if err != nil {
			return nil, err
		}
		if p.known[peer] = struct{}{}; i == o.Own {
			p.own = peer
		} else {
			p.to = append(p.to, peer)
		}
	}
	if o.All != "" {
		all, err := address("peers_all", o.All)
		if err != nil {
			return nil, err
		}
		p.to = []netip.AddrPort{all}
	}
	p.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("field peer_listen: %w", err)
	}
	return p, nil
}

// address reads an address of numbers: there are no names to be asked for.
func address(field, text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err == nil && !a.Addr().Unmap().Is4() {
		err = errors.New("not an IPv4 address")
	}
	if err != nil {
		return a, fmt.Errorf("field %s: %w", field, err)
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}

// Addr is where the socket is bound.
func (p *Peers) Addr() string { return p.conn.LocalAddr().String() }

// Start begins to send and to receive. heard is called for each note from the receiving goroutine, one at a time, and
// may keep the note; while it waits, what comes is lost once the socket is full.
func (p *Peers) Start(heard func(note []byte)) {
	p.ended.Go(p.send)
	p.ended.Go(func() { p.receive(heard) })
}

// Tell has a note go to all others, if it can. It never waits.
func (p *Peers) Tell(note []byte) {
	text := frame(note)
	if len(text) > MostBytes {
		p.unsent.Add(1)
		return
	}
	select {
	case p.queue <- text:
	default:
		p.unsent.Add(1)
	}
}

// Close ends both goroutines and waits for them; heard must have returned or be about to.
func (p *Peers) Close() error {
	close(p.stop)
	err := p.conn.Close()
	p.ended.Wait()
	return err
}

// Counts may be asked for at any time.
func (p *Peers) Counts() Counts {
	return Counts{Sent: p.sent.Load(), Unsent: p.unsent.Load(), Heard: p.heard.Load(), Strange: p.strange.Load(),
		Own: p.mine.Load(), TooLong: p.tooLong.Load(), Spoilt: p.spoilt.Load()}
}

func (p *Peers) send() {
	for {
		select {
		case <-p.stop:
			return
		case text := <-p.queue:
			p.sendOne(text)
		}
	}
}

// sendOne counts a note as sent where one of its datagrams left: whether it arrives nobody knows.
func (p *Peers) sendOne(text []byte) {
	left := false
	for _, to := range p.to {
		_, err := p.conn.WriteToUDPAddrPort(text, to)
		left = left || err == nil
	}
	if left {
		p.sent.Add(1)
	} else {
		p.unsent.Add(1)
	}
}

func (p *Peers) receive(heard func(note []byte)) {
	buf := make([]byte, MostBytes+1) // one more shows that a datagram is too long
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // of one datagram, such as that nobody listens where the last one went
		}
		if note := p.sort(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port())); note != nil {
			p.heard.Add(1)
			heard(note)
		}
	}
}

// sort gives the note in a datagram, a copy; nil where there is none to be passed on.
func (p *Peers) sort(text []byte, from netip.AddrPort) []byte {
	if _, known := p.known[from]; !known {
		p.strange.Add(1)
		return nil
	}
	if from == p.own {
		p.mine.Add(1)
		return nil
	}
	if len(text) > MostBytes {
		p.tooLong.Add(1)
		return nil
	}
	note := unframe(text)
	if note == nil {
		p.spoilt.Add(1)
	}
	return note
}
