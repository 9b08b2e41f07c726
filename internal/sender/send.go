package sender

// This file sends: it owns the connections to endpoints and the calls on them, from the first byte to an answer,
// an end or a time-out. Each connection carries one call at a time. It must never send a call again by itself,
// write one whose time has passed or whose endpoint the module has meanwhile closed off, leave a call that was
// given up on an open connection, or take a call of which a byte may be missing for one that ran.

import (
	"context"
	"encoding/base64"
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/http1"
)

const (
	probeFor   = 1500 * choice.Millisecond // an answer to a probe
	idleMargin = 500 * time.Millisecond    // we close an idle link so long before its endpoint would
	// settleFor lies between the end of a given-up call's connection and what the module does next: its
	// endpoint must see the end before a new call with the same notice, or counts two at once.
	settleFor = 10 * time.Millisecond
	// restFor is how long the rest of an answer may take: endpoints write one in one go, and what stops in the
	// middle would hold a slot until the call's time-out.
	restFor = 250 * time.Millisecond
)

var errUnasked = errors.New("bytes that nobody asked for")

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
	unwritten  reason = "write_failed"
)

// call is one request on its way: the notices it carries, or a probe.
type call struct {
	s       *Sender
	e       *endpoint
	notices []*notice
	probe   bool
	kept    bool // its link had carried a call before
	began   choice.Time
	lasts   choice.Time // the longest time-out of its notices
	link    *link       // once it is up
	timers  []*timer    // its end and that of notices whose time is over before; taken back once it is over
	over    bool
}

// link is one connection to an endpoint. The answer belongs to netpoll's one running callback.
type link struct {
	s      *Sender
	e      *endpoint
	conn   netpoll.Connection
	answer http1.Answer

	asked atomic.Bool // a call was written and its answer has not come whole; shared with the loop
	bad   atomic.Bool // what came cannot be an answer
	// reading holds from taking bytes in until it is clear whether they were asked for, so that bytes nobody asked
	// for are never taken for the start of the answer to a call that is written in that moment.
	reading sync.Mutex
	halfway bool // netpoll's callback: the loop knows that the answer has begun

	// netpoll drops a closed connection's buffers, and laying bytes up in them then ends the process.
	bufferLock sync.Mutex
	noBuffer   bool

	call    *call // loop, as all below
	began   *call // whose answer has begun
	writing bool
	used    bool // it has carried a call
	unsent  bool // the last write did not bring its last byte away
	ended   *partial
	idleAt  time.Duration
	idleEnd *timer // set while it is idle
	why     reason
	closing bool
}

// partial is what had come of an answer when its connection ended.
type partial struct {
	status int
	began  bool
}

type links struct {
	open     int // idle, busy and coming up
	mostOpen int
	dial     func(*call) // a test puts its own in place
}

func (l *links) init(cfg *config.Config, clients int) {
	l.mostOpen = max(cfg.Settings.Slots+1, cfg.Limits.Sockets-clients-spareFDs)
}

// startCalls lets the turn's calls leave.
func (s *Sender) startCalls() {
	for _, c := range s.starting {
		c.e.open = nil
		s.begin(c)
	}
	clear(s.starting)
	s.starting = s.starting[:0]
}

func (s *Sender) begin(c *call) {
	if !c.probe && !s.timeCall(c) {
		return
	}
	c.timers = append(c.timers, s.after(time.Duration(config.Nanoseconds(c.lasts)), func() { s.expire(c) }))
	if l := s.takeIdle(c.e); l != nil {
		s.write(c, l)
		return
	}
	if s.open >= s.mostOpen && !s.closeOldestIdle() || c.e.addr == "" {
		s.logEnd("endpoint", string(c.e.id), crowded, nil)
		s.connectFailed(c)
		return
	}
	s.open++
	c.e.links++
	s.counts.connects++
	s.dial(c)
}

// timeCall bounds a call by the longest time that one of its notices has left, and lets those with less end alone:
// a call ended for one of them would leave all others with a time-out, and what is single-use given up. It tells
// whether anything is left to send.
func (s *Sender) timeCall(c *call) bool {
	longest := choice.Time(0)
	for _, n := range slices.Clone(c.notices) {
		left := n.HardStop - s.Now() - s.cfg.Settings.Turn
		if longest = max(longest, left); left <= 0 {
			s.part(c, n)
		}
	}
	c.lasts = min(c.lasts, longest)
	for _, n := range c.notices {
		if left := n.HardStop - s.Now() - s.cfg.Settings.Turn; left < c.lasts {
			c.timers = append(c.timers, s.after(time.Duration(config.Nanoseconds(left)), func() { s.part(c, n) }))
		}
	}
	return len(c.notices) > 0
}

