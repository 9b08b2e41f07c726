// Package machine is what the council decides: commands in their order, answered by parts that are known by name.
//
// It is pure: the same commands at the same places give the same state and the same answers at every process. It owns
// the order, the council's clock and the form of commands and snapshots; what a command means is its part's. It must
// never read a clock, depend on a map's order, or end the process over a command: one that cannot be read, or is for
// no part that is here, is answered with a Refused and changes nothing.
//
// All processes must be given the same parts. A part that one of them lacks would be refused there and answered
// elsewhere; its snapshot is therefore refused by name (see Restore), which shows, instead of being left out.
package machine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// MaxBody bounds a command's body, in bytes: a plan for some thousand destinations fits, and the council's log stays
// small (package council says how small). Commands over it are refused before they are proposed, and here.
const MaxBody = 256 << 10

// Part is one of the things decided in common. Implementations are pure and deterministic, and keep to their own
// bounds. Whoever refuses a command returns an error and has changed nothing.
type Part interface {
	// Apply answers one command. at is the council's clock, which never goes back; index grows with each command, and
	// has gaps.
	Apply(index uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error)
	// Snapshot is the whole state; the same state gives the same bytes.
	Snapshot() (json.RawMessage, error)
	// Restore takes the state of a snapshot in place of its own; "null" stands for that of a new part. After an error
	// its own state is still there.
	Restore(json.RawMessage) error
}

// Command is one proposal, as it travels and lies in the log.
type Command struct {
	Part string          `json:"part"`
	Kind string          `json:"kind"`
	At   time.Duration   `json:"at"` // what the leader held the council's clock to be
	Body json.RawMessage `json:"body,omitempty"`
}

// Refused is the answer to a command that its part, or the machine, does not take. It was decided, and changed
// nothing: the same proposal again is refused again, as long as nothing else changes.
type Refused struct {
	Part, Kind string
	Why        error
}

func (r *Refused) Error() string { return fmt.Sprintf("%s refuses %s: %v", r.Part, r.Kind, r.Why) }
func (r *Refused) Unwrap() error { return r.Why }

// Reasons of the machine's own.
var (
	ErrUnread  = errors.New("the command cannot be read")
	ErrUnknown = errors.New("no such part")
	ErrLong    = fmt.Errorf("over %d bytes", MaxBody)
	ErrBroken  = errors.New("the part failed at it")
)

// Machine is the state. It is not safe for use by several at once.
type Machine struct {
	parts map[string]Part
	names []string // sorted: everything that visits all parts goes by it
	at    time.Duration
	index uint64
}

// New is a machine of these parts, which are its own from here on.
func New(parts map[string]Part) *Machine {
	return &Machine{parts: maps.Clone(parts), names: slices.Sorted(maps.Keys(parts))}
}

// At is the council's clock: the time since it was founded while it had a leader that proposed something, by the
// latest command. Time while no process ran is not in it.
func (m *Machine) At() time.Duration { return m.at }

// Index is that of the latest command.
func (m *Machine) Index() uint64 { return m.index }

// Encode is a command's form in the log.
func Encode(c Command) ([]byte, error) {
	if len(c.Body) > MaxBody {
		return nil, &Refused{c.Part, c.Kind, ErrLong}
	}
	return json.Marshal(c)
}

// Apply answers the command at an index. The error is always a *Refused.
func (m *Machine) Apply(index uint64, command []byte) (json.RawMessage, error) {
	m.index = index
	var c Command
	decoder := json.NewDecoder(bytes.NewReader(command))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return nil, &Refused{Why: ErrUnread}
	}
	m.at = max(m.at, c.At)
	part, known := m.parts[c.Part]
	switch {
	case !known:
		return nil, &Refused{c.Part, c.Kind, ErrUnknown}
	case len(c.Body) > MaxBody:
		return nil, &Refused{c.Part, c.Kind, ErrLong}
	}
	answer, err := m.guarded(part, index, c)
	if err != nil {
		return nil, &Refused{c.Part, c.Kind, err}
	}
	return answer, nil
}

// guarded answers for a part that panics: every process would meet the same command again after each start, and none
// would ever come up. What the part had changed by then stays, the same at each; parts check before they change.
func (m *Machine) guarded(part Part, index uint64, c Command) (answer json.RawMessage, err error) {
	defer func() {
		if recover() != nil {
			answer, err = nil, ErrBroken
		}
	}()
	return part.Apply(index, m.at, c.Kind, c.Body)
}

type snapshot struct {
	At    time.Duration   `json:"at"`
	Index uint64          `json:"index"`
	Parts []partsSnapshot `json:"parts"` // by name
}

type partsSnapshot struct {
	Name  string          `json:"name"`
	State json.RawMessage `json:"state"`
}

// Snapshot is the state of all parts; the same state gives the same bytes. A part that is as new ("null") is left out: a
// process of an older program that lacks the part can read it until the part is used.
func (m *Machine) Snapshot() ([]byte, error) {
	all := snapshot{At: m.at, Index: m.index}
	for _, name := range m.names {
		state, err := m.parts[name].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("snapshot of %s: %w", name, err)
		}
		if string(state) == "null" {
			continue
		}
		all.Parts = append(all.Parts, partsSnapshot{name, state})
	}
	return json.Marshal(all)
}

// Restore takes the state of a snapshot, of all parts or of none. A part that the snapshot lacks begins anew; one that
// is not here is an error.
func (m *Machine) Restore(data []byte) error {
	var all snapshot
	if err := json.Unmarshal(data, &all); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	states := map[string]json.RawMessage{}
	for _, p := range all.Parts {
		if m.parts[p.Name] == nil {
			return fmt.Errorf("snapshot: %s: %w", p.Name, ErrUnknown)
		}
		states[p.Name] = p.State
	}
	before := make([]json.RawMessage, len(m.names))
	for i, name := range m.names {
		var err error
		if before[i], err = m.parts[name].Snapshot(); err != nil {
			return fmt.Errorf("restore of %s: %w", name, err)
		}
	}
	for i, name := range m.names {
		state := states[name]
		if len(state) == 0 {
			state = json.RawMessage("null")
		}
		if err := m.parts[name].Restore(state); err != nil {
			for j := range i {
				err = errors.Join(err, m.parts[m.names[j]].Restore(before[j]))
			}
			return fmt.Errorf("restore of %s: %w", name, err)
		}
	}
	m.at, m.index = all.At, all.Index
	return nil
}
