package choice

// Sender is one sender's decisions. A caller makes one with Start, calls a method for each thing that
// happens, and TurnEnd once all that came in together is told; it acts by calling its Host meanwhile.
// host.go holds all types that cross; docs/design.md gives source and departures.

import (
	"cmp"
	"container/list"
	"maps"
	"math"
	"slices"
)

const (
	firstTrial, lastTrial   = 300 * Millisecond, 2 * Second    // pauses before trials: first, longest
	loadSpan, fleetLoadSpan = 2 * Second, 5 * Second           // of means of sends
	quietFor, crowdedFor    = 2 * Second, Second / 2           // done lately; so lately that the queue is full
	longWait, lastGuess     = 2500 * Millisecond, 8 * Second   // told by the shut, above; longest one guessed
	tick, blinkFor          = 50 * Millisecond, 3 * Second / 2 // between answers, too short for a cold start
	usedUpFor               = 500 * Millisecond                // rest of a used-up route, until waits are told

	baseShare, capShare     = 0.25, 2.0   // retry ceilings, in shortest contract times
	meanGain, pastGain      = 0.125, 0.02 // weights of a new time in the mean, in the past
	patience, finalPatience = 10.0, 4.0   // spreads above the mean; times longer where a time-out is final
	usedUp                  = 0.3         // share of an allowance left up to which it explains a refusal
	priorShare, firstLimit  = 0.5, 2.0    // before any call: its time in contract times; calls out at once
	failsToAside, byChance  = 2, 60       // failures in a row, at least; seconds between asides by chance alone
	refusedRun, doubtRun    = 2, 6        // refusals in a row; calls done before single-use notices go again
	toleratedShare          = 0.02        // of calls refused, the price of using all room
	mostNoise, noiseTold    = 0.25, 3.0   // share refused whatever the load; deviations that tell it
	nearLoad, topFor        = 0.95, 10.0  // share that still counts as the same; seconds a load is kept
	leastPace, unpaced      = 0.6, 1e6    // calls a second: of all senders together; while no limit was met
	paceCut, paceGrow       = 0.5, 0.05   // to which part at least, half beyond a handful; growth a second
	callsToJudge, handful   = 16, 4.0     // under so many, a refusal is a limit's; calls that fell nothing
	coldFloor, coldPart     = 1.0, 1.2    // calls a cold time, whatever is known; times the part that is
	smallFleet              = 8           // senders up to which each may probe and try every endpoint
	rideWeight              = 0.15        // what a further notice in a call weighs on a cold destination
	laneShare               = 4           // one slot in so many drains a destination's refused notices
	notedPay                = 0.3         // retries that a call done pays for, where notes go round
	feeWeight               = 20.0        // times longer that a route may take for each notice's worth of fee
	overdueAfter            = 4.0         // times its past before a call out counts as unanswered
	keptMost, closeMore     = 0.05, 30.0  // resets on kept links; own calls due to keep one, a share of failures
	shareSpan               = 30.0        // seconds of an account's share that may come at once
	crowdFrom               = 0.85        // share of MaxOpen from which notices are turned away by chance
)

const tickTimer TimerID = 0 // the others stand for notices

// notice is one held notice; it leaves Sender.held once it is over and nothing of it is out.
type notice struct {
	Notice
	w                   *Workload
	d                   *destination
	out                 *call
	by                  *endpoint
	queue               *list.List
	elem                *list.Element
	line                *keyLine
	gain                float64
	tries               int
	born, sentAt, dueAt Time
	refused, over       bool
	wakes               []TimerID
}

// keyLine holds the notices of one order key in the order taken; dropped when empty and rested.
type keyLine struct {
	key       OrderKey
	notices   []*notice
	restUntil Time
}

type destination struct {
	id                     DestinationID
	kind                   *kind
	route                  *route
	ranked                 []*endpoint
	queues                 []*list.List // fresh ones, one for each workload, then due, then lane
	laneOut, waiting, held int
	again                  *bucket // what pays for retries: its own, or in a fleet its kind's
	stirred                bool    // in Sender.stirred
}

// kind is what is known of all destinations that the list calls alike.
type kind struct {
	Kind
	times           // of all calls there, for endpoints where none was done yet
	reports bool    // its answers tell of limits, so that a refusal without one is no limit's
	again   bucket  // what pays for retries: calls done, and a trickle
	wait    Time    // what used-up routes usually tell to wait
	short   float64 // share of late connections that failed
}

// route is what limits, waits and returns count for: a destination, or an endpoint that is a route apart.
type route struct {
	pace                                             bucket
	load, good                                       meter // own calls sent, and done
	rating, limit, peak                              float64
	seen, full, top                                  float64 // since slowDown judged; highest load
	wasShare, wasLoad, wasSeen, noise                float64 // of the last other load; what stays
	haltUntil, lastGood, lastCut, guess, metAt, rest Time
	fails, run                                       int // failures and refusals since something was done
}

type endpoint struct {
	times
	standing
	id                                   EndpointID
	d                                    *destination
	route                                *route
	zone                                 ZoneNo
	calls, fails, doubt                  int
	limit, wrong, bad, asked, full, dear float64 // wrong, bad: shares
	used                                 meter
	toldAt, goodAt, badAt, linkUntil     Time
	listed, probing                      bool
	cold                                 bucket
	open                                 *call
}

// standing is whether and since when an endpoint is set aside or cold; coldWas is the coldness before.
type standing struct {
	aside, passed                                   bool
	failAt, asideAt, step, tryAt, coldFrom, coldWas Time
}

