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

// child is what is known of one that is told of the plan here.
type child struct {
	epoch   view.Epoch // that it answered last; 0 for not known
	fresh   view.Now   // as of when the leader had what was told in force
	out     bool       // a call is out
	failing bool       // the last call failed: those below it are told from here
	tried   view.Now
}

// told is the answer to what came down.
type told struct {
	Epoch view.Epoch `json:"epoch"`
}

// tellDown tells each child what it does not have, and renews what it has. Where one does not answer, its own children
// are told from here until it does: a coordinator that died holds nobody's plan back until the tree has changed.
func (r *Runner) tellDown(now view.Now, t *tree.Tree) {
	targets := t.Children(r.o.Self)
	if r.o.Consensus.Leading() && t.Root() != r.o.Self && t.Root() != "" {
		targets = append(targets, t.Root())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	told := map[view.Name]bool{r.o.Self: true}
	for i := 0; i < len(targets); i++ { // grows by those below who fail
		name := targets[i]
		if told[name] {
			continue
		}
		told[name] = true
		c := r.out[name]
		if c == nil {
			c = &child{fresh: -r.o.Settings.Hold, tried: -r.o.Settings.Hold}
			r.out[name] = c
		}
		if c.failing {
			targets = append(targets, t.Children(name)...)
		}
		r.tell(now, name, c)
	}
	for name, c := range r.out {
		if !told[name] && !c.out {
			delete(r.out, name)
		}
	}
}

// tell sends one what it needs, if anything. Called with mu held.
func (r *Runner) tell(now view.Now, name view.Name, c *child) {
	whole := c.epoch != r.holder.Epoch()
	in, some := r.holder.Tell(now, whole)
	renew := r.o.Settings.Hold / renewals
	due := c.epoch < in.Epoch || now-in.Age-c.fresh >= renew
	if !some || !due || c.out || c.failing && now-c.tried < renew/2 {
		return
	}
	c.tried = now
	c.out = r.begin(func() { r.sendDown(name, c, in, now) })
}

func (r *Runner) sendDown(name view.Name, c *child, in apply.Heard, at view.Now) {
	fresh := at - in.Age
	in.Age = r.o.Now() - fresh
	ctx, cancel := context.WithTimeout(r.ctx, callFor)
	defer cancel()
	var out told
	err := r.o.Link.Call(ctx, name, downPath, in, &out)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.out = false
	r.stats.Down++
	if err != nil {
		if c.epoch = 0; !c.failing {
			c.failing = true
			r.news()
		}
		r.stats.Failed++
		return
	}
	c.epoch, c.fresh = out.Epoch, fresh
	if c.failing = false; out.Epoch < in.Epoch && in.Plan == nil || r.holder.Epoch() > in.Epoch {
		r.news() // it lost what it had, or there is a newer one by now
	}
}

func (r *Runner) hearDown(_ context.Context, from view.Life, body []byte) (any, error) {
	var in apply.Heard
	if err := json.Unmarshal(body, &in); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.stats.Bad++
		return nil, fmt.Errorf("failover: plan of %s: %w", from.Name, err)
	}
	local, now := r.o.Local(), r.o.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.holder.Hear(now, in)
	if err != nil {
		r.stats.Bad++
		r.o.Log.Error("a plan cannot be used", zap.String("from", string(from.Name)), zap.Error(err))
		return nil, err
	}
	r.stats.Heard++
	if changed {
		local.Ill = r.local.Ill
	} else {
		local = r.local
	}
	r.compile(now, local)
	r.news() // passed on at once: ages would add up from tier to tier
	return told{r.holder.Epoch()}, nil
}
