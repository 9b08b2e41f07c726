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

// NotLeaderError is returned by Propose on a server that does not lead. Nothing was proposed. Leader is the name of the
// leader, or "" if it is not known here; Group.LeaderCandidates then lists the processes to ask.
type NotLeaderError struct{ Leader view.Name }

// Error returns a text that names the leader, as far as it is known.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("consensus: this server is not the leader, which is %q", e.Leader)
}

// UncertainError is returned by Propose when the outcome of a proposal is unknown: there was no quorum in time, or the
// leader changed. The command may have been committed, or may still be. A command that callers retry must carry an ID
// by which its part recognises duplicates.
type UncertainError struct{ Cause error }

// Error returns a text that contains the cause.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("consensus: the command may have been committed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// ErrBusy is returned by Propose when too many proposals are in flight or the log has to be truncated first. Nothing
// was proposed, so the caller may retry.
var ErrBusy = errors.New("consensus: too many proposals in flight, or the log is full; nothing was proposed")

// Propose proposes a command, waits until it is committed and applied, and returns the answer of its part. It works on
// the leader only. body is encoded as JSON.
//
// After a *NotLeaderError or ErrBusy nothing was proposed. After an *UncertainError the command may have been
// committed. After a *machine.RejectedError the command was rejected and has changed nothing.
func (g *Group) Propose(ctx context.Context, part, kind string, body any) (json.RawMessage, error) {
	if !g.Leading() {
		return nil, g.notLeaderError()
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("consensus: part %q: cannot encode command %q: %w", part, kind, err)
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

// reserveProposal acquires one of the proposal slots, which applyCommand releases. It returns ErrBusy if no slot
// becomes free before ctx ends, or if the log has to be truncated first.
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

// applyCommand appends a command to the log and waits until it is applied here or ctx ends.
func (g *Group) applyCommand(ctx context.Context, command []byte) (json.RawMessage, error) {
	future := g.raft.Apply(command, g.options.HeartbeatTimeout)
	g.transport.notifyProposed()
	applied := make(chan error, 1)
	go func() { // ends once the command is applied or leadership is lost, at the latest when the lease (HeartbeatTimeout) expires
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

// notLeaderError returns a NotLeaderError, which names the leader if that is known to be another server.
func (g *Group) notLeaderError() error {
	leader, _ := g.Leader()
	if leader == g.self.Name {
		leader = "" // this server is elected, but has not yet applied all earlier entries
	}
	return &NotLeaderError{leader}
}

// Clock returns the group's clock on this process, which is the time that a command proposed now would carry (see
// machine.Machine.Clock). The clocks of two processes differ by the time that the latest command took to reach them.
func (g *Group) Clock() time.Duration {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.clockBase + time.Since(g.clockBaseTime)
}

// Leader returns the name of the leader and reports whether it is known here. A process that is not a server of the
// group does not know the leader; LeaderCandidates lists the processes to ask.
func (g *Group) Leader() (view.Name, bool) {
	_, id := g.raft.LeaderWithID()
	return nameOf(id), id != ""
}

// Leading reports whether this server leads and has applied all earlier entries. After a partition from the other
// voters it may return true for up to Timing.HeartbeatTimeout although another server leads.
func (g *Group) Leading() bool {
	return g.raft.State() == raft.Leader && g.leadingTerm.Load() == g.raft.CurrentTerm()
}

// LeaderCandidates returns the processes that may lead, the likeliest first: the leader if it is known, the voters, and
// then present members with raft records. The list has no duplicates and does not contain this process.
func (g *Group) LeaderCandidates() []view.Name {
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

// Read calls f with the log index of the latest applied command. While f runs no command is applied, so f may read the
// parts. f must be short and must not call methods of the Group.
func (g *Group) Read(f func(index uint64)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	f(g.machine.Index())
}

// Voters returns the sorted names of the voters in the configuration known here. It returns none if this process has
// received no configuration.
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

// HasRecords reports whether the folder holds raft records of a group. It is published as view.Member.HasRecords.
func (g *Group) HasRecords() bool { return g.raft.LastIndex() > 0 }

// Addr returns the address on which the group listens.
func (g *Group) Addr() string { return g.stream.listener.Addr().String() }

// Traffic returns the numbers of bytes received and sent on raft connections since Start.
func (g *Group) Traffic() (in, out uint64) { return g.stream.bytesIn.Load(), g.stream.bytesOut.Load() }

// zapError returns the log field for an error, whose key is "why".
func zapError(err error) zap.Field { return zap.NamedError("why", err) }

// Term returns the latest raft term in which this server led, or 0 if it has not led since Start. Each new leader has a
// higher term.
func (g *Group) Term() uint64 { return g.leadingTerm.Load() }
