package size

// This file owns what stands beside one sender: digests up, plans down. It must never look into another process.

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/evidence/digest"
	"flaxcove/internal/cluster/evidence/table"
	"flaxcove/internal/cluster/failover/apply"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// Spans as internal/cluster and its failover/run have them.
const (
	digestEach  = 500 * time.Millisecond
	turnEach    = 500 * time.Millisecond
	leastTurn   = 50 * time.Millisecond
	weighEach   = 150 * time.Millisecond
	calmEach    = 2 * time.Second
	reportedFor = 15 * time.Second
	renewals    = 5
	mostUp      = 3000
	mostPlaces  = 40_000
	keepFor     = time.Minute
	// mostWitnesses is what internal/cluster/evidence keeps of a place.
	mostWitnesses = 32
)

// process is what stands beside one sender: it does in simulated time what cluster/feed.go and failover/run do with
// goroutines and links. Its clock began at a time of its own, hours apart from others'.
type process struct {
	f        *fleet
	name     view.Name
	zone     view.Zone
	began    time.Duration // what its clock shows at the start of the run
	c        *counted
	window   *digest.Window
	own      []healthreport.Sample
	ownAt    view.Now
	reported map[healthreport.Locality]telling
	table    *table.Table

	passing *weigh.Board
	weighed view.Now
	turnDue bool
	upTo    view.Name

	holder apply.Holder
	made   *plan.Plan
	local  apply.Local
	guide  *apply.Guide
	until  view.Now
	below  map[view.Name]*child
}

type telling struct {
	at  view.Now
	ill bool
}

type child struct {
	epoch view.Epoch
	fresh view.Now
	out   bool
}

func (p *process) now() view.Now { return p.f.now() + p.began }

func (p *process) inForce() *apply.Guide {
	if p.guide == nil || p.now() >= p.until {
		return nil
	}
	return p.guide
}

func (p *process) start() {
	p.window = digest.Make(p.name, p.zone, p.f.span, mostPlaces, p.now())
	p.reported, p.below = map[healthreport.Locality]telling{}, map[view.Name]*child{}
	p.table = table.Make(table.Bounds{Rows: mostPlaces, Witnesses: mostWitnesses, Keep: keepFor})
	p.passing, p.weighed = weigh.NewBoard(weigh.Usual()), p.now()-weighEach
	first := p.f.spread(string(p.name))
	p.f.after(first, p.digest)
	p.f.after(first+leastTurn, p.tick)
}

func (p *process) digest() {
	p.f.after(digestEach, p.digest)
	now := p.now()
	p.own, p.ownAt = p.window.Take(now, p.c.digest()), now
	head := p.f.tree.ZoneHead(p.zone)
	if head == p.name {
		p.takeIn(now, p.own)
		return
	}
	if tell := p.due(now); len(tell) > 0 {
		to := p.f.procs[head]
		p.f.send(p, to, tell, func() { to.takeIn(to.now(), tell) })
	}
}

func (p *process) due(now view.Now) (tell []healthreport.Sample) {
	for _, s := range p.own {
		last, ill := p.reported[s.Locality], s.Failed > 0
		if ill || ill != last.ill || last.at == 0 || now-last.at >= calmEach {
			tell = append(tell, s)
			p.reported[s.Locality] = telling{now, ill}
		}
	}
	maps.DeleteFunc(p.reported, func(_ healthreport.Locality, t telling) bool { return now-t.at > reportedFor })
	return tell
}

func (p *process) takeIn(now view.Now, all []healthreport.Sample) {
	if p.f.prompt && slices.ContainsFunc(all, func(s healthreport.Sample) bool { return s.Failed > s.Done+s.Refused }) {
		p.scheduleTurn()
	}
	for _, s := range all {
		p.table.Take(now, s)
	}
}

func (p *process) tick() {
	p.f.after(turnEach, p.tick)
	p.turn()
}

// scheduleTurn has a turn come soon; what comes together is told together.
func (p *process) scheduleTurn() {
	if !p.turnDue {
		p.turnDue = true
		p.f.after(leastTurn, func() {
			p.turnDue = false
			p.turn()
		})
	}
}

