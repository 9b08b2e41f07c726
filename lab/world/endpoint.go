package world

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/load"
)

// rideWork is what a further notice in a call adds to the work of the first.
const rideWork = 0.15

// Partner is one partner system, the destination of notices.
type Partner struct {
	No        PartnerNo
	Kind      *Kind
	KindNo    int
	Share     float64 // of the traffic
	Rate      float64 // calls a second that it can take, all endpoints
	Endpoints []*Endpoint
	limit     *limit // nil where there is none, or its endpoints have one each
}

// Endpoint is one machine of a partner.
type Endpoint struct {
	No      EndpointNo
	ID      choice.EndpointID
	Partner *Partner
	Zone    int
	Addr    int // counts its addresses; a move gives it the next one
	Stage   choice.Stage
	Rate    float64 // calls a second that it can take when warm

	sameMS, crossMS float64
	mean            float64 // tenths of a millisecond
	slots, queueMax int
	limit           *limit
	fx              effects
	busy            int
	queue           []*Call // those that wait; bounded by queueMax
	conns           map[*Conn]struct{}
	out             bool // an outage, as the rule on returns counts it
	since           Time // of the outage, or of the return
	warmFrom        Time
	cold            bool
	sawFail         map[SenderNo]struct{} // who saw a call fail in the present or last outage; emptied with the next
	recent          []arrival             // over the rule's span while cold
	pushes          float64
	boundTold       float64
	downUntil       Time
	report          choice.Report
	reportAt        Time
	restarts        int64
	refuses         bool // connections, as the engine was told
	lastCall        Time
	sincePause      float64 // calls since a pause, where the first ones are refused
}

type arrival struct {
	at     Time
	sender SenderNo
	weight float64
}

// limit is what a partner takes from all senders together.
type limit struct {
	perSecond float64
	span      Time // 0 for a plain rate
	level     float64
	at        Time
	spanNo    Time
	used      float64
}

// take asks for one call; wait is when there is room again.
func (l *limit) take(now Time, share float64, countRefused bool) (ok bool, wait Time) {
	rate := max(1e-6, l.perSecond*share)
	if l.span > 0 {
		if no := now / l.span; no != l.spanNo {
			l.spanNo, l.used = no, 0
		}
		room := max(1, math.Floor(rate*float64(l.span)/float64(Second)))
		if l.used+1 <= room {
			l.used++
			return true, 0
		}
		if countRefused {
			l.used++
		}
		return false, (l.spanNo+1)*l.span - now
	}
	size := max(1, rate*0.4)
	l.level = min(size, l.level+rate*float64(now-l.at)/float64(Second))
	l.at = now
	// Adding up over a wait that was told may fall short of one by a rounding.
	if l.level >= 1-1e-9 {
		l.level--
		return true, 0
	}
	if countRefused {
		l.level = max(-size, l.level-1)
	}
	return false, Time(math.Ceil((1 - l.level) / rate * float64(Second)))
}

// left is the share of the allowance that is not used.
func (l *limit) left(now Time, share float64) float64 {
	rate := max(1e-6, l.perSecond*share)
	if l.span > 0 {
		if now/l.span != l.spanNo {
			return 1
		}
		return max(0, 1-l.used/max(1, math.Floor(rate*float64(l.span)/float64(Second))))
	}
	size := max(1, rate*0.4)
	return min(1, max(0, (l.level+rate*float64(now-l.at)/float64(Second))/size))
}

// Conn is one connection from a sender to an endpoint.
type Conn struct {
	No       int64
	Sender   SenderNo
	Endpoint *Endpoint
	Engine   any // the engine's own
	up       bool
	gone     bool // ended at the endpoint's side
	hung     bool // ended at the sender's side
	told     bool // the sender hears of the end by itself
	carried  int
	idleAt   Time
	call     *Call
	crowded  bool // it came past the table's end
}

// Call is one dispatch on its way: a request with one or several notices, or a probe.
type Call struct {
	No      CallNo
	Conn    *Conn
	Notices []*HandIn
	Probe   bool
	SentAt  Time
	fresh   bool
	out     bool // its sender may still get an answer
	running bool
	doneAt  Time
	over    bool // it has left the endpoint, whatever became of it
}

