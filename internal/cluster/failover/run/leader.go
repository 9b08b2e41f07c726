package run

import (
	"context"
	"errors"
	"maps"
	"slices"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/failover/apply"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

// lead is the leader's turn: it renews what is in force, and makes plans of what came up to it. One that leads no more
// does neither, so that what it had in force lapses where nobody else is heard.
func (r *Runner) leaderTick(now view.Now, t *tree.Tree, assess bool) {
	if !r.options.Council.Leading() {
		r.mu.Lock()
		r.planner = nil
		r.mu.Unlock()
		return
	}
	var inForce plan.Plan
	r.options.Council.Read(func(uint64) { inForce = r.options.InForce.Plan() })
	term := r.options.Term()
	regions := map[view.Zone]view.Region{}
	for _, region := range t.Regions() {
		for _, z := range t.Zones(region) {
			regions[z] = region
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.planner == nil {
		r.planner = plan.New(r.options.Settings)
		r.planner.Applied(now, inForce)
	}
	if inForce.Epoch > 0 {
		r.renewPlan(now, term, inForce)
	}
	if !assess {
		r.wakeLoop() // what woke it is judged a moment later
		return
	}
	r.collected.Put(now, r.outgoing.Fresh(now)) // as a root, or a head whose parents do not answer
	r.planner.Members(regions)
	r.planner.Judged(now, weigh.Judge(r.collected.Fresh(now), r.options.Bounds))
	if next, some := r.planner.Step(now); some && !r.proposing {
		r.proposing = r.startCall(func() { r.propose(next) })
	}
}

// renew hears what is in force from oneself, as from any other leader. Called with mu held.
func (r *Runner) renewPlan(now view.Now, term uint64, inForce plan.Plan) {
	if r.planner.Epoch() < inForce.Epoch {
		r.planner.Applied(now, inForce)
	}
	in := apply.Heard{Epoch: inForce.Epoch, Term: term}
	if held, _ := r.holder.Plan(now); held == nil || held.Epoch != inForce.Epoch {
		in.Plan = &inForce
	}
	if _, err := r.holder.Hear(now, in); err != nil {
		r.options.Log.Error("the plan in force cannot be used", zap.Error(err))
	}
}

// decide has a plan decided. One that was made on another than is in force by then is dropped: the next turn makes
// another on that.
func (r *Runner) propose(next plan.Plan) {
	ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout)
	defer cancel()
	_, err := r.options.Council.Propose(ctx, plan.PartName, plan.Kind, next)
	var inForce plan.Plan
	r.options.Council.Read(func(uint64) { inForce = r.options.InForce.Plan() })
	now := r.options.Now()
	r.mu.Lock()
	r.proposing = false
	if err == nil {
		r.stats.Plans++
	} else {
		r.stats.PlansRejected++
	}
	if r.planner != nil {
		r.planner.Applied(now, inForce)
	}
	r.mu.Unlock()
	var stale *plan.StaleEpochError
	if err != nil && !errors.As(err, &stale) && r.ctx.Err() == nil {
		r.options.Log.Info("a plan was not decided", zap.Uint64("epoch", uint64(next.Epoch)), zap.Error(err))
	}
	r.wakeLoop()
}

// alike tells whether two states of what a process knows compile alike.
func sameLocal(a, b apply.Local) bool {
	return a.Zone == b.Zone && maps.Equal(a.Numbers, b.Numbers) && maps.Equal(a.Ill, b.Ill) &&
		maps.EqualFunc(a.Listed, b.Listed, slices.Equal)
}
