// Package run does what the deciding parts of the common settings say: it carries their messages, keeps a version on
// disk, has the sender put it in force, and takes callers' changes over HTTP.
//
// It owns the goroutines and the lock (configuration.mu, see package cluster) around spread.State, and around one more
// while this process leads the council; and the file in the cluster's folder. It must never put a version in force
// that is not on disk, tell one as in force that the sender has not answered for, or hold its lock over a call, a
// file or the sender. A process that reaches nobody serves on with what it has: Ready opens by itself.
//
// A partner that is silent is tried again with a bounded backoff and shown as unreachable; one that is slow is shown as
// behind, and holds up no other; an old program skips fields that it doesn't know, or refuses the version and is shown
// so with the field; content that does not give the sum named with it is not taken, and the whole is asked for.
//
// Load: see package spread; and for each change one file written and synced at each process.
//
// This file starts and ends it, and asks the deciding parts what they want.
package run

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/ordering"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

// Tuned values.
const (
	soonest    = 5 * time.Millisecond    // between two looks at the deciding parts, unless there is news
	idlePace   = 250 * time.Millisecond  // between them where nothing is due: who leads, and what it decided, may change
	callFor    = 1500 * time.Millisecond // one message, over HoldFor
	decideFor  = 5 * time.Second         // one change decided in common, over a change of leader (1 to 2 s)
	catchUpFor = 3 * time.Second         // a start waits so long for what it missed
	answerFor  = 10 * time.Second        // the sender's answer to a version, until it is told as silent
	firstWait  = 25 * time.Millisecond   // between two tries of what the leader is asked, doubled up to lastWait
	lastWait   = 400 * time.Millisecond
	fetchEach  = time.Second // between questions to others than the parent
	mostAsked  = 8           // whom the leader's answer is sought at, in one round
)

// Runner is the part of one process.
type Runner struct {
	o       Options
	ctx     context.Context
	stop    context.CancelFunc
	going   sync.WaitGroup
	signals *ordering.Signals
	posts   ordering.Gate // callers' orders under way
	caller  ordering.Caller
	handed  *handing // apply's alone, of which one runs at a time

	mu          sync.Mutex // configuration.mu
	state       *spread.State
	lead        leading
	view        *view.View
	tree        ordering.Tree
	leader      view.Life              // who last spoke to this process as the one that leads
	running     together.Configuration // what the sender runs
	fetching    bool                   // a question to others is under way
	fetchAt     view.Now               // not before
	announcedBy view.Name              // who has what is newer, by its own word; to be asked
	asked       int                    // of those who may be asked, whose turn it is
	caught      bool                   // this life has what was decided before it
	figures     Figures
}

// Start takes the handlers' paths and begins. What an earlier life kept is read before it returns.
func Start(o Options) (*Runner, error) {
	if o.Link == nil || o.Orders == nil || o.Folder == "" || (o.Consensus == nil) != (o.Ledger == nil) {
		return nil, errors.New("configuration: a link, a folder and a sender's orders must be given, and a ledger with a council")
	}
	if o.Consensus == nil {
		o.Consensus = ordering.Outsider{NotLeading: errNotLeading}
	}
	if o.Now == nil {
		o.Now = ordering.Clock()
	}
	o.CatchUp = cmp.Or(o.CatchUp, catchUpFor)
	o.AnswerWithin = cmp.Or(o.AnswerWithin, answerFor)
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Check == nil {
		o.Check = func(json.RawMessage, json.RawMessage) error { return nil }
	}
	r := &Runner{o: o, posts: make(ordering.Gate, mostPosts), running: o.Running}
	r.state = spread.New(o.Self.Life, r.loadCached(), o.Running.Version)
	r.signals = ordering.NewSignals(&r.mu)
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.caller = ordering.Caller{Part: "configuration", Link: o.Link, Consensus: o.Consensus, Self: o.Self.Name, Life: r.life, Whom: r.whomToAsk,
		Ended: r.ctx.Done(), CallFor: callFor, First: firstWait, Most: lastWait, Nobody: errNobody, Undone: errNobody}
	r.handle()
	r.public(o.Link.Public())
	r.going.Go(r.loop)
	r.going.Go(r.catchUp)
	return r, nil
}

