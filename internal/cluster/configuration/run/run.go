// Package run executes what the packages spread and ledger decide about the shared settings. It sends and receives
// their messages, stores a version on disk, has the sender put it in force, and serves the HTTP interface for callers.
//
// A Runner owns its goroutines, the stored version in the cluster folder, and the lock configuration.mu (see package
// cluster). The lock guards a spread.State, and a second one while this process leads the consensus group. A Runner
// never has a version put in force that is not on disk, and never reports a version as in force before the sender has
// confirmed it. It holds no lock during a call, a file operation or an order to the sender. A process that can't reach
// any other goes on serving with the settings that it has: the channel of Ready is closed after a bounded wait.
//
// Faults are handled as follows:
//
//   - A process that does not answer is called again with bounded backoff, and is shown as unreachable.
//   - A slow process is shown as behind and does not delay any other.
//   - An older program ignores unknown fields, or rejects the version and is shown with the field that it rejects.
//   - Content that does not match its checksum is not accepted, and the full content is requested.
//
// Load: that of package spread, and one file written and synced per change in each process.
package run

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/leadercall"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

const (
	minStepInterval     = 5 * time.Millisecond    // minimum time between two steps, unless something has changed
	idleInterval        = 250 * time.Millisecond  // maximum time between two steps, because the leader and the ledger may change
	callTimeout         = 1500 * time.Millisecond // of one message with its answer; must exceed spread.MaxAnswerDelay
	proposeTimeout      = 5 * time.Second         // of one proposal; must exceed a change of leader (1 to 2 s)
	catchUpTimeout      = 3 * time.Second         // default of Options.CatchUp
	senderAnswerTimeout = 10 * time.Second        // default of Options.AnswerWithin
	minBackoff          = 25 * time.Millisecond   // first delay between attempts to reach the leader, doubled up to maxBackoff
	maxBackoff          = 400 * time.Millisecond
	fetchInterval       = time.Second // minimum time between two fetches of a newer version
	maxCandidates       = 8           // processes asked in one attempt for an answer that only the leader can give
)

// Runner distributes the shared settings and puts them in force in one process. Start creates it, and Close ends it.
type Runner struct {
	options         Options
	ctx             context.Context
	stop            context.CancelFunc
	goroutines      sync.WaitGroup
	signals         *leadercall.Signals
	limiter         leadercall.Limiter // of HTTP requests
	caller          leadercall.Caller
	pendingHandover *handover // the version that the sender has not answered for; nil for none; used by apply only

	mu            sync.Mutex // configuration.mu; guards the fields below
	state         *spread.State
	leaderWork    leaderWork
	view          *view.View
	tree          leadercall.Tree
	lastLeader    view.Instance            // the process that last called this one as the leader; zero if none has
	running       clusterapi.Configuration // the version that the sender runs; version 0 for its own file
	fetchInFlight bool
	nextFetchAt   view.Uptime
	announcedBy   view.Name // the leader that announced a newer version, which is fetched from it next; "" for none
	fetchTurn     int       // counts the fetches while the parent is unreachable; candidates are asked in turn
	caughtUp      bool      // this process has had the newest version since its start
	counters      Counters
}

// Start reads the stored version, registers the handlers of messages and HTTP requests, and starts the goroutines,
// which Close ends. It returns an error if a required option is missing.
func Start(o Options) (*Runner, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	r := &Runner{options: o, limiter: make(leadercall.Limiter, maxRequests), running: o.Running}
	r.state = spread.New(o.Self.Instance, r.loadCached(), o.Running.Version)
	r.signals = leadercall.NewSignals(&r.mu)
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.caller = leadercall.Caller{
		Part:           "configuration",
		Link:           o.Link,
		Consensus:      o.Consensus,
		Self:           o.Self.Name,
		Instance:       r.instance,
		Candidates:     r.candidates,
		Done:           r.ctx.Done(),
		CallTimeout:    callTimeout,
		MinBackoff:     minBackoff,
		MaxBackoff:     maxBackoff,
		ErrNoCandidate: errNoCandidate,
		ErrUndecided:   errNoCandidate,
	}
	r.registerHandlers()
	r.registerPublic(o.Link.Public())
	r.goroutines.Go(r.loop)
	r.goroutines.Go(r.catchUp)
	return r, nil
}

