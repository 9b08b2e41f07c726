package run

// This file is the messages between processes: begun here, and taken here.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"flaxcove/internal/cluster/ordering"
	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/purge/spread"
	"flaxcove/internal/cluster/view"
)

const (
	pathDown    = "/purge/down"
	pathRoot    = "/purge/root" // from the leader to the root
	pathUp      = "/purge/up"
	pathTop     = "/purge/top" // from the root to the leader
	pathMissed  = "/purge/missed"
	pathPropose = "/purge/propose"
	pathShow    = "/purge/show"
)

var (
	errNotLeading = errors.New("purge: this process does not lead the council")
	errNobody     = errors.New("purge: nobody to ask is known")
	errUndone     = errors.New("nobody to ask is known")
)

type missed struct {
	Since uint64 `json:"since"`
}

type proposal struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

func (r *Runner) handle() {
	r.caller.Handle(map[string]ordering.Handler{
		pathDown: r.takeDown, pathRoot: r.takeRoot, pathUp: r.takeUp, pathTop: r.takeTop,
		pathMissed: r.takeMissed, pathPropose: r.takePropose, pathShow: r.takeShow,
	})
}

// downer is a spread.State or the State of a Gather.
type downer interface {
	Answered(view.Life, spread.Up, view.Now)
	Failed(view.Life, view.Now)
}

func (r *Runner) down(of downer, path string, to spread.To) {
	var up spread.Up
	err := r.caller.Call(r.ctx, to.Child.Name, path, to.Down, &up)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil || up.From.Name != to.Child.Name:
		r.calls.Failed++
		of.Failed(to.Child, r.o.Now())
	default:
		of.Answered(to.Child, up, r.o.Now())
		r.signals.Turn()
	}
}

func (r *Runner) upward(parent spread.Above, up spread.Up) {
	path := pathUp
	if parent.Top {
		path = pathTop
	}
	var a spread.UpAnswer
	err := r.caller.Call(r.ctx, parent.Name, path, up, &a)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.calls.Failed++
		r.state.UpFailed(parent, r.o.Now())
		return
	}
	r.state.UpDone(parent, a, r.o.Now())
}

// takeDown takes purges in and answers how all below stand, once they have applied them or HoldFor is over.
func (r *Runner) takeDown(ctx context.Context, from view.Life, body []byte) (any, error) {
	var d spread.Down
	if err := json.Unmarshal(body, &d); err != nil {
		return nil, fmt.Errorf("purge: message down: %w", err)
	}
	if d.From.Name != from.Name {
		return nil, fmt.Errorf("purge: message down: from %q, field from tells %q", from.Name, d.From.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls.DownsIn++
	r.state.FromParent(d, r.o.Now())
	r.state.Hold()
	r.signals.Turn()
	r.signals.Await(ctx, r.ctx.Done(), spread.HoldFor, r.state.Settled)
	return r.state.Answer(d, r.o.Now()), nil
}

// takeRoot is the same from whoever leads: a root without a place in the council learns by it to whom it reports.
func (r *Runner) takeRoot(ctx context.Context, from view.Life, body []byte) (any, error) {
	leader, known := r.o.Consensus.Leader()
	r.mu.Lock()
	r.leader = from
	r.placeInTree(leader, known, r.o.Now())
	r.mu.Unlock()
	return r.takeDown(ctx, from, body)
}

func readUp(from view.Life, body []byte) (up spread.Up, err error) {
	if err = json.Unmarshal(body, &up); err != nil {
		return up, fmt.Errorf("purge: message up: %w", err)
	}
	if up.From.Name != from.Name {
		return up, fmt.Errorf("purge: message up: from %q, field from tells %q", from.Name, up.From.Name)
	}
	return up, nil
}

func (r *Runner) takeUp(_ context.Context, from view.Life, body []byte) (any, error) {
	up, err := readUp(from, body)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls.UpsIn++
	a := r.state.FromChild(up, r.o.Now())
	r.signals.Turn()
	return a, nil
}

func (r *Runner) takeTop(_ context.Context, from view.Life, body []byte) (any, error) {
	up, err := readUp(from, body)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads || r.gather == nil {
		return nil, errNotLeading
	}
	r.calls.UpsIn++
	a := r.gather.FromRoot(up, r.o.Now())
	r.signals.Turn()
	return a, nil
}

// takeMissed tells one that comes back what it missed, as far as it is known here.
func (r *Runner) takeMissed(_ context.Context, _ view.Life, body []byte) (any, error) {
	var m missed
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("purge: asked for what was missed: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leads && r.gather != nil {
		return r.gather.Missed(m.Since, r.o.Now()), nil
	}
	return r.state.Missed(m.Since, r.o.Now()), nil
}

// takePropose is another process's order, to be decided in common here.
func (r *Runner) takePropose(ctx context.Context, _ view.Life, body []byte) (any, error) {
	var p proposal
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("purge: proposal: %w", err)
	}
	if p.Kind != ledger.KindOpen && p.Kind != ledger.KindJoin && p.Kind != ledger.KindGone {
		return nil, fmt.Errorf("purge: proposal: kind %q is not taken from others", p.Kind)
	}
	if !r.o.Consensus.Leading() {
		return nil, errNotLeading
	}
	answer, err := r.o.Consensus.Propose(ctx, ledger.Part, p.Kind, p.Body)
	r.signals.Wake()
	return answer, err
}

// propose has one command decided, by this process or by whoever leads, tried again until ctx ends: each command is
// safe to repeat. An error tells that it is not known whether it was decided, or that the answer is not read.
func (r *Runner) propose(ctx context.Context, kind string, body, out any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var answer json.RawMessage
	decidedHere := false
	here := func() (err error) {
		answer, err = r.o.Consensus.Propose(ctx, ledger.Part, kind, json.RawMessage(text))
		decidedHere = err == nil
		return err
	}
	err = r.caller.Decide(ctx, here, pathPropose, proposal{kind, text}, out)
	if err != nil || !decidedHere {
		return err
	}
	r.signals.Wake()
	return json.Unmarshal(answer, out)
}

// whomToAsk is for what the leader alone can answer: by the council, or without a place in it those who hold its
// records and then any, at most mostAsked.
func (r *Runner) whomToAsk() []view.Name {
	likely := r.o.Consensus.Ask()
	r.mu.Lock()
	defer r.mu.Unlock()
	return ordering.Whom(likely, r.leader.Name, r.view, r.o.Self.Name, mostAsked)
}
