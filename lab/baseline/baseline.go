// Package baseline holds policies that the laboratory compares the project's own with.
//
// They decide through choice.Host as choice does, keep the rules that a sender can keep without judgement (one final
// answer, no repeat of what may have run, drains, waits, order), and are simple on purpose. One of them sees the
// world's true state and stands for what is within reach. None may ever be imported by what serves.
package baseline

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

// Kinds are the policies by name, with what each is.
var Kinds = map[string]string{
	"choice":   "the project's own decisions",
	"one_try":  "each notice is sent once, in order of arrival",
	"fixed":    "retries after one second, always",
	"backoff":  "capped doubling waits with full jitter, no tiers, no lane",
	"least":    "least outstanding of two endpoints, retries within a budget of a tenth of first sends",
	"all_seen": "sees the true state of all endpoints; a bound, not a policy",
}

// Make is the policy of that name, nil if there is none.
func Make(name string) sim.Make {
	switch name {
	case "choice":
		return sim.Choice
	case "one_try", "fixed", "backoff", "least", "all_seen":
		return func(h choice.Host, id choice.SenderID, seed int64, set choice.Settings, w *world.World) sim.Policy {
			p := &plain{h: h, set: set, kind: name, w: w, held: map[choice.NoticeID]*notice{}, timers: map[choice.TimerID]func(){},
				ends: map[choice.EndpointID]*end{}, dests: map[choice.DestinationID]*dest{}, lines: map[choice.OrderKey]*line{},
				rng: rand.New(rand.NewPCG(uint64(seed), 0xba5e))}
			p.shortest = choice.Time(1 << 40)
			for _, l := range set.Workloads {
				p.shortest = min(p.shortest, l.ContractTime)
			}
			return p
		}
	}
	return nil
}

const (
	fixedWait  = choice.Second
	budgetPart = 0.1
)

type plain struct {
	h        choice.Host
	set      choice.Settings
	kind     string
	w        *world.World
	rng      *rand.Rand
	shortest choice.Time
	budget   float64
	out      int
	slow     int // of them at slow endpoints
	timerNo  choice.TimerID

	held   map[choice.NoticeID]*notice // emptied as notices end
	timers map[choice.TimerID]func()   // emptied as each fires
	ends   map[choice.EndpointID]*end
	dests  map[choice.DestinationID]*dest
	lines  map[choice.OrderKey]*line
	queue  []*notice // in order of arrival
}

type notice struct {
	choice.Notice
	tries  int
	out    *end
	sentAt choice.Time
	queued bool
	line   *line
	rank   float64
	slow   bool
}

type line struct {
	key     choice.OrderKey
	notices []*notice
	rest    choice.Time
}

type dest struct {
	ends []*end
	halt choice.Time
}

type end struct {
	choice.Entry
	d     *dest
	halt  choice.Time
	calls int // notices out: what shares a call is not known here

	waiting float64 // as the bound sees it
}

func (p *plain) ListNews(entries []choice.Entry, whole bool) {
	if whole {
		for _, e := range p.ends {
			e.Stage = choice.Gone
		}
	}
	for _, entry := range entries {
		e := p.ends[entry.Endpoint]
		if e == nil {
			d := p.dests[entry.Destination]
			if d == nil {
				d = &dest{}
				p.dests[entry.Destination] = d
			}
			e = &end{d: d}
			p.ends[entry.Endpoint] = e
			d.ends = append(d.ends, e)
		}
		e.Entry = entry
	}
}

func (p *plain) Taken(in choice.Notice) {
	n := &notice{Notice: in}
	p.held[n.ID] = n
	w := &p.set.Workloads[n.Workload]
	if w.ByArrival && n.Key != choice.NoKey {
		n.line = p.lines[n.Key]
		if n.line == nil {
			n.line = &line{key: n.Key}
			p.lines[n.Key] = n.line
		}
		n.line.notices = append(n.line.notices, n)
	}
	if n.MayRun && w.Repeat == choice.SingleUse {
		p.finish(n)
		return
	}
	p.after(p.last(n)-p.h.Now(), func() {
		if p.held[n.ID] == n && n.out == nil {
			p.finish(n)
		}
	})
	p.add(n)
}

