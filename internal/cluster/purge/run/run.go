// Package run runs the purges of one process: it exchanges the messages of package spread with other processes, hands purges
// to the sender, proposes commands of the ledger, and serves the HTTP interface for callers.
//
// A Runner owns the goroutines of purges and the lock purge.mu, whose place in the lock order package cluster defines. The lock
// guards the process's spread.State, and its spread.LeaderState while it leads the consensus group. The lock is never held
// during a call. The package does not decide which processes have acknowledged a purge; packages spread and ledger do. A purge
// is acknowledged only once the sender has it on disk. A process that reaches no other process still starts to serve, because
// Ready is closed after a bounded wait.
package run

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/leadercall"
	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/purge/spread"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// Intervals and limits.
const (
	stepInterval          = 25 * time.Millisecond // between two steps of the loop; a change triggers a step at once
	maxBackoff            = 16 * stepInterval     // between attempts of a proposal; the first backoff is stepInterval
	queryInterval         = 4 * stepInterval      // between attempts to get a status from the leader
	catchUpInterval       = 2 * stepInterval      // between two requests for missed purges
	callTimeout           = 2 * time.Second       // of one message; more than spread.MaxAnswerDelay, which is 250 ms
	proposeTimeout        = 5 * time.Second       // of one proposal; longer than a change of leader, which takes 1 to 2 s
	defaultCatchUpTimeout = 3 * time.Second       // default of Options.CatchUpTimeout; deadlines of messages are seconds or more
	maxCandidates         = 8                     // processes asked in one attempt for what only the leader can answer
	maxClosuresPerCommand = 256                   // fewer where zones or lapsed names make them larger than machine.MaxBodyBytes
)

// Options configures a Runner. Now, CatchUpTimeout and Log are optional; Consensus and Ledger are set together or not at all.
type Options struct {
	Self            view.Member // Instance, Zone, Region and FolderID are used; SetView may raise the incarnation later
	Link            leadercall.Link
	Consensus       leadercall.Consensus // nil for a process outside the consensus group
	Ledger          *ledger.Ledger       // the part ledger.Part of the consensus group's state; nil if Consensus is
	Orders          clusterapi.Orders    // of the sender
	LongestDeadline time.Duration        // the longest deadline of the messages in the folder; 0 for unknown
	CatchUpTimeout  time.Duration        // after which Ready is closed even if missed purges are not applied; 0 for 3 s
	Now             func() view.Uptime   // monotonic; nil for a clock that begins at Start
	Log             *zap.Logger          // nil for none
}

// complete checks that the required options are set, and sets the defaults of the others.
func (o *Options) complete() error {
	if o.Link == nil || o.Orders == nil || (o.Consensus == nil) != (o.Ledger == nil) {
		return errors.New("purge: Link and Orders are required, and Consensus and Ledger must be set together")
	}
	if o.Consensus == nil {
		o.Consensus = leadercall.NoConsensus{NotLeading: errNotLeading}
	}
	if o.Now == nil {
		o.Now = leadercall.NewClock()
	}
	o.CatchUpTimeout = cmp.Or(o.CatchUpTimeout, defaultCatchUpTimeout)
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return nil
}

// Runner runs the purges of one process. Its methods are safe for concurrent use.
type Runner struct {
	options    Options
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	signals    *leadercall.Signals
	limiter    leadercall.Limiter // of concurrent HTTP requests
	caller     leadercall.Caller

	mu               sync.Mutex // purge.mu in the lock order of package cluster; guards the fields below
	state            *spread.State
	leaderState      *spread.LeaderState // nil until this process first leads
	leading          bool                // whether this process led the consensus group at the last step
	leaderWork       leaderWork
	view             *view.View      // nil until SetView
	tree             leadercall.Tree // nil until SetView
	lastLeader       view.Instance   // the process that last called this one as the leader
	longestDeadline  time.Duration   // of any message that the sender can hold; 0 for unknown
	reportedDeadline time.Duration   // the longestDeadline that the ledger has of this participant; -1 to join again
	caughtUp         bool            // see CaughtUp
}