// call is one slot: the notices sent to one endpoint in one turn, until all have their outcomes.
type call struct {
	e                         *endpoint
	sentAt                    Time
	n, left, turn             int
	lane, judged, lost, fresh bool // fresh: on a new connection
}

type Sender struct {
	h                                                                        Host
	chance                                                                   chance
	workloads                                                                []Workload
	kinds                                                                    []kind
	shares                                                                   []bucket  // by account
	fees                                                                     []float64 // by zone
	zone                                                                     ZoneNo
	slots, laneMax, maxOpen, maxTries, turns                                 int
	senders, prior, topGain, overGain, ratingPart, fallRate, coldShare, kept float64 // kept: see learn
	now, base, cap, turn, cold, fall, loadSpan, keyRest, connIdle, longest   Time    // longest: 0 for none
	probes, halving, tellsFull, notes                                        bool
	lastTimer                                                                TimerID

	held      map[NoticeID]*notice           // emptied as notices end
	timers    map[TimerID]*notice            // emptied as each fires or its notice is released
	lines     map[OrderKey]*keyLine          // emptied when a key has no notice and its rest is over
	byID      map[DestinationID]*destination // emptied by the tick once without endpoints and notices
	endpoints map[EndpointID]*endpoint       // likewise, once gone and without calls
	signs     map[sign]*endpoint             // the same, by what stands for them in notes
	waiting   []*destination                 // those with a queued notice, longest waiting first
	stirred   []*destination                 // those the next tick looks at; emptied as they settle
	calls     []*call                        // at most one for each slot
}

func Start(h Host, id SenderID, seed int64, set Settings) *Sender {
	s := &Sender{
		h: h, chance: newChance(id, seed), now: h.Now(),
		workloads: set.Workloads, fees: set.RouteFees, halving: set.Halving, slots: set.Slots,
		laneMax: max(1, set.Slots/laneShare), maxOpen: set.MaxOpen, maxTries: set.MaxDispatches,
		senders: float64(set.Senders), zone: set.Zone, longest: set.LongestReturn, overGain: set.OverShareGain,
		probes: set.Probing && set.Senders <= smallFleet, connIdle: set.ConnIdle, turn: max(1, set.Turn),

		fallRate: set.FallMultiple * coldPart, coldShare: set.ColdFrom, cold: set.Cold, keyRest: set.KeyRest,
		fall: max(1, set.Fall), loadSpan: [...]Time{loadSpan, fleetLoadSpan}[int(one(set.Senders > smallFleet))],
		held: map[NoticeID]*notice{}, timers: map[TimerID]*notice{},
		lines: map[OrderKey]*keyLine{}, byID: map[DestinationID]*destination{},
		endpoints: map[EndpointID]*endpoint{}, tellsFull: set.TellsFull,
		signs: map[sign]*endpoint{}, notes: set.Notes && set.Senders > smallFleet,
	}
	s.ratingPart = [...]float64{0, 1 / 1.5, 1}[set.Rating] / s.senders // a rough one may be half too high
	shortest := Time(math.MaxInt64)
	for _, w := range set.Workloads {
		shortest = min(shortest, max(1, w.ContractTime))
		s.topGain = max(s.topGain, w.Gain)
	}
	s.base, s.cap = max(1, Time(baseShare*float64(shortest))), max(1, Time(capShare*float64(shortest)))
	s.prior = max(1, priorShare*float64(shortest))
	for _, k := range set.Kinds {
		again := bucket{1 / seconds(s.cap), float64(s.laneMax), s.now}
		s.kinds = append(s.kinds, kind{Kind: k, wait: usedUpFor, again: again})
	}
	for _, q := range set.Quotas {
		s.shares = append(s.shares, bucket{q / s.senders, shareSpan * q / s.senders, s.now})
	}
	h.Timer(tick, tickTimer)
	return s
}

func (s *Sender) ListNews(entries []Entry, whole bool) {
	s.now = s.h.Now()
	for _, e := range s.endpoints {
		e.listed = e.listed && !whole
	}
	for _, entry := range entries {
		d := s.destination(entry.Destination)
		d.kind = &s.kinds[max(0, min(int(entry.Kind), len(s.kinds)-1))]
		if s.notes {
			d.again = &d.kind.again
		}
		e := s.endpoints[entry.Endpoint]
		if e != nil && e.d != d {
			e.listed, e = false, nil
		}
		if e == nil {
			e = &endpoint{id: entry.Endpoint, d: d, route: d.route, limit: firstLimit, toldAt: -quietFor,
				times: times{mean: s.prior, dev: s.prior, past: s.prior}, standing: standing{coldFrom: -s.cold}}
			if d.kind.Apart {
				e.route = &route{pace: bucket{unpaced, unpaced, s.now}, lastCut: s.now}
			}
			if l := entry.Learnt; l != nil {
				e.times = [...]times{e.times, {l.Mean, l.Dev, l.Past, l.Seen}}[int(one(l.Seen > 0))]
				e.route.limit, e.route.haltUntil = l.Limit, max(e.route.haltUntil, s.now+l.Wait)
			}
			for _, other := range d.ranked {
				if other.route == e.route && (other.aside && !e.aside || other.coldFrom > e.coldFrom) {
					// Most of a destination may be replaced while it is out: what is new is no warmer than the rest.
					e.times, e.standing, e.cold = other.times, other.standing, bucket{at: max(s.now, other.cold.at)}
				}
			}
			s.endpoints[e.id], s.signs[signOf(e.id)] = e, e
			d.ranked = append(d.ranked, e)
		}

		e.zone, e.listed, e.dear = entry.Zone, entry.Stage == Ready, 1
		if z := int(e.zone); d.kind.Apart && z >= 0 && z < len(s.fees) {
			e.dear += feeWeight * s.fees[z]
		}
		e.route.rating = entry.Rating * s.ratingPart
	}
}

