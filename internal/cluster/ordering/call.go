package ordering

// This file is calls: to one process, which may be this one; to one after the other; and again until a bound.

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"flaxcove/internal/cluster/view"
)

// Caller calls other processes, and this one, for one part. All fields are given once, before the first call.
type Caller struct {
	Part      string // begins the text of errors
	Link      Link
	Consensus Consensus
	Self      view.Name
	Life      func() view.Life   // this process's, at the moment; takes the part's lock
	Whom      func() []view.Name // to be asked for what the leader alone can answer; takes the part's lock
	Ended     <-chan struct{}    // closed when this process ends
	CallFor   time.Duration      // one message
	First     time.Duration      // between two tries of a proposal, doubled up to Most
	Most      time.Duration
	Nobody    error // nobody to ask is known
	Undone    error // the cause told for a proposal that nobody could be asked to decide

	take map[string]Handler
}

// Handle has messages on these paths taken, whether they come over the link or from this process itself. It is called
// once.
func (c *Caller) Handle(take map[string]Handler) {
	c.take = take
	for path, h := range take {
		c.Link.Handle(path, h)
	}
}

// Call sends one message and reads its answer, within CallFor. One to this process itself (the leader may be the root)
// goes the same way without the link.
func (c *Caller) Call(ctx context.Context, to view.Name, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.CallFor)
	defer cancel()
	if to != c.Self {
		return c.Link.Call(ctx, to, path, in, out)
	}
	self := c.Life()
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	answer, err := c.take[path](ctx, self, body)
	if err != nil {
		return err
	}
	if body, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

// Decide has an order decided: by here where this process leads, otherwise by whoever answers on path. It tries again
// until ctx ends, so the order must be safe to repeat. An error tells that it is not known whether it was decided.
func (c *Caller) Decide(ctx context.Context, here func() error, path string, in, out any) error {
	last := c.Undone
	return c.repeat(ctx, c.First, c.Most, "not known to be decided", func() error {
		err := c.leaders(ctx, here, path, in, out)
		if err != nil && err != c.Nobody {
			last = err // what somebody said tells more than that there is nobody now
		}
		if err != nil {
			return last
		}
		return nil
	})
}

// Show has the leader's answer: by here where this process leads, otherwise by whoever answers on path. It tries again
// each so often until ctx ends.
func (c *Caller) Show(ctx context.Context, each time.Duration, here func() error, path string, in, out any) error {
	return c.repeat(ctx, each, each, "the council's leader was not reached", func() error {
		return c.leaders(ctx, here, path, in, out)
	})
}

// leaders is one try.
func (c *Caller) leaders(ctx context.Context, here func() error, path string, in, out any) error {
	if c.Consensus.Leading() {
		return here()
	}
	return c.askAll(ctx, path, in, out)
}

// askAll asks one after the other until one answers.
func (c *Caller) askAll(ctx context.Context, path string, in, out any) error {
	err := c.Nobody
	for _, name := range c.Whom() {
		if ctx.Err() != nil {
			break
		}
		if err = c.Call(ctx, name, path, in, out); err == nil {
			return nil
		}
	}
	return err
}

// repeat tries until it goes well, ctx ends or this process does.
func (c *Caller) repeat(ctx context.Context, wait, most time.Duration, failed string, try func() error) error {
	for ; ; wait = min(2*wait, most) {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return fmt.Errorf("%s: %s: %w", c.Part, failed, err)
		case <-c.Ended:
			return fmt.Errorf("%s: this process ends: %w", c.Part, err)
		}
	}
}
