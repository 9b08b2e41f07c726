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
	settleFor  = 10 * choice.Millisecond  // between the end of an abandoned call and the next with its message
	restFor    = 250 * choice.Millisecond // for the rest of an answer that began
	idleMargin = 500 * choice.Millisecond // an idle link is closed so long before its endpoint would
	probeFor   = 1500 * choice.Millisecond
	sendFor    = 2500 * choice.Millisecond // after SIGTERM, new calls leave for so long
	endAfter   = 3300 * choice.Millisecond // and the process ends
)

// node is one sender: what lasts over its processes, and the one that runs.
type node struct {
	e      *engine
	no     world.SenderNo
	life   int64
	alive  bool
	paused bool
	ending bool // SIGTERM has come
	endAt  choice.Time
	later  []func() // what came while it was paused

	policy   Policy
	set      choice.Settings
	lastTurn choice.Time
	stirred  bool
	turnDue  bool

	owed     map[choice.MessageID]*owed // lasting and not
	order    []choice.MessageID         // of what lasts, as taken on
	admitted []*owed                    // of this turn
	starting []*call                    // of this turn
	ends     map[choice.EndpointID]*end
	timers   map[choice.TimerID]bool // false once forgotten
	out      map[*call]struct{}
	version  int64
}

// owed is one message that this sender has and that is not over.
type owed struct {
	choice.Message
	h       *world.HandIn
	lasting bool
	sure    bool // an attempt that may run is on record
	tries   int
	out     *call
	wait    bool // its program waits for its answer
	over    bool
}

type end struct {
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
	e      *end
	call   *call
	up     bool
	used   bool
	closed bool
	idleNo int64
}

type call struct {
	n        *node
	e        *end
	messages []*owed
	probe    bool
	began    choice.Time
	lasts    choice.Time
	link     *link
	reused   bool
	over     bool
}

func (n *node) start(known world.List) error {
	n.life++
	n.alive, n.paused, n.ending = true, false, false
	n.later = nil
	w := n.e.w
	set, err := Settings(w, n.no)
	if err != nil {
		return err
	}
	if n.e.o.Adjust != nil {
		n.e.o.Adjust(&set)
	}
	n.set = set
	n.ends, n.timers, n.out = map[choice.EndpointID]*end{}, map[choice.TimerID]bool{}, map[*call]struct{}{}
	n.admitted, n.starting, n.turnDue, n.stirred = nil, nil, false, false
	if n.owed == nil {
		n.owed = map[choice.MessageID]*owed{}
	}
	n.lastTurn = w.Now() - set.Turn + set.Turn*choice.Time(int64(n.no)%7)/7 // senders' turns do not fall together
	n.policy = n.e.o.Policy(n, choice.SenderID(fmt.Sprintf("s%d", n.no)), int64(n.e.o.Seed)*1_000_003+n.life, set, w)
	n.updateEndpoints(known)
	// What an earlier process had taken on outlasts it, in the order taken on.
	var reused []choice.MessageID
	for _, id := range n.order {
		if o := n.owed[id]; o != nil {
			reused = append(reused, id)
			o.tries, o.out, o.wait = 0, nil, false
			o.MayRun = o.sure
			n.policy.Taken(o.Message)
		}
	}
	n.order = reused
	n.scheduleTurn()
	w.Ready(n.no, true)
	w.Watch(n.no, known.Version)
	return nil
}

// scheduleTurn sees to it that a turn comes.
func (n *node) scheduleTurn() {
	n.stirred = true
	if n.turnDue || !n.alive {
		return
	}
	n.turnDue = true
	life := n.life
	n.e.w.At(max(n.e.w.Now(), n.lastTurn+n.set.Turn), func() {
		if n.life == life {
			n.turnDue = false
			n.awake(n.turn)
		}
	})
}

