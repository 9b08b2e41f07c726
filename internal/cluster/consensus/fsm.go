package consensus

import (
	"encoding/json"
	"io"
	"time"

	"github.com/hashicorp/raft"
)

// fsm implements the interfaces raft.FSM and raft.ConfigurationStore of the raft library for a Group.
type fsm Group

// applyResult is the machine's answer to a command.
type applyResult struct {
	answer json.RawMessage
	err    error
}

// Apply applies one committed command and returns its applyResult.
func (f *fsm) Apply(entry *raft.Log) any {
	g := (*Group)(f)
	g.mu.Lock()
	answer, err := g.machine.Apply(entry.Index, entry.Data)
	g.logBytes += len(entry.Data)
	g.advanceClock()
	logTooLarge := g.logBytes > g.options.maxLogBytes
	g.mu.Unlock()
	if logTooLarge {
		g.wake()
	}
	g.signalApplied()
	return applyResult{answer, err}
}

// advanceClock sets the group's clock to the machine's clock if it is behind that. Between commands the group's clock
// advances with local time. Group.mu is held.
func (g *Group) advanceClock() {
	now := time.Now()
	if at := g.machine.Clock(); at > g.clockBase+now.Sub(g.clockBaseTime) {
		g.clockBase, g.clockBaseTime = at, now
	}
}

// signalApplied wakes reportApplied. It never blocks.
func (g *Group) signalApplied() {
	select {
	case g.appliedSignal <- struct{}{}:
	default:
	}
}

// StoreConfiguration records a committed configuration. The raft library calls it for each one.
func (f *fsm) StoreConfiguration(index uint64, configuration raft.Configuration) {
	(*Group)(f).setConfiguration(index, configuration)
}

// setConfiguration records the servers of the configuration at index, unless a newer configuration is known.
func (g *Group) setConfiguration(index uint64, configuration raft.Configuration) {
	members := map[raft.ServerID]bool{}
	for _, s := range configuration.Servers {
		members[s.ID] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if index >= g.configuration.index {
		g.configuration = serverSet{index, members}
	}
}

// Snapshot encodes the state of all parts. The raft library applies no command during the call.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	g := (*Group)(f)
	g.mu.Lock()
	defer g.mu.Unlock()
	state, err := g.machine.Snapshot()
	if err != nil {
		return nil, err
	}
	g.logBytes = 0
	return encodedSnapshot(state), nil
}

// Restore replaces the state of all parts by that of a snapshot. It reads the snapshot into memory; the parts bound its
// size.
func (f *fsm) Restore(from io.ReadCloser) error {
	g := (*Group)(f)
	data, err := io.ReadAll(from)
	_ = from.Close()
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.signalApplied()
	defer g.mu.Unlock()
	if err := g.machine.Restore(data); err != nil {
		g.log.Error("consensus: snapshot could not be restored", zapError(err))
		return err
	}
	g.logBytes = 0
	g.advanceClock()
	return nil
}

// encodedSnapshot is an encoded snapshot, which the raft library writes to disk.
type encodedSnapshot []byte

// Persist writes the snapshot to the sink.
func (s encodedSnapshot) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(s); err != nil {
		_ = to.Cancel()
		return err
	}
	return to.Close()
}

// Release does nothing: an encodedSnapshot holds no resources.
func (encodedSnapshot) Release() {}