// loadCached is what an earlier incarnation left. What is damaged is named and not used: the others have it.
func (r *Runner) loadCached() configuration.Document {
	c, err := configuration.LoadCached(r.o.Folder)
	if err != nil {
		r.o.Log.Error("configuration: what was kept is not used; it is asked of the others", zap.Error(err))
	}
	if c.Version < r.o.Running.Version {
		c = r.o.Running
	}
	if c.Version == 0 {
		return configuration.Document{}
	}
	d, err := configuration.Make(c.Version, c.Settings)
	if err != nil {
		r.o.Log.Error("configuration: what was kept is not used; it is asked of the others", zap.Error(err))
		return configuration.Document{}
	}
	return d
}

// Ready opens when all that was missed is in force, or refused here, or when the bound for that is over (Status tells
// which). Until then the sender should begin nothing.
func (r *Runner) Ready() <-chan struct{} { return r.signals.Ready() }

// SetView tells who is here, and the tree derived from it.
func (r *Runner) SetView(v *view.View, t ordering.Tree) {
	r.mu.Lock()
	r.view, r.tree = v, t
	if m, found := v.Find(r.o.Self.Name); found && m.Incarnation > r.o.Self.Incarnation {
		// An earlier life of the name had a higher number: this one has risen above it.
		r.o.Self.Incarnation = m.Incarnation
		r.state.Rise(m.Life)
		r.lead = leading{}
	}
	r.mu.Unlock()
	r.signals.Wake()
}

// Status tells how this process stands.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Version: r.running.Version, Held: r.state.Held().Version, CaughtUp: r.caught, Figures: r.figures}
	if s.Version > 0 {
		s.Sum = configuration.SumOf(r.running.Settings)
	}
	s.Refused, s.Why = r.state.Refusal()
	return s
}

// Close ends all of it; calls that are out are cut.
func (r *Runner) Close() {
	r.stop()
	r.going.Wait()
}

func (r *Runner) loop() {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-next.C:
		case <-r.signals.Woken():
		}
		r.step()
		next.Reset(r.rest())
	}
}

// rest is how long nothing is due.
func (r *Runner) rest() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Now()
	at := min(r.state.Next(now), now+idlePace)
	if r.lead.top != nil {
		at = min(at, r.lead.top.Next(now))
	}
	return max(at-now, soonest)
}

// step asks each deciding part what it wants, and begins that.
func (r *Runner) step() {
	news := r.readLedger()
	leader, known := r.o.Consensus.Leader()
	now := r.o.Now()

	r.mu.Lock()
	r.placeInTree(leader, known, now)
	r.leadOn(news, now)
	r.send(r.state, now)
	if r.lead.top != nil {
		r.send(r.lead.top, now)
	}
	if up, due := r.state.Up(now); due {
		parent := r.state.Parent()
		r.figures.Ups++
		r.going.Go(func() { r.upward(parent, up) })
	}
	r.fetch(now)
	document, due := r.state.ToApply(now)
	r.mu.Unlock()
	if due {
		r.going.Go(func() { r.apply(document) })
	}
}

// placeInTree tells the state who is above and below. At the root that is whoever leads the council. The lock is held.
func (r *Runner) placeInTree(leader view.Name, known bool, now view.Now) {
	if r.view == nil || r.tree == nil {
		return
	}
	life, top, below := ordering.Place(r.view, r.tree, r.o.Self.Name, leader, known, r.leader)
	above := spread.Above{Life: life, Top: top}
	if above.Name == "" {
		above = spread.Above{}
	}
	r.state.Tree(above, below, now)
}

// life is this process's own, which may rise.
func (r *Runner) life() view.Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.o.Self.Life
}
