package sender

// This file takes in: it owns the listener and the table of client connections. It must never let clients that say
// nothing, or nothing that can be read, keep places from the others.

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/config"
)

const (
	window   = 64 // commands of one client without an answer
	writeFor = 5 * time.Second
	spareFDs = 48                     // for the process itself, discovery, the platform and the journal
	dumbFor  = 200 * time.Millisecond // usual ones have sent something by then
	idleFor  = 2 * time.Second        // who has been served may stay so long after its last answer
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
