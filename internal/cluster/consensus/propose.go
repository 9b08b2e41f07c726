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

// NotLeaderError says that nothing was proposed, and who leads; "" where that is not known (see Ask).
type NotLeaderError struct{ Leader view.Name }

// Error names the leader.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the council's leader, which is %q", e.Leader)
}

// UncertainError says that a proposal may have been committed or may yet be: there was no quorum in time, or the leader
// changed. A command that is to be retried must carry an id by which its part recognises it.
type UncertainError struct{ Cause error }

// Error tells the cause.
func (e *UncertainError) Error() string { return fmt.Sprintf("may have been decided: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// ErrBusy says that nothing was proposed: too many proposals are in flight, or the log has to be truncated first.
var ErrBusy = errors.New("the council is busy; nothing was proposed")

// Propose has a command committed, on the leader only, and returns its part's answer. Callers distinguish the errors:
// with *NotLeaderError and ErrBusy nothing was proposed; with *UncertainError the command may have been committed; with
// *machine.RejectedError its part rejected it.
func (g *Group) Propose(ctx context.Context, part, kind string, body any) (json.RawMessage, error) {
	if !g.Leading() {
		return nil, g.notLeaderError()
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", part, kind, err)
	}
	command, err := machine.Encode(machine.Command{Part: part, Kind: kind, At: g.Clock(), Body: raw})
	if err != nil {
		return nil, err
	}
	if err := g.reserveProposal(ctx); err != nil {
		return nil, err
	}
	return g.applyCommand(ctx, command)
}

// reserveProposal takes one of the proposal slots, which applyCommand releases. It returns ErrBusy where there is none
// before ctx ends, or the log has to be truncated first.
func (g *Group) reserveProposal(ctx context.Context) error {
	select {
	case g.proposalSlots <- struct{}{}:
	case <-ctx.Done():
		return errors.Join(ErrBusy, ctx.Err())
	}
	g.mu.RLock()
	full := g.logBytes > 2*g.options.maxLogBytes
	g.mu.RUnlock()
	if full || ctx.Err() != nil {
		<-g.proposalSlots
		return errors.Join(ErrBusy, ctx.Err())
	}
	return nil
}

// applyCommand appends a command to the log and waits until it was applied here, or ctx ends.
func (g *Group) applyCommand(ctx context.Context, command []byte) (json.RawMessage, error) {
	future := g.raft.Apply(command, g.options.HeartbeatTimeout)
	g.transport.notifyProposed()
	applied := make(chan error, 1)
	go func() { // ends once the command is applied or leadership is lost, as the lease is HeartbeatTimeout
		defer func() { <-g.proposalSlots }()
		applied <- future.Error()
	}()
	var err error
	select {
	case err = <-applied:
	case <-ctx.Done():
		return nil, &UncertainError{ctx.Err()}
	}
	switch {
	case err == nil:
		result := future.Response().(applyResult)
		return result.answer, result.err
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return nil, g.notLeaderError()
	case errors.Is(err, raft.ErrEnqueueTimeout):
		return nil, ErrBusy
	}
	return nil, &UncertainError{err}
}

// notLeaderError names the leader, as far as it is another server.
func (g *Group) notLeaderError() error {
	leader, _ := g.Leader()
	if leader == g.self.Name {
		leader = "" // elected, but it has not yet applied all earlier entries
	}
	return &NotLeaderError{leader}
}

// Clock is the group's clock as this process has it, which a command proposed now would carry. Two processes may differ
// by the time that a command took to reach one of them.
func (g *Group) Clock() time.Duration {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.clockBase + time.Since(g.clockBaseTime)
}

// Leader is the leader as far as this process knows, and whether it knows of one. A process that is no server of the
// group does not: see Ask.
func (g *Group) Leader() (view.Name, bool) {
	_, id := g.raft.LeaderWithID()
	return nameOf(id), id != ""
}

// Leading reports whether this server leads and has applied all earlier entries. One that is partitioned from the others
// may believe so for HeartbeatTimeout at most.
func (g *Group) Leading() bool {
	return g.raft.State() == raft.Leader && g.leadingTerm.Load() == g.raft.CurrentTerm()
}

// Ask lists the processes that may lead, the likeliest first: the leader; the voters; members with records.
func (g *Group) Ask() []view.Name {
	var names []view.Name
	if leader, known := g.Leader(); known {
		names = append(names, leader)
	}
	names = append(names, g.Voters()...)
	g.mu.RLock()
	if g.view != nil {
		for _, m := range g.view.Members {
			if m.Present() && m.HasRecords {
				names = append(names, m.Name)
			}
		}
	}
	g.mu.RUnlock()
	var once []view.Name
	for _, n := range names {
		if n != g.self.Name && !slices.Contains(once, n) {
			once = append(once, n)
		}
	}
	return once
}

// Read calls f with the index of the latest command. Parts may be read inside f, which must be short and must not call
// methods of the Group.
func (g *Group) Read(f func(index uint64)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	f(g.machine.Index())
}

// Voters are the names of the voters in the configuration known here, sorted; none on a server outside it.
func (g *Group) Voters() []view.Name {
	var names []view.Name
	configuration := g.raft.GetConfiguration()
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

// HasRecords reports whether the folder holds records of a group, which is published as view.Member.HasRecords.
func (g *Group) HasRecords() bool { return g.raft.LastIndex() > 0 }

// Addr is the address on which the group listens.
func (g *Group) Addr() string { return g.stream.listener.Addr().String() }

// Traffic is the number of bytes received and sent on raft connections.
func (g *Group) Traffic() (in, out uint64) { return g.stream.bytesIn.Load(), g.stream.bytesOut.Load() }

func zapError(err error) zap.Field { return zap.NamedError("why", err) }

// Term is the latest term in which this server led; it grows with each leader.
func (g *Group) Term() uint64 { return g.leadingTerm.Load() }
