package run

import (
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
)

// Plan is what counts at this process, and until when by its clock; nil for none. It is not to be changed.
func (r *Runner) Plan() (*plan.Plan, view.Now) {
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Plan(now)
}