func (p *process) turn() {
	now, t := p.now(), p.f.tree
	weighs := now-p.weighed >= weighEach
	if weighs {
		p.weighed = now
	}
	if weighs && t.ZoneHead(p.zone) == p.name {
		seen := p.table.Read(now)
		slices.SortFunc(seen, func(a, b healthreport.Sample) int { return table.Order(&a, &b) })
		p.passing.Put(now, slices.DeleteFunc(weigh.Zonal(p.zone, seen, weigh.Usual()), func(w weigh.Report) bool {
			return w.Idle() && w.Zone != p.zone && t.ZoneHead(w.Zone) != ""
		}))
	}
	if p.f.lead.at == p {
		p.f.lead.turn(now, weighs)
	}
	local := p.c.local(p.f.numbers)
	local.Ill = p.ill(now)
	p.compile(now, local)
	p.tellUp(now)
	p.tellDown(now)
}

func (p *process) ill(now view.Now) map[apply.At]bool {
	ill := map[apply.At]bool{}
	for _, s := range p.own {
		s.Age += now - p.ownAt
		if weigh.Ill([]healthreport.Sample{s}, weigh.Usual()) {
			ill[apply.At{Destination: s.Destination, Zone: p.f.numbers[s.Zone]}] = true
		}
	}
	return ill
}

func (p *process) compile(now view.Now, local apply.Local) {
	in, until := p.holder.Plan(now)
	if in == nil {
		p.guide, p.made = nil, nil
		return
	}
	p.until = until
	if p.guide != nil && in == p.made && maps.Equal(local.Ill, p.local.Ill) &&
		maps.EqualFunc(local.Listed, p.local.Listed, slices.Equal[[]choice.ZoneNo]) {
		return
	}
	if p.made != in {
		p.f.reached(p, in)
	}
	p.made, p.local = in, local
	p.guide = apply.Compile(in, local)
}

func (p *process) tellUp(now view.Now) {
	lead := p.f.lead.at
	to, known := p.f.tree.Parent(p.name)
	final := !known
	if final {
		if lead == nil || lead == p {
			return
		}
		to = lead.name
	}
	if to != p.upTo {
		p.upTo = to
		p.passing.Again()
	}
	reports := p.passing.Up(now, mostUp)
	if len(reports) == 0 {
		return
	}
	above := p.f.procs[to]
	p.f.send(p, above, reports, func() {
		board := above.passing
		if final {
			if p.f.lead.at != above {
				return
			}
			board = p.f.lead.all
		}
		if board.Put(above.now(), reports) {
			above.scheduleTurn()
		}
	})
}

func (p *process) tellDown(now view.Now) {
	targets := p.f.tree.Children(p.name)
	if root := p.f.tree.Root(); p.f.lead.at == p && root != p.name {
		targets = append(targets, root)
	}
	for _, name := range targets {
		c := p.below[name]
		if c == nil {
			c = &child{fresh: now - time.Hour}
			p.below[name] = c
		}
		in, some := p.holder.Tell(now, c.epoch != p.holder.Epoch())
		if !some || c.out || c.epoch >= in.Epoch && now-in.Age-c.fresh < p.f.set.Hold/renewals {
			continue
		}
		c.out = true
		to, asOf := p.f.procs[name], now-in.Age
		p.f.send(p, to, in, func() {
			to.hear(in)
			epoch := to.holder.Epoch()
			p.f.send(to, p, epoch, func() {
				c.out, c.epoch, c.fresh = false, epoch, asOf
				if p.holder.Epoch() > epoch {
					p.scheduleTurn()
				}
			})
		})
	}
}

func (p *process) hear(in apply.Heard) {
	changed, err := p.holder.Hear(p.now(), in)
	if err != nil {
		panic(err) // plans are checked before they are decided
	}
	local := p.local
	if changed {
		local = p.c.local(p.f.numbers)
		local.Ill = p.local.Ill
	}
	p.compile(p.now(), local)
	p.scheduleTurn()
}

// bytesOf is how long a message's body is.
func bytesOf(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain data
	}
	return len(b)
}
