package sender

// This file takes in: it owns the listener and the client connections, turns their bytes into commands and
// writes answers back in the order of the commands. It must never end a connection on which a command waits for
// its answer, hold more of a client's input than one command and its window, or wait for a slow reader.

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/config"
	"flaxcove/internal/resp"
)

const (
	window    = 64        // commands of one client without an answer
	maxUnread = 256 << 10 // answers that a client has not read
	halfFor   = 10 * time.Second
	maxInput  = resp.MaxBulk + 8<<10
	maxAhead  = window * maxInput // what netpoll has read for us while a client's window was full
	spareFDs  = 48                // for the process itself, discovery, the platform and the journal
)

const (
	peerClosed  reason = "peer_closed"
	badCommand  reason = "bad_command"
	tooMany     reason = "too_many_clients"
	halfCommand reason = "half_a_command"
	slowReader  reason = "answers_not_read"
	tooFarAhead reason = "too_far_ahead"
	drained     reason = "drained"
)

type takeIn struct {
	clients  clientTable
	listener netpoll.Listener
}

// clientTable holds the open clients; each leaves when its connection has ended. Its lock is the only one that
// the loop shares with the pollers, since a connection must be counted before it is read.
type clientTable struct {
	sync.Mutex
	all  map[*client]struct{}
	most int
}

func (t *clientTable) count() int {
	t.Lock()
	defer t.Unlock()
	return len(t.all)
}

// client is one connection. The reader's fields belong to netpoll's one running callback, the loop's to the loop.
type client struct {
	conn netpoll.Connection
	peer string
	room chan struct{} // one for each command without an answer, from before the loop hears of it
	busy atomic.Bool   // the reader is at work
	half atomic.Int64  // when the command came that is not whole yet, in Unix nanoseconds; 0 for none

	in   []byte // reader
	args [][]byte
	deaf bool // after a broken command nothing tells where the next begins

	came    time.Duration // since the start
	waiting []*reply      // loop: answers owed, in the order of the commands
	served  bool
	out     []byte
	writing bool
	why     reason // why we close it
	closing bool
	looking bool // a timer looks again whether it can be closed
	gone    bool
}

// reply is the place of one answer.
type reply struct {
	c    *client
	text []byte // nil until it is known
}

func (t *takeIn) init(cfg *config.Config) {
	t.clients.all = map[*client]struct{}{}
	t.clients.most = cfg.Limits.Sockets / 2
}

func (s *Sender) listen() error {
	ln, err := netpoll.CreateListener("tcp", s.cfg.Listen)
	if err != nil {
		return err
	}
	loop, err := netpoll.NewEventLoop(s.onBytes, netpoll.WithOnPrepare(s.onAccept))
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	s.listener = ln
	// The listener lives as long as the process: netpoll closes its descriptor twice.
	go loop.Serve(ln)
	return nil
}

// Addr is where clients are served.
func (s *Sender) Addr() string { return s.listener.Addr().String() }

type clientKey struct{}

func (s *Sender) onAccept(conn netpoll.Connection) context.Context {
	c := &client{conn: conn, came: s.clock(), peer: conn.RemoteAddr().String(), room: make(chan struct{}, window)}
	s.clients.Lock()
	full := len(s.clients.all) >= s.clients.most
	if !full {
		s.clients.all[c] = struct{}{}
	}
	s.clients.Unlock()
	if full {
		s.logEnd("client", c.peer, tooMany, nil)
		conn.Close()
		return nil
	}
	conn.SetWriteTimeout(halfFor)
	conn.AddCloseCallback(func(netpoll.Connection) error {
		go s.post(func() { s.clientEnded(c) })
		return nil
	})
	return context.WithValue(context.Background(), clientKey{}, c)
}

// onBytes takes all that has come; netpoll calls it again only for more.
func (s *Sender) onBytes(ctx context.Context, conn netpoll.Connection) error {
	c, known := ctx.Value(clientKey{}).(*client)
	r := conn.Reader()
	if !known {
		return conn.Close()
	}
	c.busy.Store(true)
	defer c.busy.Store(false)
	piece, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	if !c.deaf {
		c.in = append(c.in, piece...)
	}
	r.Release()
	if len(c.in) > maxAhead {
		c.in, c.deaf = nil, true
		c.half.Store(0)
		s.post(func() { s.closeClient(c, tooFarAhead) })
		return nil
	}
	at := 0
	for {
		args, took, err := resp.Command(c.in[at:], c.args)
		if err == nil && took == 0 && len(c.in)-at > maxInput {
			err = resp.ErrLength
		}
		if err != nil {
			c.in, c.deaf = nil, true
			c.half.Store(0)
			c.room <- struct{}{}
			s.post(func() { s.broken(c, err) })
			return nil
		}
		if took == 0 {
			break
		}
		c.args = args
		at += took
		kept, _, _ := resp.Command(append([]byte(nil), c.in[at-took:at]...), nil)
		c.room <- struct{}{}
		s.post(func() { s.command(c, kept) })
	}
	rest := c.in[at:]
	if len(rest) == 0 {
		c.half.Store(0)
		if cap(c.in) > maxInput/8 {
			c.in = nil
		}
		c.in = c.in[:0]
		return nil
	}
	if at > 0 || c.half.Load() == 0 {
		c.half.Store(time.Now().UnixNano())
		s.post(func() { s.after(halfFor, func() { s.checkHalf(c) }) })
	}
	c.in = append(c.in[:0], rest...)
	return nil
}

