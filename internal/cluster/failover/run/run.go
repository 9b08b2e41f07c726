// Package run carries failover between processes: reports up the tree, the plan and its renewals down, and at the
// council's leader the planner.
//
// It owns one goroutine that turns twice a second or when woken, and one for each call that is out, all of which
// end with Close. What is decided is package weigh's, plan's and apply's. It must never hold its lock over a call out,
// keep a plan alive that its leader does not renew, or have the sender wait: Guide reads what is compiled.
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
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

const (
	turnEach  = 500 * time.Millisecond
	leastTurn = 50 * time.Millisecond  // between two turns, however often it is woken
	weighEach = 150 * time.Millisecond // between two judgements: a message that wakes it is passed on sooner
	callFor   = 700 * time.Millisecond
	decideFor = 2 * time.Second
	renewals  = 5 // in a hold
	upPath    = "/failover/up"
	downPath  = "/failover/down"
)

// Link carries calls to other processes.
type Link interface {
	Call(ctx context.Context, to view.Name, path string, in, out any) error
	Handle(path string, h func(ctx context.Context, from view.Life, body []byte) (any, error))
}

// Consensus decides. A leader without a quorum must not say that it leads for longer than its lease.
type Consensus interface {
	Propose(ctx context.Context, part, kind string, body any) (json.RawMessage, error)
	Leader() (view.Name, bool)
	Leading() bool
	Read(f func(index uint64))
}

// Options are what it is started with; all but Term, Turn and Log must be set.
type Options struct {
	Self      view.Name
	Zone      view.Zone
	Now       func() view.Now // since the process began; monotonic
	Link      Link
	Consensus Consensus
	InForce   *plan.InForce                        // the council's part; read inside Consensus.Read alone
	Term      func() uint64                        // the council's, at its leader; nil for 0
	Tree      func() *tree.Tree                    // as of now
	Samples   func(view.Now) []healthreport.Sample // of this process, and at a zone's head of its zone
	Local     func() apply.Local                   // Ill is filled in here
	Bounds    weigh.Bounds
	Settings  plan.Settings
	Turn      time.Duration // turnEach if 0
	Log       *zap.Logger
}

// Stats are counts since the start, but for Epoch (of the plan that counts; 0 for none) and Leading.
type Stats struct {
	Epoch               view.Epoch
	Leading             bool
	Up, Down            uint64 // calls out
	Failed              uint64 // of these
	Reports, Plans      uint64 // reports passed up; plans decided here
	Refused, Heard, Bad uint64 // plans not decided; messages taken; messages that could not be read
}

// compiled is what attempts ask, and until when.
type compiled struct {
	guide *apply.Guide
	until view.Now
}

// Runner is one process's.
type Runner struct {
	o       Options
	guide   atomic.Pointer[compiled]
	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	working sync.WaitGroup

	// mu stands beside node.mu in the order of package cluster: no other lock is taken under it.
	mu      sync.Mutex
	closed  bool
	holder  apply.Holder
	passing *weigh.Board // what is passed up
	all     *weigh.Board // at the leader: what came from the root
	planner *plan.Planner
	local   apply.Local
	made    *plan.Plan // that guide was compiled of
	out     map[view.Name]*child
	uping   bool
	upTo    view.Name // who got the last reports
	weighed view.Now  // when reports were last made, and judged
	asking  bool      // a proposal is out
	stats   Stats
}

// Start begins; handlers are added to the link at once.
func Start(o Options) *Runner {
	if o.Turn <= 0 {
		o.Turn = turnEach
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Term == nil {
		o.Term = func() uint64 { return 0 }
	}
	r := &Runner{o: o, weighed: -weighEach, wake: make(chan struct{}, 1), out: map[view.Name]*child{},
		passing: weigh.NewBoard(o.Bounds), all: weigh.NewBoard(o.Bounds)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	o.Link.Handle(upPath, r.hearUp)
	o.Link.Handle(downPath, r.hearDown)
	r.working.Add(1)
	go r.loop()
	return r
}

// Close ends all goroutines; calls that are out are given up. What was in force stays readable until it lapses.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.working.Wait()
}

// Guide is what counts now: nil when no plan does.
func (r *Runner) Guide() together.Guide {
	if c := r.guide.Load(); c != nil && r.o.Now() < c.until {
		return c.guide
	}
	return nil
}

// Stats are counts for operators.
func (r *Runner) Stats() Stats {
	leading, now := r.o.Consensus.Leading(), r.o.Now()
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
	defer r.working.Done()
	ticker := time.NewTicker(r.o.Turn)
	defer ticker.Stop()
	for {
		r.turn()
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		case <-r.wake:
			select { // what comes together is told together
			case <-r.ctx.Done():
				return
			case <-time.After(leastTurn):
			}
		}
	}
}

// news has the next turn come at once.
func (r *Runner) news() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// begin starts a call in a goroutine of its own; false once closed. Called with mu held.
func (r *Runner) begin(f func()) bool {
	if r.closed {
		return false
	}
	r.working.Go(f)
	return true
}

func (r *Runner) turn() {
	now, t := r.o.Now(), r.o.Tree()
	if t == nil {
		return
	}
	seen, local := r.o.Samples(now), r.o.Local()
	local.Ill = r.ill(seen, local)
	weighs := now-r.weighed >= min(weighEach, r.o.Turn)
	if weighs {
		r.weighed = now
	}
	if weighs && t.ZoneHead(r.o.Zone) == r.o.Self {
		reports := slices.DeleteFunc(weigh.Zonal(r.o.Zone, seen, r.o.Bounds), func(w weigh.Report) bool {
			return w.Idle() && w.Zone != r.o.Zone && t.ZoneHead(w.Zone) != "" // its own zone tells of it
		})
		r.mu.Lock()
		r.passing.Put(now, reports)
		r.mu.Unlock()
	}
	r.lead(now, t, weighs)
	r.mu.Lock()
	r.compile(now, local)
	r.mu.Unlock()
	r.tellUp(now, t)
	r.tellDown(now, t)
}

// ill is what this process sees fail by itself.
func (r *Runner) ill(seen []healthreport.Sample, local apply.Local) map[apply.At]bool {
	own := map[healthreport.Locality][]healthreport.Sample{}
	for _, s := range seen {
		if s.Witness == r.o.Self {
			own[s.Locality] = append(own[s.Locality], s)
		}
	}
	ill := map[apply.At]bool{}
	for at, rows := range own {
		if no, known := local.Numbers[at.Zone]; known && weigh.Ill(rows, r.o.Bounds) {
			ill[apply.At{Destination: at.Destination, Zone: no}] = true
		}
	}
	return ill
}

// compile makes the guide anew where the plan or what is known here has changed, and tells until when it counts.
// Called with mu held.
func (r *Runner) compile(now view.Now, local apply.Local) {
	p, until := r.holder.Plan(now)
	if p == nil {
		r.guide.Store(nil)
		r.made = nil
		return
	}
	old := r.guide.Load()
	if old != nil && p == r.made && alike(local, r.local) {
		r.guide.Store(&compiled{old.guide, until})
		return
	}
	r.made, r.local = p, local
	r.guide.Store(&compiled{apply.Compile(p, local), until})
}