func (w *World) makePartners() {
	spec := w.Spec
	total := 0
	for i := range spec.Partners {
		total += spec.Partners[i].Count
	}
	// Kinds are dealt over the order of size by chance, so that no kind gets all the traffic.
	order := make([]int, total)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(w.draw("deal", int64(a)), w.draw("deal", int64(b)))
	})
	weights := load.ZipfWeights(total, spec.Load.Zipf)
	sum := 0.0
	for _, v := range weights {
		sum += v
	}
	for i := range spec.Partners {
		kind := &spec.Partners[i]
		for range kind.Count {
			no := len(w.Partners)
			p := &Partner{No: PartnerNo(no), Kind: kind, KindNo: i, Share: weights[order[no]] / sum}
			p.Rate = max(kind.LeastRate, spec.Load.Rate*p.Share*w.within(kind.Headroom, "headroom", int64(no)))
			w.Partners = append(w.Partners, p)
			if kind.Limit != "none" {
				l := w.newLimit(kind, p, 1)
				if !kind.Apart {
					p.limit = l
				}
				if !kind.LimitAbove {
					p.Rate = max(p.Rate, 1.25*l.perSecond)
				}
			}
			count := int(math.Round(w.within(Pair{kind.Endpoints[0] - 0.499, kind.Endpoints[1] + 0.499}, "endpoints", int64(no))))
			for j := range max(1, count) {
				e := &Endpoint{No: EndpointNo(len(w.Endpoints)), Partner: p, Zone: (no + j) % spec.Zones,
					ID: choice.EndpointID(fmt.Sprintf("p%d-%d", no, j)), conns: map[*Conn]struct{}{}, sawFail: map[SenderNo]struct{}{}}
				key := int64(e.No)
				e.sameMS, e.crossMS = w.within(spec.Network.SameMS, "same", key), w.within(spec.Network.CrossMS, "cross", key)
				e.mean = w.within(kind.MeanMS, "mean", key) * float64(Millisecond)
				e.Rate = p.Rate / float64(count)
				e.slots = max(1, int(math.Ceil(e.Rate*e.mean/float64(Second))))
				e.Rate = float64(e.slots) * float64(Second) / e.mean
				e.queueMax = int(math.Ceil(kind.Queue * float64(e.slots)))
				if kind.Limit != "none" && kind.Apart {
					e.limit = w.newLimit(kind, p, float64(count))
				}
				e.warmFrom = -seconds(kind.ColdS)
				p.Endpoints = append(p.Endpoints, e)
				w.Endpoints = append(w.Endpoints, e)
				w.byID[e.ID] = e
			}
			p.Rate = 0
			for _, e := range p.Endpoints {
				p.Rate += e.Rate
			}
		}
	}
}

func (w *World) newLimit(kind *Kind, p *Partner, parts float64) *limit {
	rate := max(kind.LeastRate, w.Spec.Load.Rate*p.Share*w.within(kind.LimitTimes, "limit", int64(p.No))) / parts
	l := &limit{perSecond: rate, level: max(1, rate*0.4)}
	if kind.Limit == "span" {
		l.span = seconds(kind.SpanS)
	}
	return l
}

// limitOf is the one that binds an endpoint, nil for none.
func (e *Endpoint) limitOf() *limit {
	if e.limit != nil {
		return e.limit
	}
	return e.Partner.limit
}

// Bound is what an endpoint takes in calls a second when warm: its capacity or its part of the limit.
func (e *Endpoint) Bound() float64 {
	if l := e.limitOf(); l != nil {
		part := 1.0
		if e.limit == nil {
			part = float64(len(e.Partner.Endpoints))
		}
		return min(e.Rate, l.perSecond/part)
	}
	return e.Rate
}

// Well tells, for a policy that may see the truth, whether a call sent now would be answered, and how long it would
// wait there, in tenths of a millisecond. Mine is how many calls of its sender are out there, arrived or not.
func (w *World) Well(id choice.EndpointID, mine int) (well bool, waiting float64) {
	e := w.byID[id]
	if e == nil || e.Stage == choice.Gone || e.unwell() || e.fx.failing > 0.5 || w.now < e.downUntil {
		return false, 0
	}
	if l := e.limitOf(); l != nil && l.left(w.now, e.fx.limitLeft(w.now)) <= 0 {
		return false, 0
	}
	there := max(mine, e.busy+len(e.queue))
	if there >= e.slots+e.queueMax {
		return false, 0
	}
	return true, (float64(1+there) / float64(e.slots)) * e.mean * e.fx.slowness() / w.warmth(e)
}

// ColdRoom tells, for such a policy, whether one more call leaves a returning endpoint standing.
func (w *World) ColdRoom(id choice.EndpointID) bool {
	e := w.byID[id]
	if e == nil || !e.isCold(w.now) {
		return true
	}
	sum, _ := w.recentLoad(e)
	return sum+1 < 0.8*w.fallBound(e)
}

