package sim

// This file plays one sender in simulated time: its incarnations, its ticks and the messages it accepts. Decisions are the
// policy's alone.

import (
	"fmt"
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

const (
	abandonDelay      = 10 * choice.Millisecond  // from the close of an abandoned call until the policy learns of it
	answerRestTimeout = 250 * choice.Millisecond // for the second half of an answer
	idleMargin        = 500 * choice.Millisecond // an idle link is closed this long before its endpoint would close it
	probeTimeout      = 1500 * choice.Millisecond
	drainSendPeriod   = 2500 * choice.Millisecond // new calls are sent for this long after SIGTERM
	drainTimeout      = 3300 * choice.Millisecond // from SIGTERM to the end of the process
)

// node is one sender: its current process, and what survives it.
type node struct {
	e           *engine
	no          world.SenderNo
	incarnation int64
	alive       bool
	paused      bool
	ending      bool // SIGTERM was received
	endingSince choice.Time
	deferred    []func() // what reached it while it was paused

	policy     Policy
	settings   choice.Settings
	lastTickAt choice.Time
	tickDue    bool

	messages      map[choice.MessageID]*openMessage // recorded or not
	acceptedOrder []choice.MessageID                // ids of recorded messages, in the order of acceptance
	newMessages   []*openMessage                    // since the last tick
	newCalls      []*call                           // since the last tick
	endpoints     map[choice.EndpointID]*endpoint
	timers        map[choice.TimerID]bool // false once forgotten
	inFlight      map[*call]struct{}
}

// openMessage is a message that this sender has to end.
type openMessage struct {
	choice.Message
	handIn         *world.HandIn
	recorded       bool
	mayRunRecorded bool // an attempt that may be executed is recorded
	attempts       int
	call           *call
	unanswered     bool // its client waits for the answer to the hand-in
	over           bool
}

type endpoint struct {
	id       choice.EndpointID
	addr     int
	zone     choice.ZoneNo
	bulkMax  int
	gone     bool
	bulkCall *call
	idle     []*link
}

type link struct {
	conn     *world.Conn
	endpoint *endpoint
	call     *call
	up       bool
	used     bool
	closed   bool
	useCount int64
}

type call struct {
	n         *node
	endpoint  *endpoint
	messages  []*openMessage
	probe     bool
	startedAt choice.Time
	timeout   choice.Time
	link      *link
	reused    bool
	over      bool
}

// start starts a new incarnation of the sender, which knows this endpoint list.
func (n *node) start(known world.List) error {
	n.incarnation++
	n.alive, n.paused, n.ending = true, false, false
	n.deferred = nil
	w := n.e.w
	settings, err := Settings(w, n.no)
	if err != nil {
		return err
	}
	if n.e.o.Adjust != nil {
		n.e.o.Adjust(&settings)
	}
	n.settings = settings
	n.endpoints, n.timers, n.inFlight = map[choice.EndpointID]*endpoint{}, map[choice.TimerID]bool{}, map[*call]struct{}{}
	n.newMessages, n.newCalls, n.tickDue = nil, nil, false
	if n.messages == nil {
		n.messages = map[choice.MessageID]*openMessage{}
	}
	n.lastTickAt = w.Now() - settings.TurnInterval + settings.TurnInterval*choice.Time(int64(n.no)%7)/7 // senders' ticks do not coincide
	n.policy = n.e.o.Policy(n, choice.SenderID(fmt.Sprintf("s%d", n.no)), int64(n.e.o.Seed)*1_000_003+n.incarnation, settings, w)
	n.updateEndpoints(known)
	n.restoreRecorded()
	n.scheduleTick()
	w.SetServing(n.no, true)
	w.Watch(n.no, known.Version)
	return nil
}

// restoreRecorded hands the policy the messages that an earlier incarnation accepted, in the order of acceptance.
func (n *node) restoreRecorded() {
	var open []choice.MessageID
	for _, id := range n.acceptedOrder {
		if o := n.messages[id]; o != nil {
			open = append(open, id)
			o.attempts, o.call, o.unanswered = 0, nil, false
			o.MayRun = o.mayRunRecorded
			n.policy.Taken(o.Message)
		}
	}
	n.acceptedOrder = open
}

// scheduleTick schedules the next tick, if it is not scheduled yet.
func (n *node) scheduleTick() {
	if n.tickDue || !n.alive {
		return
	}
	n.tickDue = true
	incarnation := n.incarnation
	n.e.w.At(max(n.e.w.Now(), n.lastTickAt+n.settings.TurnInterval), func() {
		if n.incarnation == incarnation {
			n.tickDue = false
			n.whenRunning(n.tick)
		}
	})
}

// tick is one round of the sender's loop: the policy acts, what must survive a crash is recorded, and only then answers
// and calls leave.
func (n *node) tick() {
	n.lastTickAt = n.e.w.Now()
	if !n.ending || n.e.w.Now()-n.endingSince < drainSendPeriod {
		n.policy.TurnEnd()
	}
	n.record()
	for _, o := range n.newMessages {
		if o.unanswered {
			o.unanswered = false
			n.e.w.Answered(o.handIn, world.HandInAccepted, 0)
		}
	}
	n.newMessages = n.newMessages[:0]
	starting := n.newCalls
	n.newCalls = nil
	for _, c := range starting {
		c.endpoint.bulkCall = nil
		n.startCall(c)
	}
	if len(n.acceptedOrder) > 2*len(n.messages)+1024 {
		n.acceptedOrder = slices.DeleteFunc(n.acceptedOrder, func(id choice.MessageID) bool { return n.messages[id] == nil })
	}
}

// record does what the sender's append to its journal does: it keeps the new messages over a crash, and that those of the
// new calls may be executed, as far as this matters for sending them again.
func (n *node) record() {
	for _, o := range n.newMessages {
		if o.unanswered {
			o.recorded = true
			n.acceptedOrder = append(n.acceptedOrder, o.ID)
		}
	}
	for _, c := range n.newCalls {
		for _, o := range c.messages {
			class := &n.settings.Classes[o.Class]
			if !o.mayRunRecorded && (class.Repeat != choice.Idempotent || class.Ordered && o.Key != choice.NoKey) {
				o.mayRunRecorded = true
				o.RanAt, o.RanIn = c.startedAt, c.endpoint.zone
			}
		}
	}
}

// admit accepts a message, or sheds it if the sender has its maximum of open messages.
func (n *node) admit(h *world.HandIn) {
	if n.paused && n.alive {
		// The client waits as long as its patience lasts; a later answer does not reach it.
		n.whenRunning(func() { n.admit(h) })
		return
	}
	if !n.alive {
		n.e.w.Answered(h, world.HandInNoSender, 0)
		return
	}
	if len(n.messages) >= n.settings.MaxOpen {
		n.e.w.Answered(h, world.HandInBusy, int64(n.settings.MaxRetryAfter/choice.Millisecond))
		return
	}
	a := h.Request
	o := &openMessage{handIn: h, unanswered: true, Message: choice.Message{ID: h.ID, Class: choice.ClassNo(a.Arrival.Class), Key: choice.NoKey,
		Deadline: h.Deadline, Destination: choice.DestinationID(a.Partner)}}
	if a.Class.Ordered {
		o.Key = choice.OrderKey(a.Partner*1_000_000 + a.Key + 1)
	}
	n.messages[h.ID] = o
	n.newMessages = append(n.newMessages, o)
	n.policy.Taken(o.Message)
	n.scheduleTick()
}

// endMessage reports the end of a message and forgets it.
func (n *node) endMessage(o *openMessage, tell func()) {
	tell()
	o.unanswered = false
	n.forgetMessage(o)
}
