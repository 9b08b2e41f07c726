package consensus

import (
	"encoding/json"
	"io"
	"time"

	"github.com/hashicorp/raft"
)

// fsm is the council as the library sees it: what applies commands, and tells its state.
type fsm Group

// outcome is what applying a command answered.
type outcome struct {
	answer json.RawMessage
	err    error
}

// Apply answers one command.
func (f *fsm) Apply(l *raft.Log) any {
	c := (*Group)(f)
	c.mu.Lock()
	answer, err := c.machine.Apply(l.Index, l.Data)
	c.weight += len(l.Data)
	c.setClock()
	heavy := c.weight > c.o.logMost
	c.mu.Unlock()
	if heavy {
		c.wakeUp()
	}
	c.news()
	return outcome{answer, err}
}

// setClock puts the clock forward to the machine's where it is behind; between commands it runs on by itself.
func (c *Group) setClock() {
	now := time.Now()
	if at := c.machine.At(); at > c.clockAt+now.Sub(c.clockFrom) {
		c.clockAt, c.clockFrom = at, now
	}
}

func (c *Group) news() {
	select {
	case c.applied <- struct{}{}:
	default:
	}
}

// StoreConfiguration hears which servers were decided.
func (f *fsm) StoreConfiguration(index uint64, configuration raft.Configuration) {
	(*Group)(f).setPlaced(index, configuration)
}

func (c *Group) setPlaced(index uint64, configuration raft.Configuration) {
	in := map[raft.ServerID]bool{}
	for _, s := range configuration.Servers {
		in[s.ID] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if index >= c.decided.index {
		c.decided = placed{index, in}
	}
}

// Snapshot takes the state while nothing is applied.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	c := (*Group)(f)
	c.mu.Lock()
	defer c.mu.Unlock()
	state, err := c.machine.Snapshot()
	if err != nil {
		return nil, err
	}
	c.weight = 0
	return frozen(state), nil
}

// Restore takes a snapshot's state, of which the parts bound the size.
func (f *fsm) Restore(from io.ReadCloser) error {
	c := (*Group)(f)
	data, err := io.ReadAll(from)
	_ = from.Close()
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.news()
	defer c.mu.Unlock()
	if err := c.machine.Restore(data); err != nil {
		c.log.Error("council: a snapshot was not taken", zapError(err))
		return err
	}
	c.weight = 0
	c.setClock()
	return nil
}

// frozen is a snapshot on its way to the disk.
type frozen []byte

func (s frozen) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(s); err != nil {
		_ = to.Cancel()
		return err
	}
	return to.Close()
}

func (frozen) Release() {}