// warmth is the share of its capacity that an endpoint has by now.
func (w *World) warmth(e *Endpoint) float64 {
	k := e.Partner.Kind
	since := float64(w.now-e.warmFrom) / float64(seconds(k.ColdS))
	if since >= 1 {
		return 1
	}
	return k.ColdFrom + (1-k.ColdFrom)*max(0, since)
}

func (e *Endpoint) isCold(now Time) bool { return now < e.warmFrom+seconds(e.Partner.Kind.ColdS) }

// Dial begins a connection to an endpoint at the address that its sender was told.
func (w *World) Dial(s SenderNo, id choice.EndpointID, addr int) *Conn {
	w.conns++
	c := &Conn{No: w.conns, Sender: s}
	e := w.byID[id]
	if e == nil {
		w.After(Millisecond, func() { w.wire.Down(c, SeenRefused) })
		return c
	}
	c.Endpoint = e
	w.calls++
	there := w.way(s, e, int64(w.calls))
	w.After(2*there, func() {
		switch {
		case c.hung:
		case addr != e.Addr || e.Stage == choice.Gone || !e.accepts(w.now):
			w.saw(e, s)
			w.wire.Down(c, SeenRefused)
		default:
			w.admit(c)
			w.wire.Up(c)
		}
	})
	return c
}

// Accept is Dial for an engine with real connections: it has come up already.
func (w *World) Accept(s SenderNo, e *Endpoint) *Conn {
	w.conns++
	c := &Conn{No: w.conns, Sender: s, Endpoint: e}
	w.admit(c)
	return c
}

// Accepts tells whether an endpoint takes new connections at that address just now.
func (w *World) Accepts(e *Endpoint, addr int) bool {
	return addr == e.Addr && e.Stage != choice.Gone && e.accepts(w.now)
}

func (w *World) admit(c *Conn) {
	e := c.Endpoint
	c.up = true
	c.crowded = e.Partner.Kind.Table > 0 && len(e.conns) >= e.Partner.Kind.Table
	e.conns[c] = struct{}{}
	w.watchIdle(c)
}

// watchIdle closes a connection that carries nothing for too long.
func (w *World) watchIdle(c *Conn) {
	c.idleAt = w.now
	at := w.now
	w.After(seconds(c.Endpoint.Partner.Kind.IdleS), func() {
		if c.call == nil && c.idleAt == at && !c.gone && !c.hung {
			w.drop(c, true)
		}
	})
}

// drop ends a connection from the endpoint's side; tell says whether its sender learns of it.
func (w *World) drop(c *Conn, tell bool) {
	if c.gone {
		return
	}
	c.gone = true
	delete(c.Endpoint.conns, c)
	if call := c.call; call != nil {
		w.unqueue(call)
		w.setOut(call, false)
	}
	if tell && !c.hung {
		c.told = true
		w.After(w.way(c.Sender, c.Endpoint, int64(c.carried)), func() {
			if !c.hung && !w.senders[c.Sender].cut {
				w.wire.Down(c, SeenBroken)
			}
		})
	}
}

// Hang ends a connection from its sender's side.
func (w *World) Hang(c *Conn) {
	if c.hung {
		return
	}
	c.hung = true
	if call := c.call; call != nil {
		w.setOut(call, false) // an end and a later call leave their sender in this order, however long each takes
	}
	e := c.Endpoint
	if e == nil || c.gone {
		return
	}
	w.After(w.way(c.Sender, e, int64(c.carried)), func() {
		if !c.gone {
			c.gone = true
			delete(e.conns, c)
			if c.call != nil {
				w.saw(e, c.Sender) // who gave a call up there has seen it fail
			}
		}
	})
	if c.call != nil && e.out {
		w.saw(e, c.Sender)
	}
}

func (w *World) setOut(c *Call, out bool) {
	if c.out != out {
		c.out = out
		w.ledger.Moved(c, out)
	}
}

// Send is the first byte of a call leaving its sender; its last one follows at once.
func (w *World) Send(c *Conn, notices []choice.NoticeID, probe bool) *Call {
	call := w.newCall(c, notices, probe)
	w.After(w.way(c.Sender, c.Endpoint, int64(call.No)), func() { w.arrive(call) })
	return call
}