func (s *Sender) destination(id DestinationID) *destination {
	d := s.byID[id]
	if d == nil {
		d = &destination{id: id, queues: lists(len(s.workloads) + 2)}
		d.route = &route{pace: bucket{unpaced, unpaced, s.now}, lastCut: s.now}
		d.again = &bucket{1 / seconds(s.cap), float64(s.laneMax), s.now}
		s.byID[id] = d
	}
	s.stir(d)
	return d
}

// stir has the next tick look at a destination: work follows what changed, not the size of the list.
func (s *Sender) stir(d *destination) {
	if !d.stirred {
		d.stirred = true
		s.stirred = append(s.stirred, d)
	}
}

func (s *Sender) Taken(in Notice) {
	s.now = s.h.Now()
	w, d := &s.workloads[in.Workload], s.destination(in.Destination)
	n := &notice{Notice: in, w: w, d: d, gain: w.Gain, born: in.HardStop - w.HardStop}
	if a := int(in.Account); a >= 0 && a < len(s.shares) && !s.shares[a].take(s.now, shareSpan) {
		n.gain *= s.overGain
	}
	s.held[n.ID] = n
	n.d.held++
	if w.ByArrival && n.Key != NoKey {
		n.line = s.lines[n.Key]
		if n.line == nil {
			n.line = &keyLine{key: n.Key}
			s.lines[n.Key] = n.line
		}
		n.line.notices = append(n.line.notices, n)
		if n.MayRun {
			n.line.restUntil = s.now + s.keyRest // a call of an earlier life may still run
			s.wake(n, n.line.restUntil)
		}
	}
	if s.now > s.lastSend(n) || n.MayRun && w.Repeat == SingleUse {
		s.finish(n)
	} else if s.keepRoom(n); !n.over {
		s.wake(n, s.lastSend(n)+1)
		s.queue(n)
	}
}

// keepRoom keeps room below MaxOpen: by chance, that notice goes, a new one or another, which earns least for
// the room and time that it still needs.
func (s *Sender) keepRoom(n *notice) {
	p := (float64(len(s.held))/float64(s.maxOpen) - crowdFrom) / (1 - crowdFrom)
	if p <= 0 || s.chance.share(string(n.ID)) >= p*(2-n.gain/s.topGain) {
		return
	}
	victim, least := n, math.Inf(1)
	for _, v := range s.held {
		if v.out == nil {
			needs := s.needs(v)
			if earns := s.worth(v, needs) / float64(needs); earns < least || earns == least && v.ID < victim.ID {
				victim, least = v, earns
			}
		}
	}
	s.finish(victim)
}

// needs is for how long a notice will take up room: behind those of its key, through waits, and through an
// outage that lasts as long again as it has.
func (s *Sender) needs(n *notice) Time {
	ahead, out := 1, Time(math.MaxInt64)
	if n.line != nil {
		ahead += slices.Index(n.line.notices, n)
	}
	for _, e := range n.d.ranked {
		if e.listed {
			out = min(out, max(0, e.route.haltUntil-s.now, Time(one(e.aside))*(s.now-e.asideAt)))
		}
	}
	return Time(s.usual(n.d))*Time(ahead) + max(n.dueAt-s.now, min(out, n.HardStop-s.now), 1)
}

// queue lays a notice up, once: the end of one turned away may have given a new one of its key its turn
// already, and what stands in two places is shed, and sent after its end.
func (s *Sender) queue(n *notice) {
	if n.elem != nil || n.line != nil && (n.line.notices[0] != n || s.now < n.line.restUntil && n.tries == 0) {
		return
	}
	n.queue = n.d.queues[n.Workload]
	if n.refused {
		n.queue = n.d.queues[len(n.d.queues)-1]
	} else if n.tries > 0 {
		n.queue = n.d.queues[len(s.workloads)]
	}
	n.elem = n.queue.PushBack(n)
	if n.d.waiting++; n.d.waiting == 1 {
		s.waiting = append(s.waiting, n.d)
	}
}

func (s *Sender) unqueue(n *notice) {
	if n.elem != nil {
		n.queue.Remove(n.elem)
		n.queue, n.elem = nil, nil
		if n.d.waiting--; n.d.waiting == 0 {
			s.waiting = slices.DeleteFunc(s.waiting, func(d *destination) bool { return d == n.d })
		}
	}
}

func (s *Sender) wake(n *notice, at Time) {
	s.lastTimer++
	s.timers[s.lastTimer] = n
	n.wakes = append(n.wakes, s.lastTimer)
	s.h.Timer(max(1, at-s.now), s.lastTimer)
}

// lastSend is the last time at which a dispatch has room for one usual call.
func (s *Sender) lastSend(n *notice) Time {
	last := n.HardStop - Time(math.Ceil(min(s.usual(n.d), float64(n.w.HardStop)/4))) - 2*s.turn
	if n.MayRun && n.w.Repeat == Tokened {
		last = min(last, n.RanAt+n.w.RepeatWindow-s.turn)
	}
	return last
}