// Start returns a running Runner. It registers the handlers of messages and of HTTP requests on the link, asks the sender
// which purges it has applied, and starts the goroutines. The caller must call Close to end them.
func Start(o Options) (*Runner, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	r := &Runner{options: o, limiter: make(leadercall.Limiter, maxRequests), longestDeadline: o.LongestDeadline,
		state: spread.New(o.Self.Instance, o.Self.FolderID, o.Orders.LastAppliedSeq())}
	r.signals = leadercall.NewSignals(&r.mu)
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.caller = leadercall.Caller{
		Part:           "purge",
		Link:           o.Link,
		Consensus:      o.Consensus,
		Self:           o.Self.Name,
		Instance:       r.instance,
		Candidates:     r.candidates,
		Done:           r.ctx.Done(),
		CallTimeout:    callTimeout,
		MinBackoff:     stepInterval,
		MaxBackoff:     maxBackoff,
		ErrNoCandidate: errNoCandidate,
		ErrUndecided:   errUndecided,
	}
	r.registerHandlers()
	r.registerPublic(o.Link.Public())
	r.goroutines.Go(r.loop)
	r.goroutines.Go(r.catchUp)
	return r, nil
}

// Ready returns a channel that is closed once all missed purges are applied, or after Options.CatchUpTimeout; CaughtUp tells
// which. Until then the sender must not send messages that an earlier incarnation has accepted.
func (r *Runner) Ready() <-chan struct{} { return r.signals.Ready() }

// CaughtUp reports whether this process has become a participant and has applied all purges that were opened before.
func (r *Runner) CaughtUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.caughtUp
}

// SetView sets the view of the members, and the tree derived from it. If the view has a higher incarnation of this process, it
// takes over that incarnation.
func (r *Runner) SetView(v *view.View, t leadercall.Tree) {
	r.mu.Lock()
	r.view, r.tree = v, t
	if m, found := v.Find(r.options.Self.Name); found && m.Incarnation > r.options.Self.Incarnation {
		// An earlier incarnation had a higher number, so this incarnation was raised above it and has to join again.
		r.options.Self.Incarnation = m.Incarnation
		r.leaderState = nil
		r.state.SetIncarnation(m.Instance, r.options.Now())
		r.reportedDeadline = -1
	}
	r.mu.Unlock()
	r.signals.Wake()
}

// SetLongestDeadline reports the longest deadline of any class, as it is in the sender's digest. A lower value than before has
// no effect, because messages that were accepted with the longer deadline may still be pending.
func (r *Runner) SetLongestDeadline(d time.Duration) {
	r.mu.Lock()
	r.longestDeadline = max(r.longestDeadline, d)
	r.mu.Unlock()
}

// Close cancels all calls in flight, ends all goroutines and waits for them.
func (r *Runner) Close() {
	r.stop()
	r.goroutines.Wait()
}

// loop runs a step every stepInterval, and at once after a change.
func (r *Runner) loop() {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-tick.C:
		case <-r.signals.Wakeups():
		}
		r.step()
	}
}

// step gets the messages and purges that are due, and starts a goroutine for each message. It hands due purges to the sender.
func (r *Runner) step() {
	update := r.readLedger()
	leader, known := r.options.Consensus.Leader()
	now := r.options.Now()

	r.mu.Lock()
	r.updateTreePosition(leader, known, now)
	r.leaderStep(update, now)
	updates := r.state.DueUpdates(now)
	report, due := r.state.DueReport(now)
	parent := r.state.Parent()
	apply := r.state.NextBatch(now)
	r.mu.Unlock()

	for _, to := range updates {
		r.goroutines.Go(func() { r.sendUpdate(r.state, pathUpdate, to) })
	}
	if due {
		r.goroutines.Go(func() { r.sendReport(parent, report) })
	}
	if apply != nil {
		r.options.Orders.Purge(apply, func(applied uint64, found []clusterapi.PurgeResult) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.state.BatchApplied(applied, found, r.options.Now())
			r.signals.NotifyChange()
		})
	}
}

// updateTreePosition sets the parent and the children of this process in its spread.State. The parent of the root is the leader
// of the consensus group. The caller holds the lock.
func (r *Runner) updateTreePosition(leader view.Name, known bool, now view.Uptime) {
	if r.view == nil || r.tree == nil {
		return
	}
	instance, top, below := leadercall.TreePosition(r.view, r.tree, r.options.Self.Name, leader, known, r.lastLeader)
	r.state.SetTree(spread.Parent{Instance: instance, IsLeader: top}, below, now)
}

// instance returns the current incarnation of this process, which SetView may raise.
func (r *Runner) instance() view.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Self.Instance
}
