package sender

// This file owns the connections to endpoints: how they come up, idle and end. Each carries one call at a time. It must
// never hand out one whose end has come, nor let a call leave on one that came up too late for it.

import (
	"container/list"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/config"
	"flaxcove/internal/http1"
)

const idleMargin = 500 * time.Millisecond // we close an idle link so long before its endpoint would

const (
	linkIdle   reason = "idle"
	unlisted   reason = "endpoint_unlisted"
	moved      reason = "endpoint_moved"
	unneeded   reason = "not_needed"
	gaveUp     reason = "call_given_up"
	badAnswer  reason = "bad_answer"
	askedClose reason = "endpoint_closes"
	notUp      reason = "connect_failed"
	crowded    reason = "made_room"
	forgotten  reason = "forgotten"
	unwritten  reason = "write_failed"
)

// link is one connection to an endpoint. The answer belongs to netpoll's one running callback.
type link struct {
	s      *Sender
	e      *endpoint
	addr   string // that was dialled
	conn   netpoll.Connection
	answer http1.Answer

	asked atomic.Bool // a call was written and its answer has not come whole; shared with the loop
	bad   atomic.Bool // what came cannot be an answer
	// reading holds from taking bytes in until it is clear whether they were asked for, so that bytes nobody asked
	// for are never taken for the start of the answer to a call that is written in that moment.
	reading sync.Mutex
	halfway bool // netpoll's callback: the loop knows that the answer has begun

	// netpoll closes the descriptor and drops the buffers of a connection that has ended; the number may be another's
	// by the next moment. Who writes to it or looks at it off the loop holds this lock, behind that of reading.
	bufferLock sync.Mutex
	noBuffer   bool

	call    *call // loop, as all below
	began   *call // whose answer has begun
	writing bool
	early   *call // that was answered before its write had ended
	used    bool  // it has carried a call
	unsent  bool  // the last write did not bring its last byte away
	ended   *partial
	idleAt  time.Duration
	idleEnd *timer        // set while it is idle
	idleAs  *list.Element // of links.idleOrder, likewise
	why     reason
	closing bool
}

// partial is what had come of an answer when its connection ended.
type partial struct {
	status int
	began  bool
}

// arrival is a call whose connection came up in this turn.
type arrival struct {
	c *call
	l *link
}

type links struct {
	open     int // idle, busy and coming up
	mostOpen int
	dial     func(*call) // a test puts its own in place
	// idleOrder holds all idle links, the one idle longest first. With more endpoints than sockets each call closes that
	// one, and looking for it at all endpoints took most of the loop's time. A link leaves as it is used or ends.
	idleOrder list.List
}

func (l *links) init(cfg *config.Config, clients int) {
	l.mostOpen = max(cfg.Settings.InFlightLimit+1, cfg.Limits.Sockets-clients-reservedDescriptors)
}

func (s *Sender) connect(c *call) {
	addr, within := c.e.addr, min(s.cfg.Settings.DialTimeout, c.lasts)
	if s.cfg.Settings.DialTimeout == 0 {
		within = c.lasts
	}
	go func() {
		conn, err := netpoll.DialConnection("tcp", addr, time.Duration(config.Nanoseconds(max(1, within))))
		s.post(func() { s.dialed(c, conn, err) })
	}()
}

// takeIdle is the link used last, so that the others can idle out. One whose end has come but was not handled
// yet would cost a call that may have run, so the socket itself is asked.
func (s *Sender) takeIdle(e *endpoint) *link {
	for len(e.idle) > 0 {
		l := e.idle[len(e.idle)-1]
		s.notIdle(l)
		if noInputPending(l.conn) {
			return l
		}
		s.closeLink(l, peerClosed)
	}
	return nil
}

// noRoomFor tells whether a dial failed for want of something that this process or machine has no more of.
func noRoomFor(err error) bool {
	for _, want := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, want) {
			return true
		}
	}
	return false
}

func (s *Sender) dialed(c *call, conn netpoll.Connection, err error) {
	if err != nil {
		s.open--
		c.e.links--
		s.counts.connectsFailed++
		s.logEnd("endpoint", string(c.e.id), notUp, err)
		s.forget(c.e)
		if noRoomFor(err) {
			s.closeOldestIdle()
			s.awaitRoom(c)
			return
		}
		s.connectFailed(c)
		return
	}
	l := &link{s: s, e: c.e, addr: c.addr, conn: conn}
	conn.AddCloseCallback(func(netpoll.Connection) error {
		// The loop may be the one that closes, so this must not wait for it.
		l.bufferLock.Lock()
		l.noBuffer = true
		l.bufferLock.Unlock()
		end := &partial{l.answer.Status(), l.answer.Began()}
		go s.post(func() { s.linkEnded(l, end) })
		return nil
	})
	conn.SetOnRequest(l.onBytes)
	if !conn.IsActive() {
		// It ended before netpoll knew whom to tell.
		conn.Close()
	}
	s.stirred = true
	s.connected = append(s.connected, arrival{c, l})
}

// astray tells whether a link leads to where its endpoint is not, or not any more: at its old address there may be
// another one, of another destination.
func (l *link) astray() bool { return l.e.gone || l.addr != l.e.addr }

func (s *Sender) makeIdle(l *link) {
	l.call = nil
	if l.closing {
		return
	}
	switch {
	case l.e.gone:
		s.closeLink(l, unlisted)
		return
	case l.astray():
		s.closeLink(l, moved)
		return
	}
	l.e.idle = append(l.e.idle, l)
	l.idleAt = s.sinceStart()
	l.idleAs = s.idleOrder.PushBack(l)
	s.endIdle(l)
}

// notIdle takes a link from those that idle, if it is one.
func (s *Sender) notIdle(l *link) {
	l.e.idle = slices.DeleteFunc(l.e.idle, func(other *link) bool { return other == l })
	if l.idleAs != nil {
		s.idleOrder.Remove(l.idleAs)
		l.idleAs = nil
	}
	s.takeBack(l.idleEnd)
}

func (s *Sender) dropIdle(l *link, why reason) {
	s.notIdle(l)
	s.closeLink(l, why)
}

func (s *Sender) closeIdle(e *endpoint, why reason) {
	for len(e.idle) > 0 {
		s.dropIdle(e.idle[len(e.idle)-1], why)
	}
}

func (s *Sender) closeOldestIdle() bool {
	oldest := s.idleOrder.Front()
	if oldest == nil {
		return false
	}
	s.dropIdle(oldest.Value.(*link), crowded)
	return true
}

func (s *Sender) closeLink(l *link, why reason) {
	if l.closing {
		return
	}
	l.closing, l.why = true, why
	l.conn.Close()
}

// linkEnded hears of every link's end, ours or theirs.
func (s *Sender) linkEnded(l *link, end *partial) {
	if !l.closing {
		l.closing, l.why = true, peerClosed
		if l.bad.Load() {
			l.why = badAnswer
		}
	}
	s.notIdle(l)
	s.open--
	l.e.links--
	s.counts.linksEnded++
	s.logEnd("endpoint", string(l.e.id), l.why, nil)
	s.forget(l.e)
	// Whether the last byte left decides what the end means, so the write is waited for.
	if l.ended = end; !l.writing {
		s.cutOff(l)
	}
}