func (s *Sender) worth(n *notice, in Time) float64 {
	return n.gain * n.w.Fade(s.now+in-n.born, s.halving)
}

func (s *Sender) usual(d *destination) float64 {
	if i := slices.IndexFunc(d.ranked, func(e *endpoint) bool { return e.listed && !e.aside }); i >= 0 {
		return d.ranked[i].mean
	}
	return s.prior
}

func (s *Sender) Withdrawn(id NoticeID) {
	s.now = s.h.Now()
	if n := s.held[id]; n != nil {
		s.release(n)
	}
}

// finish answers a notice: shed where every dispatch is proven never to have run, else given up.
func (s *Sender) finish(n *notice) {
	if n.MayRun || n.out != nil {
		s.h.GiveUp(n.ID)
	} else {
		s.h.Shed(n.ID, min(s.longest, max(s.base, s.haltEnd(n.d)-s.now)))
	}
	s.release(n)
}

func (s *Sender) release(n *notice) {
	n.over = true
	if s.unqueue(n); n.out != nil {
		return
	}
	delete(s.held, n.ID)
	for _, id := range n.wakes {
		delete(s.timers, id)
		s.h.Forget(id)
	}
	n.d.held--
	s.stir(n.d)
	if line := n.line; line != nil {
		line.notices = slices.DeleteFunc(line.notices, func(other *notice) bool { return other == n })
		if s.now < line.restUntil {
			s.wake(n, line.restUntil)
		}
		s.advance(line)
	}
}

// advance gives a key's turn to its next notice, unless that has it already or the key rests.
func (s *Sender) advance(line *keyLine) {
	if line == nil || s.lines[line.key] != line || s.now < line.restUntil {
		return
	}
	if len(line.notices) == 0 {
		delete(s.lines, line.key)
	} else if n := line.notices[0]; n.tries == 0 && n.elem == nil {
		s.queue(n)
	}
}

func (s *Sender) haltEnd(d *destination) Time {
	end := max(d.route.haltUntil, s.now)
	for _, e := range d.ranked {
		end = min(end, e.route.haltUntil)
	}
	return end
}

func (s *Sender) Ended(o Outcome) {
	s.now = s.h.Now()
	n := s.held[o.Notice]
	if n == nil || n.out == nil || o.Dispatch != n.tries-1 {
		return
	}
	c := n.out
	n.out = nil
	if !c.judged && o.Result != Moot && o.Result != Cancelled { // these tell nothing of the endpoint
		c.judged = true
		s.learn(c, o)
	} else if o.Wait > 0 {
		// The notices of one call may be told at different times, and a wait counts from the last.
		s.halt(c.e, o.Wait, false)
	}
	if c.left--; c.left == 0 {
		s.hangUp(c)
	}
	switch o.Result {
	case Errored, TimedOut, Reset, Cancelled, Spoilt:
		if !n.MayRun {
			n.MayRun, n.RanAt, n.RanIn = true, n.sentAt, c.e.zone
		}
		if n.line != nil && o.Result != Errored && o.Result != Spoilt {
			n.line.restUntil = s.now + s.keyRest
		}
	}
	n.refused, n.by = o.Result == Full, c.e
	if n.over = n.over || o.Final; n.over {
		s.release(n)
	} else {
		s.again(n)
	}
}

// again keeps the ordinary path of a retry: capped doubling ceilings, full jitter.
func (s *Sender) again(n *notice) {
	last := s.lastSend(n)
	if n.tries >= s.maxTries || n.MayRun && n.w.Repeat == SingleUse || s.now >= last || s.haltEnd(n.d) > last {
		s.finish(n)
		return
	}
	ceiling := min(s.cap, s.base<<min(n.tries-1, 20))
	n.dueAt = min(s.now+s.chance.upTo(string(n.ID), ceiling), last)
	s.wake(n, n.dueAt)
	s.wake(n, last+1)
}

func (s *Sender) hangUp(c *call) {
	c.e.calls, c.e.linkUntil, c.e.d.laneOut = c.e.calls-1, s.now+s.connIdle, c.e.d.laneOut-int(one(c.lane))
	s.spare(c.e)
	s.calls = slices.DeleteFunc(s.calls, func(other *call) bool { return other == c })
}

// spare closes idle links, also where what waits may not go yet. Those of a fleet fill tables: the more
// connections of their kind fail, the oftener one must be used to stay.
func (s *Sender) spare(e *endpoint) {
	use := e.used.read(s.now, loadSpan*Time(s.senders)) * seconds(s.connIdle)
	idle := e.calls == 0 && (e.d.waiting == 0 || !e.route.ready(s.now) || !s.coldReady(e))
	if idle && use < closeMore*e.d.kind.short {
		s.h.CloseIdle(e.id)
		e.linkUntil = s.now
	}
}

// crowded answers that an endpoint has no place for one more connection, which tells nothing of its limits:
// links that idle at its kind may go, and one call at a time tries there. Harm: some shut ones look alike.
func (s *Sender) crowded(e *endpoint) {
	e.limit, e.d.kind.short = 1, e.d.kind.short+meanGain*(1-e.d.kind.short)
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		if other := s.endpoints[id]; other.d.kind == e.d.kind {
			s.spare(other)
		}
	}
}

