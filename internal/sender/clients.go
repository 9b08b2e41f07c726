package sender

// This file takes in: it owns the listener and the table of client connections. It must never let clients that say
// nothing, or nothing that can be read, keep places from the others.

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/choice"
	"flaxcove/internal/config"
)

const (
	windowSize          = 64 // commands of one client without an answer
	clientWriteTimeout  = 5 * time.Second
	reservedDescriptors = 48                     // for the process itself, discovery, the platform and the journal
	firstInputTimeout   = 200 * time.Millisecond // usual ones have sent something by then
	minIdleTime         = 2 * time.Second        // who has been served may stay so long after its last answer
)

const (
	peerClosed     reason = "peer_closed"
	badCommand     reason = "bad_command"
	tooManyClients reason = "too_many_clients"
	partialCommand reason = "half_a_command"
	slowReader     reason = "answers_not_read"
	tooFarAhead    reason = "too_far_ahead"
	drained        reason = "drained"
	silentClient   reason = "said_nothing"
	tooMuchHalf    reason = "too_much_unfinished"
)

type clientFrontend struct {
	clients          clientTable
	listener         netpoll.Listener
	unparsedBytes    atomic.Int64 // bytes of commands that are not whole yet, of all clients
	maxUnparsedBytes int64        // of them
}

// clientTable holds the open clients; each leaves when its connection has ended. Its lock is shared by the loop and the
// pollers, since a connection must be counted before it is read; a client's gate may be taken while it is held, never
// the other way round, and no connection is closed under either.
type clientTable struct {
	sync.Mutex
	all                map[*client]struct{}
	maxConns           int                    // descriptors of all of them
	maxServed          int                    // for those who are served; the rest is for those who leave
	served             int                    // neither leaving nor ended
	idleCloseThreshold int                    // up to here nobody is closed for being idle
	stopped            bool                   // nobody is served any more
	busyReply          atomic.Pointer[[]byte] // what one who finds no place is told; read off the loop too
}

// setBusyReply has those who find no place told the time to come back that settings name.
func (t *clientTable) setBusyReply(set *choice.Settings) {
	text := busyText(int64(set.LongestReturn / choice.Millisecond))
	t.busyReply.Store(&text)
}

func (t *clientTable) count() int {
	t.Lock()
	defer t.Unlock()
	return len(t.all)
}

// client is one connection. The reader's fields belong to netpoll's one running callback, the loop's to the loop.
type client struct {
	conn         netpoll.Connection
	peer         string
	window       chan struct{} // one for each command without an answer, from before the loop hears of it
	readerBusy   atomic.Bool   // the reader is at work
	partialSince atomic.Int64  // since when a command is not whole yet, by the sender's clock; 0 for none
	idleSince    atomic.Int64  // since when it has had all its answers, likewise; 0 before its first
	ignoreInput  atomic.Bool   // nothing more is read: after a broken command nothing tells where the next begins

	stateLock   sync.Mutex // taken last; who sets one of these has the table locked too, but for shut
	writeClosed bool       // our sending has ended: nothing that is read from here on is taken on
	// Our sending has not ended, but the client has lost its place: what it sends is answered with a refusal.
	rejected         bool
	lingering        bool // shut, or turned away
	descriptorClosed bool // the descriptor is given back, and may be another connection's by now
	lingeringSince   time.Duration
	lingerReason     reason // why it is leaving

	input     []byte // reader
	args      [][]byte
	unparsed  int64 // its part of takeIn.unparsedBytes
	discarded int   // bytes that came once it was leaving

	connectedAt      time.Duration // since the start
	replies          []*reply      // loop: answers owed, in the order of the commands
	served           bool
	badCommands      int
	output           []byte
	outputReplies    int    // answers in out
	writingReplies   int    // answers being written
	closeReason      reason // why we close it
	closing          bool
	recheckScheduled bool // a timer looks again whether it can be closed
	disconnected     bool
}

// reply is the place of one answer.
type reply struct {
	client *client
	text   []byte // nil until it is known
}

func (f *clientFrontend) init(cfg *config.Config) {
	f.clients.all = map[*client]struct{}{}
	f.clients.maxConns = cfg.Limits.Sockets / 2
	f.clients.maxServed = f.clients.maxConns - max(1, f.clients.maxConns/8)
	f.clients.setBusyReply(&cfg.Settings)
	f.clients.idleCloseThreshold = cfg.Limits.Sockets / 4
	f.maxUnparsedBytes = max(4*maxInput, cfg.Limits.MemoryMB<<20/16)
}

// descriptorLimit are all that the system gives this process. Settings that say more would have clients take those of the
// journal, the platform and discovery: none could be opened any more, and nothing would ever be given back.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

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
	// The listener lives as long as the process: netpoll closes its descriptor twice.
	go loop.Serve(ln)
	return nil
}

// Addr is where clients are served.
func (s *Sender) Addr() string { return s.listener.Addr().String() }

type clientKey struct{}

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

// add lets one who has come in. Another may have to leave for it, or it is turned away itself. Beyond what all
// together may hold, who has been leaving longest is cut off.
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

// displaceOne has one client part for another: the one idle longest, if for long enough, else the one that has been
// silent longest since it came. Where neither has lasted, the one idle longest goes all the same: it has its answers
// and comes again. One that has said nothing yet is turned away, as its first command may be on its way. The table is
// locked.
func (t *clientTable) displaceOne(now time.Duration) *client {
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
	order := append(slices.Clone(idle), silent...)
	if len(silent) > 0 && now-silent[0].connectedAt >= firstInputTimeout && len(idle) > 0 && now-time.Duration(idle[0].idleSince.Load()) < minIdleTime {
		order = append(silent, idle...)
	}
	for _, c := range order {
		if c.idleSince.Load() != 0 && t.halfClose(c, now, displaced, false) {
			return c
		}
		if c.idleSince.Load() == 0 && noInputPending(c.conn) && t.reject(c, now, displaced) {
			return c
		}
	}
	return nil
}
