// Package run executes what the pure parts of purges decide: it carries their messages, hands purges to the sender, and
// serves HTTP to callers.
//
// It owns the goroutines and the lock (purge.mu, see package cluster) around spread.State, and around spread.LeaderState
// while this process leads the consensus group. It must never decide who has acknowledged, acknowledge what the sender
// does not have on disk, or hold its lock over a call. A process that reaches nobody goes on serving: Ready opens after
// a bounded wait.
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

// Tuned values.
const (
	stepInterval          = 25 * time.Millisecond // between steps, besides those at once after a change
	maxBackoff            = 16 * stepInterval     // between attempts of a proposal, from stepInterval on
	queryInterval         = 4 * stepInterval      // between attempts to reach the leader for a status
	catchUpInterval       = 2 * stepInterval      // between requests for missed purges
	callTimeout           = 2 * time.Second       // of one message; over the 250 ms that an answer may wait for the processes below
	proposeTimeout        = 5 * time.Second       // of one proposal; over a change of leader (1 to 2 s)
	catchUpTimeout        = 3 * time.Second       // how long a start waits for purges that it missed; deadlines are seconds at least
	maxCandidates         = 8                     // processes asked for the leader's answer in one attempt
	maxClosuresPerCommand = 256                   // under 300 KB with 12 zones
)

// Options is what a Runner is given; Now, CatchUp and Log may be left out.
type Options struct {
	Self            view.Member // Life, Zone, Region and Folder are read; a view may tell a higher incarnation later
	Link            leadercall.Link
	Consensus       leadercall.Consensus // nil for a process outside the consensus group
	Ledger          *ledger.Ledger       // the part of that name in the consensus group; nil without one
	Orders          clusterapi.Orders
	LongestDeadline time.Duration // the longest deadline of the messages in the folder; 0 for not known
	CatchUp         time.Duration // how long a start waits for purges that it missed, at most
	Now             func() view.Uptime
	Log             *zap.Logger
}

// complete checks what must be given, and fills in defaults.
func (o *Options) complete() error {
	if o.Link == nil || o.Orders == nil || (o.Consensus == nil) != (o.Ledger == nil) {
		return errors.New("purge: a link and a sender's orders must be given, and a ledger with a council")
	}
	if o.Consensus == nil {
		o.Consensus = leadercall.NoConsensus{NotLeading: errNotLeading}
	}
	if o.Now == nil {
		o.Now = leadercall.NewClock()
	}
	o.CatchUp = cmp.Or(o.CatchUp, catchUpTimeout)
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return nil
}

// Runner is the purge part of one process.
type Runner struct {
	options    Options
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	signals    *leadercall.Signals
	limiter    leadercall.Limiter // of HTTP requests
	caller     leadercall.Caller

	mu               sync.Mutex // purge.mu
	state            *spread.State
	leaderState      *spread.LeaderState // nil until this process first leads
	leading          bool
	leaderWork       leaderWork
	view             *view.View
	tree             leadercall.Tree
	lastLeader       view.Life // the process that last called this one as the leader
	longestDeadline  time.Duration
	reportedDeadline time.Duration // the one that the ledger has of this participant
	caughtUp         bool
}

// Start registers the handlers and starts the goroutines, which Close ends. The sender is asked once which purges it has
// applied, before Start returns.
func Start(o Options) (*Runner, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	r := &Runner{options: o, limiter: make(leadercall.Limiter, maxRequests), longestDeadline: o.LongestDeadline,
		state: spread.New(o.Self.Life, o.Self.Folder, o.Orders.Applied())}
	r.signals = leadercall.NewSignals(&r.mu)
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.caller = leadercall.Caller{
		Part:           "purge",
		Link:           o.Link,
		Consensus:      o.Consensus,
		Self:           o.Self.Name,
		Life:           r.life,
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

// Ready is closed when all missed purges are applied, or Options.CatchUp is over (CaughtUp tells which). Until then no
// message of an earlier incarnation may be sent.
func (r *Runner) Ready() <-chan struct{} { return r.signals.Ready() }

// CaughtUp reports whether this process is a participant and has applied all purges that were opened before that.
func (r *Runner) CaughtUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.caughtUp
}

// SetView sets the view of members, and the tree derived from it.
func (r *Runner) SetView(v *view.View, t leadercall.Tree) {
	r.mu.Lock()
	r.view, r.tree = v, t
	if m, found := v.Find(r.options.Self.Name); found && m.Incarnation > r.options.Self.Incarnation {
		// An earlier incarnation had a higher number, and this one was raised above it. It has to join again.
		r.options.Self.Incarnation = m.Incarnation
		r.leaderState = nil
		r.state.SetIncarnation(m.Life, r.options.Now())
		r.reportedDeadline = -1
	}
	r.mu.Unlock()
	r.signals.Wake()
}

// SetLongestDeadline reports the longest deadline of any class, as in a sender's digest. It never shrinks until a restart, as
// messages that were accepted with a longer one may still be waiting.
func (r *Runner) SetLongestDeadline(d time.Duration) {
	r.mu.Lock()
	r.longestDeadline = max(r.longestDeadline, d)
	r.mu.Unlock()
}

// Close ends all goroutines and waits for them; calls in flight are cancelled.
func (r *Runner) Close() {
	r.stop()
	r.goroutines.Wait()
}

// loop makes a step each stepInterval, and at once after a change.
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

// step asks each pure part what is due, and starts that.
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
		r.options.Orders.Purge(apply, func(applied uint64, found []clusterapi.Found) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.state.BatchApplied(applied, found, r.options.Now())
			r.signals.NotifyChange()
		})
	}
}

// updateTreePosition sets the parent and the children of the state. The parent of the root is the leader of the consensus
// group. The lock is held.
func (r *Runner) updateTreePosition(leader view.Name, known bool, now view.Uptime) {
	if r.view == nil || r.tree == nil {
		return
	}
	life, top, below := leadercall.TreePosition(r.view, r.tree, r.options.Self.Name, leader, known, r.lastLeader)
	r.state.SetTree(spread.Parent{Life: life, IsLeader: top}, below, now)
}

// life is this process's current incarnation, which SetView may raise.
func (r *Runner) life() view.Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Self.Life
}
