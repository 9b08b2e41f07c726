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

// leaderTick renews the plan in force and, if an assessment is due, plans from the collected reports. At a process that
// does not lead, it only drops the planner, so that the plan expires unless another leader renews it.
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
		r.planner.SetPlanInForce(now, inForce)
	}
	if inForce.Epoch > 0 {
		r.renewPlan(now, term, inForce)
	}
	if !due {
		r.wakeLoop() // reports received since the last assessment are assessed at the next tick
		return
	}
	// The leader sends no reports to itself. If it is the root, or a coordinator whose parents don't answer, its outgoing
	// reports reach the planner only here.
	r.collected.Put(now, r.outgoing.Fresh(now))
	r.planner.SetRegions(regions)
	r.planner.UpdateHealth(now, assess.CombineReports(r.collected.Fresh(now), r.options.Bounds))
	if next, found := r.planner.Step(now); found && !r.proposing {
		r.proposing = r.startCall(func() { r.propose(next) })
	}
}

// regionsOf returns the region of each zone in the tree.
func regionsOf(t *tree.Tree) map[view.Zone]view.Region {
	regions := map[view.Zone]view.Region{}
	for _, region := range t.Regions() {
		for _, z := range t.Zones(region) {
			regions[z] = region
		}
	}
	return regions
}

// renewPlan announces the plan in force to the leader's own holder, as the leader does to other processes. The caller
// holds mu.
func (r *Runner) renewPlan(now view.Uptime, term uint64, inForce plan.Plan) {
	if r.planner.Epoch() < inForce.Epoch {
		r.planner.SetPlanInForce(now, inForce)
	}
	in := apply.Announcement{Epoch: inForce.Epoch, Term: term}
	if held, _ := r.holder.Plan(now); held == nil || held.Epoch != inForce.Epoch {
		in.Plan = &inForce
	}
	if _, err := r.holder.Receive(now, in); err != nil {
		r.options.Log.Error("plan in force is invalid, not renewed", zap.Error(err))
	}
}

// propose submits a plan to the consensus group. The group rejects it if another plan came into force meanwhile; the
// next tick then makes a plan that follows that one.
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
		r.planner.SetPlanInForce(now, inForce)
	}
	r.mu.Unlock()
	var stale *plan.StaleEpochError
	if err != nil && !errors.As(err, &stale) && r.ctx.Err() == nil {
		r.options.Log.Info("plan proposal failed, the planner continues from the plan in force", zap.Uint64("epoch", uint64(next.Epoch)), zap.Error(err))
	}
	r.wakeLoop()
}

// sameLocal reports whether a plan compiles to the same guide with both local states.
func sameLocal(a, b apply.Local) bool {
	return a.Zone == b.Zone && maps.Equal(a.Numbers, b.Numbers) && maps.Equal(a.Failing, b.Failing) &&
		maps.EqualFunc(a.Listed, b.Listed, slices.Equal)
}