// loadCached returns the version that an earlier incarnation stored, or Options.Running if that is newer. A damaged
// file is logged and not used, because the other processes have the version.
func (r *Runner) loadCached() configuration.Document {
	c, err := configuration.LoadCached(r.options.Folder)
	if err != nil {
		r.options.Log.Error("configuration: stored version is not usable; the version will be fetched from other processes", zap.Error(err))
	}
	if c.Version < r.options.Running.Version {
		c = r.options.Running
	}
	if c.Version == 0 {
		return configuration.Document{}
	}
	d, err := configuration.NewDocument(c.Version, c.Settings)
	if err != nil {
		r.options.Log.Error("configuration: stored version is not usable; the version will be fetched from other processes", zap.Error(err))
		return configuration.Document{}
	}
	return d
}

// Ready returns a channel that is closed when the newest version is in force or rejected here, or after
// Options.CatchUp; Status.CaughtUp tells which. Until then the sender should send nothing.
func (r *Runner) Ready() <-chan struct{} { return r.signals.Ready() }

// SetView sets the membership view and the tree that is derived from it.
func (r *Runner) SetView(v *view.View, t leadercall.Tree) {
	r.mu.Lock()
	r.view, r.tree = v, t
	if m, found := v.Find(r.options.Self.Name); found && m.Incarnation > r.options.Self.Incarnation {
		// Other processes knew an earlier incarnation with a higher number, so this one got a number above that.
		r.options.Self.Incarnation = m.Incarnation
		r.state.SetIncarnation(m.Instance)
		r.leaderWork = leaderWork{}
	}
	r.mu.Unlock()
	r.signals.Wake()
}

// Status returns the status of this process.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Version: r.running.Version, NewestKnown: r.state.Newest().Version, CaughtUp: r.caughtUp, Counters: r.counters}
	if s.Version > 0 {
		s.Sum = configuration.SumOf(r.running.Settings)
	}
	s.Rejected, s.Why = r.state.Rejection()
	return s
}

// Close cancels the calls in flight, ends all goroutines and waits for them.
func (r *Runner) Close() {
	r.stop()
	r.goroutines.Wait()
}

// loop runs a step when something is due, and at once after a change.
func (r *Runner) loop() {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-next.C:
		case <-r.signals.Wakeups():
		}
		r.step()
		next.Reset(r.untilNextStep())
	}
}

// untilNextStep returns how long to wait until the next step.
func (r *Runner) untilNextStep() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	at := min(r.state.NextDue(now), now+idleInterval)
	if r.leaderWork.state != nil {
		at = min(at, r.leaderWork.state.NextDue(now))
	}
	return max(at-now, minStepInterval)
}

// step starts all messages and changes that are due.
func (r *Runner) step() {
	update := r.readLedger()
	leader, known := r.options.Consensus.Leader()
	now := r.options.Now()

	r.mu.Lock()
	r.updateTreePosition(leader, known, now)
	r.leaderStep(update, now)
	r.sendUpdates(r.state, now)
	if r.leaderWork.state != nil {
		r.sendUpdates(r.leaderWork.state, now)
	}
	if report, due := r.state.DueReport(now); due {
		parent := r.state.Parent()
		r.counters.ReportsSent++
		r.goroutines.Go(func() { r.sendReport(parent, report) })
	}
	r.fetch(now)
	document, due := r.state.NextToApply(now)
	r.mu.Unlock()
	if due {
		r.goroutines.Go(func() { r.apply(document) })
	}
}

// updateTreePosition sets the parent and the children in r.state. The parent of the root is the leader of the consensus
// group. r.mu is held.
func (r *Runner) updateTreePosition(leader view.Name, known bool, now view.Uptime) {
	if r.view == nil || r.tree == nil {
		return
	}
	instance, isRoot, children := leadercall.TreePosition(r.view, r.tree, r.options.Self.Name, leader, known, r.lastLeader)
	parent := spread.Parent{Instance: instance, IsLeader: isRoot}
	if parent.Name == "" {
		parent = spread.Parent{}
	}
	r.state.SetTree(parent, children, now)
}

// instance returns this process's current incarnation, which SetView may raise.
func (r *Runner) instance() view.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Self.Instance
}
