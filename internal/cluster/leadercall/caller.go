package leadercall

// This file calls other processes: one, several in turn, or with retries until a deadline.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"flaxcove/internal/cluster/view"
)

// Caller sends the messages of one part to other processes, and to this process itself. All fields must be set before
// the first call. Its methods are safe for concurrent use.
type Caller struct {
	Part           string // name of the part, which is the prefix of error texts
	Link           Link
	Consensus      Consensus
	Self           view.Name
	Instance       func() view.Instance // current incarnation of this process; acquires the part's lock
	Candidates     func() []view.Name   // processes that may lead, the likeliest first; acquires the part's lock
	Done           <-chan struct{}      // closed when the part ends, which ends all retries
	CallTimeout    time.Duration        // of one message with its answer
	MinBackoff     time.Duration        // first delay between two attempts; doubled after each attempt up to MaxBackoff
	MaxBackoff     time.Duration
	ErrNoCandidate error // the cause in Query's error if Candidates returned none at the last attempt
	ErrUndecided   error // the cause in Propose's error if no candidate was known at any attempt

	handlers map[string]Handler
}

// Handle registers the handlers of messages by path, for messages over the link and for those of this process to
// itself. It must be called once, before the first call.
func (c *Caller) Handle(handlers map[string]Handler) {
	c.handlers = handlers
	for path, h := range handlers {
		c.Link.Handle(path, h)
	}
}

// Call sends one message and decodes the answer into out. It returns after CallTimeout at the latest. A message to this
// process itself is passed to its handler without the link; there are such messages when the leader is the root of the
// tree.
func (c *Caller) Call(ctx context.Context, to view.Name, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	if to != c.Self {
		return c.Link.Call(ctx, to, path, in, out)
	}
	self := c.Instance()
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

// Propose proposes an order. While this process leads, Propose calls here; otherwise it sends in to one candidate after
// the other on path, until one answers, and decodes the answer into out. It retries until ctx ends, so the order must
// be idempotent. After an error it is unknown whether the order was committed.
func (c *Caller) Propose(ctx context.Context, here func() error, path string, in, out any) error {
	lastErr := c.ErrUndecided
	return c.retry(ctx, c.MinBackoff, c.MaxBackoff, "not known whether the order was committed", func() error {
		err := c.askLeader(ctx, here, path, in, out)
		if err != nil && !errors.Is(err, c.ErrNoCandidate) {
			lastErr = err // if there is no candidate now, the last candidate's error is the more useful one
		}
		if err != nil {
			return lastErr
		}
		return nil
	})
}

// Query gets an answer that only the leader can give. While this process leads, Query calls here; otherwise it sends in
// to one candidate after the other on path, until one answers, and decodes the answer into out. It retries at the given
// interval until ctx ends.
func (c *Caller) Query(ctx context.Context, interval time.Duration, here func() error, path string, in, out any) error {
	return c.retry(ctx, interval, interval, "the leader of the consensus group was not reached", func() error {
		return c.askLeader(ctx, here, path, in, out)
	})
}

// askLeader makes one attempt of Propose or Query.
func (c *Caller) askLeader(ctx context.Context, here func() error, path string, in, out any) error {
	if c.Consensus.Leading() {
		return here()
	}
	return c.askInTurn(ctx, path, in, out)
}

// askInTurn sends a message to one candidate after the other until one answers. It returns the last candidate's error,
// or ErrNoCandidate.
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

// retry repeats an attempt with backoff until it succeeds, ctx ends, or Done is closed. failure is part of the error
// text when ctx ends.
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
			return fmt.Errorf("%s: this process is shutting down: %w", c.Part, err)
		}
	}
}
