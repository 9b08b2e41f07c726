package consensus

import (
	"encoding/json"
	"io"
	"time"

	"github.com/hashicorp/raft"
)

// fsm is the Group's side of the library's interfaces raft.FSM and raft.ConfigurationStore.
type fsm Group

// applyResult is what the machine answered to a command.
type applyResult struct {
	answer json.RawMessage
	err    error
}

// Apply applies one committed command.
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

// advanceClock sets the clock forward to the machine's where it is behind; between commands it runs by local time.
func (g *Group) advanceClock() {
	now := time.Now()
	if at := g.machine.Clock(); at > g.clockBase+now.Sub(g.clockBaseTime) {
		g.clockBase, g.clockBaseTime = at, now
	}
}

// signalApplied wakes reportApplied.
func (g *Group) signalApplied() {
	select {
	case g.appliedSignal <- struct{}{}:
	default:
	}
}

// StoreConfiguration is called by the library with each committed configuration.
func (f *fsm) StoreConfiguration(index uint64, configuration raft.Configuration) {
	(*Group)(f).setConfiguration(index, configuration)
}

// setConfiguration records the servers of a configuration, unless a newer one is known.
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

// Snapshot encodes the state of all parts. The library applies nothing meanwhile.
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

// Restore replaces the state by a snapshot's, whose size the parts bound.
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
		g.log.Error("consensus: snapshot not restored", zapError(err))
		return err
	}
	g.logBytes = 0
	g.advanceClock()
	return nil
}

// encodedSnapshot is a snapshot that the library writes to disk.
type encodedSnapshot []byte

// Persist writes the snapshot.
func (s encodedSnapshot) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(s); err != nil {
		_ = to.Cancel()
		return err
	}
	return to.Close()
}

// Release has nothing to release.
func (encodedSnapshot) Release() {}