// Came is Send for an engine whose connections come up at once: the first call on one waits for as long as coming up
// would have taken.
func (w *World) Came(c *Conn, notices []choice.NoticeID, probe bool) *Call {
	call := w.newCall(c, notices, probe)
	way := w.way(c.Sender, c.Endpoint, int64(call.No))
	if call.fresh {
		way *= 3
	}
	w.After(way, func() { w.arrive(call) })
	return call
}

func (w *World) newCall(c *Conn, notices []choice.NoticeID, probe bool) *Call {
	w.calls++
	call := &Call{No: w.calls, Conn: c, Probe: probe, SentAt: w.now, fresh: c.carried == 0}
	for _, id := range notices {
		if h := w.byNotice[id]; h != nil {
			h.dispatches++
			call.Notices = append(call.Notices, h)
		} else {
			call.Notices = append(call.Notices, &HandIn{ID: id, Unknown: true, Sender: c.Sender})
		}
	}
	c.carried++
	c.call = call
	w.setOut(call, true)
	w.ledger.Began(call)
	return call
}

func (e *Endpoint) unwell() bool {
	return e.fx.crash || e.fx.shut || e.fx.silent || e.fx.hung || e.fx.cut || e.fx.deaf
}

func (e *Endpoint) accepts(now Time) bool { return !e.fx.crash && !e.fx.refuse && now >= e.downUntil }

// arrive is the last byte of a call coming to its endpoint.
func (w *World) arrive(call *Call) {
	c := call.Conn
	e := c.Endpoint
	if c.gone {
		// The connection had ended: its sender sees a reset and cannot tell whether the call ran.
		w.fate(call, 0)
		w.setOut(call, false)
		if !c.hung && !c.told {
			c.told = true
			w.After(w.way(c.Sender, e, int64(call.No)), func() {
				if !c.hung {
					w.wire.Down(c, SeenBroken)
				}
			})
		}
		return
	}
	if e.fx.cut || e.fx.deaf || e.fx.silent || w.senders[c.Sender].cut {
		w.saw(e, c.Sender)
		w.fate(call, 0) // nobody hears it, and nothing runs
		return
	}
	if e.isCold(w.now) && !e.fx.shut {
		w.countCold(call)
		if c.gone {
			return // it has just been pushed over
		}
	}
	k := e.Partner.Kind
	told := w.draw("told", int64(call.No)) < k.Told
	refuse := func(wait Time) {
		if !told {
			wait = 0
		}
		w.reply(call, Answer{Status: 503, Wait: wait, Close: c.crowded})
	}
	switch {
	case call.Probe:
		if e.fx.shut || e.Stage == choice.Gone {
			w.reply(call, Answer{Status: 503})
		} else {
			w.enqueue(call)
		}
		return
	case e.fx.shut:
		w.saw(e, c.Sender)
		refuse(max(Millisecond, e.fx.shutUntil-w.now))
		return
	case e.Stage == choice.Gone, c.crowded:
		refuse(0)
		return
	case w.draw("lying", int64(call.No)) < e.fx.lying:
		for _, h := range call.Notices {
			h.Lied++
			w.ran(h, e)
		}
		refuse(0)
		return
	case w.inRefusedBurst(e), w.amongFirst(e), w.draw("refusing", int64(call.No)) < e.fx.refusing:
		refuse(Time(float64(300*Millisecond) * (1 + w.draw("refusing wait", int64(call.No)))))
		return
	}
	if l := e.limitOf(); l != nil {
		if ok, wait := l.take(w.now, e.fx.limitLeft(w.now), k.CountAll); !ok {
			refuse(wait)
			return
		}
	}
	w.enqueue(call)
}

func (w *World) inRefusedBurst(e *Endpoint) bool {
	return e.fx.burst.every > 0 && e.fx.burst.phase(w.now) < e.fx.burst.share
}

// amongFirst tells whether a call is one of the first after a pause, at an endpoint that refuses these.
func (w *World) amongFirst(e *Endpoint) bool {
	if w.now-e.lastCall > e.fx.firstPause {
		e.sincePause = 0
	}
	e.lastCall = w.now
	e.sincePause++
	return e.sincePause <= e.fx.firstCalls
}

func (w *World) enqueue(call *Call) {
	e := call.Conn.Endpoint
	switch {
	case e.busy < e.slots:
		w.startWork(call)
	case len(e.queue) < e.queueMax:
		e.queue = append(e.queue, call)
	default:
		w.reply(call, Answer{Status: 503})
	}
}