// part ends a notice whose time is over before that of its call. It is not sent any more if it has not been; else it
// may have run, and whatever the answer still says of it comes too late.
func (s *Sender) part(c *call, n *notice) {
	if c.over || n.out != c {
		return
	}
	s.stirred = true
	o := choice.Outcome{Notice: n.ID, Dispatch: n.tries - 1, Endpoint: c.e.id, Took: s.Now() - c.began, Result: choice.Cancelled}
	if c.link == nil {
		o.Result = choice.Moot
		c.notices = slices.DeleteFunc(c.notices, func(other *notice) bool { return other == n })
	}
	s.told(c, n, o, nil)
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
		e.idle = e.idle[:len(e.idle)-1]
		s.takeBack(l.idleEnd)
		if nothingCame(l.conn) {
			return l
		}
		s.closeLink(l, peerClosed)
	}
	return nil
}

func (s *Sender) dialed(c *call, conn netpoll.Connection, err error) {
	if err != nil {
		s.open--
		c.e.links--
		s.counts.connectsFailed++
		s.logEnd("endpoint", string(c.e.id), notUp, err)
		s.forget(c.e)
		s.connectFailed(c)
		return
	}
	l := &link{s: s, e: c.e, conn: conn}
	conn.SetWriteTimeout(time.Duration(config.Nanoseconds(max(1, c.lasts))))
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
	switch {
	case c.over:
		s.makeIdle(l)
	case s.Now() >= c.began+c.lasts, !s.module.Open(c.e.id, c.ids()...):
		// Told to wait, or of a drain, while the connection came up, or that took too long: the call must not leave.
		// A process that stood still hears of its connections before its timers.
		s.makeIdle(l)
		s.connectFailed(c)
	default:
		s.write(c, l)
	}
}

// ids are the notices that a call carries.
func (c *call) ids() (all []choice.NoticeID) {
	for _, n := range c.notices {
		all = append(all, n.ID)
	}
	return all
}

func (s *Sender) makeIdle(l *link) {
	l.call = nil
	if l.closing {
		return
	}
	if l.e.gone {
		s.closeLink(l, unlisted)
		return
	}
	l.e.idle = append(l.e.idle, l)
	l.idleAt = s.sinceStart()
	if keep := time.Duration(config.Nanoseconds(s.cfg.Settings.ConnIdle)); keep > 0 {
		l.idleEnd = s.after(max(keep/2, keep-idleMargin), func() { s.dropIdle(l, linkIdle) })
	}
}

func (s *Sender) dropIdle(l *link, why reason) {
	l.e.idle = slices.DeleteFunc(l.e.idle, func(other *link) bool { return other == l })
	s.takeBack(l.idleEnd)
	s.closeLink(l, why)
}

func (s *Sender) closeIdle(e *endpoint, why reason) {
	for len(e.idle) > 0 {
		s.dropIdle(e.idle[len(e.idle)-1], why)
	}
}

func (s *Sender) closeOldestIdle() bool {
	var oldest *link
	for _, e := range s.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleAt < oldest.idleAt) {
			oldest = e.idle[0]
		}
	}
	if oldest != nil {
		s.dropIdle(oldest, crowded)
	}
	return oldest != nil
}

func (s *Sender) closeLink(l *link, why reason) {
	if l.closing {
		return
	}
	l.closing, l.why = true, why
	l.conn.Close()
}

// write sends a call on a link. A goroutine does, since netpoll waits where the endpoint reads slowly.
func (s *Sender) write(c *call, l *link) {
	c.link, c.kept, l.call, l.writing, l.used = l, l.used, c, true, true
	l.reading.Lock()
	l.asked.Store(l.conn.Reader().Len() == 0)
	l.reading.Unlock()
	head, body := s.request(c)
	go func() {
		err := l.send(head, body)
		s.post(func() { s.written(l, err) })
	}()
}

// send gathers head and body into one write.
func (l *link) send(head, body []byte) error {
	w := l.conn.Writer()
	l.bufferLock.Lock()
	err := error(netpoll.ErrConnClosed)
	if !l.noBuffer {
		_, err = w.WriteBinary(head)
		if err == nil && len(body) > 0 {
			_, err = w.WriteBinary(body)
		}
	}
	l.bufferLock.Unlock()
	if err != nil {
		return err
	}
	return w.Flush()
}

