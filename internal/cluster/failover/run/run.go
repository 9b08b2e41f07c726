// Package run carries failover between processes: health reports go up the tree, plans and their renewals go down, and the
// leader of the consensus group runs the planner.
//
// It owns one goroutine that ticks twice a second or when woken, and one for each call in flight; all of them end with
// Close. Packages assess, plan and apply decide. The lock is never held over a call to another process, a plan that its
// leader does not renew is not kept in force, and the sender never waits: Guide reads a compiled value.
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
	assessInterval      = 150 * time.Millisecond // between two judgements; messages that wake the loop are passed on sooner
	callTimeout         = 700 * time.Millisecond
	proposeTimeout      = 2 * time.Second
	renewalsPerHold     = 5 // in the Hold of a plan
	reportsPath         = "/failover/up"
	planPath            = "/failover/down"
)

// Link carries calls to other processes.
type Link interface {
	Call(ctx context.Context, to view.Name, path string, in, out any) error
	Handle(path string, h func(ctx context.Context, from view.Life, body []byte) (any, error))
}

// Consensus decides in common. A leader without a quorum must not say that it leads for longer than its lease.
type Consensus interface {
	Propose(ctx context.Context, part, kind string, body any) (json.RawMessage, error)
	Leader() (view.Name, bool)
	Leading() bool
	Read(f func(index uint64))
}

// Options are what a runner is started with; all but Term, TickInterval and Log must be set.
type Options struct {
	Self          view.Name
	Zone          view.Zone
	Now           func() view.Uptime // since the process began; monotonic
	Link          Link
	Consensus     Consensus
	InForce       *plan.InForce                           // replicated state; read only inside Consensus.Read
	Term          func() uint64                           // of the consensus group, at its leader; nil for 0
	Tree          func() *tree.Tree                       // as of now
	HealthReports func(view.Uptime) []healthreport.Sample // of this process, and at the coordinator of a zone of its zone
	Local         func() apply.Local                      // but for Failing, which is filled in here
	Bounds        assess.Bounds
	Settings      plan.Settings
	TickInterval  time.Duration // defaultTickInterval if 0
	Log           *zap.Logger
}

// Stats are counts since the start, but for Epoch and Leading.
type Stats struct {
	Epoch                  view.Epoch // of the plan in force here; 0 for none
	Leading                bool
	ReportCalls, PlanCalls uint64 // calls begun: with reports; with plans
	Failed                 uint64 // of these calls
	ReportsSent            uint64
	Plans                  uint64 // proposed here and decided
	PlansRejected          uint64 // proposed here and not decided
	Received               uint64 // messages
	Malformed              uint64 // messages that could not be read
}

// compiledGuide is what attempts ask, and until when.
type compiledGuide struct {
	guide     *apply.Guide
	expiresAt view.Uptime
}

// Runner runs failover at one process.
type Runner struct {
	options    Options
	guide      atomic.Pointer[compiledGuide]
	wake       chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// mu stands beside node.mu in the order of package cluster: no other lock is taken under it.
	mu           sync.Mutex
	closed       bool
	holder       apply.Holder
	outgoing     *assess.ReportTable // reports to send up
	collected    *assess.ReportTable // at the leader: reports that came from the root
	planner      *plan.Planner
	local        apply.Local // that guide was compiled with
	compiledFrom *plan.Plan  // that guide was compiled from
	children     map[view.Name]*child
	reporting    bool        // a call with reports is in flight
	reportingTo  view.Name   // receiver of the last reports
	assessedAt   view.Uptime // when reports were last made and judged
	proposing    bool        // a proposal is in flight
	stats        Stats
}

// Start starts a runner; its handlers are added to the link at once.
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

// Close ends all goroutines and abandons calls in flight. The plan in force stays readable until it lapses.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.goroutines.Wait()
}

// Guide returns what attempts ask; nil while no plan is in force.
func (r *Runner) Guide() clusterapi.Guide {
	if c := r.guide.Load(); c != nil && r.options.Now() < c.expiresAt {
		return c.guide
	}
	return nil
}

// Plan is the plan in force at this process, and until when by its clock; nil for none. The caller must not change it.
func (r *Runner) Plan() (*plan.Plan, view.Uptime) {
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Plan(now)
}

// Stats returns counts for operators.
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
			select { // changes that come together are passed on together
			case <-r.ctx.Done():
				return
			case <-time.After(minTickInterval):
			}
		}
	}
}

// wakeLoop makes the next tick come at once.
func (r *Runner) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// startCall runs a call in a goroutine of its own; false once closed. The caller holds mu.
func (r *Runner) startCall(f func()) bool {
	if r.closed {
		return false
	}
	r.goroutines.Go(f)
	return true
}

func (r *Runner) tick() {
	now, t := r.options.Now(), r.options.Tree()
	if t == nil {
		return
	}
	reports, local := r.options.HealthReports(now), r.options.Local()
	local.Failing = r.failingEndpoints(reports, local)
	due := now-r.assessedAt >= min(assessInterval, r.options.TickInterval)
	if due {
		r.assessedAt = now
	}
	if due && t.ZoneHead(r.options.Zone) == r.options.Self {
		summaries := assess.SummarizeZone(r.options.Zone, reports, r.options.Bounds)
		summaries = slices.DeleteFunc(summaries, func(w assess.Report) bool {
			return w.Idle() && w.Zone != r.options.Zone && t.ZoneHead(w.Zone) != "" // its own zone reports on it
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

// failingEndpoints returns what this process sees fail by itself.
func (r *Runner) failingEndpoints(reports []healthreport.Sample, local apply.Local) map[apply.Endpoints]bool {
	ownReports := map[healthreport.Locality][]healthreport.Sample{}
	for _, s := range reports {
		if s.Reporter == r.options.Self {
			ownReports[s.Locality] = append(ownReports[s.Locality], s)
		}
	}
	failing := map[apply.Endpoints]bool{}
	for at, rows := range ownReports {
		if no, known := local.Numbers[at.Zone]; known && assess.SeesFailure(rows, r.options.Bounds) {
			failing[apply.Endpoints{Destination: at.Destination, Zone: no}] = true
		}
	}
	return failing
}

// compileGuide compiles the guide anew if the plan or the local state changed, and otherwise only renews it. The
// caller holds mu.
func (r *Runner) compileGuide(now view.Uptime, local apply.Local) {
	p, until := r.holder.Plan(now)
	if p == nil {
		r.guide.Store(nil)
		r.compiledFrom = nil
		return
	}
	old := r.guide.Load()
	if old != nil && p == r.compiledFrom && sameLocal(local, r.local) {
		r.guide.Store(&compiledGuide{old.guide, until})
		return
	}
	r.compiledFrom, r.local = p, local
	r.guide.Store(&compiledGuide{apply.Compile(p, local), until})
}
