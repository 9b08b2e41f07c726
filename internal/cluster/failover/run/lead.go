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
func (r *Runner) lead(now view.Now, t *tree.Tree, weighs bool) {
	if !r.o.Consensus.Leading() {
		r.mu.Lock()
		r.planner = nil
		r.mu.Unlock()
		return
	}
	var inForce plan.Plan
	r.o.Consensus.Read(func(uint64) { inForce = r.o.InForce.Plan() })
	term := r.o.Term()
	regions := map[view.Zone]view.Region{}
	for _, region := range t.Regions() {
		for _, z := range t.Zones(region) {
			regions[z] = region
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.planner == nil {
		r.planner = plan.New(r.o.Settings)
		r.planner.Applied(now, inForce)
	}
	if inForce.Epoch > 0 {
		r.renew(now, term, inForce)
	}
	if !weighs {
		r.news() // what woke it is judged a moment later
		return
	}
	r.all.Put(now, r.passing.Fresh(now)) // as a root, or a head whose parents do not answer
	r.planner.Members(regions)
	r.planner.Judged(now, weigh.Judge(r.all.Fresh(now), r.o.Bounds))
	if next, some := r.planner.Step(now); some && !r.asking {
		r.asking = r.begin(func() { r.decide(next) })
	}
}

// renew hears what is in force from oneself, as from any other leader. Called with mu held.
func (r *Runner) renew(now view.Now, term uint64, inForce plan.Plan) {
	if r.planner.Epoch() < inForce.Epoch {
		r.planner.Applied(now, inForce)
	}
	in := apply.Heard{Epoch: inForce.Epoch, Term: term}
	if held, _ := r.holder.Plan(now); held == nil || held.Epoch != inForce.Epoch {
		in.Plan = &inForce
	}
	if _, err := r.holder.Hear(now, in); err != nil {
		r.o.Log.Error("the plan in force cannot be used", zap.Error(err))
	}
}

// decide has a plan decided. One that was made on another than is in force by then is dropped: the next turn makes
// another on that.
func (r *Runner) decide(next plan.Plan) {
	ctx, cancel := context.WithTimeout(r.ctx, decideFor)
	defer cancel()
	_, err := r.o.Consensus.Propose(ctx, plan.PartName, plan.Kind, next)
	var inForce plan.Plan
	r.o.Consensus.Read(func(uint64) { inForce = r.o.InForce.Plan() })
	now := r.o.Now()
	r.mu.Lock()
	r.asking = false
	if err == nil {
		r.stats.Plans++
	} else {
		r.stats.Refused++
	}
	if r.planner != nil {
		r.planner.Applied(now, inForce)
	}
	r.mu.Unlock()
	var stale *plan.Stale
	if err != nil && !errors.As(err, &stale) && r.ctx.Err() == nil {
		r.o.Log.Info("a plan was not decided", zap.Uint64("epoch", uint64(next.Epoch)), zap.Error(err))
	}
	r.news()
}

// alike tells whether two states of what a process knows compile alike.
func alike(a, b apply.Local) bool {
	return a.Zone == b.Zone && maps.Equal(a.Numbers, b.Numbers) && maps.Equal(a.Ill, b.Ill) &&
		maps.EqualFunc(a.Listed, b.Listed, slices.Equal)
}
