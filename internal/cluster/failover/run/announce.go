package run

import (
	"context"
	"encoding/json"
	"fmt"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/failover/apply"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

// child is the state of a process to which this process announces the plan.
type child struct {
	epoch       view.Epoch  // epoch in its last answer; 0 if unknown
	confirmedAt view.Uptime // when the leader had the last announced plan in force
	calling     bool        // a call is in flight
	failing     bool        // the last call failed; this process also calls the child's children
	triedAt     view.Uptime // start of the last call
}

// planAnswer is the answer to an announcement.
type planAnswer struct {
	Epoch view.Epoch `json:"epoch"` // epoch of the last plan that the receiver got, see apply.Holder.Epoch
}

// announcePlan sends each child the plan if the child lacks it, or a renewal. While a child does not answer, this
// process also calls the child's children, so that a dead coordinator does not delay plans until the tree changes.
func (r *Runner) announcePlan(now view.Uptime, t *tree.Tree) {
	targets := t.Children(r.options.Self)
	if r.options.Consensus.Leading() && t.Root() != r.options.Self && t.Root() != "" {
		targets = append(targets, t.Root())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	visited := map[view.Name]bool{r.options.Self: true}
	for i := 0; i < len(targets); i++ { // targets grows by the children of processes that don't answer
		name := targets[i]
		if visited[name] {
			continue
		}
		visited[name] = true
		c := r.childNamed(name)
		if c.failing {
			targets = append(targets, t.Children(name)...)
		}
		r.announceTo(now, name, c)
	}
	for name, c := range r.children {
		if !visited[name] && !c.calling {
			delete(r.children, name)
		}
	}
}

// childNamed returns the state of a child. A new child gets epoch 0 and times long ago, so that it is sent the plan at
// once. The caller holds mu.
func (r *Runner) childNamed(name view.Name) *child {
	c := r.children[name]
	if c == nil {
		longAgo := -r.options.Settings.PlanTTL
		c = &child{confirmedAt: longAgo, triedAt: longAgo}
		r.children[name] = c
	}
	return c
}

// announceTo starts a call with the plan or a renewal to a child if one is due and none is in flight. The caller holds
// mu.
func (r *Runner) announceTo(now view.Uptime, name view.Name, c *child) {
	withPlan := c.epoch != r.holder.Epoch()
	announcement, found := r.holder.Announce(now, withPlan)
	renew := r.options.Settings.PlanTTL / renewalsPerTTL
	due := c.epoch < announcement.Epoch || now-announcement.Age-c.confirmedAt >= renew
	if !found || !due || c.calling || c.failing && now-c.triedAt < renew/2 {
		return
	}
	c.triedAt = now
	c.calling = r.startCall(func() { r.callWithPlan(name, c, announcement, now) })
}

// callWithPlan sends an announcement, whose Age is as of announcedAt, to a child and records the answer.
func (r *Runner) callWithPlan(name view.Name, c *child, announcement apply.Announcement, announcedAt view.Uptime) {
	confirmedAt := announcedAt - announcement.Age
	announcement.Age = r.options.Now() - confirmedAt
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	var answer planAnswer
	err := r.options.Link.Call(ctx, name, planPath, announcement, &answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.calling = false
	r.stats.PlanCalls++
	if err != nil {
		if c.epoch = 0; !c.failing {
			c.failing = true
			r.wakeLoop()
		}
		r.stats.Failed++
		return
	}
	c.epoch, c.confirmedAt = answer.Epoch, confirmedAt
	c.failing = false
	lostPlan := answer.Epoch < announcement.Epoch && announcement.Plan == nil
	if lostPlan || r.holder.Epoch() > announcement.Epoch {
		r.wakeLoop()
	}
}

// handlePlan handles an announcement from another process.
func (r *Runner) handlePlan(_ context.Context, from view.Instance, body []byte) (any, error) {
	var in apply.Announcement
	if err := json.Unmarshal(body, &in); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.stats.Malformed++
		return nil, fmt.Errorf("failover: cannot decode plan from %q: %w", from.Name, err)
	}
	local, now := r.options.Local(), r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.holder.Receive(now, in)
	if err != nil {
		r.stats.Malformed++
		r.options.Log.Error("received plan is invalid, ignored", zap.String("from", string(from.Name)), zap.Error(err))
		return nil, err
	}
	r.stats.Received++
	if changed {
		local.Failing = r.local.Failing
	} else {
		local = r.local
	}
	r.compileGuide(now, local)
	r.wakeLoop() // pass the plan on soon; with a full tick interval in each tier, its age would add up
	return planAnswer{r.holder.Epoch()}, nil
}
