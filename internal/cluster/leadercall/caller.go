package leadercall

// This file is calls to other processes: to one, to several in turn, and with retries until a deadline.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"flaxcove/internal/cluster/view"
)

// Caller calls other processes, and this one, on behalf of one part. All fields are set before the first call.
type Caller struct {
	Part           string // prefix of error texts
	Link           Link
	Consensus      Consensus
	Self           view.Name
	Life           func() view.Life   // of this process; takes the part's lock
	Candidates     func() []view.Name // who may lead, the likeliest first; takes the part's lock
	Done           <-chan struct{}    // closed when this process ends
	CallTimeout    time.Duration      // of one message
	MinBackoff     time.Duration      // between attempts, doubled up to MaxBackoff
	MaxBackoff     time.Duration
	ErrNoCandidate error // no candidate is known
	ErrUndecided   error // the cause of failure of a proposal for which there never was a candidate

	handlers map[string]Handler
}

// Handle registers the handlers of messages by path, whether they come over the link or from this process itself. It is
// called once.
func (c *Caller) Handle(handlers map[string]Handler) {
	c.handlers = handlers
	for path, h := range handlers {
		c.Link.Handle(path, h)
	}
}

// Call sends one message and decodes the answer into out, within CallTimeout. A message to this process itself (the
// leader may be the root of the tree) goes to its handler without the link.
func (c *Caller) Call(ctx context.Context, to view.Name, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	if to != c.Self {
		return c.Link.Call(ctx, to, path, in, out)
	}
	self := c.Life()
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	answer, err := c.handlers[path](ctx, self, body)
	if err != nil {
		return err
	}
	if body, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

// Propose has an order committed: by calling here where this process leads, otherwise by the first candidate that
// answers on path. It retries until ctx ends, so the order must be idempotent. After an error it is not known whether
// the order was committed.
func (c *Caller) Propose(ctx context.Context, here func() error, path string, in, out any) error {
	lastErr := c.ErrUndecided
	return c.retry(ctx, c.MinBackoff, c.MaxBackoff, "not known to be decided", func() error {
		err := c.askLeader(ctx, here, path, in, out)
		if err != nil && !errors.Is(err, c.ErrNoCandidate) {
			lastErr = err // a candidate's error says more than that there is none now
		}
		if err != nil {
			return lastErr
		}
		return nil
	})
}

// Query gets the leader's answer: by calling here where this process leads, otherwise from the first candidate that
// answers on path. It retries at this interval until ctx ends.
func (c *Caller) Query(ctx context.Context, interval time.Duration, here func() error, path string, in, out any) error {
	return c.retry(ctx, interval, interval, "the council's leader was not reached", func() error {
		return c.askLeader(ctx, here, path, in, out)
	})
}

// askLeader makes one attempt.
func (c *Caller) askLeader(ctx context.Context, here func() error, path string, in, out any) error {
	if c.Consensus.Leading() {
		return here()
	}
	return c.askInTurn(ctx, path, in, out)
}

// askInTurn asks one candidate after the other until one answers.
func (c *Caller) askInTurn(ctx context.Context, path string, in, out any) error {
	err := c.ErrNoCandidate
	for _, name := range c.Candidates() {
		if ctx.Err() != nil {
			break
		}
		if err = c.Call(ctx, name, path, in, out); err == nil {
			return nil
		}
	}
	return err
}

// retry repeats an attempt with backoff until it succeeds, ctx ends or this process does.
func (c *Caller) retry(ctx context.Context, backoff, maxBackoff time.Duration, failure string, attempt func() error) error {
	for ; ; backoff = min(2*backoff, maxBackoff) {
		err := attempt()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return fmt.Errorf("%s: %s: %w", c.Part, failure, err)
		case <-c.Done:
			return fmt.Errorf("%s: this process ends: %w", c.Part, err)
		}
	}
}
