package sender

// This file manages the connections to endpoints (links): dialling, idling and closing. A link carries one call at a time,
// and no call gets a link that is known to have ended.

import (
	"container/list"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/config"
	"flaxcove/internal/http1"
)

// idleMargin is how much earlier than its endpoint this sender closes an idle link.
const idleMargin = 500 * time.Millisecond

// Reasons for the end of a connection to an endpoint or to the platform.
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

// link is one connection to an endpoint.
type link struct {
	sender   *Sender
	endpoint *endpoint
	addr     string // the address that was dialled; the endpoint may have moved since
	conn     netpoll.Connection
	answer   http1.Answer // parser of the answer; owned by netpoll's callback, of which only one runs at a time

	answerHeld int64 // bytes that the answer holds of holders.endpoints; owned by netpoll's callback

	// These two are shared by netpoll's callback, the writer and the loop.
	awaitingAnswer atomic.Bool           // a call was written and its answer is not complete
	badInput       atomic.Bool           // the input cannot be an answer
	inputError     atomic.Pointer[error] // why; set once, before badInput
	// inputLock is held from reading bytes until it is decided whether they are unsolicited, so that unsolicited bytes are
	// never taken for the beginning of the answer to a call that is written at the same moment.
	inputLock   sync.Mutex
	answerBegun bool // owned by netpoll's callback: the loop was told that the answer has begun

	// bufferLock is held to write to the connection or to inspect its socket outside the loop. It is taken after inputLock.
	// netpoll closes the descriptor and releases the buffers of a connection that has ended, and the descriptor's number
	// may be reused for another connection immediately.
	bufferLock      sync.Mutex
	buffersReleased bool

	// The loop owns the fields below.
	call           *call          // the call in flight on it; nil for none
	answeringCall  *call          // the call whose answer has begun
	writing        bool           // a goroutine writes a call
	answeredEarly  *call          // the call that was answered before its write had ended
	used           bool           // it has carried a call
	lastByteUnsent bool           // the last write ended before its last byte
	partialAnswer  *partialAnswer // set once the link has ended
	idleSince      time.Duration  // since the start
	answeredAt     time.Duration  // when its last answer was complete, since the start; 0 if it has carried none
	idleTimer      *timer         // set while it is idle
	idleElement    *list.Element  // its element of linkPool.idleOrder, set while it is idle
	closeReason    reason
	closing        bool
}

// partialAnswer describes the part of an answer that was received before the connection ended.
type partialAnswer struct {
	status int  // 0 if the first line is not complete
	begun  bool // at least one byte of the answer was received
	// completed is the answer if it is one whose body the end of the connection ends, and the endpoint has ended the
	// connection in order; else nil.
	completed *answer
}

// connectedCall is a call whose connection was established in this turn.
type connectedCall struct {
	call *call
	link *link
}

// linkPool is the part of a Sender that holds its links.
type linkPool struct {
	openLinks int         // idle links, busy links and dials in progress
	maxLinks  int         // limit of openLinks
	dial      func(*call) // opens a connection for a call; tests replace it
	// idleOrder holds all idle links, the one idle longest first. With more endpoints than sockets each call closes that
	// link; a search among all endpoints would take most of the loop's time.
	idleOrder list.List
}

// init sets maxLinks: the sockets that clients and the process itself leave over, but at least one more than the in-flight
// limit. maxClients is the limit of clients' connections.
func (p *linkPool) init(cfg *config.Config, maxClients int) {
	p.maxLinks = max(cfg.Settings.InFlightLimit+1, cfg.Limits.Sockets-maxClients-reservedDescriptors)
}

// dialEndpoint opens a connection for a call in a goroutine of its own. It takes at most the call's timeout, and at most
// DialTimeout if that is set.
func (s *Sender) dialEndpoint(c *call) {
	addr, timeout := c.endpoint.addr, c.timeout
	if s.cfg.Settings.DialTimeout != 0 {
		timeout = min(s.cfg.Settings.DialTimeout, c.timeout)
	}
	go func() {
		conn, err := netpoll.DialConnection("tcp", addr, time.Duration(config.Nanoseconds(max(1, timeout))))
		if err == nil {
			err = boundReceiveBuffer(conn)
		}
		s.post(func() { s.onDialed(c, conn, err) })
	}()
}

// boundReceiveBuffer sets the size of the kernel's receive buffer of a new link, and so of the most that netpoll reads at once
// of an answer that does not end. If that fails, it closes the link.
func boundReceiveBuffer(conn netpoll.Connection) error {
	fd, known := conn.(netpoll.Conn)
	if !known {
		return nil
	}
	if err := syscall.SetsockoptInt(fd.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer); err != nil {
		return errors.Join(err, conn.Close())
	}
	return nil
}

