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

// child is what is known of a process to which this one announces the plan.
type child struct {
	epoch       view.Epoch  // of its last answer; 0 for not known
	confirmedAt view.Uptime // when the leader had the announced plan in force
	calling     bool        // a call is in flight
	failing     bool        // the last call failed: its children are called from here
	triedAt     view.Uptime
}

// planAnswer is the answer to an announcement: the epoch that the receiver has now.
type planAnswer struct {
	Epoch view.Epoch `json:"epoch"`
}

// announcePlan announces to each child the plan that it lacks, or renews the one it has. Where a child does not
// answer, its own children are called from here until it does: a coordinator that died delays nobody's plan until the
// tree has changed.
func (r *Runner) announcePlan(now view.Uptime, t *tree.Tree) {
	targets := t.Children(r.options.Self)
	if r.options.Consensus.Leading() && t.Root() != r.options.Self && t.Root() != "" {
		targets = append(targets, t.Root())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	visited := map[view.Name]bool{r.options.Self: true}
	for i := 0; i < len(targets); i++ { // grows by the children of those that fail
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

// childNamed is the child of that name; a new one lacks everything. The caller holds mu.
func (r *Runner) childNamed(name view.Name) *child {
	c := r.children[name]
	if c == nil {
		longAgo := -r.options.Settings.Hold
		c = &child{confirmedAt: longAgo, triedAt: longAgo}
		r.children[name] = c
	}
	return c
}

// announceTo sends a child what it needs, if anything. The caller holds mu.
func (r *Runner) announceTo(now view.Uptime, name view.Name, c *child) {
	withPlan := c.epoch != r.holder.Epoch()
	announcement, found := r.holder.Announce(now, withPlan)
	renew := r.options.Settings.Hold / renewalsPerHold
	due := c.epoch < announcement.Epoch || now-announcement.Age-c.confirmedAt >= renew
	if !found || !due || c.calling || c.failing && now-c.triedAt < renew/2 {
		return
	}
	c.triedAt = now
	c.calling = r.startCall(func() { r.callWithPlan(name, c, announcement, now) })
}

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

func (r *Runner) handlePlan(_ context.Context, from view.Life, body []byte) (any, error) {
	var in apply.Announcement
	if err := json.Unmarshal(body, &in); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.stats.Malformed++
		return nil, fmt.Errorf("failover: plan of %s: %w", from.Name, err)
	}
	local, now := r.options.Local(), r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.holder.Receive(now, in)
	if err != nil {
		r.stats.Malformed++
		r.options.Log.Error("received plan is invalid", zap.String("from", string(from.Name)), zap.Error(err))
		return nil, err
	}
	r.stats.Received++
	if changed {
		local.Failing = r.local.Failing
	} else {
		local = r.local
	}
	r.compileGuide(now, local)
	r.wakeLoop() // to pass it on at once: ages would add up from tier to tier
	return planAnswer{r.holder.Epoch()}, nil
}
