package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/view"
)

// NotLeader says that nothing was proposed, and who may be asked: "" where that is not known (see Ask).
type NotLeader struct{ Leader view.Name }

func (e *NotLeader) Error() string {
	return fmt.Sprintf("not the council's leader, which is %q", e.Leader)
}

// Unsure says that a proposal may have been decided or may yet be: there was no quorum in time, or the leader changed.
// Whoever asks again must give its command an id of its own, by which the part knows it again.
type Unsure struct{ Why error }

func (e *Unsure) Error() string { return fmt.Sprintf("may have been decided: %v", e.Why) }
func (e *Unsure) Unwrap() error { return e.Why }

// ErrBusy says that nothing was proposed: too much is on its way, or the log has to be cut first.
var ErrBusy = errors.New("the council is busy; nothing was proposed")

// Propose has a command decided, at the leader, and answers what its part answered. Errors are told apart: *NotLeader
// and ErrBusy, nothing was proposed; *Unsure, it may have been decided; *machine.Refused, the part does not take it.
func (c *Group) Propose(ctx context.Context, part, kind string, body any) (json.RawMessage, error) {
	if !c.Leading() {
		return nil, c.notLeader()
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", part, kind, err)
	}
	command, err := machine.Encode(machine.Command{Part: part, Kind: kind, At: c.Clock(), Body: raw})
	if err != nil {
		return nil, err
	}
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Join(ErrBusy, ctx.Err())
	}
	c.mu.RLock()
	full := c.weight > 2*c.o.logMost
	c.mu.RUnlock()
	if full || ctx.Err() != nil {
		<-c.slots
		return nil, errors.Join(ErrBusy, ctx.Err())
	}
	future := c.raft.Apply(command, c.o.Heartbeat)
	c.carry.wake()
	answered := make(chan error, 1)
	go func() { // ends with the decision, or when leadership is lost: the leader's lease is Heartbeat
		defer func() { <-c.slots }()
		answered <- future.Error()
	}()
	select {
	case err = <-answered:
	case <-ctx.Done():
		return nil, &Unsure{ctx.Err()}
	}
	switch {
	case err == nil:
		o := future.Response().(outcome)
		return o.answer, o.err
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return nil, c.notLeader()
	case errors.Is(err, raft.ErrEnqueueTimeout):
		return nil, ErrBusy
	}
	return nil, &Unsure{err}
}

func (c *Group) notLeader() error {
	leader, _ := c.Leader()
	if leader == c.self.Name {
		leader = "" // elected, but not yet at the end of what was decided before
	}
	return &NotLeader{leader}
}

// Clock is the council's clock here and now: what a command proposed now would carry. Two processes may differ by how
// long a command was under way.
func (c *Group) Clock() time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.clockAt + time.Since(c.clockFrom)
}

// Leader is whom this process holds to lead. One that has no place in the council doesn't know: see Ask.
func (c *Group) Leader() (view.Name, bool) {
	_, id := c.raft.LeaderWithID()
	return nameOf(id), id != ""
}

// Leading tells whether this one leads, and has applied all that was decided before it did. Where it is cut off it
// holds so for Heartbeat at most.
func (c *Group) Leading() bool {
	return c.raft.State() == raft.Leader && c.ledTerm.Load() == c.raft.CurrentTerm()
}

// Ask is whom to ask for a decision, the likeliest first: the leader; the voters; those here that hold records.
func (c *Group) Ask() []view.Name {
	var names []view.Name
	if leader, known := c.Leader(); known {
		names = append(names, leader)
	}
	names = append(names, c.Voters()...)
	c.mu.RLock()
	if c.view != nil {
		for _, m := range c.view.Members {
			if m.Here() && m.Voted {
				names = append(names, m.Name)
			}
		}
	}
	c.mu.RUnlock()
	var once []view.Name
	for _, n := range names {
		if n != c.self.Name && !slices.Contains(once, n) {
			once = append(once, n)
		}
	}
	return once
}

// Read lets the parts be read inside f, with the index of the latest command. f must be short and call nothing here.
func (c *Group) Read(f func(index uint64)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	f(c.machine.Index())
}

// Voters are those with a vote by the configuration known here, sorted; none where it has no place in it.
func (c *Group) Voters() []view.Name {
	var names []view.Name
	configuration := c.raft.GetConfiguration()
	if configuration.Error() != nil {
		return nil
	}
	for _, s := range configuration.Configuration().Servers {
		if s.Suffrage == raft.Voter {
			names = append(names, nameOf(s.ID))
		}
	}
	slices.Sort(names)
	return names
}

// Voted tells whether the folder holds a council's records, as this member's view says of it (view.Member.Voted).
func (c *Group) Voted() bool { return c.raft.LastIndex() > 0 }

// Addr is where the council listens.
func (c *Group) Addr() string { return c.stream.listener.Addr().String() }

// Traffic is how many bytes the council's connections carried here, in and out.
func (c *Group) Traffic() (in, out uint64) { return c.stream.in.Load(), c.stream.out.Load() }

func zapError(err error) zap.Field { return zap.NamedError("why", err) }

// Term is the council's term in which this one leads, or led last; it grows with each leader.
func (c *Group) Term() uint64 { return c.ledTerm.Load() }
