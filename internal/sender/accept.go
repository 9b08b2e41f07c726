package sender

// This file accepts client connections. Clients that say nothing, or nothing that can be parsed, must never keep places
// from the others.

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// descriptorLimit is how many descriptors the system gives this process. Settings that allow more would let clients use
// up those of the journal, the platform and discovery.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// listen opens the port for clients and begins to serve them.
func (s *Sender) listen() error {
	ln, err := netpoll.CreateListener("tcp", s.cfg.Listen)
	if err != nil {
		return err
	}
	loop, err := netpoll.NewEventLoop(s.onClientInput, netpoll.WithOnPrepare(s.onAccept))
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	s.listener = ln
	s.after(sweepInterval, s.sweepClients)
	// The listener is never closed but lives as long as the process: netpoll would close its descriptor twice.
	go loop.Serve(ln)
	return nil
}

// Addr is the address that clients are served at.
func (s *Sender) Addr() string { return s.listener.Addr().String() }

// clientKey is the context key of a connection's *client.
type clientKey struct{}

// onAccept is called by netpoll for each new connection, before anything is read from it.
func (s *Sender) onAccept(conn netpoll.Connection) context.Context {
	c := &client{conn: conn, connectedAt: s.clock(), peer: conn.RemoteAddr().String(), window: make(chan struct{}, windowSize)}
	conn.SetWriteTimeout(clientWriteTimeout)
	conn.AddCloseCallback(func(netpoll.Connection) error {
		s.clients.connEnded(c)
		go s.post(func() { s.onClientEnded(c) })
		return nil
	})
	lingers, dropped := s.clients.add(c)
	if dropped != nil {
		dropped.conn.Close()
	}
	if lingers != nil {
		s.post(func() { s.boundLingering(lingers) })
	}
	return context.WithValue(context.Background(), clientKey{}, c)
}

// add puts a new client into the table. Where all places are taken another client gives its place up, or the new one is
// rejected itself: lingers is which of them. Beyond maxConns the one that has been lingering longest is dropped, and the
// caller closes its connection.
func (t *clientTable) add(c *client) (lingers, dropped *client) {
	t.Lock()
	defer t.Unlock()
	if len(t.all) >= t.maxConns {
		if dropped = t.longestLingering(); dropped != nil {
			delete(t.all, dropped)
		}
	}
	t.all[c] = struct{}{}
	if !t.stopped && t.served >= t.maxServed {
		lingers = t.displaceOne(c.connectedAt)
	}
	t.served++
	if t.stopped || t.served > t.maxServed {
		c.stateLock.Lock()
		c.rejected = true // nothing has been read yet
		t.releasePlace(c, c.connectedAt, tooManyClients)
		c.stateLock.Unlock()
		lingers = c
	}
	return lingers, dropped
}

// displaceOne takes the place of one client for a new one and returns it, nil where none can give its place up. A client
// that has said nothing yet is rejected instead of closed, as its first command may be on its way. The table is locked.
func (t *clientTable) displaceOne(now time.Duration) *client {
	for _, c := range t.displacementOrder(now) {
		if c.idleSince.Load() != 0 && t.halfClose(c, now, displaced, false) {
			return c
		}
		if c.idleSince.Load() == 0 && noInputPending(c.conn) && t.reject(c, now, displaced) {
			return c
		}
	}
	return nil
}

// displacementOrder lists the clients that may be displaced. The one idle longest is first where it has been idle for
// minIdleTime, else the one that has been silent longest since it connected, if that is firstInputTimeout. Where neither
// has lasted that long, the one idle longest is first all the same: it has its answers and connects again. The table is
// locked.
func (t *clientTable) displacementOrder(now time.Duration) []*client {
	var idle, silent []*client
	for c := range t.all {
		switch {
		case c.lingering || !c.idle():
		case c.idleSince.Load() == 0:
			silent = append(silent, c)
		default:
			idle = append(idle, c)
		}
	}
	slices.SortFunc(silent, func(a, b *client) int { return cmp.Compare(a.connectedAt, b.connectedAt) })
	slices.SortFunc(idle, func(a, b *client) int { return cmp.Compare(a.idleSince.Load(), b.idleSince.Load()) })
	silentTooLong := len(silent) > 0 && now-silent[0].connectedAt >= firstInputTimeout
	if silentTooLong && len(idle) > 0 && now-time.Duration(idle[0].idleSince.Load()) < minIdleTime {
		return append(silent, idle...)
	}
	return append(idle, silent...)
}

// longestLingering is the client that has been lingering longest; rejected ones, which may still send, come last. The
// table is locked.
func (t *clientTable) longestLingering() *client {
	var writeClosed, rejected *client
	for c := range t.all {
		oldest := &rejected
		if c.isWriteClosed() {
			oldest = &writeClosed
		}
		if c.lingering && !c.descriptorClosed && (*oldest == nil || c.lingeringSince < (*oldest).lingeringSince) {
			*oldest = c
		}
	}
	return cmp.Or(writeClosed, rejected)
}