// turn is the sender's: the module acts, what must last is on record, and only then answers and calls leave.
func (n *node) turn() {
	n.lastTurn, n.stirred = n.e.w.Now(), false
	if !n.ending || n.e.w.Now()-n.endAt < sendFor {
		n.policy.TurnEnd()
	}
	for _, o := range n.admitted {
		if o.wait {
			o.lasting = true
			n.order = append(n.order, o.ID)
		}
	}
	for _, c := range n.starting {
		for _, o := range c.messages {
			w := &n.set.Classes[o.Class]
			if !o.sure && (w.Repeat != choice.Idempotent || w.ByArrival && o.Key != choice.NoKey) {
				o.sure = true
				o.RanAt, o.RanIn = c.began, c.e.zone
			}
		}
	}
	for _, o := range n.admitted {
		if o.wait {
			o.wait = false
			n.e.w.Answered(o.h, world.HeardOK, 0)
		}
	}
	n.admitted = n.admitted[:0]
	starting := n.starting
	n.starting = nil
	for _, c := range starting {
		c.e.open = nil
		n.begin(c)
	}
	if len(n.order) > 2*len(n.owed)+1024 {
		n.order = slices.DeleteFunc(n.order, func(id choice.MessageID) bool { return n.owed[id] == nil })
	}
}

// handIn takes a message in, or refuses it where its sender is full.
func (n *node) handIn(h *world.HandIn) {
	if n.paused && n.alive {
		// Its program waits as long as it does; who has given up by then is not answered.
		n.awake(func() { n.handIn(h) })
		return
	}
	if !n.alive {
		n.e.w.Answered(h, world.HeardNoSender, 0)
		return
	}
	if len(n.owed) >= n.set.MaxOpen {
		n.e.w.Answered(h, world.HeardBusy, int64(n.set.LongestReturn/choice.Millisecond))
		return
	}
	a := h.Ask
	o := &owed{h: h, wait: true, Message: choice.Message{ID: h.ID, Class: choice.ClassNo(a.Arrival.Class), Key: choice.NoKey,
		Deadline: h.Deadline, Destination: choice.DestinationID(a.Partner)}}
	if a.Class.Ordered {
		o.Key = choice.OrderKey(a.Partner*1_000_000 + a.Key + 1)
	}
	n.owed[h.ID] = o
	n.admitted = append(n.admitted, o)
	n.policy.Taken(o.Message)
	n.scheduleTurn()
}

func (n *node) updateEndpoints(l world.List) {
	n.awake(func() {
		n.version = l.Version
		if l.Full {
			for _, e := range n.ends {
				e.gone = true
			}
		}
		entries := make([]choice.Entry, 0, len(l.Entries))
		for _, entry := range l.Entries {
			we := entry.Endpoint
			e := n.ends[we.ID]
			if e == nil {
				e = &end{id: we.ID}
				n.ends[e.id] = e
			}
			if e.addr != entry.Address {
				n.closeIdle(e)
				e.addr = entry.Address
			}
			e.gone = entry.Stage == choice.Gone
			e.zone, e.bundle = choice.ZoneNo(we.Zone), n.set.Kinds[we.Partner.KindNo].BundleMax
			entries = append(entries, choice.Entry{Endpoint: we.ID, Destination: choice.DestinationID(we.Partner.No),
				Kind: choice.KindNo(we.Partner.KindNo), Zone: choice.ZoneNo(we.Zone), Rating: n.e.w.Rating(we), Stage: entry.Stage})
		}
		var gone []*end
		for _, e := range n.ends {
			if e.gone && len(e.idle) > 0 {
				gone = append(gone, e)
			}
		}
		slices.SortFunc(gone, func(a, b *end) int { return cmp.Compare(a.id, b.id) })
		for _, e := range gone {
			n.closeIdle(e)
		}
		n.policy.UpdateEndpoints(entries, l.Full)
		n.scheduleTurn()
	})
}

func (n *node) end(o *owed, tell func()) {
	tell()
	o.wait = false
	n.over(o)
}
