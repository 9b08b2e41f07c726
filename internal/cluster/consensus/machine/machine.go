// Package machine implements the replicated state machine of the consensus group. The state consists of named parts,
// and each committed command is applied by the part that it names.
//
// The machine is deterministic: the same commands at the same indexes give the same state and the same answers on every
// process. It owns the group's clock and the encoding of commands and snapshots; each part defines the meaning of its
// commands. The machine never reads a local clock, never depends on the iteration order of a map, and never ends the
// process because of a command: a malformed command, or one for an unknown part, gets a RejectedError and does not
// change any part.
//
// All processes must have the same parts, because a process without a part would reject commands that the others apply.
// Restore therefore returns an error for a snapshot with an unknown part.
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

// MaxBodyBytes is the maximum length of a command's body. A routing plan for some thousand destinations fits, and the
// log stays small (see the size limits in package consensus). Encode and Apply reject longer commands.
const MaxBodyBytes = 256 << 10

// Part is one part of the replicated state. Implementations must be deterministic, must have no side effects, and must
// limit their own size. They need no locks: the Machine's caller serialises all calls.
type Part interface {
	// Apply applies one command and returns its answer. An error means that the command was rejected and has changed
	// nothing. at is the group's clock, which never goes back. index is the log index, which increases with each
	// command, with gaps.
	Apply(index uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error)
	// Snapshot encodes the complete state. Equal states have equal encodings.
	Snapshot() (json.RawMessage, error)
	// Restore replaces the state by that of a snapshot, where "null" stands for the state of a new part. After an error
	// the state is unchanged.
	Restore(json.RawMessage) error
}

// Command is a proposal in the form that is encoded in the log.
type Command struct {
	Part string          `json:"part"`
	Kind string          `json:"kind"`
	At   time.Duration   `json:"at"` // the group's clock on the leader at the proposal
	Body json.RawMessage `json:"body,omitempty"`
}

// RejectedError is the answer to a command that its part or the machine rejected. The command has changed nothing. If
// it is proposed again it is rejected again, unless the state has changed in between.
type RejectedError struct {
	Part, Kind string
	Cause      error
}

// Error returns a text with the part, the kind of command and the cause.
func (r *RejectedError) Error() string {
	return fmt.Sprintf("part %q rejected command %q: %v", r.Part, r.Kind, r.Cause)
}

// Unwrap returns the cause.
func (r *RejectedError) Unwrap() error { return r.Cause }

// Causes of a RejectedError that come from the machine itself.
var (
	ErrMalformed   = errors.New("malformed command")
	ErrUnknownPart = errors.New("this program has no such part")
	ErrTooLong     = fmt.Errorf("the body of the command is longer than %d bytes", MaxBodyBytes)
	ErrPanicked    = errors.New("the part panicked while it applied the command")
)

// Machine holds the state of all parts and the group's clock. It is not safe for concurrent use.
type Machine struct {
	parts map[string]Part
	names []string      // of all parts, sorted; snapshots have this order
	clock time.Duration // the group's clock, see Clock
	index uint64        // log index of the latest command
}

// New returns a machine with these parts. From then on only the machine may change them.
func New(parts map[string]Part) *Machine {
	return &Machine{parts: maps.Clone(parts), names: slices.Sorted(maps.Keys(parts))}
}

// Clock returns the group's clock at the latest command: the time since the bootstrap during which the group had a
// leader. Time during which no process ran is not counted.
func (m *Machine) Clock() time.Duration { return m.clock }

// Index returns the log index of the latest command, or 0 if there is none.
func (m *Machine) Index() uint64 { return m.index }

// Encode returns the encoding of a command in the log. It returns a *RejectedError with ErrTooLong for a body longer
// than MaxBodyBytes.
func Encode(c Command) ([]byte, error) {
	if len(c.Body) > MaxBodyBytes {
		return nil, &RejectedError{c.Part, c.Kind, ErrTooLong}
	}
	return json.Marshal(c)
}

// Apply applies the command at a log index and returns the answer of its part. Any error is a *RejectedError.
func (m *Machine) Apply(index uint64, command []byte) (json.RawMessage, error) {
	m.index = index
	var c Command
	decoder := json.NewDecoder(bytes.NewReader(command))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return nil, &RejectedError{Cause: ErrMalformed}
	}
	m.clock = max(m.clock, c.At)
	part, known := m.parts[c.Part]
	switch {
	case !known:
		return nil, &RejectedError{c.Part, c.Kind, ErrUnknownPart}
	case len(c.Body) > MaxBodyBytes:
		return nil, &RejectedError{c.Part, c.Kind, ErrTooLong}
	}
	answer, err := m.applyRecovered(part, index, c)
	if err != nil {
		return nil, &RejectedError{c.Part, c.Kind, err}
	}
	return answer, nil
}

// applyRecovered applies a command to a part and turns a panic of the part into ErrPanicked. Without that, every
// process would panic at the same command after each restart, and none could ever start. Changes that the part made
// before the panic stay; they are the same on all processes, and parts validate a command before they change anything.
func (m *Machine) applyRecovered(part Part, index uint64, c Command) (answer json.RawMessage, err error) {
	defer func() {
		if recover() != nil {
			answer, err = nil, ErrPanicked
		}
	}()
	return part.Apply(index, m.clock, c.Kind, c.Body)
}

// snapshot is the encoded form of a Machine's state.
type snapshot struct {
	At    time.Duration  `json:"at"`
	Index uint64         `json:"index"`
	Parts []partSnapshot `json:"parts"` // sorted by name
}

// partSnapshot is the state of one part in a snapshot.
type partSnapshot struct {
	Name  string          `json:"name"`
	State json.RawMessage `json:"state"`
}

// Snapshot encodes the state of all parts. Equal states have equal encodings. A part that was never used (its own
// snapshot is "null") is omitted, so that an older program without that part can read the snapshot until the part is
// used.
func (m *Machine) Snapshot() ([]byte, error) {
	all := snapshot{At: m.clock, Index: m.index}
	for _, name := range m.names {
		state, err := m.parts[name].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("snapshot of part %s: %w", name, err)
		}
		if string(state) == "null" {
			continue
		}
		all.Parts = append(all.Parts, partSnapshot{name, state})
	}
	return json.Marshal(all)
}

// Restore replaces the state of all parts by that of a snapshot. After an error no part has changed. A part that is not
// in the snapshot is reset to the state of a new part. A snapshot with a part that the machine does not have is an
// error.
func (m *Machine) Restore(data []byte) error {
	var all snapshot
	if err := json.Unmarshal(data, &all); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	states := map[string]json.RawMessage{}
	for _, p := range all.Parts {
		if m.parts[p.Name] == nil {
			return fmt.Errorf("snapshot: part %s: %w", p.Name, ErrUnknownPart)
		}
		states[p.Name] = p.State
	}
	if err := m.restoreParts(states); err != nil {
		return err
	}
	m.clock, m.index = all.At, all.Index
	return nil
}

// restoreParts restores each part from its snapshot. If one part fails, the parts before it get back their old state.
func (m *Machine) restoreParts(states map[string]json.RawMessage) error {
	before := make([]json.RawMessage, len(m.names))
	for i, name := range m.names {
		var err error
		if before[i], err = m.parts[name].Snapshot(); err != nil {
			return fmt.Errorf("restore of part %s: %w", name, err)
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
			return fmt.Errorf("restore of part %s: %w", name, err)
		}
	}
	return nil
}