func (s *Sender) learn(c *call, o Outcome) {
	e, r := c.e, c.e.route
	s.stir(e.d)
	if o.Report.Known {
		r.limit, e.d.kind.reports = o.Report.Limit, true
	}
	r.seen++
	full := one(o.Result == Full)
	e.asked, e.full, e.bad = e.asked+1, e.full+full, e.bad+meanGain*(full-e.bad)
	e.wrong += one(!e.aside) * pastGain * (1 - full) * (one(o.Result != Done) - e.wrong)
	s.kept += one(o.Kept) * meanGain * (one(o.Result == Reset) - s.kept)
	switch o.Result {
	case Done:
		e.measure(float64(o.Took), meanGain, pastGain)
		e.d.kind.measure(float64(o.Took), meanGain, pastGain)
		e.d.kind.short *= 1 - meanGain*one(c.fresh)
		e.d.again.level += [...]float64{1, notedPay}[int(one(s.notes))]
		r.good.count(s.now, loadSpan*Time(s.senders))
		r.peak, r.fails, r.run, r.guess, e.fails, e.doubt = max(r.peak, r.good.rate), 0, 0, 0, 0, max(0, e.doubt-1)
		r.pace.rate = max(r.pace.rate, r.limit/s.senders*one(o.Report.Left > usedUp)) // it has filled up again
		if e.aside {
			s.comeBack(e, c.sentAt)
		} else if e.mean < 2*e.past {
			e.limit = min(float64(s.slots), e.limit+1/e.limit)
		}
		e.goodAt, r.lastGood = s.now, s.now
	case Full:
		if o.Closed && !o.Kept && o.Wait == 0 { // no place for one more connection, no word of limits
			s.crowded(e)
		} else {
			s.refused(c, o)
		}
	case Errored, Reset, Spoilt:
		// A kept link that breaks or a spoilt answer shows no outage: a crash refuses new connections too.
		if o.Result == Errored || o.Result == Reset && !o.Kept || s.now-e.goodAt > quietFor {
			s.failed(e, 0)
		}
	case TimedOut, ConnectFailed:
		if o.Result == ConnectFailed && !s.tellsFull {
			e.d.kind.short += meanGain * (1 - e.d.kind.short)
			s.tell(e, 0)
		}
		if float64(s.now-c.sentAt) >= 2*s.prior || s.now < s.held[o.Notice].HardStop-2*s.turn { // else cut short
			s.lost(c)
		}
	}
}

// busy is when one more call would be done, one by one; a refusal costs a wait. An unseen far one ranks
// behind, which spreads a fleet over a destination; a route's fee counts as time.
func (s *Sender) busy(e *endpoint) float64 {
	if e.seen == 0 && e.zone != s.zone {
		return 2 * e.mean * e.dear
	}
	return (e.mean*float64(1+e.calls) + e.bad*float64(s.base)) / (1 - e.bad) * e.dear
}

// refused tells a limit, which a report shows used up, from a shut destination. With neither report nor wait
// told, a run with nothing done has one guessed, doubling. Harm: a very low limit not reported.
func (s *Sender) refused(c *call, o Outcome) {
	e, r, halted := c.e, c.e.route, c.e.route.haltUntil
	r.run++
	limited := o.Report.Limit > 0 && (o.Report.Left-usedUp)*o.Report.Limit < 1
	if s.notes && s.now >= halted && (limited || o.Wait > 0 || !e.d.kind.reports) {
		s.tell(e, max(o.Wait, noteUnit))
		s.heed(e, o.Wait)
	}
	if o.Wait > 0 {
		s.halt(e, o.Wait, o.Wait > longWait || e.d.kind.reports && !limited && s.now-r.lastGood > crowdedFor)
	}
	if limited && o.Wait <= longWait {
		s.comeBack(e, c.sentAt)
	} else if o.Wait == 0 && e.d.kind.reports && r.limit == 0 && !e.aside && s.now-r.lastGood < crowdedFor {
		e.limit = max(1, min(e.limit, float64(e.calls)-1)) // a pace cut for it would starve what has no limit
		return
	} else if e.aside || e.d.kind.reports {
		s.failed(e, o.Report.Limit)
	} else if o.Wait == 0 && r.run >= refusedRun && s.now-r.lastGood > quietFor && s.now >= r.haltUntil {
		r.guess = min(lastGuess, max(firstTrial, 2*r.guess))
		s.halt(e, r.guess/2+s.chance.upTo(string(e.id), r.guess/2), false)
	}
	if o.Wait == 0 || s.now-halted <= quietFor { // a wait that comes anew is heeded, and that is enough
		s.slowDown(e.d, r)
	}
}

