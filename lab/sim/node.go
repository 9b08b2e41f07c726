package sim

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

const (
	settleFor  = 10 * choice.Millisecond  // between the end of a call given up and the next with its notice
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

	owed     map[choice.NoticeID]*owed // lasting and not
	order    []choice.NoticeID         // of what lasts, as taken on
	admitted []*owed                   // of this turn
	starting []*call                   // of this turn
	ends     map[choice.EndpointID]*end
	timers   map[choice.TimerID]bool // false once forgotten
	out      map[*call]struct{}
	version  int64
}

// owed is one notice that this sender has and that is not over.
type owed struct {
	choice.Notice
	h       *world.HandIn
	lasting bool
	sure    bool // a dispatch that may run is on record
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
	n       *node
	e       *end
	notices []*owed
	probe   bool
	began   choice.Time
	lasts   choice.Time
	link    *link
	kept    bool
	over    bool
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
		n.owed = map[choice.NoticeID]*owed{}
	}
	n.lastTurn = w.Now() - set.Turn + set.Turn*choice.Time(int64(n.no)%7)/7 // senders' turns do not fall together
	n.policy = n.e.o.Policy(n, choice.SenderID(fmt.Sprintf("s%d", n.no)), int64(n.e.o.Seed)*1_000_003+n.life, set, w)
	n.news(known)
	// What an earlier process had taken on outlasts it, in the order taken on.
	var kept []choice.NoticeID
	for _, id := range n.order {
		if o := n.owed[id]; o != nil {
			kept = append(kept, id)
			o.tries, o.out, o.wait = 0, nil, false
			o.MayRun = o.sure
			n.policy.Taken(o.Notice)
		}
	}
	n.order = kept
	n.stir()
	w.Ready(n.no, true)
	w.Watch(n.no, known.Version)
	return nil
}

// kill ends the process at once: what is not on record is gone.
func (n *node) kill() {
	if !n.alive {
		return
	}
	n.alive, n.paused = false, false
	n.later = nil
	n.life++
	for id, o := range n.owed {
		if !o.lasting {
			delete(n.owed, id)
		}
	}
	var calls []*call
	for c := range n.out {
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(a, b *call) int { return int(a.link.c.No - b.link.c.No) })
	for _, c := range calls {
		n.e.w.Hang(c.link.c)
	}
	for _, l := range n.links() {
		n.e.w.Hang(l.c)
	}
	n.e.w.Ready(n.no, false)
}

// links are all idle ones in an order of their own.
func (n *node) links() (all []*link) {
	for _, e := range n.ends {
		all = append(all, e.idle...)
	}
	slices.SortFunc(all, func(a, b *link) int { return int(a.c.No - b.c.No) })
	return all
}

// term begins a planned end: programs go elsewhere at once here, and the rest waits for the next process.
func (n *node) term() {
	if !n.alive {
		return
	}
	n.ending, n.endAt = true, n.e.w.Now()
	n.e.w.Ready(n.no, false)
	life := n.life
	n.e.w.After(endAfter, func() {
		if n.life == life && n.alive {
			n.kill()
		}
	})
}

func (n *node) pause(on bool) {
	n.paused = on
	if !on {
		later := n.later
		n.later = nil
		for _, do := range later {
			do()
		}
		n.stir()
	}
}

// awake runs what reaches the process, or keeps it until it goes on.
func (n *node) awake(do func()) {
	switch {
	case !n.alive:
	case n.paused:
		life := n.life
		n.later = append(n.later, func() {
			if n.life == life {
				do()
			}
		})
	default:
		do()
	}
}