// checkHalf ends a client that leaves a command unfinished: its buffer is held for nothing.
func (s *Sender) checkHalf(c *client) {
	if at := c.half.Load(); at != 0 && time.Now().UnixNano()-at >= int64(halfFor) && !c.gone {
		c.half.Store(0)
		s.closeClient(c, halfCommand)
	}
}

// expect makes the place of the next answer.
func (s *Sender) expect(c *client) *reply {
	c.served = true
	r := &reply{c: c}
	c.waiting = append(c.waiting, r)
	return r
}

// answer fills a place and writes all that has its turn.
func (s *Sender) answer(r *reply, text []byte) {
	r.text = text
	c := r.c
	for len(c.waiting) > 0 && c.waiting[0].text != nil {
		c.out = append(c.out, c.waiting[0].text...)
		c.waiting[0] = nil
		c.waiting = c.waiting[1:]
		<-c.room
	}
	s.flush(c)
}

// quiet tells whether nothing that the client has sent is on its way through us. Ending its connection otherwise
// would leave a command without an answer, which counts as lost.
func (c *client) quiet() bool {
	return len(c.room) == 0 && len(c.waiting) == 0 && !c.busy.Load() && c.half.Load() == 0
}

// flush has a goroutine of its own write, since netpoll waits for a reader that is slow.
func (s *Sender) flush(c *client) {
	switch {
	case c.gone || c.writing:
	case len(c.out) > 0:
		text := c.out
		c.out, c.writing = nil, true
		go func() {
			_, err := c.conn.Write(text)
			s.post(func() { s.flushed(c, err) })
		}()
	case c.closing && c.quiet():
		c.gone = true
		c.conn.Close()
	case c.closing && !c.looking:
		c.looking = true
		s.after(settleFor, func() {
			c.looking = false
			s.flush(c)
		})
	}
	if len(c.out) > maxUnread && !c.gone {
		c.why, c.gone = slowReader, true
		c.conn.Close()
	}
}

func (s *Sender) flushed(c *client, err error) {
	c.writing = false
	if err != nil {
		c.conn.Close()
		return
	}
	s.flush(c)
}

// broken answers what cannot be read, and ends the connection.
func (s *Sender) broken(c *client, err error) {
	s.counts.badCommands++
	s.answer(s.expect(c), resp.AppendError(nil, "ERR protocol: "+err.Error()))
	s.closeClient(c, badCommand)
}

// closeClient ends a connection once all it waits for is written.
func (s *Sender) closeClient(c *client, why reason) {
	if c.closing || c.gone {
		return
	}
	c.closing, c.why = true, why
	s.flush(c)
}

func (s *Sender) clientEnded(c *client) {
	s.clients.Lock()
	delete(s.clients.all, c)
	s.clients.Unlock()
	c.gone = true
	for range c.waiting {
		<-c.room
	}
	c.waiting, c.out = nil, nil
	if c.why == "" {
		c.why = peerClosed
	}
	s.counts.clientsEnded++
	s.logEnd("client", c.peer, c.why, nil)
}

// closeIdleClients ends those that nothing is owed, so that they go elsewhere. One that has just come is let hand in
// what it came with, or its client would find a closed connection twice in a row.
func (s *Sender) closeIdleClients() {
	s.clients.Lock()
	var idle []*client
	for c := range s.clients.all {
		fresh := c.came >= s.drainAt && !c.served && s.clock()-c.came < lingerFor
		if c.quiet() && !fresh {
			idle = append(idle, c)
		}
	}
	s.clients.Unlock()
	for _, c := range idle {
		s.closeClient(c, drained)
	}
}

// answersOut tells whether an answer is still being written, or owed.
func (s *Sender) answersOut() bool {
	s.clients.Lock()
	defer s.clients.Unlock()
	for c := range s.clients.all {
		if !c.gone && (c.writing || len(c.room) > 0) {
			return true
		}
	}
	return false
}
