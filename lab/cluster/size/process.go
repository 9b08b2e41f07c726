package size

// This file simulates the control part of one process: it sends digests and reports up the tree and plans down. It must not
// read the state of another process.

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
	digestEvery         = 500 * time.Millisecond
	turnEvery           = 500 * time.Millisecond
	minTurn             = 50 * time.Millisecond
	evaluateEvery       = 150 * time.Millisecond
	calmReportEvery     = 2 * time.Second
	forgetReportedAfter = 15 * time.Second
	renewalsPerHold     = 5
	maxReports          = 3000
	maxLocalities       = 40_000
	maxRowAge           = time.Minute
	// maxWitnesses is the number of reporters of a locality that internal/cluster/evidence keeps.
	maxWitnesses = 32
)

// process is the control part of one sender. It does in simulated time what internal/cluster/feed.go and
// internal/cluster/failover/run do with goroutines and links. Each process has its own clock, which differs from the others by
// up to two hours.
type process struct {
	fleet        *fleet
	name         view.Name
	zone         view.Zone
	clockOffset  time.Duration // reading of its clock at the start of the run
	sender       *countingSender
	window       *digest.Window
	ownSamples   []healthreport.Sample
	ownSampledAt view.Uptime
	reported     map[healthreport.Locality]lastReport
	table        *table.Table

	reports     *assess.ReportTable
	evaluatedAt view.Uptime
	turnDue     bool
	reportsTo   view.Name

	holder       apply.Holder
	compiledPlan *plan.Plan
	local        apply.Local
	guide        *apply.Guide
	guideUntil   view.Uptime
	children     map[view.Name]*child
}

// lastReport is the time of the last report of a locality, and whether it reported failures.
type lastReport struct {
	at      view.Uptime
	failing bool
}

// child is what a process knows of the plan at one of its children.
type child struct {
	epoch     view.Epoch  // acknowledged epoch
	renewedAt view.Uptime // time as of which the child last confirmed the plan
	inFlight  bool        // an announcement is not acknowledged yet
}

// now returns the time of the process's own clock.
func (p *process) now() view.Uptime { return p.fleet.now() + p.clockOffset }

// inForce returns the routing guide in force, or nil for none.
func (p *process) inForce() *apply.Guide {
	if p.guide == nil || p.now() >= p.guideUntil {
		return nil
	}
	return p.guide
}

// start creates the state of the process and schedules its first digest and turn.
func (p *process) start() {
	p.window = digest.NewWindow(p.name, p.zone, p.fleet.digestSpan, maxLocalities, p.now())
	p.reported, p.children = map[healthreport.Locality]lastReport{}, map[view.Name]*child{}
	p.table = table.NewTable(table.Bounds{Rows: maxLocalities, Witnesses: maxWitnesses, MaxAge: maxRowAge})
	p.reports, p.evaluatedAt = assess.NewReportTable(assess.DefaultBounds()), p.now()-evaluateEvery
	first := p.fleet.startOffset(string(p.name))
	p.fleet.after(first, p.takeDigest)
	p.fleet.after(first+minTurn, p.tick)
}

// takeDigest takes the samples of a digest and reports them to the coordinator of the zone.
func (p *process) takeDigest() {
	p.fleet.after(digestEvery, p.takeDigest)
	now := p.now()
	p.ownSamples, p.ownSampledAt = p.window.Add(now, p.sender.digest()), now
	coordinator := p.fleet.tree.ZoneCoordinator(p.zone)
	if coordinator == p.name {
		p.takeSamples(now, p.ownSamples)
		return
	}
	if due := p.samplesToReport(now); len(due) > 0 {
		to := p.fleet.processes[coordinator]
		p.fleet.send(p, to, due, func() { to.takeSamples(to.now(), due) })
	}
}

// samplesToReport returns the samples that are due: those with failures, those of localities that were not reported before or
// just stopped failing, and the others every calmReportEvery.
func (p *process) samplesToReport(now view.Uptime) (due []healthreport.Sample) {
	for _, s := range p.ownSamples {
		last, failing := p.reported[s.Locality], s.Failed > 0
		if failing || failing != last.failing || last.at == 0 || now-last.at >= calmReportEvery {
			due = append(due, s)
			p.reported[s.Locality] = lastReport{now, failing}
		}
	}
	maps.DeleteFunc(p.reported, func(_ healthreport.Locality, t lastReport) bool { return now-t.at > forgetReportedAfter })
	return due
}

// takeSamples stores samples of the zone's processes. With the option Prompt, a sample in which most calls failed schedules a
// turn.
func (p *process) takeSamples(now view.Uptime, all []healthreport.Sample) {
	if p.fleet.prompt && slices.ContainsFunc(all, func(s healthreport.Sample) bool { return s.Failed > s.Done+s.Rejected }) {
		p.scheduleTurn()
	}
	for _, s := range all {
		p.table.Add(now, s)
	}
}

// tick runs the periodic turn.
func (p *process) tick() {
	p.fleet.after(turnEvery, p.tick)
	p.turn()
}

// scheduleTurn schedules a turn after minTurn, unless one is scheduled already. The turn handles everything that arrived until
// then.
func (p *process) scheduleTurn() {
	if !p.turnDue {
		p.turnDue = true
		p.fleet.after(minTurn, func() {
			p.turnDue = false
			p.turn()
		})
	}
}