// stir sees to it that a turn comes.
func (n *node) stir() {
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
		for _, o := range c.notices {
			w := &n.set.Workloads[o.Workload]
			if !o.sure && (w.Repeat != choice.Replayable || w.ByArrival && o.Key != choice.NoKey) {
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
		n.order = slices.DeleteFunc(n.order, func(id choice.NoticeID) bool { return n.owed[id] == nil })
	}
}

// handIn takes a notice in, or refuses it where its sender is full.
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
	o := &owed{h: h, wait: true, Notice: choice.Notice{ID: h.ID, Workload: choice.WorkloadNo(a.Arrival.Workload), Key: choice.NoKey,
		HardStop: n.e.w.Now() + h.HardStop - h.At, Destination: choice.DestinationID(a.Partner)}}
	if a.Workload.Ordered {
		o.Key = choice.OrderKey(a.Partner*1_000_000 + a.Key + 1)
	}
	o.HardStop = h.HardStop
	n.owed[h.ID] = o
	n.admitted = append(n.admitted, o)
	n.policy.Taken(o.Notice)
	n.stir()
}

func (n *node) news(l world.List) {
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
		n.policy.ListNews(entries, l.Full)
		n.stir()
	})
}

// What follows is choice.Host.

func (n *node) Now() choice.Time { return n.e.w.Now() }

func (n *node) Allowed(id choice.NoticeID, e choice.EndpointID) bool {
	return n.e.o.Allowed == nil || n.e.o.Allowed(n.Now(), n.no, id, e)
}

func (n *node) Dispatch(id choice.NoticeID, to choice.EndpointID, timeOut choice.Time) {
	o, e := n.owed[id], n.ends[to]
	if e == nil {
		e = &end{id: to, gone: true, bundle: 1}
	}
	c := e.open
	if c == nil || len(c.notices) >= e.bundle {
		c = &call{n: n, e: e, began: n.Now()}
		if e.open == nil || e.bundle > 1 {
			e.open = c
		}
		n.starting = append(n.starting, c)
	}
	c.notices = append(c.notices, o)
	c.lasts = max(c.lasts, timeOut)
	o.out = c
	o.tries++
	n.stir()
}

func (n *node) Shed(id choice.NoticeID, comeBackIn choice.Time) {
	o := n.owed[id]
	if o == nil || o.over {
		return
	}
	ms := int64(math.Ceil(float64(comeBackIn) / float64(choice.Millisecond)))
	n.end(o, func() {
		if o.wait {
			n.e.w.Answered(o.h, world.HeardBusy, ms)
		} else {
			n.e.w.EndTold(o.ID, world.EndHandedBack, ms)
		}
	})
}

func (n *node) GiveUp(id choice.NoticeID) {
	o := n.owed[id]
	if o == nil || o.over {
		return
	}
	n.end(o, func() {
		if o.wait {
			n.e.w.Answered(o.h, world.HeardError, 0)
		} else {
			n.e.w.EndTold(o.ID, world.EndGivenUp, 0)
		}
	})
}

func (n *node) end(o *owed, tell func()) {
	tell()
	o.wait = false
	n.over(o)
}

func (n *node) over(o *owed) {
	o.over = true
	delete(n.owed, o.ID)
}

func (n *node) Probe(id choice.EndpointID) {
	e := n.ends[id]
	if e == nil {
		e = &end{id: id, gone: true}
	}
	n.starting = append(n.starting, &call{n: n, e: e, began: n.Now(), probe: true, lasts: n.set.DialTimeout + probeFor})
	n.stir()
}

// Tell says nothing: Settings.Notes is unset, as on sockets.
func (n *node) Tell([]byte) {}

func (n *node) CloseIdle(id choice.EndpointID) {
	if e := n.ends[id]; e != nil {
		n.closeIdle(e)
	}
}

func (n *node) Timer(in choice.Time, id choice.TimerID) {
	life := n.life
	n.timers[id] = true
	n.e.w.After(in, func() {
		if n.life != life || !n.timers[id] {
			return
		}
		n.awake(func() {
			if n.timers[id] {
				delete(n.timers, id)
				n.policy.TimerDue(id)
				n.stir()
			}
		})
	})
}

func (n *node) Forget(id choice.TimerID) { delete(n.timers, id) }

// What follows are connections and calls.

func (n *node) closeIdle(e *end) {
	for _, l := range e.idle {
		l.closed = true
		n.e.w.Hang(l.c)
	}
	e.idle = nil
}

