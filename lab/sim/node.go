package sim

// This file owns one sender in simulated time: its lives, its turns and what it takes in. It must never decide; that is
// its policy's.

import (
	"cmp"
	"fmt"
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

const (
	abandonDelay      = 10 * choice.Millisecond  // between the end of an abandoned call and the next with its message
	answerRestTimeout = 250 * choice.Millisecond // for the rest of an answer that began
	idleMargin        = 500 * choice.Millisecond // an idle link is closed so long before its endpoint would
	probeTimeout      = 1500 * choice.Millisecond
	drainSendPeriod   = 2500 * choice.Millisecond // after SIGTERM, new calls leave for so long
	drainTimeout      = 3300 * choice.Millisecond // and the process ends
)

// node is one sender: what lasts over its processes, and the one that runs.
type node struct {
	e           *engine
	no          world.SenderNo
	incarnation int64
	alive       bool
	paused      bool
	ending      bool // SIGTERM has come
	endingSince choice.Time
	deferred    []func() // what came while it was paused

	policy     Policy
	settings   choice.Settings
	lastTickAt choice.Time
	stirred    bool
	tickDue    bool

	owed          map[choice.MessageID]*openMessage // lasting and not
	acceptedOrder []choice.MessageID                // of what lasts, as accepted
	newMessages   []*openMessage                    // of this turn
	newCalls      []*call                           // of this turn
	endpoints     map[choice.EndpointID]*endpoint
	timers        map[choice.TimerID]bool // false once forgotten
	out           map[*call]struct{}
	version       int64
}

// openMessage is one message that this sender has and that is not over.
type openMessage struct {
	choice.Message
	h              *world.HandIn
	recorded       bool
	mayRunRecorded bool // an attempt that may run is on record
	attempts       int
	call           *call
	unanswered     bool // its client waits for its answer
	over           bool
}

type endpoint struct {
	id     choice.EndpointID
	addr   int
	zone   choice.ZoneNo
	bundle int
	gone   bool
	open   *call
	idle   []*link
}

type link struct {
	c      *world.Conn
	e      *endpoint
	call   *call
	up     bool
	used   bool
	closed bool
	idleNo int64
}

type call struct {
	n         *node
	e         *endpoint
	messages  []*openMessage
	probe     bool
	startedAt choice.Time
	timeout   choice.Time
	link      *link
	reused    bool
	over      bool
}

func (n *node) start(known world.List) error {
	n.incarnation++
	n.alive, n.paused, n.ending = true, false, false
	n.deferred = nil
	w := n.e.w
	set, err := Settings(w, n.no)
	if err != nil {
		return err
	}
	if n.e.o.Adjust != nil {
		n.e.o.Adjust(&set)
	}
	n.settings = set
	n.endpoints, n.timers, n.out = map[choice.EndpointID]*endpoint{}, map[choice.TimerID]bool{}, map[*call]struct{}{}
	n.newMessages, n.newCalls, n.tickDue, n.stirred = nil, nil, false, false
	if n.owed == nil {
		n.owed = map[choice.MessageID]*openMessage{}
	}
	n.lastTickAt = w.Now() - set.Turn + set.Turn*choice.Time(int64(n.no)%7)/7 // senders' turns do not fall together
	n.policy = n.e.o.Policy(n, choice.SenderID(fmt.Sprintf("s%d", n.no)), int64(n.e.o.Seed)*1_000_003+n.incarnation, set, w)
	n.updateEndpoints(known)
	// What an earlier process had accepted outlasts it, in the order accepted.
	var reused []choice.MessageID
	for _, id := range n.acceptedOrder {
		if o := n.owed[id]; o != nil {
			reused = append(reused, id)
			o.attempts, o.call, o.unanswered = 0, nil, false
			o.MayRun = o.mayRunRecorded
			n.policy.Taken(o.Message)
		}
	}
	n.acceptedOrder = reused
	n.scheduleTick()
	w.SetServing(n.no, true)
	w.Watch(n.no, known.Version)
	return nil
}

// scheduleTick sees to it that a turn comes.
func (n *node) scheduleTick() {
	n.stirred = true
	if n.tickDue || !n.alive {
		return
	}
	n.tickDue = true
	life := n.incarnation
	n.e.w.At(max(n.e.w.Now(), n.lastTickAt+n.settings.Turn), func() {
		if n.incarnation == life {
			n.tickDue = false
			n.whenRunning(n.tick)
		}
	})
}

// tick is the sender's: the module acts, what must last is on record, and only then answers and calls leave.
func (n *node) tick() {
	n.lastTickAt, n.stirred = n.e.w.Now(), false
	if !n.ending || n.e.w.Now()-n.endingSince < drainSendPeriod {
		n.policy.TurnEnd()
	}
	for _, o := range n.newMessages {
		if o.unanswered {
			o.recorded = true
			n.acceptedOrder = append(n.acceptedOrder, o.ID)
		}
	}
	for _, c := range n.newCalls {
		for _, o := range c.messages {
			w := &n.settings.Classes[o.Class]
			if !o.mayRunRecorded && (w.Repeat != choice.Idempotent || w.ByArrival && o.Key != choice.NoKey) {
				o.mayRunRecorded = true
				o.RanAt, o.RanIn = c.startedAt, c.e.zone
			}
		}
	}
	for _, o := range n.newMessages {
		if o.unanswered {
			o.unanswered = false
			n.e.w.Answered(o.h, world.HandInAccepted, 0)
		}
	}
	n.newMessages = n.newMessages[:0]
	starting := n.newCalls
	n.newCalls = nil
	for _, c := range starting {
		c.e.open = nil
		n.begin(c)
	}
	if len(n.acceptedOrder) > 2*len(n.owed)+1024 {
		n.acceptedOrder = slices.DeleteFunc(n.acceptedOrder, func(id choice.MessageID) bool { return n.owed[id] == nil })
	}
}

// admit takes a message in, or refuses it where its sender is full.
func (n *node) admit(h *world.HandIn) {
	if n.paused && n.alive {
		// Its client waits as long as it does; who has given up by then is not answered.
		n.whenRunning(func() { n.admit(h) })
		return
	}
	if !n.alive {
		n.e.w.Answered(h, world.HandInNoSender, 0)
		return
	}
	if len(n.owed) >= n.settings.MaxOpen {
		n.e.w.Answered(h, world.HandInBusy, int64(n.settings.LongestReturn/choice.Millisecond))
		return
	}
	a := h.Ask
	o := &openMessage{h: h, unanswered: true, Message: choice.Message{ID: h.ID, Class: choice.ClassNo(a.Arrival.Class), Key: choice.NoKey,
		Deadline: h.Deadline, Destination: choice.DestinationID(a.Partner)}}
	if a.Class.Ordered {
		o.Key = choice.OrderKey(a.Partner*1_000_000 + a.Key + 1)
	}
	n.owed[h.ID] = o
	n.newMessages = append(n.newMessages, o)
	n.policy.Taken(o.Message)
	n.scheduleTick()
}

func (n *node) updateEndpoints(l world.List) {
	n.whenRunning(func() {
		n.version = l.Version
		if l.Full {
			for _, e := range n.endpoints {
				e.gone = true
			}
		}
		entries := make([]choice.Entry, 0, len(l.Entries))
		for _, entry := range l.Entries {
			we := entry.Endpoint
			e := n.endpoints[we.ID]
			if e == nil {
				e = &endpoint{id: we.ID}
				n.endpoints[e.id] = e
			}
			if e.addr != entry.Address {
				n.closeIdle(e)
				e.addr = entry.Address
			}
			e.gone = entry.Stage == choice.Gone
			e.zone, e.bundle = choice.ZoneNo(we.Zone), n.settings.Kinds[we.Partner.KindNo].BundleMax
			entries = append(entries, choice.Entry{Endpoint: we.ID, Destination: choice.DestinationID(we.Partner.No),
				Kind: choice.KindNo(we.Partner.KindNo), Zone: choice.ZoneNo(we.Zone), Rating: n.e.w.Rating(we), Stage: entry.Stage})
		}
		var gone []*endpoint
		for _, e := range n.endpoints {
			if e.gone && len(e.idle) > 0 {
				gone = append(gone, e)
			}
		}
		slices.SortFunc(gone, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
		for _, e := range gone {
			n.closeIdle(e)
		}
		n.policy.UpdateEndpoints(entries, l.Full)
		n.scheduleTick()
	})
}

func (n *node) endMessage(o *openMessage, tell func()) {
	tell()
	o.unanswered = false
	n.forgetMessage(o)
}