// written is told how a write ended. One that ran out of time may yet bring its last byte away.
func (s *Sender) written(l *link, err error) {
	l.writing = false
	if err != nil {
		l.unsent = !errors.Is(err, netpoll.ErrWriteTimeout)
		s.closeLink(l, unwritten)
	}
	if l.ended != nil {
		s.cutOff(l)
	}
}

func (s *Sender) request(c *call) (head, body []byte) {
	if c.probe {
		return http1.AppendRequest(nil, "GET", "/-/healthy", c.e.addr, -1), nil
	}
	left := c.began + c.lasts - s.Now()
	wait := strconv.FormatInt(int64(max(1, (left+choice.Millisecond-1)/choice.Millisecond)), 10)
	if len(c.notices) == 1 {
		n := c.notices[0]
		return http1.AppendRequest(nil, "POST", "/inbox", c.e.addr, len(n.body),
			"X-Request-Id", string(n.ID), "X-Deadline-Ms", wait), n.body
	}
	// Ids and keys are visible characters without quotes, so they stand in JSON as they are.
	body = append(body, '[')
	for i, n := range c.notices {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(append(body, `{"id":"`...), n.ID...)
		body = append(append(append(body, `","key":"`...), n.key...), `","body":"`...)
		body = append(base64.StdEncoding.AppendEncode(body, n.body), `"}`...)
	}
	body = append(body, ']')
	return http1.AppendRequest(nil, "POST", "/inbox/bulk", c.e.addr, len(body),
		"Content-Type", "application/json", "X-Deadline-Ms", wait), body
}

// onBytes reads what an endpoint says and hands on each whole answer.
func (l *link) onBytes(_ context.Context, conn netpoll.Connection) error {
	tell, err := l.read(conn)
	if tell != nil {
		l.s.post(tell)
	}
	if err != nil {
		// At once: it may go on for gigabytes.
		l.bad.Store(true)
		err = errors.Join(err, conn.Close())
	}
	return err
}

// read takes in what has come and returns what the loop is to be told. It tells nothing itself, since the loop may
// wait for the lock.
func (l *link) read(conn netpoll.Connection) (tell func(), err error) {
	l.reading.Lock()
	defer l.reading.Unlock()
	r := conn.Reader()
	piece, err := r.Next(r.Len())
	if err != nil {
		return nil, err
	}
	if l.asked.Load() {
		err = l.answer.Feed(piece)
	} else {
		err = errUnasked
	}
	r.Release()
	if err == nil && l.answer.Done {
		a := readAnswer(&l.answer)
		// Bytes behind an answer would be read as the start of the next.
		a.close = a.close || l.answer.Left() > 0
		l.answer = http1.Answer{}
		l.asked.Store(false)
		l.halfway = false
		return func() { l.s.answered(l, a) }, nil
	}
	if err == nil && !l.halfway {
		l.halfway = true
		return func() { l.s.answerBegan(l) }, nil
	}
	return nil, err
}

// answerBegan sees to it that the rest of the answer comes soon. What had come by then decides how the call ended.
func (s *Sender) answerBegan(l *link) {
	c := l.call
	l.began = c
	if c != nil {
		s.after(restFor, func() {
			if l.call == c && !c.over {
				s.closeLink(l, badAnswer)
			}
		})
	}
}

// expire gives a call up: whatever it may still do, its connection ends, and the module hears of it once the
// endpoint has had time to see that.
func (s *Sender) expire(c *call) {
	if c.over {
		return
	}
	s.counts.timedOut++
	if c.link == nil {
		s.connectFailed(c)
		return
	}
	l := c.link
	if l.began == c {
		// Not without an answer: if its first line says so, it has been delivered.
		s.closeLink(l, badAnswer)
		return
	}
	l.call = nil
	c.over = true
	s.closeLink(l, gaveUp)
	s.after(settleFor, func() { s.finish(c, answer{result: choice.TimedOut}) })
}

func (s *Sender) connectFailed(c *call) {
	if !c.over {
		c.over = true
		s.finish(c, answer{result: choice.ConnectFailed})
	}
}

// linkEnded hears of every link's end, ours or theirs.
func (s *Sender) linkEnded(l *link, end *partial) {
	if !l.closing {
		l.closing, l.why = true, peerClosed
		if l.bad.Load() {
			l.why = badAnswer
		}
	}
	l.e.idle = slices.DeleteFunc(l.e.idle, func(other *link) bool { return other == l })
	s.takeBack(l.idleEnd)
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

// cutOff ends the call of a connection that ended before its answer was whole.
func (s *Sender) cutOff(l *link) {
	c := l.call
	l.call = nil
	if c != nil && !c.over {
		c.over = true
		s.finish(c, cutOff(c, l.unsent, l.ended))
	}
}