func (n *node) begin(c *call) {
	if !c.probe && !n.timeCall(c) {
		return
	}
	life := n.life
	n.e.w.After(c.lasts, func() {
		if n.life == life && !c.over {
			n.awake(func() { n.expire(c) })
		}
	})
	if k := len(c.e.idle); k > 0 {
		l := c.e.idle[k-1]
		c.e.idle = c.e.idle[:k-1]
		n.send(c, l)
		return
	}
	l := &link{e: c.e, call: c}
	c.link = l
	l.c = n.e.w.Dial(n.no, c.e.id, c.e.addr)
	l.c.Engine = l
	n.out[c] = struct{}{}
	if within := n.set.DialTimeout; within > 0 && within < c.lasts {
		n.e.w.After(within, func() {
			if n.life == life && !c.over && !l.up {
				n.awake(func() { n.dialFailed(c) })
			}
		})
	}
}

// timeCall and part are the sender's.
func (n *node) timeCall(c *call) bool {
	longest, life := choice.Time(0), n.life
	for _, o := range slices.Clone(c.notices) {
		left := o.HardStop - n.Now() - n.set.Turn
		if longest = max(longest, left); left <= 0 {
			n.part(c, o)
		}
	}
	c.lasts = min(c.lasts, longest)
	for _, o := range c.notices {
		if left := o.HardStop - n.Now() - n.set.Turn; left < c.lasts {
			n.e.w.After(left, func() {
				if n.life == life && !c.over && o.out == c {
					n.awake(func() { n.part(c, o) })
				}
			})
		}
	}
	return len(c.notices) > 0
}

func (n *node) part(c *call, o *owed) {
	if c.over || o.out != c {
		return
	}
	n.stir()
	out := choice.Outcome{Notice: o.ID, Dispatch: o.tries - 1, Endpoint: c.e.id, Took: n.Now() - c.began, Result: choice.Cancelled}
	if c.link == nil || !c.link.up {
		out.Result = choice.Moot
		c.notices = slices.DeleteFunc(c.notices, func(other *owed) bool { return other == o })
	}
	n.told(c, o, out)
}

func (n *node) dialFailed(c *call) {
	if c.over || c.link.up {
		return
	}
	c.link.closed = true
	n.e.w.Hang(c.link.c)
	n.finish(c, choice.ConnectFailed, world.Answer{})
}

func (n *node) up(wc *world.Conn) {
	l, ok := wc.Engine.(*link)
	if !ok {
		return
	}
	n.awake(func() {
		if l.closed {
			return
		}
		l.up = true
		c := l.call
		if c == nil || c.over {
			l.call = nil
			n.makeIdle(l)
			return
		}
		// A slow connection may have let a wait or a drain come in between.
		if n.Now() >= c.began+c.lasts || !c.probe && !n.policy.Open(c.e.id, c.ids()...) {
			l.call = nil
			n.makeIdle(l)
			n.finish(c, choice.ConnectFailed, world.Answer{})
			return
		}
		n.send(c, l)
	})
}

func (c *call) ids() (ids []choice.NoticeID) {
	for _, o := range c.notices {
		ids = append(ids, o.ID)
	}
	return ids
}

func (n *node) send(c *call, l *link) {
	c.link, c.kept, l.call, l.used = l, l.used, c, true
	l.idleNo++
	n.out[c] = struct{}{}
	n.e.w.Send(l.c, c.ids(), c.probe)
}

func (n *node) makeIdle(l *link) {
	if l.closed {
		return
	}
	if l.e.gone {
		l.closed = true
		n.e.w.Hang(l.c)
		return
	}
	l.e.idle = append(l.e.idle, l)
	l.idleNo++
	no, life := l.idleNo, n.life
	if keep := n.set.ConnIdle; keep > 0 {
		n.e.w.After(max(keep/2, keep-idleMargin), func() {
			if n.life == life && !l.closed && l.call == nil && l.idleNo == no {
				n.awake(func() {
					if !l.closed && l.call == nil && l.idleNo == no {
						n.dropIdle(l)
						n.e.w.Hang(l.c)
					}
				})
			}
		})
	}
}

