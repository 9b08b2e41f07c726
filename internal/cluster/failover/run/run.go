// Package run connects the parts of failover between processes: health reports go up the tree, plans and their renewals
// go down the tree, and the leader of the consensus group runs the planner.
//
// A Runner has one goroutine that ticks twice a second and whenever it is woken, and one goroutine for each call in
// flight. All of them end with Close. The decisions are made by packages assess, plan and apply.
//
// The lock is never held during a call to another process. A plan that the leader does not renew expires. The sender
// never blocks, since Guide only reads a compiled value.
package run

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/failover/apply"
	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

const (
	defaultTickInterval = 500 * time.Millisecond
	minTickInterval     = 50 * time.Millisecond  // between two ticks, however often the loop is woken
	assessInterval      = 150 * time.Millisecond // between two assessments; ticks in between only forward reports and plans
	callTimeout         = 700 * time.Millisecond // for one call with reports or with a plan
	proposeTimeout      = 2 * time.Second
	renewalsPerTTL      = 5 // renewals of a plan within its TTL
	reportsPath         = "/failover/up"
	planPath            = "/failover/down"
)

// Link sends calls to other processes and receives theirs.
type Link interface {
	// Call sends in, encoded as JSON, to a path of another process and decodes the answer into out unless out is nil.
	Call(ctx context.Context, to view.Name, path string, in, out any) error
	// Handle registers the handler of calls to a path.
	Handle(path string, h func(ctx context.Context, from view.Instance, body []byte) (any, error))
}

// Consensus is the consensus group that decides on plans.
type Consensus interface {
	// Propose submits a command to a part of the replicated state and returns the part's answer.
	Propose(ctx context.Context, part, kind string, body any) (json.RawMessage, error)
	// Leader returns the leader, or false if none is known.
	Leader() (view.Name, bool)
	// Leading reports whether this process leads. A leader without a quorum must return false once its lease expired.
	Leading() bool
	// Read calls f with the index of the last applied command; the state does not change meanwhile.
	Read(f func(index uint64))
}

// Options configure a Runner. All fields except Term, TickInterval and Log must be set.
type Options struct {
	Self          view.Name          // name of this process
	Zone          view.Zone          // zone of this process
	Now           func() view.Uptime // time since the process started, by a monotonic clock
	Link          Link
	Consensus     Consensus
	InForce       *plan.InForce                           // replicated state, read only inside Consensus.Read
	Term          func() uint64                           // term of the consensus group, called at its leader; 0 if nil
	Tree          func() *tree.Tree                       // current tree; nil while there is none
	HealthReports func(view.Uptime) []healthreport.Sample // samples of this process; at the coordinator of a zone, of the whole zone
	Local         func() apply.Local                      // current local state; the Runner sets its Failing
	Bounds        assess.Bounds
	Settings      plan.Settings
	TickInterval  time.Duration // defaultTickInterval if 0 or below
	Log           *zap.Logger   // no logging if nil
}

// Stats holds counters since the start, and the present values Epoch and Leading.
type Stats struct {
	Epoch                  view.Epoch // epoch of the plan in force at this process; 0 if none is
	Leading                bool
	ReportCalls, PlanCalls uint64 // calls with reports; calls with a plan or a renewal
	Failed                 uint64 // failed ones of ReportCalls and PlanCalls
	ReportsSent            uint64
	Plans                  uint64 // plans proposed by this process and accepted
	PlansRejected          uint64 // plans proposed by this process and not accepted
	Received               uint64 // messages received
	Malformed              uint64 // messages that could not be decoded or held an invalid plan
}

// compiledGuide is the guide of the plan in force, with the time at which the plan expires.
type compiledGuide struct {
	guide     *apply.Guide
	expiresAt view.Uptime
}

// Runner runs failover at one process. Its methods are safe for concurrent use.
type Runner struct {
	options    Options
	guide      atomic.Pointer[compiledGuide]
	wake       chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// mu guards the fields below, except assessedAt. It ranks with node.mu in the lock order of package cluster; no other
	// lock is acquired while it is held.
	mu           sync.Mutex
	closed       bool
	holder       apply.Holder
	outgoing     *assess.ReportTable // reports to send to the parent
	collected    *assess.ReportTable // at the leader, reports that arrived as final
	planner      *plan.Planner       // nil unless this process leads
	local        apply.Local         // local state that guide was compiled with
	compiledFrom *plan.Plan          // plan that guide was compiled from
	children     map[view.Name]*child
	reporting    bool        // a call with reports is in flight
	reportingTo  view.Name   // first target of the last reports
	assessedAt   view.Uptime // last assessment; accessed only by the goroutine of loop, without mu
	proposing    bool        // a proposal is in flight
	stats        Stats
}

