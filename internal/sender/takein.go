package sender

// This file takes in: it owns the listener and the client connections, turns their bytes into commands and
// writes answers back in the order of the commands. It must never end a connection on which a command waits for
// its answer, hold more of a client's input than one command and its window, wait for a slow reader, or let clients
// that say nothing, or nothing that can be read, keep places from the others.

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/config"
	"flaxcove/internal/resp"
)

const (
	window    = 64        // commands of one client without an answer
	maxUnread = 256 << 10 // answers that a client has not read
	writeFor  = 5 * time.Second
	maxInput  = resp.MaxBulk + 8<<10
	maxAhead  = window * maxInput // what netpoll has read for us while a client's window was full
	spareFDs  = 48                // for the process itself, discovery, the platform and the journal
	maxBad    = 8                 // commands of one client that make no sense, before it is closed

	// Who says nothing, or half a command, is owed an end within 3 s; who has been served may stay until places
	// run short, and is not to be closed within 2 s of its last answer.
	silentFor  = 2200 * time.Millisecond
	dumbFor    = 200 * time.Millisecond // usual ones have sent something by then
	halfFor    = 2200 * time.Millisecond
	idleFor    = 2 * time.Second
	sweepEvery = 200 * time.Millisecond
)

const (
	peerClosed  reason = "peer_closed"
	badCommand  reason = "bad_command"
	tooMany     reason = "too_many_clients"
	halfCommand reason = "half_a_command"
	slowReader  reason = "answers_not_read"
	tooFarAhead reason = "too_far_ahead"
	drained     reason = "drained"
	silent      reason = "said_nothing"
	tooMuchHalf reason = "too_much_unfinished"
)

type takeIn struct {
	clients  clientTable
	listener netpoll.Listener
	unread   atomic.Int64 // bytes of commands that are not whole yet, of all clients
	maxHalf  int64        // of them
}

// clientTable holds the open clients; each leaves when its connection has ended. Its lock is the only one that
// the loop shares with the pollers, since a connection must be counted before it is read.
type clientTable struct {
	sync.Mutex
	all  map[*client]struct{}
	most int
	easy int // up to here nobody is closed for being idle
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
	half atomic.Int64  // since when a command is not whole yet, by the sender's clock; 0 for none
	rest atomic.Int64  // since when it has had all its answers, likewise; 0 before its first
	cut  atomic.Bool   // closed to make room
	deaf atomic.Bool   // nothing more is read: after a broken command nothing tells where the next begins

	in     []byte // reader
	args   [][]byte
	unread int64 // its part of takeIn.unread

	came    time.Duration // since the start
	waiting []*reply      // loop: answers owed, in the order of the commands
	served  bool
	bad     int
	out     []byte
	outs    int    // answers in out
	writing int    // answers being written
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
	t.clients.easy = cfg.Limits.Sockets / 4
	t.maxHalf = max(4*maxInput, cfg.Limits.MemoryMB<<20/16)
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
	s.after(sweepEvery, s.sweep)
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
	full := len(s.clients.all) >= s.clients.most && !s.clients.makeRoom(c.came)
	if !full {
		s.clients.all[c] = struct{}{}
	}
	s.clients.Unlock()
	if full {
		s.logEnd("client", c.peer, tooMany, nil)
		conn.Close()
		return nil
	}
	conn.SetWriteTimeout(writeFor)
	conn.AddCloseCallback(func(netpoll.Connection) error {
		go s.post(func() { s.clientEnded(c) })
		return nil
	})
	return context.WithValue(context.Background(), clientKey{}, c)
}

// makeRoom closes one client for another: the one idle longest, if for long enough, else the one that has been
// silent longest since it came. Where neither has lasted, the one idle longest goes all the same: it has its answers
// and comes again, while a new one that is turned away has its first command fail. The table is locked.
func (t *clientTable) makeRoom(now time.Duration) bool {
	var idle, dumb *client
	for c := range t.all {
		rest := time.Duration(c.rest.Load())
		switch {
		case !c.quiet():
		case rest == 0 && (dumb == nil || c.came < dumb.came):
			dumb = c
		case rest != 0 && (idle == nil || rest < time.Duration(idle.rest.Load())):
			idle = c
		}
	}
	order := []*client{idle, dumb}
	if dumb != nil && now-dumb.came >= dumbFor && idle != nil && now-time.Duration(idle.rest.Load()) < idleFor {
		order = []*client{dumb, idle}
	}
	for _, c := range order {
		if c != nil && nothingCame(c.conn) {
			c.cut.Store(true)
			delete(t.all, c)
			c.conn.Close()
			return true
		}
	}
	return false
}

// nothingCame asks the socket itself, since what has come may not have been handled yet.
func nothingCame(conn netpoll.Connection) bool {
	fd, known := conn.(netpoll.Conn)
	if !known || !conn.IsActive() || conn.Reader().Len() > 0 {
		return false
	}
	_, _, err := syscall.Recvfrom(fd.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN)
}