// takeIdle removes and returns the settled idle link that was used last, so that the others can time out; nil if there is
// none. It checks the socket itself: a call sent on a link that has ended, but whose end is not handled yet, may count as
// one that has run.
func (s *Sender) takeIdle(e *endpoint) *link {
	for {
		l := s.settledLink(e)
		if l == nil {
			return nil
		}
		s.removeIdle(l)
		if noInputPending(l.conn) {
			return l
		}
		s.closeLink(l, peerClosed)
	}
}

// isResourceShortage reports whether a dial failed because this process or machine is out of a resource.
func isResourceShortage(err error) bool {
	shortages := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}
	return slices.ContainsFunc(shortages, func(shortage error) bool { return errors.Is(err, shortage) })
}

// onDialed handles the end of a dial. The call is sent at the end of the turn, once its attempt is on record.
func (s *Sender) onDialed(c *call, conn netpoll.Connection, err error) {
	if err != nil {
		s.onDialFailed(c, err)
		return
	}
	l := &link{sender: s, endpoint: c.endpoint, addr: c.addr, conn: conn}
	conn.AddCloseCallback(func(netpoll.Connection) error {
		// This must not wait for the loop, which may be the one that closes the connection.
		l.bufferLock.Lock()
		l.buffersReleased = true
		l.bufferLock.Unlock()
		end := l.endOfInput()
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

// onDialFailed ends the call, or lets it wait for capacity if this process is short of a resource.
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

// isObsolete reports whether a link's endpoint is gone or has moved. Another endpoint, of another destination, may now
// serve at the link's address.
func (l *link) isObsolete() bool { return l.endpoint.gone || l.addr != l.endpoint.addr }

// makeIdle keeps a link for later calls, or closes it if its endpoint is gone or has moved.
func (s *Sender) makeIdle(l *link) {
	l.call = nil
	switch {
	case l.closing:
		return
	case l.endpoint.gone:
		s.closeLink(l, endpointUnlisted)
		return
	case l.isObsolete():
		s.closeLink(l, endpointMoved)
		return
	}
	l.endpoint.idle = append(l.endpoint.idle, l)
	l.idleSince = s.sinceStart()
	l.idleElement = s.idleOrder.PushBack(l)
	s.startIdleTimer(l)
}

// removeIdle removes a link from the idle links. It does nothing if the link is not idle.
func (s *Sender) removeIdle(l *link) {
	l.endpoint.idle = slices.DeleteFunc(l.endpoint.idle, func(other *link) bool { return other == l })
	if l.idleElement != nil {
		s.idleOrder.Remove(l.idleElement)
		l.idleElement = nil
	}
	s.cancelTimer(l.idleTimer)
}

// closeIdleLink closes an idle link.
func (s *Sender) closeIdleLink(l *link, why reason) {
	s.removeIdle(l)
	s.closeLink(l, why)
}

// closeIdleLinks closes all idle links to an endpoint.
func (s *Sender) closeIdleLinks(e *endpoint, why reason) {
	for len(e.idle) > 0 {
		s.closeIdleLink(e.idle[len(e.idle)-1], why)
	}
}

// closeOldestIdle closes the link that has been idle longest, and reports whether there was an idle link.
func (s *Sender) closeOldestIdle() bool {
	oldest := s.idleOrder.Front()
	if oldest == nil {
		return false
	}
	s.closeIdleLink(oldest.Value.(*link), displaced)
	return true
}

// closeLink closes a link unless that was done before. onLinkEnded is called afterwards.
func (s *Sender) closeLink(l *link, why reason) {
	if l.closing {
		return
	}
	l.closing, l.closeReason = true, why
	l.conn.Close()
}

// inputErrorOf returns the error for which the input of a link was rejected, with the time since its last answer; nil if
// there is none. The time tells a second copy of that answer from input that comes later.
func (s *Sender) inputErrorOf(l *link) error {
	err := l.inputError.Load()
	if err == nil {
		return nil
	}
	if l.answeredAt == 0 {
		return *err
	}
	return fmt.Errorf("%w; %d ms after its last answer", *err, (s.sinceStart() - l.answeredAt).Milliseconds())
}

// onLinkEnded handles the end of a link. It is called once for each link, whichever side has closed it.
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
	s.logConnEnded("endpoint", string(l.endpoint.id), l.closeReason, s.inputErrorOf(l))
	s.dropIfUnused(l.endpoint)
	l.partialAnswer = end
	if !l.writing { // else onWritten calls onLinkCutOff, as the outcome depends on whether the last byte was sent
		s.onLinkCutOff(l)
	}
}
