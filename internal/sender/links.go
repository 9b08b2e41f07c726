package sender

// This file owns the connections to endpoints (links): how they come up, idle and end. Each carries one call at a time,
// and a link whose end has come is never handed out.

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

// idleMargin is how long before its endpoint would this sender closes an idle link.
const idleMargin = 500 * time.Millisecond

// Why a connection to an endpoint or to the platform ended, as the log reports it.
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

// link is one connection to an endpoint. The parser of its answer belongs to netpoll's one running callback.
type link struct {
	sender   *Sender
	endpoint *endpoint
	addr     string // that was dialled; its endpoint may have moved since
	conn     netpoll.Connection
	answer   http1.Answer

	awaitingAnswer atomic.Bool // a call was written and its answer is not complete; shared with the loop
	badInput       atomic.Bool // what came cannot be an answer
	// inputLock is held from reading bytes until it is clear whether they were asked for, so that unsolicited bytes are
	// never taken for the begin of the answer to a call that is written at that moment.
	inputLock   sync.Mutex
	answerBegun bool // of netpoll's callback: the loop knows that the answer has begun

	// bufferLock is held by who writes to the connection or looks at its socket off the loop. It is taken after inputLock.
	// netpoll closes the descriptor and drops the buffers of a connection that has ended, and the descriptor's number may
	// be another connection's at once.
	bufferLock      sync.Mutex
	buffersReleased bool

	// Of the loop.
	call           *call // that it carries
	answeringCall  *call // the one whose answer has begun
	writing        bool
	answeredEarly  *call          // the one that was answered before its write had ended
	used           bool           // it has carried a call
	lastByteUnsent bool           // the last write ended before its last byte
	partialAnswer  *partialAnswer // set once the link has ended
	idleSince      time.Duration
	idleTimer      *timer        // set while it is idle
	idleElement    *list.Element // of linkPool.idleOrder, set while it is idle
	closeReason    reason
	closing        bool
}

// partialAnswer is the part of an answer that had come when its connection ended.
type partialAnswer struct {
	status int // 0 before a complete first line
	begun  bool
}

// connectedCall is a call whose connection came up in this turn.
type connectedCall struct {
	call *call
	link *link
}

// linkPool is the part of a Sender that holds its links.
type linkPool struct {
	openLinks int // idle, busy and coming up
	maxLinks  int
	dial      func(*call) // tests replace it
	// idleOrder holds all idle links, the one idle longest first. With more endpoints than sockets each call closes that
	// one; a search among all endpoints would take most of the loop's time.
	idleOrder list.List
}

func (p *linkPool) init(cfg *config.Config, clients int) {
	p.maxLinks = max(cfg.Settings.InFlightLimit+1, cfg.Limits.Sockets-clients-reservedDescriptors)
}

// dialEndpoint opens a connection for a call, within DialTimeout if that is set, and within the call's time.
func (s *Sender) dialEndpoint(c *call) {
	addr, within := c.endpoint.addr, c.timeout
	if s.cfg.Settings.DialTimeout != 0 {
		within = min(s.cfg.Settings.DialTimeout, c.timeout)
	}
	go func() {
		conn, err := netpoll.DialConnection("tcp", addr, time.Duration(config.Nanoseconds(max(1, within))))
		s.post(func() { s.onDialed(c, conn, err) })
	}()
}

// takeIdle takes the idle link that was used last, so that the others can time out; nil for none. A call that is sent on a
// link whose end has come, but is not handled yet, may count as one that has run, so the socket itself is asked.
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

// isResourceShortage reports whether a dial failed for want of a resource of this process or machine.
func isResourceShortage(err error) bool {
	shortages := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}
	return slices.ContainsFunc(shortages, func(want error) bool { return errors.Is(err, want) })
}

// onDialed is called when a dial has ended. The call is sent at the end of the turn, once it is on record.
func (s *Sender) onDialed(c *call, conn netpoll.Connection, err error) {
	if err != nil {
		s.onDialFailed(c, err)
		return
	}
	l := &link{sender: s, endpoint: c.endpoint, addr: c.addr, conn: conn}
	conn.AddCloseCallback(func(netpoll.Connection) error {
		// No waiting for the loop here: it may be the loop that closes.
		l.bufferLock.Lock()
		l.buffersReleased = true
		l.bufferLock.Unlock()
		end := &partialAnswer{l.answer.Status(), l.answer.Started()}
		go s.post(func() { s.onLinkEnded(l, end) })
		return nil
	})
	conn.SetOnRequest(l.onEndpointInput)
	if !conn.IsActive() {
		conn.Close() // it ended before the callbacks were set
	}
	s.eventsPending = true
	s.connected = append(s.connected, connectedCall{c, l})
}

func (s *Sender) onDialFailed(c *call, err error) {
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
}

// leadsElsewhere reports whether a link's endpoint is gone or has moved: at its old address there may be another one, of
// another destination.
func (l *link) leadsElsewhere() bool { return l.endpoint.gone || l.addr != l.endpoint.addr }

// makeIdle keeps a link for later calls, or closes it where its endpoint is gone or has moved.
func (s *Sender) makeIdle(l *link) {
	l.call = nil
	switch {
	case l.closing:
		return
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

// removeIdle takes a link out of the idle ones, if it is one.
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

// closeOldestIdle closes the link that has been idle longest, and reports whether there was one.
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

// onLinkEnded is called once for each link, whoever has closed it.
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
	l.partialAnswer = end
	if !l.writing { // else onWritten does, as the outcome depends on whether the last byte was sent
		s.onLinkCutOff(l)
	}
}
