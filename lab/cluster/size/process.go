package size

// This file plays the control part of one process: digests and reports up, plans down. It must not read the state of
// another process.

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/evidence/digest"
	"flaxcove/internal/cluster/evidence/table"
	"flaxcove/internal/cluster/failover/apply"
	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// Intervals and bounds as in internal/cluster and its package failover/run.
const (
	digestEvery     = 500 * time.Millisecond
	turnEvery       = 500 * time.Millisecond
	minTurn         = 50 * time.Millisecond
	weighEvery      = 150 * time.Millisecond
	calmReportEvery = 2 * time.Second
	reportedFor     = 15 * time.Second
	renewals        = 5
	maxReports      = 3000
	maxLocalities   = 40_000
	keepFor         = time.Minute
	// maxWitnesses is how many reporters internal/cluster/evidence keeps of a locality.
	maxWitnesses = 32
)

// process is the control part beside one sender. It does in simulated time what cluster/feed.go and failover/run do with
// goroutines and links. Each process has a clock of its own, hours apart from those of others.
type process struct {
	fleet        *fleet
	name         view.Name
	zone         view.Zone
	began        time.Duration // its clock at the start of the run
	sender       *countingSender
	window       *digest.Window
	ownSamples   []healthreport.Sample
	ownSampledAt view.Uptime
	reported     map[healthreport.Locality]lastReport
	table        *table.Table

	board     *assess.ReportTable
	weighedAt view.Uptime
	turnDue   bool
	reportsTo view.Name

	holder       apply.Holder
	compiledPlan *plan.Plan
	local        apply.Local
	guide        *apply.Guide
	guideUntil   view.Uptime
	children     map[view.Name]*child
}

type lastReport struct {
	at      view.Uptime
	failing bool
}

type child struct {
	epoch view.Epoch
	fresh view.Uptime
	out   bool
}

func (p *process) now() view.Uptime { return p.fleet.now() + p.began }

func (p *process) inForce() *apply.Guide {
	if p.guide == nil || p.now() >= p.guideUntil {
		return nil
	}
	return p.guide
}

func (p *process) start() {
	p.window = digest.NewWindow(p.name, p.zone, p.fleet.span, maxLocalities, p.now())
	p.reported, p.children = map[healthreport.Locality]lastReport{}, map[view.Name]*child{}
	p.table = table.NewTable(table.Bounds{Rows: maxLocalities, Witnesses: maxWitnesses, MaxAge: keepFor})
	p.board, p.weighedAt = assess.NewReportTable(assess.DefaultBounds()), p.now()-weighEvery
	first := p.fleet.spread(string(p.name))
	p.fleet.after(first, p.digest)
	p.fleet.after(first+minTurn, p.tick)
}

func (p *process) digest() {
	p.fleet.after(digestEvery, p.digest)
	now := p.now()
	p.ownSamples, p.ownSampledAt = p.window.Take(now, p.sender.digest()), now
	head := p.fleet.tree.ZoneHead(p.zone)
	if head == p.name {
		p.takeSamples(now, p.ownSamples)
		return
	}
	if tell := p.samplesToReport(now); len(tell) > 0 {
		to := p.fleet.processes[head]
		p.fleet.send(p, to, tell, func() { to.takeSamples(to.now(), tell) })
	}
}

func (p *process) samplesToReport(now view.Uptime) (tell []healthreport.Sample) {
	for _, s := range p.ownSamples {
		last, ill := p.reported[s.Locality], s.Failed > 0
		if ill || ill != last.failing || last.at == 0 || now-last.at >= calmReportEvery {
			tell = append(tell, s)
			p.reported[s.Locality] = lastReport{now, ill}
		}
	}
	maps.DeleteFunc(p.reported, func(_ healthreport.Locality, t lastReport) bool { return now-t.at > reportedFor })
	return tell
}

func (p *process) takeSamples(now view.Uptime, all []healthreport.Sample) {
	if p.fleet.prompt && slices.ContainsFunc(all, func(s healthreport.Sample) bool { return s.Failed > s.Done+s.Rejected }) {
		p.scheduleTurn()
	}
	for _, s := range all {
		p.table.Add(now, s)
	}
}

func (p *process) tick() {
	p.fleet.after(turnEvery, p.tick)
	p.turn()
}

// scheduleTurn schedules a turn soon. What arrives until then is handled together.
func (p *process) scheduleTurn() {
	if !p.turnDue {
		p.turnDue = true
		p.fleet.after(minTurn, func() {
			p.turnDue = false
			p.turn()
		})
	}
}