// slowDown answers the share of calls refused since it last judged, once a second at most, in proportion,
// from the highest load of late. A share that stays when there is less load is noise, once luck does not
// explain it. Harm: a limit told nowhere is met oftener, and of few calls nothing can be told.
func (s *Sender) slowDown(d *destination, r *route) {
	if r.full++; s.now-r.lastCut <= Second {
		return
	}
	full, seen := s.ofRoute(d, r)
	since, share := max(1, seconds(s.now-r.lastCut)), full/seen
	r.top = max(r.load.read(s.now, s.loadSpan), r.seen/since, r.top*math.Exp(-since/topFor))
	load := min(r.top, r.pace.rate)
	limited := max(0, 1-(1-r.wasShare)*r.wasLoad/load) // what a limit would refuse of so much less
	both := (share*seen + r.wasShare*r.wasSeen) / (seen + r.wasSeen)
	told := r.wasShare-limited > noiseTold*luck(both, seen, r.wasSeen)
	if told && share > (limited+r.wasShare)/2 {
		r.noise, load = max(r.noise, min(mostNoise, r.wasShare, share)), r.wasLoad
		r.pace.rate = max(r.pace.rate, load)
	}
	if told || load > r.wasLoad {
		r.wasLoad, r.wasShare, r.wasSeen = load, share, seen
	} else if load > nearLoad*r.wasLoad {
		r.wasShare, r.wasSeen = both, seen+r.wasSeen
	}
	r.noise += meanGain * min(0, share-r.noise)
	over := share - max(toleratedShare, r.noise+2*math.Sqrt(r.noise*(1-r.noise)/seen))
	over = max(over, one(s.senders > smallFleet && r.seen < callsToJudge))
	r.lastCut, r.seen, r.full = s.now, 0, 0
	if over > 0 {
		r.pace.level = min(0, r.pace.level)
		to := max(paceCut-paceCut/2*one(full > handful), 1-over) * load
		if r.limit > 0 { // where refused calls count, all at their parts would keep it used up
			if to = r.limit / s.senders; r.run >= refusedRun {
				to = paceCut * min(r.pace.rate, to)
			}
		}
		r.pace.rate = max(leastPace/s.senders, one(s.notes)/seconds(s.base), to)
	}
}

// ofRoute counts what tells of a route. What one endpoint refuses of late beyond luck is its own affair.
func (s *Sender) ofRoute(d *destination, r *route) (float64, float64) {
	worst, full, seen := &endpoint{}, 0.0, 0.0
	for _, e := range d.ranked {
		if e.route == r {
			full, seen, e.full, e.asked = full+e.full, seen+e.asked, e.full*nearLoad, e.asked*nearLoad
			if e.full >= worst.full {
				worst = e
			}
		}
	}
	own, most, rest := worst.asked/nearLoad, worst.full/nearLoad, seen-worst.asked/nearLoad
	if rest >= callsToJudge/2 && most/own-(full-most)/rest > noiseTold*luck(full/seen, own, rest) {
		return full - most, rest
	}
	return r.full, r.seen + 1
}

// lost tells of a call without an answer, once. Others answered meanwhile: less at once is enough.
func (s *Sender) lost(c *call) {
	if !c.lost && c.e.goodAt > c.sentAt {
		c.e.limit, c.e.doubt, c.e.badAt = max(1, c.e.limit/2), doubtRun, s.now
	} else if !c.lost {
		s.failed(c.e, 0)
	}
	c.lost = true
}

func (s *Sender) failed(e *endpoint, limit float64) {
	e.fails, e.route.fails = e.fails+1, e.route.fails+1
	// One is enough where nothing was answered lately, as a large fleet seldom sees two, and two of a route are
	// all of it, or each sender would push at every endpoint in turn. Of many calls some fail by chance.
	used := e.used.read(s.now, loadSpan*Time(s.senders))
	run := math.Log(byChance*used) / -math.Log(max(toleratedShare, e.wrong))
	if e.aside || e.fails >= max(failsToAside, int(math.Ceil(run))) || limit == 0 && s.now-e.goodAt > quietFor {
		all := s.senders > smallFleet && e.route.fails >= failsToAside && s.now-e.route.lastGood > quietFor
		for _, other := range e.d.ranked {
			if other == e || other.route == e.route && !other.aside && all {
				s.setAside(other)
			}
		}
	}
}

// setAside stops sends to an endpoint whose calls fail, whatever the cause. It comes back by a probe, where
// the fleet is small, and then a trial call. Harm: a healthy endpoint with two chance failures.
func (s *Sender) setAside(e *endpoint) {
	s.stir(e.d)
	if e.aside {
		e.step = min(lastTrial, 2*e.step)
	} else {
		e.aside, e.asideAt, e.step, e.coldWas = true, s.now, firstTrial, e.coldFrom
		s.chill(e, max(s.now, e.route.haltUntil))
	}
	e.failAt, e.passed, e.tryAt = s.now, !s.probes, s.now+e.step/2+s.chance.upTo(string(e.id), e.step/2)
}

func (s *Sender) comeBack(e *endpoint, sentAt Time) {
	if e.aside && s.now-e.goodAt < blinkFor {
		e.coldFrom = e.coldWas
	} else if e.aside && sentAt >= e.asideAt { // a call from before shows no return
		s.chill(e, (e.failAt+s.now)/2)
	}
	e.fails, e.aside = 0, false
}

// Learnt is what means the same in another life or fleet: what calls take, a limit told, a wait not over.
func (s *Sender) Learnt(id EndpointID) (l Learnt) {
	if e := s.endpoints[id]; e != nil {
		l = Learnt{e.mean, e.dev, e.past, e.seen, e.route.limit, max(0, e.route.haltUntil-s.h.Now())}
	}
	return l
}

// Heard takes a note of another sender: that a limit was met, or, with no wait, that no place was found.
func (s *Sender) Heard(note []byte) {
	s.now = s.h.Now()
	g, wait := read(note)
	if e := s.signs[g]; e != nil && wait > 0 {
		s.heed(e, wait)
	} else if e != nil && wait == 0 {
		if e.toldAt = s.now; e.calls == 0 && e.linkUntil > s.now {
			e.linkUntil = s.now
			s.h.CloseIdle(e.id)
		}
	}
}

func (s *Sender) tell(e *endpoint, wait Time) {
	if s.notes && (wait > 0 || s.now >= e.toldAt+quietFor) {
		e.toldAt = s.now
		s.h.Tell(write(e.id, wait))
	}
}

