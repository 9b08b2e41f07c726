package sender

// This file accepts client connections. Clients that send nothing, or only input that cannot be parsed, must never keep
// other clients from being served.

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"go.uber.org/zap"
)

// descriptorLimit returns the maximum number of file descriptors that the system allows this process, math.MaxInt32 if the
// limit is unknown or larger. A setting above it would let clients use up the descriptors that the journal, the platform
// and discovery need.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// listen opens the listening socket for clients and starts to serve them.
func (s *Sender) listen() error {
	ln, err := netpoll.CreateListener("tcp", s.cfg.Listen)
	if err != nil {
		return err
	}
	// Accepted connections inherit the size.
	if err := syscall.SetsockoptInt(ln.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer); err != nil {
		return errors.Join(err, ln.Close())
	}
	s.listener = &backlogListener{Listener: ln, log: s.log, serve: s.serveListener}
	s.after(sweepInterval, s.sweepClients)
	// The listener stays open until the process ends, because netpoll would close its descriptor twice.
	go s.serveListener(s.listener)
	return nil
}

// serveListener serves the clients that connect to a listener.
func (s *Sender) serveListener(ln netpoll.Listener) {
	loop, err := netpoll.NewEventLoop(s.onClientInput, netpoll.WithOnPrepare(s.onAccept))
	if err == nil {
		err = loop.Serve(ln)
	}
	if err != nil {
		s.log.Error("clients are no longer accepted", zap.Error(err))
	}
}

// Addr returns the address on which the sender listens for clients.
func (s *Sender) Addr() string { return s.listener.Addr().String() }

// clientKey is the context key under which a connection's *client is stored.
type clientKey struct{}

// onAccept registers a new connection in the client table. netpoll calls it before it reads from the connection.
func (s *Sender) onAccept(conn netpoll.Connection) context.Context {
	c := &client{conn: conn, connectedAt: s.clock(), peer: conn.RemoteAddr().String(), inputTaken: make(chan struct{}, 1), reading: &s.reading, received: conn.Reader(),
		inputAccount: s.holders.input.NewAccount(), outputAccount: s.holders.output.NewAccount()}
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
		go s.post(func() { s.startLingerTimers(lingers) }) // the goroutine that reads all sockets must not wait for the loop
	}
	return context.WithValue(context.Background(), clientKey{}, c)
}

// add puts a new client into the table. If maxServed clients are served already, another client is displaced, or the new
// client is rejected if none can be displaced; the displaced or rejected client is returned as lingers. If the table holds
// maxConns connections, the client that has been lingering longest is removed and returned as dropped, and the caller
// closes its connection.
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

// displaceOne releases the place of one client for a new client and returns the displaced client, or nil if no client can
// be displaced. A client that has not been answered yet, or has begun a command, is rejected instead of closed, because the
// command may be on its way. The caller holds the table's lock.
func (t *clientTable) displaceOne(now time.Duration) *client {
	for _, c := range t.displacementOrder(now) {
		partial := c.partialSince.Load() != 0
		if !partial && c.idleSince.Load() != 0 && t.halfClose(c, now, displaced, false) {
			return c
		}
		if (partial || c.idleSince.Load() == 0) && noInputPending(c.conn) && t.reject(c, now, displaced) {
			return c
		}
	}
	return nil
}

// displacementOrder returns the clients that may be displaced, the first to displace first. These come one after the other, in
// each group the longest first: clients that have been idle, with all their commands answered, for at least minIdleTime;
// stalled clients, which have left a command incomplete, or have sent nothing for at least firstInputTimeout since they
// connected; the other idle clients; and the other clients that have sent nothing. An idle client has its answers and can
// connect again, but clients that stall must not take the places of those that use them. The caller holds the table's lock.
func (t *clientTable) displacementOrder(now time.Duration) []*client {
	var idleLong, stalled, idle, silent []displaceable
	for c := range t.all {
		idleSince, partialSince := time.Duration(c.idleSince.Load()), time.Duration(c.partialSince.Load())
		switch {
		case c.lingering:
		case partialSince != 0:
			if c.unanswered.Load() == 0 && !c.readerBusy.Load() {
				stalled = append(stalled, displaceable{c, partialSince})
			}
		case !c.idle():
		case idleSince == 0 && now-c.connectedAt >= firstInputTimeout:
			stalled = append(stalled, displaceable{c, c.connectedAt})
		case idleSince == 0:
			silent = append(silent, displaceable{c, c.connectedAt})
		case now-idleSince >= minIdleTime:
			idleLong = append(idleLong, displaceable{c, idleSince})
		default:
			idle = append(idle, displaceable{c, idleSince})
		}
	}
	var order []*client
	for _, group := range [][]displaceable{idleLong, stalled, idle, silent} {
		slices.SortFunc(group, func(a, b displaceable) int { return cmp.Compare(a.since, b.since) })
		for _, d := range group {
			order = append(order, d.client)
		}
	}
	return order
}

// displaceable is a client that may be displaced, and since when it has been idle, silent or in the middle of a command.
type displaceable struct {
	client *client
	since  time.Duration
}

// longestLingering returns the client that has been lingering longest, or nil if none is lingering. Rejected clients, whose
// first input is still to be answered, are returned only if no other client is lingering. The caller holds the table's
// lock.
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
