package run

import (
	"context"
	"errors"
	"maps"
	"slices"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/failover/apply"
	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

// leaderTick renews the plan in force and makes plans from the collected reports. A process that leads no more does
// neither, so that its plan lapses unless another leader renews it.
func (r *Runner) leaderTick(now view.Uptime, t *tree.Tree, due bool) {
	if !r.options.Consensus.Leading() {
		r.mu.Lock()
		r.planner = nil
		r.mu.Unlock()
		return
	}
	var inForce plan.Plan
	r.options.Consensus.Read(func(uint64) { inForce = r.options.InForce.Plan() })
	term := r.options.Term()
	regions := regionsOf(t)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.planner == nil {
		r.planner = plan.New(r.options.Settings)
		r.planner.PlanInForce(now, inForce)
	}
	if inForce.Epoch > 0 {
		r.renewPlan(now, term, inForce)
	}
	if !due {
		r.wakeLoop() // what woke the loop is judged a moment later
		return
	}
	r.collected.Put(now, r.outgoing.Fresh(now)) // at a root, or at a coordinator whose parents do not answer
	r.planner.SetRegions(regions)
	r.planner.UpdateHealth(now, assess.Judge(r.collected.Fresh(now), r.options.Bounds))
	if next, found := r.planner.Step(now); found && !r.proposing {
		r.proposing = r.startCall(func() { r.propose(next) })
	}
}

func regionsOf(t *tree.Tree) map[view.Zone]view.Region {
	regions := map[view.Zone]view.Region{}
	for _, region := range t.Regions() {
		for _, z := range t.Zones(region) {
			regions[z] = region
		}
	}
	return regions
}

// renewPlan takes the plan in force from this process itself, as from any other leader. The caller holds mu.
func (r *Runner) renewPlan(now view.Uptime, term uint64, inForce plan.Plan) {
	if r.planner.Epoch() < inForce.Epoch {
		r.planner.PlanInForce(now, inForce)
	}
	in := apply.Announcement{Epoch: inForce.Epoch, Term: term}
	if held, _ := r.holder.Plan(now); held == nil || held.Epoch != inForce.Epoch {
		in.Plan = &inForce
	}
	if _, err := r.holder.Receive(now, in); err != nil {
		r.options.Log.Error("plan in force is invalid", zap.Error(err))
	}
}

// propose has a plan decided. A plan that was made on another than the one in force by then is dropped: the next tick
// makes another.
func (r *Runner) propose(next plan.Plan) {
	ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout)
	defer cancel()
	_, err := r.options.Consensus.Propose(ctx, plan.PartName, plan.Kind, next)
	var inForce plan.Plan
	r.options.Consensus.Read(func(uint64) { inForce = r.options.InForce.Plan() })
	now := r.options.Now()
	r.mu.Lock()
	r.proposing = false
	if err == nil {
		r.stats.Plans++
	} else {
		r.stats.PlansRejected++
	}
	if r.planner != nil {
		r.planner.PlanInForce(now, inForce)
	}
	r.mu.Unlock()
	var stale *plan.StaleEpochError
	if err != nil && !errors.As(err, &stale) && r.ctx.Err() == nil {
		r.options.Log.Info("plan proposal failed", zap.Uint64("epoch", uint64(next.Epoch)), zap.Error(err))
	}
	r.wakeLoop()
}

// sameLocal reports whether two local states compile to the same guide.
func sameLocal(a, b apply.Local) bool {
	return a.Zone == b.Zone && maps.Equal(a.Numbers, b.Numbers) && maps.Equal(a.Failing, b.Failing) &&
		maps.EqualFunc(a.Listed, b.Listed, slices.Equal)
}