func (n *node) dropIdle(l *link) {
	l.closed = true
	l.e.idle = slices.DeleteFunc(l.e.idle, func(other *link) bool { return other == l })
}

func (n *node) expire(c *call) {
	if c.over {
		return
	}
	if c.link == nil || !c.link.up {
		if c.link != nil {
			c.link.closed = true
			n.e.w.Hang(c.link.c)
		}
		n.finish(c, choice.ConnectFailed, world.Answer{})
		return
	}
	n.giveUp(c, choice.TimedOut)
}

// giveUp ends a call's connection; the module hears of it once the endpoint has had time to see that.
func (n *node) giveUp(c *call, result choice.Result) {
	c.link.closed = true
	c.link.call = nil
	c.over = true
	delete(n.out, c)
	n.e.w.Hang(c.link.c)
	life := n.life
	n.e.w.After(settleFor, func() {
		if n.life == life {
			n.awake(func() { n.tell(c, result, world.Answer{}) })
		}
	})
}

func (n *node) down(wc *world.Conn, why world.Seen) {
	l, ok := wc.Engine.(*link)
	if !ok {
		return
	}
	n.awake(func() {
		if l.closed {
			return
		}
		c := l.call
		n.dropIdle(l)
		n.e.w.Hang(wc)
		if c == nil || c.over {
			return
		}
		if why == world.SeenRefused {
			n.finish(c, choice.ConnectFailed, world.Answer{})
		} else {
			n.finish(c, choice.Reset, world.Answer{})
		}
	})
}

func (n *node) answered(wc *world.Conn, a world.Answer) {
	l, ok := wc.Engine.(*link)
	if !ok {
		return
	}
	n.awake(func() {
		c := l.call
		if l.closed || c == nil || c.over {
			return
		}
		if a.Half {
			life := n.life
			n.e.w.After(restFor, func() {
				if n.life == life && !c.over {
					n.awake(func() {
						if !c.over {
							n.giveUp(c, choice.Spoilt)
						}
					})
				}
			})
			return
		}
		l.call = nil
		if a.Spoilt || a.Close {
			l.closed = true
			n.e.w.Hang(wc)
		} else {
			n.makeIdle(l)
		}
		result := choice.Errored
		switch {
		case a.Spoilt:
			result = choice.Spoilt
		case a.Status == 200:
			result = choice.Done
		case a.Status == 429 || a.Status == 503:
			result = choice.Full
		}
		n.finish(c, result, a)
	})
}

func (n *node) finish(c *call, result choice.Result, a world.Answer) {
	if c.over {
		return
	}
	c.over = true
	delete(n.out, c)
	n.tell(c, result, a)
}

// tell has the module hear how a call ended, notice by notice.
func (n *node) tell(c *call, result choice.Result, a world.Answer) {
	n.stir()
	if c.probe {
		n.policy.Probed(c.e.id, result)
		return
	}
	wait := a.Wait
	if wait > 0 {
		wait++ // counted from a clock that may lie inside a tenth
	}
	for i, o := range c.notices {
		if o.out != c {
			continue // it has parted
		}
		out := choice.Outcome{Notice: o.ID, Dispatch: o.tries - 1, Endpoint: c.e.id, Took: n.Now() - c.began, Result: result,
			Final: result == choice.Done, Wait: wait, Report: a.Report, Kept: c.kept, Closed: a.Close}
		if a.Fates != nil && result == choice.Done && a.Fates[i] != 200 {
			out.Result, out.Final = choice.Errored, false
		}
		if len(c.notices) == 1 && out.Result != choice.Full {
			out.Wait = 0
		}
		n.told(c, o, out)
	}
}

func (n *node) told(c *call, o *owed, out choice.Outcome) {
	o.out = nil
	switch out.Result {
	case choice.Errored, choice.TimedOut, choice.Reset, choice.Cancelled, choice.Spoilt:
		if !o.MayRun {
			o.MayRun, o.RanAt, o.RanIn = true, c.began, c.e.zone
		}
	default:
		if !o.MayRun && !out.Final {
			o.sure = false
		}
	}
	n.policy.Ended(out)
	if out.Final {
		n.over(o)
	}
}
