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
	idleTimeout      reason = "idle"
	endpointUnlisted reason = "endpoint_unlisted"
	endpointMoved    reason = "endpoint_moved"
	notNeeded        reason = "not_needed"
	callAbandoned    reason = "call_given_up"
	badAnswer        reason = "bad_answer"
	endpointCloses   reason = "endpoint_closes"
	connectFailure   reason = "connect_failed"
	displaced        reason = "made_room"
	endpointEvicted  reason = "forgotten"
	writeFailed      reason = "write_failed"
)

// link is one connection to an endpoint. The answer belongs to netpoll's one running callback.
type link struct {
	sender   *Sender
	endpoint *endpoint
	addr     string // that was dialled
	conn     netpoll.Connection
	answer   http1.Answer

	awaitingAnswer atomic.Bool // a call was written and its answer has not come whole; shared with the loop
	badInput       atomic.Bool // what came cannot be an answer
	// inputLock holds from taking bytes in until it is clear whether they were asked for, so that bytes nobody asked
	// for are never taken for the start of the answer to a call that is written in that moment.
	inputLock   sync.Mutex
	answerBegun bool // netpoll's callback: the loop knows that the answer has begun

	// netpoll closes the descriptor and drops the buffers of a connection that has ended; the number may be another's
	// by the next moment. Who writes to it or looks at it off the loop holds this lock, behind that of reading.
	bufferLock      sync.Mutex
	buffersReleased bool

	call           *call // loop, as all below
	answeringCall  *call // whose answer has begun
	writing        bool
	answeredEarly  *call // that was answered before its write had ended
	used           bool  // it has carried a call
	lastByteUnsent bool  // the last write did not bring its last byte away
	partialAnswer  *partialAnswer
	idleSince      time.Duration
	idleTimer      *timer        // set while it is idle
	idleElement    *list.Element // of links.idleOrder, likewise
	closeReason    reason
	closing        bool
}

// partialAnswer is what had come of an answer when its connection ended.
type partialAnswer struct {
	status int
	begun  bool
}

// connectedCall is a call whose connection came up in this turn.
type connectedCall struct {
	call *call
	link *link
}

type linkPool struct {
	openLinks int // idle, busy and coming up
	maxLinks  int
	dial      func(*call) // a test puts its own in place
	// idleOrder holds all idle links, the one idle longest first. With more endpoints than sockets each call closes that
	// one, and looking for it at all endpoints took most of the loop's time. A link leaves as it is used or ends.
	idleOrder list.List
}

func (l *linkPool) init(cfg *config.Config, clients int) {
	l.maxLinks = max(cfg.Settings.InFlightLimit+1, cfg.Limits.Sockets-clients-reservedDescriptors)
}

func (s *Sender) dialEndpoint(c *call) {
	addr, within := c.endpoint.addr, min(s.cfg.Settings.DialTimeout, c.timeout)
	if s.cfg.Settings.DialTimeout == 0 {
		within = c.timeout
	}
	go func() {
		conn, err := netpoll.DialConnection("tcp", addr, time.Duration(config.Nanoseconds(max(1, within))))
		s.post(func() { s.onDialed(c, conn, err) })
	}()
}

// takeIdle is the link used last, so that the others can idle out. One whose end has come but was not handled
// yet would cost a call that may have run, so the socket itself is asked.
func (s *Sender) takeIdle(e *endpoint) *link {
	for len(e.idle) > 0 {
		l := e.idle[len(e.idle)-1]
		s.removeIdle(l)
		if noInputPending(l.conn) {
			return l
		}
		s.closeLink(l, peerClosed)
	}
	return nil
}

// isResourceShortage tells whether a dial failed for want of something that this process or machine has no more of.
func isResourceShortage(err error) bool {
	for _, want := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, want) {
			return true
		}
	}
	return false
}

func (s *Sender) onDialed(c *call, conn netpoll.Connection, err error) {
	if err != nil {
		s.openLinks--
		c.endpoint.linkCount--
		s.counts.connectsFailed++
		s.logConnEnded("endpoint", string(c.endpoint.id), connectFailure, err)
		s.dropIfUnused(c.endpoint)
		if isResourceShortage(err) {
			s.closeOldestIdle()
			s.awaitCapacity(c)
			return
		}
		s.connectFailed(c)
		return
	}
	l := &link{sender: s, endpoint: c.endpoint, addr: c.addr, conn: conn}
	conn.AddCloseCallback(func(netpoll.Connection) error {
		// The loop may be the one that closes, so this must not wait for it.
		l.bufferLock.Lock()
		l.buffersReleased = true
		l.bufferLock.Unlock()
		end := &partialAnswer{l.answer.Status(), l.answer.Began()}
		go s.post(func() { s.onLinkEnded(l, end) })
		return nil
	})
	conn.SetOnRequest(l.onEndpointInput)
	if !conn.IsActive() {
		// It ended before netpoll knew whom to tell.
		conn.Close()
	}
	s.eventsPending = true
	s.connected = append(s.connected, connectedCall{c, l})
}

// leadsElsewhere tells whether a link leads to where its endpoint is not, or not any more: at its old address there may be
// another one, of another destination.
func (l *link) leadsElsewhere() bool { return l.endpoint.gone || l.addr != l.endpoint.addr }

func (s *Sender) makeIdle(l *link) {
	l.call = nil
	if l.closing {
		return
	}
	switch {
	case l.endpoint.gone:
		s.closeLink(l, endpointUnlisted)
		return
	case l.leadsElsewhere():
		s.closeLink(l, endpointMoved)
		return
	}
	l.endpoint.idle = append(l.endpoint.idle, l)
	l.idleSince = s.sinceStart()
	l.idleElement = s.idleOrder.PushBack(l)
	s.startIdleTimer(l)
}

// removeIdle takes a link from those that idle, if it is one.
func (s *Sender) removeIdle(l *link) {
	l.endpoint.idle = slices.DeleteFunc(l.endpoint.idle, func(other *link) bool { return other == l })
	if l.idleElement != nil {
		s.idleOrder.Remove(l.idleElement)
		l.idleElement = nil
	}
	s.cancelTimer(l.idleTimer)
}

func (s *Sender) closeIdleLink(l *link, why reason) {
	s.removeIdle(l)
	s.closeLink(l, why)
}

func (s *Sender) closeIdleLinks(e *endpoint, why reason) {
	for len(e.idle) > 0 {
		s.closeIdleLink(e.idle[len(e.idle)-1], why)
	}
}

func (s *Sender) closeOldestIdle() bool {
	oldest := s.idleOrder.Front()
	if oldest == nil {
		return false
	}
	s.closeIdleLink(oldest.Value.(*link), displaced)
	return true
}

func (s *Sender) closeLink(l *link, why reason) {
	if l.closing {
		return
	}
	l.closing, l.closeReason = true, why
	l.conn.Close()
}

// onLinkEnded hears of every link's end, ours or theirs.
func (s *Sender) onLinkEnded(l *link, end *partialAnswer) {
	if !l.closing {
		l.closing, l.closeReason = true, peerClosed
		if l.badInput.Load() {
			l.closeReason = badAnswer
		}
	}
	s.removeIdle(l)
	s.openLinks--
	l.endpoint.linkCount--
	s.counts.linksEnded++
	s.logConnEnded("endpoint", string(l.endpoint.id), l.closeReason, nil)
	s.dropIfUnused(l.endpoint)
	// Whether the last byte left decides what the end means, so the write is waited for.
	if l.partialAnswer = end; !l.writing {
		s.onLinkCutOff(l)
	}
}