// sweep ends those who say nothing or leave a command unfinished, and, where there are many, those idle longest.
func (s *Sender) sweep() {
	s.after(sweepEvery, s.sweep)
	now := s.sinceStart()
	var idle, late []*client
	s.clients.Lock()
	over := len(s.clients.all) - s.clients.easy
	for c := range s.clients.all {
		rest := time.Duration(c.rest.Load())
		switch half := time.Duration(c.half.Load()); {
		case c.closing || c.gone:
			over--
		case half != 0:
			if now-half >= halfFor {
				late = append(late, c)
			}
		case rest == 0 && now-c.came >= silentFor && c.quiet() && nothingCame(c.conn):
			late = append(late, c)
		case over > 0 && rest != 0 && now-rest >= idleFor && c.quiet() && nothingCame(c.conn):
			idle = append(idle, c)
		}
	}
	s.clients.Unlock()
	for _, c := range late {
		if c.half.Load() == 0 {
			s.closeClient(c, silent)
			continue
		}
		c.deaf.Store(true)
		c.half.Store(0)
		s.closeClient(c, halfCommand)
	}
	slices.SortFunc(idle, func(a, b *client) int { return cmp.Compare(a.rest.Load(), b.rest.Load()) })
	for _, c := range idle[:max(0, min(len(idle), over-len(late)))] {
		s.closeClient(c, linkIdle)
	}
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
	if c.deaf.Load() {
		c.in = nil
	} else {
		c.in = append(c.in, piece...)
	}
	r.Release()
	defer s.countUnread(c)
	if len(c.in) > maxAhead {
		s.turnDeaf(c)
		s.post(func() { s.closeClient(c, tooFarAhead) })
		return nil
	}
	at := 0
	for {
		args, took, err := resp.Command(c.in[at:], c.args)
		if err == nil && took == 0 && len(c.in)-at > maxInput {
			err = resp.ErrLength
		}
		if err == nil && took == 0 && c.unread == 0 && s.unread.Load()+int64(len(c.in)-at) > s.maxHalf {
			err = errTooMuch
		}
		if err != nil {
			s.turnDeaf(c)
			if len(c.room) > 0 {
				c.room <- struct{}{}
				s.post(func() { s.broken(c, err) })
				return nil
			}
			// Nothing else is owed, so it ends here: every moment more it could send at full speed.
			_, wrong := conn.Write(brokenText(err))
			s.post(func() {
				s.counts.badCommands++
				c.why = badCommand
			})
			return errors.Join(wrong, conn.Close())
		}
		if took == 0 {
			break
		}
		c.args = args
		at += took
		kept, _, _ := resp.Command(append([]byte(nil), c.in[at-took:at]...), nil)
		c.room <- struct{}{}
		s.post(func() { s.command(c, kept) })
		if c.deaf.Load() {
			s.turnDeaf(c)
			return nil
		}
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
		c.half.Store(max(1, int64(s.clock())))
	}
	c.in = append(c.in[:0], rest...)
	return nil
}

var errTooMuch = errors.New("too many commands are unfinished")

// turnDeaf belongs to the reader.
func (s *Sender) turnDeaf(c *client) {
	c.in = nil
	c.deaf.Store(true)
	c.half.Store(0)
}

// countUnread belongs to the reader.
func (s *Sender) countUnread(c *client) {
	now := int64(len(c.in))
	s.unread.Add(now - c.unread)
	c.unread = now
}

func brokenText(err error) []byte { return resp.AppendError(nil, "ERR protocol: "+err.Error()) }

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
		c.outs++
	}
	s.flush(c)
}

// badCommand answers what makes no sense. Who goes on like that is closed, or it would take the loop's time.
func (s *Sender) badCommand(r *reply, why string) {
	s.counts.badCommands++
	c := r.c
	if c.bad++; c.bad >= maxBad && !c.closing {
		c.deaf.Store(true)
		c.closing, c.why = true, badCommand
	}
	s.answer(r, resp.AppendError(nil, "ERR "+why))
}

// quiet tells whether nothing that the client has sent is on its way through us. Ending its connection otherwise
// would leave a command without an answer, which counts as lost.
func (c *client) quiet() bool {
	return len(c.room) == 0 && (c.deaf.Load() || !c.busy.Load() && c.half.Load() == 0)
}

// release gives back the places of answers that are written, or can't be any more.
func (c *client) release(count int) {
	for range count {
		<-c.room
	}
}

// flush has a goroutine of its own write, since netpoll waits for a reader that is slow.
func (s *Sender) flush(c *client) {
	switch {
	case c.gone:
		c.release(c.outs)
		c.out, c.outs = nil, 0
	case c.writing > 0:
	case len(c.out) > 0:
		text := c.out
		c.out, c.writing, c.outs = nil, c.outs, 0
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
	c.rest.Store(max(1, int64(s.sinceStart())))
	c.release(c.writing)
	c.writing = 0
	if err != nil {
		c.gone = true
		c.conn.Close()
	}
	s.flush(c)
}

// broken answers what cannot be read, and ends the connection.
func (s *Sender) broken(c *client, err error) {
	s.counts.badCommands++
	s.answer(s.expect(c), brokenText(err))
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
	s.flush(c)
	s.unread.Add(-c.unread) // the reader has ended before
	if c.why == "" {
		c.why = peerClosed
	}
	if c.cut.Load() {
		c.why = crowded
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
		if c.quiet() && !fresh && nothingCame(c.conn) {
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
		if !c.gone && len(c.room) > 0 {
			return true
		}
	}
	return false
}