// heed rests a route whose limit a sender of the fleet met, jittered, as what all hold back must not come at
// once: as long as its kind usually tells to wait, longer the sooner it is met again. Harm: room lies idle.
func (s *Sender) heed(e *endpoint, wait Time) {
	r, k := e.route, e.d.kind
	k.wait += Time(one(wait > noteUnit && wait < lastGuess/2) * meanGain * float64(wait-k.wait))
	if s.now < r.metAt+r.rest/2 {
		return
	} else if r.rest = min(max(Second, 2*k.wait), r.rest+r.rest/2); s.now >= r.metAt+2*r.rest {
		r.rest = k.wait
	}
	r.metAt = s.now
	r.haltUntil = max(r.haltUntil, s.now+max(wait, r.rest/2)+s.chance.upTo(string(e.id), r.rest))
}

// halt heeds a told wait, jittered so that senders told alike do not return in step.
func (s *Sender) halt(e *endpoint, wait Time, shut bool) {
	end := s.now + wait + s.chance.upTo(string(e.id), min(wait/8, tick*4))
	e.route.haltUntil = max(e.route.haltUntil, end)
	for _, other := range e.d.ranked {
		if other.route == e.route {
			// What all may send once a wait is over must not pile up in it.
			other.cold.at = max(other.cold.at, end)
			if shut {
				s.chill(other, end)
			}
		}
	}
}

// chill starts a cold budget: two senders may begin at once, those of a fleet each by chance.
func (s *Sender) chill(e *endpoint, from Time) {
	e.limit, e.mean, e.coldFrom, e.cold.at = firstLimit, e.past, from, max(from, s.now)
	e.cold.level = 1 - s.chance.share(string(e.id))*max(0, 1-2/s.senders)
}

// coldReady bounds all that goes to what is set aside or may be cold, against pushing it over.
func (s *Sender) coldReady(e *endpoint) bool {
	if !e.aside && s.now >= e.coldFrom+s.cold {
		return true
	}
	ends := 1 + one(e.route == e.d.route)*float64(len(e.d.ranked)-1)
	warm := s.coldShare + one(!e.aside)*(1-s.coldShare)*float64(s.now-e.coldFrom)/float64(max(1, s.cold))
	known := max(max(leastPace, e.route.limit)/s.senders, e.route.rating)
	e.cold.rate = max(coldFloor/seconds(s.cold), s.fallRate*warm*known) / ends
	// The call that a bucket holds counts too, where few share much; of a large fleet's few are full at once.
	if span := seconds(s.fall); s.senders <= smallFleet && e.cold.rate*s.senders*span > handful {
		e.cold.rate = max(handful/s.senders/span, e.cold.rate-1/span)
	}
	return e.cold.fill(s.now, 1) >= 1
}

func (r *route) ready(now Time) bool {
	// Room is tried again little by little, and faster the longer and the more calls show that there is some.
	faster := max(0, min(seconds(now-r.lastCut-3*Second), r.seen/callsToJudge))/2 + one(r.pace.rate < r.peak/2)
	r.pace.rate = min(unpaced, r.pace.rate*math.Exp(paceGrow*(1+faster)*seconds(now-r.pace.at)))
	return now >= r.haltUntil && r.pace.fill(now, max(1, r.pace.rate/2)) >= 1
}

func (s *Sender) Probed(id EndpointID, result Result) {
	s.now = s.h.Now()
	if e := s.endpoints[id]; e != nil && e.probing {
		if e.probing, e.passed = false, result == Done; e.aside && !e.passed {
			s.setAside(e)
		}
	}
}

func (s *Sender) TimerDue(id TimerID) {
	s.now = s.h.Now()
	if id == tickTimer {
		s.h.Timer(tick, tickTimer)
		for _, c := range s.calls {
			if float64(s.now-c.sentAt) > max(2*s.prior, overdueAfter*c.e.past) {
				s.lost(c)
			}
		}
		s.stirred = slices.DeleteFunc(s.stirred, s.settled)
		return
	}
	n := s.timers[id]
	delete(s.timers, id)
	if n != nil {
		n.wakes = slices.DeleteFunc(n.wakes, func(other TimerID) bool { return other == id })
	}
	switch {
	case n == nil || n.out != nil:
	case n.over:
		s.advance(n.line)
	case s.now > s.lastSend(n):
		s.finish(n)
	default:
		if n.elem == nil && (n.tries == 0 || s.now >= n.dueAt) {
			s.queue(n)
		}
		// Else a notice is lost when nothing else happens to its destination.
		s.wake(n, s.lastSend(n)+1)
	}
}

// settled renews a destination; it tells whether nothing is left to come back for.
func (s *Sender) settled(d *destination) bool {
	d.ranked = slices.DeleteFunc(d.ranked, func(e *endpoint) bool {
		if e.listed || e.calls > 0 || e.probing || s.now < max(e.coldFrom+s.cold, e.route.haltUntil) {
			return false
		}
		if s.endpoints[e.id] == e {
			delete(s.endpoints, e.id)
			maps.DeleteFunc(s.signs, func(_ sign, other *endpoint) bool { return other == e }) // two may share one
		}
		return true
	})
	slices.SortStableFunc(d.ranked, func(a, b *endpoint) int { return cmp.Compare(s.busy(a), s.busy(b)) })
	d.stirred = false
	for _, e := range d.ranked {
		due := s.now >= max(e.tryAt, e.route.haltUntil)
		if e.aside && !e.passed && e.listed && !e.probing && due && s.coldReady(e) {
			e.probing, e.cold.level = true, e.cold.level-1
			s.h.Probe(e.id)
		}
		d.stirred = d.stirred || e.aside || !e.listed
	}
	if len(d.ranked) == 0 && d.held == 0 {
		delete(s.byID, d.id)
	}
	return !d.stirred
}