// Start registers the handlers of a Runner with its link and starts it. The caller must call Close.
func Start(o Options) *Runner {
	if o.TickInterval <= 0 {
		o.TickInterval = defaultTickInterval
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Term == nil {
		o.Term = func() uint64 { return 0 }
	}
	r := &Runner{options: o, assessedAt: -assessInterval, wake: make(chan struct{}, 1), children: map[view.Name]*child{},
		outgoing: assess.NewReportTable(o.Bounds), collected: assess.NewReportTable(o.Bounds)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	o.Link.Handle(reportsPath, r.handleReports)
	o.Link.Handle(planPath, r.handlePlan)
	r.goroutines.Add(1)
	go r.loop()
	return r
}

// Close ends all goroutines and abandons calls in flight. Guide and Plan still return the plan in force until it
// expires.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.goroutines.Wait()
}

// Guide returns the guide compiled from the plan in force, or nil while no plan is in force. It takes no lock.
func (r *Runner) Guide() clusterapi.RoutingPlan {
	if c := r.guide.Load(); c != nil && r.options.Now() < c.expiresAt {
		return c.guide
	}
	return nil
}

// Plan returns the plan in force at this process and when it expires, or nil if no plan is in force. The caller must not
// modify the plan.
func (r *Runner) Plan() (*plan.Plan, view.Uptime) {
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Plan(now)
}

// Stats returns the counters of r.
func (r *Runner) Stats() Stats {
	leading, now := r.options.Consensus.Leading(), r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	if s.Leading = leading; s.Epoch == 0 {
		if p, _ := r.holder.Plan(now); p != nil {
			s.Epoch = p.Epoch
		}
	}
	return s
}

// loop ticks until Close.
func (r *Runner) loop() {
	defer r.goroutines.Done()
	ticker := time.NewTicker(r.options.TickInterval)
	defer ticker.Stop()
	for {
		r.tick()
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		case <-r.wake:
			select { // changes that arrive within minTickInterval are passed on together
			case <-r.ctx.Done():
				return
			case <-time.After(minTickInterval):
			}
		}
	}
}

// wakeLoop makes the next tick start after minTickInterval.
func (r *Runner) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// startCall runs f in a goroutine of its own. After Close it returns false and does not run f. The caller holds mu.
func (r *Runner) startCall(f func()) bool {
	if r.closed {
		return false
	}
	r.goroutines.Go(f)
	return true
}

// tick makes and sends reports, renews or makes plans at the leader, compiles the guide and announces the plan.
func (r *Runner) tick() {
	now, t := r.options.Now(), r.options.Tree()
	if t == nil {
		return
	}
	samples, local := r.options.HealthReports(now), r.options.Local()
	local.Failing = r.failingEndpoints(samples, local)
	due := now-r.assessedAt >= min(assessInterval, r.options.TickInterval)
	if due {
		r.assessedAt = now
	}
	if due && t.ZoneCoordinator(r.options.Zone) == r.options.Self {
		summaries := assess.SummarizeZone(r.options.Zone, samples, r.options.Bounds)
		summaries = slices.DeleteFunc(summaries, func(report assess.Report) bool {
			// Idle localities in another zone are reported by the coordinator of that zone, if there is one.
			return report.Idle() && report.Zone != r.options.Zone && t.ZoneCoordinator(report.Zone) != ""
		})
		r.mu.Lock()
		r.outgoing.Put(now, summaries)
		r.mu.Unlock()
	}
	r.leaderTick(now, t, due)
	r.mu.Lock()
	r.compileGuide(now, local)
	r.mu.Unlock()
	r.sendReports(now, t)
	r.announcePlan(now, t)
}

// failingEndpoints returns the endpoints that this process sees fail by its own samples alone.
func (r *Runner) failingEndpoints(samples []healthreport.Sample, local apply.Local) map[apply.Endpoints]bool {
	ownSamples := map[healthreport.Locality][]healthreport.Sample{}
	for _, s := range samples {
		if s.Reporter == r.options.Self {
			ownSamples[s.Locality] = append(ownSamples[s.Locality], s)
		}
	}
	failing := map[apply.Endpoints]bool{}
	for locality, samples := range ownSamples {
		if no, known := local.Numbers[locality.Zone]; known && assess.SeesFailure(samples, r.options.Bounds) {
			failing[apply.Endpoints{Destination: locality.Destination, Zone: no}] = true
		}
	}
	return failing
}

// compileGuide compiles the guide again if the plan or the local state changed, and otherwise only updates its expiry.
// The caller holds mu.
func (r *Runner) compileGuide(now view.Uptime, local apply.Local) {
	p, expiresAt := r.holder.Plan(now)
	if p == nil {
		r.guide.Store(nil)
		r.compiledFrom = nil
		return
	}
	old := r.guide.Load()
	if old != nil && p == r.compiledFrom && sameLocal(local, r.local) {
		r.guide.Store(&compiledGuide{old.guide, expiresAt})
		return
	}
	r.compiledFrom, r.local = p, local
	r.guide.Store(&compiledGuide{apply.Compile(p, local), expiresAt})
}