// last is when a notice that is not out is answered.
func (p *plain) last(n *notice) choice.Time {
	return n.HardStop - p.shortest/4 - 4*p.set.Turn
}

func (p *plain) after(in choice.Time, do func()) {
	p.timerNo++
	p.timers[p.timerNo] = do
	p.h.Timer(max(1, in), p.timerNo)
}

func (p *plain) add(n *notice) {
	if p.held[n.ID] != n || n.queued || n.out != nil || n.line != nil && n.line.notices[0] != n {
		return
	}
	if n.line != nil && n.tries == 0 && p.h.Now() < n.line.rest {
		p.after(n.line.rest-p.h.Now(), func() { p.add(n) })
		return
	}
	n.queued = true
	p.queue = append(p.queue, n)
}

func (p *plain) Withdrawn(id choice.NoticeID) {
	if n := p.held[id]; n != nil && n.out == nil {
		p.release(n)
	}
}

func (p *plain) release(n *notice) {
	delete(p.held, n.ID)
	if n.queued {
		n.queued = false
		p.queue = slices.DeleteFunc(p.queue, func(other *notice) bool { return other == n })
	}
	if l := n.line; l != nil {
		l.notices = slices.DeleteFunc(l.notices, func(other *notice) bool { return other == n })
		if len(l.notices) == 0 {
			if p.h.Now() >= l.rest {
				delete(p.lines, l.key)
			}
		} else {
			p.add(l.notices[0])
		}
	}
}

func (p *plain) finish(n *notice) {
	if n.MayRun {
		p.h.GiveUp(n.ID)
	} else {
		p.h.Shed(n.ID, min(p.set.LongestReturn, choice.Second))
	}
	p.release(n)
}

func (p *plain) Ended(o choice.Outcome) {
	n := p.held[o.Notice]
	if n == nil || n.out == nil || o.Dispatch != n.tries-1 {
		return
	}
	e := n.out
	n.out = nil
	e.calls--
	p.out--
	if n.slow {
		n.slow = false
		p.slow--
	}
	now := p.h.Now()
	if o.Wait > 0 {
		until := now + o.Wait + choice.Time(p.rng.Int64N(int64(50*choice.Millisecond)))
		if p.set.Kinds[e.Kind].Apart {
			e.halt = max(e.halt, until)
		} else {
			e.d.halt = max(e.d.halt, until)
		}
	}
	switch o.Result {
	case choice.Errored, choice.TimedOut, choice.Reset, choice.Cancelled, choice.Spoilt:
		if !n.MayRun {
			n.MayRun, n.RanAt, n.RanIn = true, n.sentAt, e.Zone
		}
		if n.line != nil && o.Result != choice.Errored && o.Result != choice.Spoilt {
			n.line.rest = now + p.set.KeyRest
		}
	}
	if o.Final {
		p.release(n)
		return
	}
	p.again(n)
}

func (p *plain) again(n *notice) {
	w := &p.set.Workloads[n.Workload]
	now := p.h.Now()
	wait := choice.Time(0)
	switch p.kind {
	case "one_try":
		p.finish(n)
		return
	case "fixed":
		wait = fixedWait
	case "backoff", "least":
		ceiling := min(2*p.shortest, p.shortest/4<<min(n.tries-1, 10))
		wait = 1 + choice.Time(p.rng.Int64N(int64(max(1, ceiling))))
	case "all_seen":
		wait = p.set.Turn << min(n.tries, 6)
	}
	spent := n.MayRun && (w.Repeat == choice.SingleUse ||
		w.Repeat == choice.Tokened && (w.ZoneGroup || now+wait > n.RanAt+w.RepeatWindow-2*p.set.Turn-choice.Second/10))
	if p.kind == "least" {
		if p.budget < 1 {
			spent = true
		} else {
			p.budget--
		}
	}
	if spent || n.tries >= p.set.MaxDispatches || now+wait >= p.last(n) {
		p.finish(n)
		return
	}
	p.after(wait, func() { p.add(n) })
}

