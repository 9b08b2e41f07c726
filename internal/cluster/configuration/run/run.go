// Package run executes what the pure parts of the shared settings decide: it carries their messages, stores a version on
// disk, has the sender put it in force, and serves HTTP to callers.
//
// It owns the goroutines and the lock (configuration.mu, see package cluster) around spread.State, and around one more
// while this process leads the consensus group; and the file in the cluster's folder. It must never put a version in
// force that is not on disk, report one as in force that the sender has not confirmed, or hold its lock over a call, a
// file or the sender. A process that reaches nobody goes on serving with the settings that it has: Ready opens after a
// bounded wait.
//
// A process that does not answer is called again with bounded backoff and shown as unreachable; a slow one is shown as
// behind, and holds up no other; an old program skips unknown fields, or rejects the version and is shown so with the
// field; content that does not match its checksum is not accepted, and the full content is asked for.
//
// Load: see package spread; and for each change one file written and synced at each process.
//
// This file starts and ends the goroutines, and asks the pure parts what is due.
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

// Tuned values.
const (
	minStepInterval     = 5 * time.Millisecond    // between two steps, unless something has changed
	idleInterval        = 250 * time.Millisecond  // between steps when nothing is due, as the leader and the ledger may change
	callTimeout         = 1500 * time.Millisecond // of one message; over spread.MaxAnswerDelay
	proposeTimeout      = 5 * time.Second         // of one proposal; over a change of leader (1 to 2 s)
	catchUpTimeout      = 3 * time.Second         // how long a start waits for the newest version
	senderAnswerTimeout = 10 * time.Second        // until a sender that has not answered is shown as silent
	minBackoff          = 25 * time.Millisecond   // between attempts to reach the leader, doubled up to maxBackoff
	maxBackoff          = 400 * time.Millisecond
	fetchInterval       = time.Second // between fetches from other processes than the parent
	maxCandidates       = 8           // processes asked for the leader's answer in one attempt
)

// Runner is the configuration part of one process.
type Runner struct {
	options         Options
	ctx             context.Context
	stop            context.CancelFunc
	goroutines      sync.WaitGroup
	signals         *leadercall.Signals
	limiter         leadercall.Limiter // of HTTP requests
	caller          leadercall.Caller
	pendingHandover *handover // used by apply only, of which one runs at a time

	mu            sync.Mutex // configuration.mu
	state         *spread.State
	leaderWork    leaderWork
	view          *view.View
	tree          leadercall.Tree
	lastLeader    view.Life                // the process that last called this one as the leader
	running       clusterapi.Configuration // what the sender runs
	fetchInFlight bool
	nextFetchAt   view.Uptime
	announcedBy   view.Name // a leader that has announced a newer version, to be fetched from it
	fetchTurn     int       // counts fetches from other candidates, which are asked in turn
	caughtUp      bool      // this process has had the newest version since its start
	figures       Figures
}

// Start reads the stored version, registers the handlers and starts the goroutines, which Close ends.
func Start(o Options) (*Runner, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	r := &Runner{options: o, limiter: make(leadercall.Limiter, maxRequests), running: o.Running}
	r.state = spread.New(o.Self.Life, r.loadCached(), o.Running.Version)
	r.signals = leadercall.NewSignals(&r.mu)
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.caller = leadercall.Caller{
		Part:           "configuration",
		Link:           o.Link,
		Consensus:      o.Consensus,
		Self:           o.Self.Name,
		Life:           r.life,
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

// loadCached returns the version that an earlier incarnation stored. A damaged file is logged and not used, as the other
// processes have the version.
func (r *Runner) loadCached() configuration.Document {
	c, err := configuration.LoadCached(r.options.Folder)
	if err != nil {
		r.options.Log.Error("configuration: stored version not used; fetching it from other processes", zap.Error(err))
	}
	if c.Version < r.options.Running.Version {
		c = r.options.Running
	}
	if c.Version == 0 {
		return configuration.Document{}
	}
	d, err := configuration.NewDocument(c.Version, c.Settings)
	if err != nil {
		r.options.Log.Error("configuration: stored version not used; fetching it from other processes", zap.Error(err))
		return configuration.Document{}
	}
	return d
}

// Ready is closed when the newest version is in force or rejected here, or Options.CatchUp is over (Status tells which).
// Until then the sender should send nothing.
func (r *Runner) Ready() <-chan struct{} { return r.signals.Ready() }

// SetView sets the view of members, and the tree derived from it.
func (r *Runner) SetView(v *view.View, t leadercall.Tree) {
	r.mu.Lock()
	r.view, r.tree = v, t
	if m, found := v.Find(r.options.Self.Name); found && m.Incarnation > r.options.Self.Incarnation {
		// An earlier incarnation had a higher number, and this one was raised above it.
		r.options.Self.Incarnation = m.Incarnation
		r.state.SetIncarnation(m.Life)
		r.leaderWork = leaderWork{}
	}
	r.mu.Unlock()
	r.signals.Wake()
}

// Status is the state of this process.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Version: r.running.Version, NewestHeard: r.state.Newest().Version, CaughtUp: r.caughtUp, Figures: r.figures}
	if s.Version > 0 {
		s.Sum = configuration.SumOf(r.running.Settings)
	}
	s.Rejected, s.Why = r.state.Rejection()
	return s
}

// Close ends all goroutines and waits for them; calls in flight are cancelled.
func (r *Runner) Close() {
	r.stop()
	r.goroutines.Wait()
}

// loop makes a step when something is due, and at once after a change.
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

// untilNextStep is how long to wait until the next step.
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

// step asks each pure part what is due, and starts that.
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
	if up, due := r.state.DueReport(now); due {
		parent := r.state.Parent()
		r.figures.ReportsSent++
		r.goroutines.Go(func() { r.sendReport(parent, up) })
	}
	r.fetch(now)
	document, due := r.state.NextToApply(now)
	r.mu.Unlock()
	if due {
		r.goroutines.Go(func() { r.apply(document) })
	}
}

// updateTreePosition sets the parent and the children of the state. The parent of the root is the leader of the consensus
// group. The lock is held.
func (r *Runner) updateTreePosition(leader view.Name, known bool, now view.Uptime) {
	if r.view == nil || r.tree == nil {
		return
	}
	life, top, below := leadercall.TreePosition(r.view, r.tree, r.options.Self.Name, leader, known, r.lastLeader)
	above := spread.Parent{Life: life, IsLeader: top}
	if above.Name == "" {
		above = spread.Parent{}
	}
	r.state.SetTree(above, below, now)
}

// life is this process's current incarnation, which SetView may raise.
func (r *Runner) life() view.Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Self.Life
}