func (s *Sender) TurnEnd() {
	s.now = s.h.Now()
	for n, e := s.next(); n != nil; n, e = s.next() {
		s.dispatch(n, e)
	}
	s.turns++
}

// next takes the fresh tier before any retry; in a tier each queue's newest, by gain for the slot time taken.
func (s *Sender) next() (best *notice, to *endpoint) {
	for tier, top := 0, 0.0; tier < 2 && best == nil; tier++ {
		for _, d := range s.waiting {
			for i, l := range d.queues {
				if l.Len() == 0 || (i < len(s.workloads)) != (tier == 0) {
					continue
				}
				n := l.Back().Value.(*notice)
				if e := s.place(n, l == d.queues[len(d.queues)-1] && d.laneOut >= s.laneMax); e != nil {
					if v := (s.worth(n, Time(s.usual(n.d))) + 1e-6) / max(1, e.mean); v > top {
						best, to, top = n, e, v
					}
				}
			}
		}
	}
	return best, to
}

// Open tells whether a dispatch may still leave once its connection is up: a wait or a drain may have come,
// or the time be over in which a tokened notice that may have run is known.
func (s *Sender) Open(id EndpointID, notices ...NoticeID) bool {
	e, now := s.endpoints[id], s.h.Now()
	late := func(id NoticeID) bool {
		n := s.held[id]
		return n != nil && n.MayRun && n.w.Repeat == Tokened && now > n.RanAt+n.w.RepeatWindow-s.turn
	}
	return e != nil && e.listed && now >= e.route.haltUntil && !slices.ContainsFunc(notices, late)
}

// place is where a notice may go now. What answered nothing lately holds no more than what is unknown.
func (s *Sender) place(n *notice, rideOnly bool) *endpoint {
	var trial, same *endpoint
	for _, e := range n.d.ranked {
		if !e.listed || s.now < e.route.haltUntil || n.MayRun && n.w.ZoneGroup && e.zone != n.RanIn ||
			n.w.Repeat == SingleUse && e.doubt > 0 && s.now-e.badAt < 2*lastTrial && s.now < s.lastSend(n)-quietFor {
			continue
		}
		if e.open != nil && e.open.turn == s.turns && !e.aside && e.open.n < n.d.kind.BundleMax {
			return e
		}
		switch {
		case rideOnly || len(s.calls) >= s.slots || n.tries > 0 && n.d.again.fill(s.now, float64(s.slots)) < 1:
		case e.aside:
			wait := e.tryAt + Time(one(n.w.Repeat == SingleUse))*2*lastTrial
			if e.passed && s.now >= wait && trial == nil && (s.probes || s.coldReady(e)) {
				trial = e
			}
		case float64(e.calls) >= e.limit || e.calls >= firstLimit && s.now-e.goodAt >= quietFor:
		case !e.route.ready(s.now) || !s.coldReady(e):
		case n.by == nil || e.bad < n.by.bad: // what refused a notice may do so again
			return e
		default:
			same = cmp.Or(same, e)
		}
	}
	return cmp.Or(same, trial)
}

func (s *Sender) dispatch(n *notice, e *endpoint) {
	lane := n.queue == n.d.queues[len(n.d.queues)-1]
	s.unqueue(n)
	if n.w.Repeat == SingleUse && s.kept > keptMost {
		s.h.CloseIdle(e.id)
	}
	if k := &e.d.kind.times; s.senders > smallFleet && e.seen == 0 && k.seen > 0 {
		e.times = times{k.mean, k.dev, k.past, 0}
	}
	c := e.open
	if c == nil || c.turn != s.turns || c.n >= n.d.kind.BundleMax {
		c = &call{e: e, sentAt: s.now, turn: s.turns, lane: lane, fresh: e.calls == 0 && s.now >= e.linkUntil}
		n.d.laneOut, n.d.again.level = n.d.laneOut+int(one(lane)), n.d.again.level-one(n.tries > 0)
		e.open, e.calls, e.cold.level, e.route.pace.level = c, e.calls+1, e.cold.level-1, e.route.pace.level-1
		e.route.load.count(s.now, s.loadSpan)
		e.passed, e.tryAt = !s.probes, s.now+2*e.step // read while it is set aside
		e.used.count(s.now, loadSpan*Time(s.senders))
		s.calls = append(s.calls, c)
	} else {
		e.cold.level -= rideWeight
	}
	c.n, c.left, n.out, n.sentAt, n.tries = c.n+1, c.left+1, c, s.now, n.tries+1
	s.h.Dispatch(n.ID, e.id, s.timeOut(n, e))
}

func (s *Sender) timeOut(n *notice, e *endpoint) Time {
	usual, longer := max(2*s.prior, e.mean+patience*e.dev), float64(n.tries)
	if n.w.Repeat == SingleUse {
		longer = 1 + (finalPatience-1)*float64(s.slots-len(s.calls))/float64(s.slots)
	}
	return max(1, min(Time(math.Ceil(usual*longer)), n.HardStop-s.now-s.turn))
}