func (w *World) unqueue(call *Call) {
	e := call.Conn.Endpoint
	e.queue = slices.DeleteFunc(e.queue, func(other *Call) bool { return other == call })
}

func (w *World) startWork(call *Call) {
	e := call.Conn.Endpoint
	e.busy++
	call.running = true
	restart := e.restarts
	work := logNormal(e.mean, e.Partner.Kind.Sigma, w.draw("work", w.name(call)...))
	if call.Probe {
		work = e.mean / 8
	} else {
		work *= 1 + rideWork*float64(len(call.Notices)-1)
	}
	work *= e.fx.slowness() / w.warmth(e)
	if call.fresh {
		work += (e.Partner.Kind.ShakeMS + e.fx.shake) * float64(Millisecond)
	}
	w.After(max(1, Time(work)), func() { w.workDone(call, restart) })
}

// name is what a call's chance is drawn for: the notice and how often it was tried, so that variants of a run meet the
// same luck with the same notice.
func (w *World) name(call *Call) []int64 {
	if len(call.Notices) == 0 || call.Notices[0].Unknown {
		return []int64{int64(call.No)}
	}
	h := call.Notices[0]
	return []int64{int64(h.Ask.No), int64(h.dispatches), int64(len(call.Notices))}
}

func (w *World) workDone(call *Call, restart int64) {
	c := call.Conn
	e := c.Endpoint
	if e.restarts != restart {
		return // what it worked at went with the process
	}
	if until := w.pausedUntil(e); until > w.now {
		w.At(until, func() { w.workDone(call, restart) })
		return
	}
	e.busy--
	call.running = false
	for len(e.queue) > 0 && e.busy < e.slots {
		next := e.queue[0]
		e.queue = e.queue[1:]
		w.startWork(next)
	}
	if call.Probe {
		w.reply(call, Answer{Status: 200})
		return
	}
	name := w.name(call)
	fail := 1 - (1-e.Partner.Kind.ErrorShare)*(1-e.fx.failing)
	if len(call.Notices) == 1 {
		if w.draw("fail", name...) < fail {
			if w.draw("fail ran", name...) < 0.5 {
				w.ran(call.Notices[0], e)
			}
			w.saw(e, c.Sender)
			w.reply(call, Answer{Status: 500})
			return
		}
		w.ran(call.Notices[0], e)
	}
	a := Answer{Status: 200}
	if len(call.Notices) > 1 {
		for i, h := range call.Notices {
			status := 200
			if w.draw("fail", append(name, int64(i))...) < fail {
				status = 500
			}
			if status == 200 || w.draw("fail ran", append(name, int64(i))...) < 0.5 {
				w.ran(h, e)
			}
			a.Fates = append(a.Fates, status)
		}
	}
	switch {
	case e.fx.hung:
		w.saw(e, c.Sender)
		a.Half = true
	case !call.fresh && w.draw("reset", name...) < e.fx.resets:
		w.fate(call, 0)
		w.drop(c, true)
		return
	case w.draw("spoilt", name...) < e.fx.spoilt:
		a.Spoilt = true
	}
	w.reply(call, a)
}

func (w *World) ran(h *HandIn, e *Endpoint) { w.ledger.Ran(h, e, w.now) }

// fate closes an endpoint's part in a call.
func (w *World) fate(call *Call, status int) {
	if !call.over {
		call.over = true
		w.ledger.Outcome(call, status)
	}
}

// reply is an answer leaving its endpoint. From here on the call is no longer out, and a notice it delivers is.
func (w *World) reply(call *Call, a Answer) {
	c := call.Conn
	e := c.Endpoint
	if a.Status == 503 && a.Wait > 0 {
		a.Status = 429
	}
	w.fate(call, a.Status)
	if a.Status >= 500 || a.Status == 429 {
		if e.out {
			w.saw(e, c.Sender)
		}
	}
	if c.gone {
		return
	}
	if e.Partner.Kind.Reports {
		a.Report = w.reportOf(e)
	}
	if !a.Half {
		w.setOut(call, false)
		c.call = nil
		if !a.Spoilt {
			for i, h := range call.Notices {
				if a.Status == 200 && !c.hung && (a.Fates == nil || a.Fates[i] == 200) && !h.Unknown {
					w.ledger.Delivered(h, e)
					w.delivered(h)
				}
			}
		}
		w.watchIdle(c)
	}
	if a.Close {
		c.gone = true
		delete(e.conns, c)
	}
	back, replied := w.way(c.Sender, e, -int64(call.No)), w.now
	w.After(back, func() {
		if !c.hung && !w.senders[c.Sender].cut {
			if a.Wait > 0 {
				// An answer that crosses the end of its call is heard by nobody, and a wait in it binds nobody.
				w.ledger.WaitTold(c.Sender, e, replied+a.Wait)
			}
			w.wire.Answered(c, call, a)
		}
	})
}