func (p *process) turn() {
	now, t := p.now(), p.fleet.tree
	weighs := now-p.weighedAt >= weighEvery
	if weighs {
		p.weighedAt = now
	}
	if weighs && t.ZoneHead(p.zone) == p.name {
		seen := p.table.Read(now)
		slices.SortFunc(seen, func(a, b healthreport.Sample) int { return table.Order(&a, &b) })
		p.board.Put(now, slices.DeleteFunc(assess.SummarizeZone(p.zone, seen, assess.DefaultBounds()), func(w assess.Report) bool {
			return w.Idle() && w.Zone != p.zone && t.ZoneHead(w.Zone) != ""
		}))
	}
	if p.fleet.leader.at == p {
		p.fleet.leader.turn(now, weighs)
	}
	local := p.sender.local(p.fleet.numbers)
	local.Failing = p.failingHere(now)
	p.compile(now, local)
	p.sendReports(now)
	p.sendPlan(now)
}

func (p *process) failingHere(now view.Uptime) map[apply.Endpoints]bool {
	ill := map[apply.Endpoints]bool{}
	for _, s := range p.ownSamples {
		s.Age += now - p.ownSampledAt
		if assess.SeesFailure([]healthreport.Sample{s}, assess.DefaultBounds()) {
			ill[apply.Endpoints{Destination: s.Destination, Zone: p.fleet.numbers[s.Zone]}] = true
		}
	}
	return ill
}

func (p *process) compile(now view.Uptime, local apply.Local) {
	in, until := p.holder.Plan(now)
	if in == nil {
		p.guide, p.compiledPlan = nil, nil
		return
	}
	p.guideUntil = until
	if p.guide != nil && in == p.compiledPlan && maps.Equal(local.Failing, p.local.Failing) &&
		maps.EqualFunc(local.Listed, p.local.Listed, slices.Equal[[]choice.ZoneNo]) {
		return
	}
	if p.compiledPlan != in {
		p.fleet.reached(p, in)
	}
	p.compiledPlan, p.local = in, local
	p.guide = apply.Compile(in, local)
}

func (p *process) sendReports(now view.Uptime) {
	lead := p.fleet.leader.at
	to, known := p.fleet.tree.Parent(p.name)
	final := !known
	if final {
		if lead == nil || lead == p {
			return
		}
		to = lead.name
	}
	if to != p.reportsTo {
		p.reportsTo = to
		p.board.MarkAllUnsent()
	}
	reports := p.board.TakeDue(now, maxReports)
	if len(reports) == 0 {
		return
	}
	above := p.fleet.processes[to]
	p.fleet.send(p, above, reports, func() {
		board := above.board
		if final {
			if p.fleet.leader.at != above {
				return
			}
			board = p.fleet.leader.board
		}
		if board.Put(above.now(), reports) {
			above.scheduleTurn()
		}
	})
}

func (p *process) sendPlan(now view.Uptime) {
	targets := p.fleet.tree.Children(p.name)
	if root := p.fleet.tree.Root(); p.fleet.leader.at == p && root != p.name {
		targets = append(targets, root)
	}
	for _, name := range targets {
		c := p.children[name]
		if c == nil {
			c = &child{fresh: now - time.Hour}
			p.children[name] = c
		}
		in, some := p.holder.Announce(now, c.epoch != p.holder.Epoch())
		if !some || c.out || c.epoch >= in.Epoch && now-in.Age-c.fresh < p.fleet.settings.Hold/renewals {
			continue
		}
		c.out = true
		to, asOf := p.fleet.processes[name], now-in.Age
		p.fleet.send(p, to, in, func() {
			to.takePlan(in)
			epoch := to.holder.Epoch()
			p.fleet.send(to, p, epoch, func() {
				c.out, c.epoch, c.fresh = false, epoch, asOf
				if p.holder.Epoch() > epoch {
					p.scheduleTurn()
				}
			})
		})
	}
}

func (p *process) takePlan(in apply.Announcement) {
	changed, err := p.holder.Receive(p.now(), in)
	if err != nil {
		panic(err) // plans are checked before they are decided
	}
	local := p.local
	if changed {
		local = p.sender.local(p.fleet.numbers)
		local.Failing = p.local.Failing
	}
	p.compile(p.now(), local)
	p.scheduleTurn()
}

// bytesOf is the length of a message's body.
func bytesOf(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain data
	}
	return len(b)
}
