// Package run does what the purge's deciding parts say: it carries their messages, hands purges to the sender, and
// takes callers' orders over HTTP.
//
// It owns the goroutines and the lock (purge.mu, see package cluster) around spread.State, and around spread.Gather
// while this process leads the council. It must never decide who has acknowledged, acknowledge what the sender does
// not have on disk, or hold its lock over a call. A process that reaches nobody serves on: Ready opens by itself.
package run

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/ordering"
	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/purge/spread"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

// Tuned values.
const (
	pace        = 25 * time.Millisecond // how often the deciding parts are asked, besides at once on news
	callFor     = 2 * time.Second       // one message, over the 250 ms that an answer may wait for those below
	decideFor   = 5 * time.Second       // one order in common, over a change of leader (1 to 2 s)
	catchUpFor  = 3 * time.Second       // a start waits so long for what it missed; a deadline is seconds at least
	mostAsked   = 8                     // whom an order in common is tried at, in one round
	mostClosing = 256                   // purges closed by one command: under 300 KB at 12 zones
)

// Options is what a Runner is given; Now, CatchUp and Log may be left out.
type Options struct {
	Self      view.Member // Life, Zone, Region and Folder are read; a view may tell a higher incarnation later
	Link      ordering.Link
	Consensus ordering.Consensus // nil at a process that has no place in it
	Ledger    *ledger.Ledger     // the council's part of that name; nil where there is no council
	Orders    together.Orders
	Longest   time.Duration // the longest deadline of what the folder holds; 0 for not known
	CatchUp   time.Duration // how long a start waits for what it missed, at most
	Now       func() view.Now
	Log       *zap.Logger
}

// Runner is the purge part of one process.
type Runner struct {
	o       Options
	ctx     context.Context
	stop    context.CancelFunc
	going   sync.WaitGroup
	signals *ordering.Signals
	posts   ordering.Gate // callers' orders under way
	caller  ordering.Caller

	mu      sync.Mutex // purge.mu
	state   *spread.State
	gather  *spread.Gather // nil until this life first leads
	leads   bool
	lead    leading
	view    *view.View
	tree    ordering.Tree
	leader  view.Life // who last spoke to this process as the one that leads
	longest time.Duration
	told    time.Duration // the longest that the seat tells
	caught  bool
	left    bool // gave its seat up
	calls   Figures
}

// Figures are counters since the start.
type Figures struct {
	Has, Applied     uint64
	Downs, Ups       uint64 // messages begun
	DownsIn, UpsIn   uint64 // messages taken
	Failed           uint64 // of those begun
	CaughtUp, Leader bool
}

// Start takes the handlers' paths and begins. The state of the sender is asked once, before it returns.
func Start(o Options) (*Runner, error) {
	if o.Link == nil || o.Orders == nil || (o.Consensus == nil) != (o.Ledger == nil) {
		return nil, errors.New("purge: a link and a sender's orders must be given, and a ledger with a council")
	}
	if o.Consensus == nil {
		o.Consensus = ordering.Outsider{NotLeading: errNotLeading}
	}
	if o.Now == nil {
		o.Now = ordering.Clock()
	}
	if o.CatchUp == 0 {
		o.CatchUp = catchUpFor
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	r := &Runner{o: o, posts: make(ordering.Gate, mostPosts), longest: o.Longest,
		state: spread.New(o.Self.Life, o.Self.Folder, o.Orders.Applied())}
	r.signals = ordering.NewSignals(&r.mu)
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.caller = ordering.Caller{Part: "purge", Link: o.Link, Consensus: o.Consensus, Self: o.Self.Name, Life: r.life, Whom: r.whomToAsk,
		Ended: r.ctx.Done(), CallFor: callFor, First: pace, Most: 16 * pace, Nobody: errNobody, Undone: errUndone}
	r.handle()
	r.public(o.Link.Public())
	r.going.Go(r.loop)
	r.going.Go(r.catchUp)
	return r, nil
}

// Ready opens when all that was missed is applied, or when the bound for that is over (CaughtUp tells which). Until
// then nothing may be sent that was taken on in an earlier life.
func (r *Runner) Ready() <-chan struct{} { return r.signals.Ready() }

// CaughtUp tells whether this life has a seat and has applied all that was decided before it.
func (r *Runner) CaughtUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.caught
}

// SetView tells who is here, and the tree derived from it.
func (r *Runner) SetView(v *view.View, t ordering.Tree) {
	r.mu.Lock()
	r.view, r.tree = v, t
	if m, found := v.Find(r.o.Self.Name); found && m.Incarnation > r.o.Self.Incarnation {
		// An earlier life of the name had a higher number: this one has risen above it, and needs its seat anew.
		r.o.Self.Incarnation = m.Incarnation
		r.gather = nil
		r.state.Rise(m.Life, r.o.Now())
		r.told = -1
	}
	r.mu.Unlock()
	r.signals.Wake()
}

// Longest tells the longest deadline of any class, as a sender's digest has it. It never shrinks for this life:
// what was taken on under a longer one may still be held.
func (r *Runner) Longest(d time.Duration) {
	r.mu.Lock()
	r.longest = max(r.longest, d)
	r.mu.Unlock()
}

// Figures are counters for operators.
func (r *Runner) Figures() Figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.calls
	f.Has, f.Applied, f.CaughtUp, f.Leader = r.state.Has(), r.state.AppliedTo(), r.caught, r.leads
	return f
}

// Close ends all of it; calls that are out are cut.
func (r *Runner) Close() {
	r.stop()
	r.going.Wait()
}

func (r *Runner) loop() {
	tick := time.NewTicker(pace)
	defer tick.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-tick.C:
		case <-r.signals.Woken():
		}
		r.step()
	}
}

// step asks each deciding part what it wants, and begins that.
func (r *Runner) step() {
	news := r.readLedger()
	leader, known := r.o.Consensus.Leader()
	now := r.o.Now()

	r.mu.Lock()
	r.placeInTree(leader, known, now)
	r.leadOn(news, now)
	downs := r.state.Downs(now)
	r.calls.Downs += uint64(len(downs))
	up, due := r.state.Up(now)
	parent := r.state.Parent()
	if due {
		r.calls.Ups++
	}
	apply := r.state.ToApply(now)
	r.mu.Unlock()

	for _, to := range downs {
		r.going.Go(func() { r.down(r.state, pathDown, to) })
	}
	if due {
		r.going.Go(func() { r.upward(parent, up) })
	}
	if apply != nil {
		r.o.Orders.Purge(apply, func(applied uint64, found []together.Found) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.state.Applied(applied, found, r.o.Now())
			r.signals.Turn()
		})
	}
}

// placeInTree tells the state who is above and below. At the root that is whoever leads the council. The lock is held.
func (r *Runner) placeInTree(leader view.Name, known bool, now view.Now) {
	if r.view == nil || r.tree == nil {
		return
	}
	life, top, below := ordering.Place(r.view, r.tree, r.o.Self.Name, leader, known, r.leader)
	r.state.Tree(spread.Above{Life: life, Top: top}, below, now)
}

// life is this process's own, which may rise.
func (r *Runner) life() view.Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.o.Self.Life
}