func (w *World) reportOf(e *Endpoint) choice.Report {
	if w.now >= e.reportAt {
		e.reportAt = w.now + ms(e.Partner.Kind.ReportMS)
		e.report = choice.Report{Known: true, Left: 1}
		if l := e.limitOf(); l != nil {
			e.report.Left, e.report.Limit = l.left(w.now, e.fx.limitLeft(w.now)), l.perSecond*e.fx.limitLeft(w.now)
		}
	}
	return e.report
}

// saw notes that a sender knows of an outage by what happened to it.
func (w *World) saw(e *Endpoint, s SenderNo) {
	if e.out {
		e.sawFail[s] = struct{}{}
	}
}

// recentLoad is what came over the rule's span, and what of it from senders that know.
func (w *World) recentLoad(e *Endpoint) (sum, knowing float64) {
	span := seconds(w.Spec.Rules.FallS)
	e.recent = slices.DeleteFunc(e.recent, func(a arrival) bool { return a.at < w.now-span })
	for _, a := range e.recent {
		sum += a.weight
		if _, knows := e.sawFail[a.sender]; knows {
			knowing += a.weight
		}
	}
	return sum, knowing
}

// fallBound is the load over the rule's span beyond which a cold endpoint falls over. A handful of calls fells none.
func (w *World) fallBound(e *Endpoint) float64 {
	return max(4, w.Spec.Rules.FallMultiple*e.Rate*w.warmth(e)*w.Spec.Rules.FallS)
}

// countCold adds a call to the load on a returning endpoint, which may push it over.
func (w *World) countCold(call *Call) {
	e := call.Conn.Endpoint
	if e.out || e.warmFrom < 0 {
		return
	}
	weight := 1 + rideWork*float64(max(1, len(call.Notices))-1)
	e.recent = append(e.recent, arrival{w.now, call.Conn.Sender, weight})
	sum, knowing := w.recentLoad(e)
	bound := w.fallBound(e)
	w.ledger.Returning(e, sum, bound)
	if sum <= bound {
		return
	}
	w.ledger.PushedOver(e, knowing/sum)
	e.downUntil = w.now + seconds(e.Partner.Kind.DownS)
	w.tellAccepting(e)
	w.breakAll(e)
	w.outage(e, true)
	w.At(e.downUntil, func() { w.judgeOutage(e) })
}

// breakAll ends the process behind an endpoint: its connections are reset and its work is gone. Of what ran, the part
// that had come far enough has taken effect.
func (w *World) breakAll(e *Endpoint) {
	e.restarts++
	e.busy = 0
	all := make([]*Conn, 0, len(e.conns))
	for c := range e.conns {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *Conn) int { return cmp.Compare(a.No, b.No) })
	e.queue = nil
	for _, c := range all {
		if call := c.call; call != nil && !call.over {
			if call.running && !call.Probe && w.draw("crash ran", w.name(call)...) < 0.5 {
				for _, h := range call.Notices {
					w.ran(h, e)
				}
			}
			w.saw(e, c.Sender)
			w.fate(call, 0)
		}
		w.drop(c, true)
	}
}

// outage begins or ends one; what returns is cold.
func (w *World) outage(e *Endpoint, down bool) {
	if e.out == down {
		return
	}
	e.out, e.since = down, w.now
	if down {
		clear(e.sawFail)
	} else {
		e.warmFrom = w.now
		e.recent = nil
	}
	w.ledger.Outage(e, down)
}

// tellAccepting lets the engine know where connections are refused from now on, or no longer.
func (w *World) tellAccepting(e *Endpoint) {
	if on := e.accepts(w.now); on == e.refuses {
		e.refuses = !on
		w.wire.Accepting(e, on)
	}
}

// judgeOutage compares what strikes an endpoint with whether it counts as out.
func (w *World) judgeOutage(e *Endpoint) {
	w.tellAccepting(e)
	w.outage(e, e.unwell() || e.fx.failing > 0.5 || w.now < e.downUntil)
}

// MeanMS is how long a call takes on average where nothing is wrong.
func (w *World) MeanMS(e *Endpoint) float64 { return e.mean / float64(Millisecond) }
