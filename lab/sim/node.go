package sim

// This file models one sender in simulated time: its incarnations, its ticks and the messages that it accepts. All decisions
// must come from the policy.

import (
	"fmt"
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

const (
	abandonDelay      = 10 * choice.Millisecond   // time from the close of an abandoned call until the policy is told
	answerRestTimeout = 250 * choice.Millisecond  // longest wait for the rest of an incomplete answer
	idleMargin        = 500 * choice.Millisecond  // an idle link is closed this long before its endpoint would close it
	probeTimeout      = 1500 * choice.Millisecond // timeout of a health probe after the connection is established
	drainSendPeriod   = 2500 * choice.Millisecond // new calls are sent for this long after SIGTERM
	drainTimeout      = 3300 * choice.Millisecond // time from SIGTERM to the end of the process
)

// node is one sender: the state of its current process, and the recorded messages that survive the process.
type node struct {
	e            *engine
	no           world.SenderNo
	incarnation  int64
	alive        bool
	paused       bool
	shuttingDown bool        // SIGTERM was received and the process has not ended
	shutdownAt   choice.Time // when SIGTERM was received
	deferred     []func()    // events that reached the process while it was paused

	policy     Policy
	settings   choice.Settings
	lastTickAt choice.Time
	tickDue    bool

	impairments   map[choice.EndpointID]choice.Impairment // of endpoints, at the end of the process before
	endedAt       choice.Time                             // when the process before ended
	deliveredAt   map[choice.DestinationID]choice.Time    // when each destination last took a message, in any process
	messages      map[choice.MessageID]*openMessage       // all open messages, recorded or not
	acceptedOrder []choice.MessageID                      // ids of recorded messages, in the order of acceptance; some may have ended
	newMessages   []*openMessage                          // messages handed in since the last tick
	newCalls      []*call                                 // calls that the policy began since the last tick
	callsByID     map[choice.CallID]*call                 // the same calls, without probes
	endpoints     map[choice.EndpointID]*endpoint
	timers        map[choice.TimerID]bool // timers that are set
	inFlight      map[*call]struct{}
}

// openMessage is a message that this sender has to end.
type openMessage struct {
	choice.Message
	handIn         *world.HandIn
	recorded       bool // the message survives the end of the process
	mayRunRecorded bool // the record says that the message may have been executed
	attempts       int
	call           *call // call in flight or about to start; nil if there is none
	unanswered     bool  // the client waits for the answer to the hand-in
	over           bool
}

// endpoint is the sender's state of one endpoint.
type endpoint struct {
	id   choice.EndpointID
	addr int
	zone choice.ZoneNo
	gone bool // the endpoint is off the list
	idle []*link
}

// link is the sender's end of a connection to an endpoint.
type link struct {
	conn     *world.Conn
	endpoint *endpoint
	call     *call // nil if the link is idle
	up       bool  // the connection is established
	used     bool  // the link has carried a call
	closed   bool
	useCount int64 // number of times that a call was sent or the link became idle
}

// call is a request to an endpoint, or a health probe.
type call struct {
	n         *node
	endpoint  *endpoint
	messages  []*openMessage
	probe     bool
	startedAt choice.Time
	timeout   choice.Time
	link      *link
	reused    bool // the link carried a call before
	over      bool
}

// start starts a new incarnation of the sender. The endpoint list known is the one in its configuration.
func (n *node) start(known world.List) error {
	n.incarnation++
	n.alive, n.paused, n.shuttingDown = true, false, false
	n.deferred = nil
	w := n.e.w
	settings, err := Settings(w, n.no)
	if err != nil {
		return err
	}
	if n.e.opts.Adjust != nil {
		n.e.opts.Adjust(&settings)
	}
	n.settings = settings
	if n.deliveredAt == nil {
		n.deliveredAt = map[choice.DestinationID]choice.Time{}
	}
	n.endpoints, n.timers, n.inFlight = map[choice.EndpointID]*endpoint{}, map[choice.TimerID]bool{}, map[*call]struct{}{}
	n.newMessages, n.newCalls, n.tickDue = nil, nil, false
	n.callsByID = map[choice.CallID]*call{}
	if n.messages == nil {
		n.messages = map[choice.MessageID]*openMessage{}
	}
	// The offset by the sender's number spreads the ticks of the senders over the interval.
	n.lastTickAt = w.Now() - settings.TurnInterval + settings.TurnInterval*choice.Time(int64(n.no)%7)/7
	n.policy = n.e.opts.Policy(n, choice.SenderID(fmt.Sprintf("s%d", n.no)), int64(n.e.opts.Seed)*1_000_003+n.incarnation, settings, w)
	n.updateEndpoints(known)
	n.restoreRecorded()
	n.scheduleTick()
	w.SetServing(n.no, true)
	w.Watch(n.no, known.Version)
	return nil
}

// restoreRecorded passes to the policy the open messages that earlier incarnations accepted, in the order of acceptance.
func (n *node) restoreRecorded() {
	var open []choice.MessageID
	for _, id := range n.acceptedOrder {
		if o := n.messages[id]; o != nil {
			open = append(open, id)
			o.attempts, o.call, o.unanswered = 0, nil, false
			o.MayRun = o.mayRunRecorded
			n.policy.Accept(o.Message)
		}
	}
	n.acceptedOrder = open
}

// scheduleTick schedules the next tick unless it is scheduled already. Ticks are at least Settings.TurnInterval apart.
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

// tick is one iteration of the sender's loop: the policy acts, new messages and attempts are recorded, and only then answers
// and calls leave. So a crash cannot lose a message whose acceptance a client knows.
func (n *node) tick() {
	n.lastTickAt = n.e.w.Now()
	if !n.shuttingDown || n.e.w.Now()-n.shutdownAt < drainSendPeriod {
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
	clear(n.callsByID)
	for _, c := range starting {
		n.startCall(c)
	}
	if len(n.acceptedOrder) > 2*len(n.messages)+1024 {
		n.acceptedOrder = slices.DeleteFunc(n.acceptedOrder, func(id choice.MessageID) bool { return n.messages[id] == nil })
	}
}

// record models the append to the sender's journal. It marks new messages so that they survive a crash. For a message of a
// new call it records that it may be executed, if its class restricts a second attempt.
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

// admit passes a message to the policy, or sheds it if the sender has its maximum of open messages.
func (n *node) admit(h *world.HandIn) {
	if n.paused && n.alive {
		// The client waits for as long as its patience lasts, and gets no later answer.
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
		Deadline: h.Deadline, Destination: choice.DestinationID(a.Destination)}}
	if a.Class.Ordered {
		o.Key = choice.OrderKey(a.Destination*1_000_000 + a.Key + 1)
	}
	n.messages[h.ID] = o
	n.newMessages = append(n.newMessages, o)
	n.policy.Accept(o.Message)
	n.scheduleTick()
}

// endMessage reports the end of a message with the function tell, and forgets the message.
func (n *node) endMessage(o *openMessage, tell func()) {
	tell()
	o.unanswered = false
	n.forgetMessage(o)
}