// turn evaluates the reports of the zone and plans, where this process has these roles, compiles the guide, and sends reports
// and plans that are due.
func (p *process) turn() {
	now, t := p.now(), p.fleet.tree
	evaluates := now-p.evaluatedAt >= evaluateEvery
	if evaluates {
		p.evaluatedAt = now
	}
	if evaluates && t.ZoneCoordinator(p.zone) == p.name {
		seen := p.table.Read(now)
		slices.SortFunc(seen, func(a, b healthreport.Sample) int { return table.Compare(&a, &b) })
		p.reports.Put(now, slices.DeleteFunc(assess.SummarizeZone(p.zone, seen, assess.DefaultBounds()), func(w assess.Report) bool {
			return w.Idle() && w.Zone != p.zone && t.ZoneCoordinator(w.Zone) != ""
		}))
	}
	if p.fleet.leader.process == p {
		p.fleet.leader.turn(now, evaluates)
	}
	local := p.sender.local(p.fleet.zoneNumbers)
	local.Failing = p.failingEndpoints(now)
	p.compileGuide(now, local)
	p.sendReports(now)
	p.sendPlan(now)
}

// failingEndpoints returns the endpoints that fail according to the process's own samples.
func (p *process) failingEndpoints(now view.Uptime) map[apply.Endpoints]bool {
	failing := map[apply.Endpoints]bool{}
	for _, s := range p.ownSamples {
		s.Age += now - p.ownSampledAt
		if assess.SeesFailure([]healthreport.Sample{s}, assess.DefaultBounds()) {
			failing[apply.Endpoints{Destination: s.Destination, Zone: p.fleet.zoneNumbers[s.Zone]}] = true
		}
	}
	return failing
}

// compileGuide compiles the routing guide from the held plan and the local state, if either has changed.
func (p *process) compileGuide(now view.Uptime, local apply.Local) {
	held, until := p.holder.Plan(now)
	if held == nil {
		p.guide, p.compiledPlan = nil, nil
		return
	}
	p.guideUntil = until
	if p.guide != nil && held == p.compiledPlan && maps.Equal(local.Failing, p.local.Failing) &&
		maps.EqualFunc(local.Listed, p.local.Listed, slices.Equal[[]choice.ZoneNo]) {
		return
	}
	if p.compiledPlan != held {
		p.fleet.recordInForce(p, held)
	}
	p.compiledPlan, p.local = held, local
	p.guide = apply.Compile(held, local)
}

// sendReports sends the reports that are due to the parent, or from the root to the leader. After a change of the receiver all
// reports are due.
func (p *process) sendReports(now view.Uptime) {
	lead := p.fleet.leader.process
	to, known := p.fleet.tree.Parent(p.name)
	toLeader := !known
	if toLeader {
		if lead == nil || lead == p {
			return
		}
		to = lead.name
	}
	if to != p.reportsTo {
		p.reportsTo = to
		p.reports.MarkAllUnsent()
	}
	reports := p.reports.TakeDue(now, maxReports)
	if len(reports) == 0 {
		return
	}
	above := p.fleet.processes[to]
	p.fleet.send(p, above, reports, func() {
		received := above.reports
		if toLeader {
			if p.fleet.leader.process != above {
				return
			}
			received = p.fleet.leader.reports
		}
		if received.Put(above.now(), reports) {
			above.scheduleTurn()
		}
	})
}

// sendPlan announces the held plan to the children, and from the leader to the root. It sends the plan itself only where the
// acknowledged epoch is another one, and renews it renewalsPerHold times while a plan holds.
func (p *process) sendPlan(now view.Uptime) {
	targets := p.fleet.tree.Children(p.name)
	if root := p.fleet.tree.Root(); p.fleet.leader.process == p && root != p.name {
		targets = append(targets, root)
	}
	for _, name := range targets {
		c := p.children[name]
		if c == nil {
			c = &child{renewedAt: now - time.Hour}
			p.children[name] = c
		}
		announcement, exists := p.holder.Announce(now, c.epoch != p.holder.Epoch())
		if !exists || c.inFlight || c.epoch >= announcement.Epoch && now-announcement.Age-c.renewedAt < p.fleet.settings.PlanTTL/renewalsPerHold {
			continue
		}
		c.inFlight = true
		to, asOf := p.fleet.processes[name], now-announcement.Age
		p.fleet.send(p, to, announcement, func() {
			to.takePlan(announcement)
			epoch := to.holder.Epoch()
			p.fleet.send(to, p, epoch, func() {
				c.inFlight, c.epoch, c.renewedAt = false, epoch, asOf
				if p.holder.Epoch() > epoch {
					p.scheduleTurn()
				}
			})
		})
	}
}

// takePlan handles an announcement of a plan.
func (p *process) takePlan(announcement apply.Announcement) {
	changed, err := p.holder.Receive(p.now(), announcement)
	if err != nil {
		panic(err) // unreachable: plans are checked before they are decided
	}
	local := p.local
	if changed {
		local = p.sender.local(p.fleet.zoneNumbers)
		local.Failing = p.local.Failing
	}
	p.compileGuide(p.now(), local)
	p.scheduleTurn()
}

// bytesOf returns the length of a message's body in bytes.
func bytesOf(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: every body can be encoded
	}
	return len(b)
}