func (p *plain) Probed(choice.EndpointID, choice.Result) {}

func (p *plain) TimerDue(id choice.TimerID) {
	do := p.timers[id]
	delete(p.timers, id)
	if do != nil {
		do()
	}
}

func (p *plain) Open(id choice.EndpointID, notices ...choice.NoticeID) bool {
	e := p.ends[id]
	for _, id := range notices {
		if n := p.held[id]; n != nil && n.MayRun && p.h.Now() > n.RanAt+p.set.Workloads[n.Workload].RepeatWindow-p.set.Turn {
			return false
		}
	}
	return e != nil && e.Stage == choice.Ready && p.h.Now() >= max(e.halt, e.d.halt)
}

// TurnEnd sends what waits, in order of arrival, past those whose partner may not be called now.
func (p *plain) TurnEnd() {
	if p.kind == "all_seen" {
		// By gain for the slot time taken.
		for _, n := range p.queue {
			n.rank = 0
			if e := p.place(n); e != nil {
				n.rank = p.worth(n) / max(1, e.waiting)
			}
		}
		slices.SortStableFunc(p.queue, func(a, b *notice) int { return cmp.Compare(b.rank, a.rank) })
	}
	rest := p.queue[:0]
	for i, n := range p.queue {
		if p.out >= p.set.Slots {
			rest = append(rest, p.queue[i:]...)
			break
		}
		e := p.place(n)
		if e == nil {
			rest = append(rest, n)
			continue
		}
		n.queued = false
		n.out, n.sentAt = e, p.h.Now()
		n.tries++
		e.calls++
		p.out++
		if n.slow = e.waiting > float64(p.shortest); n.slow {
			p.slow++
		}
		if n.tries == 1 {
			p.budget = min(20, p.budget+budgetPart)
		}
		timeOut := p.shortest
		if p.kind == "all_seen" {
			timeOut = 4 * p.shortest
		}
		p.h.Dispatch(n.ID, e.Endpoint, max(1, min(timeOut, n.HardStop-p.h.Now()-2*p.set.Turn)))
	}
	p.queue = rest
}

func (p *plain) worth(n *notice) float64 {
	w := &p.set.Workloads[n.Workload]
	return w.Gain * w.Fade(p.h.Now()-(n.HardStop-w.HardStop), p.set.Halving)
}

// place is the endpoint that a notice goes to, nil if none may be called.
func (p *plain) place(n *notice) *end {
	d := p.dests[n.Destination]
	if d == nil || p.h.Now() < d.halt {
		return nil
	}
	var open []*end
	for _, e := range d.ends {
		if e.Stage == choice.Ready && p.h.Now() >= e.halt {
			open = append(open, e)
		}
	}
	if len(open) == 0 {
		return nil
	}
	if p.kind == "all_seen" {
		var best *end
		least := 0.0
		for _, e := range open {
			well, waiting := p.w.Well(e.Endpoint, e.calls)
			if well && p.w.ColdRoom(e.Endpoint) && (best == nil || waiting < least) {
				best, least = e, waiting
				e.waiting = waiting
			}
		}
		// Slow ones may not hold all slots.
		if best != nil && least > float64(p.shortest) && p.slow >= max(1, p.set.Slots/4) {
			return nil
		}
		return best
	}
	e := open[p.rng.IntN(len(open))]
	if p.kind == "least" {
		if other := open[p.rng.IntN(len(open))]; other.calls < e.calls {
			e = other
		}
	}
	return e
}
