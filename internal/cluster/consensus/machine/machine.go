// Package machine is the replicated state machine of the consensus group: it passes each committed command to the part
// that the command names.
//
// It is pure: the same commands at the same indexes give the same state and the same answers on every process. It owns
// the group's clock and the encoding of commands and snapshots; what a command means is up to its part. It must never
// read a clock, depend on a map's order, or end the process over a command: one that cannot be read, or that is for an
// unknown part, is answered with a RejectedError and changes nothing.
//
// All processes must have the same parts. A process that lacked one would reject commands that the others apply; a
// snapshot with an unknown part is therefore an error (see Restore), and not skipped.
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

// MaxBodyBytes bounds a command's body: a plan for some thousand destinations fits, and the log stays small (package
// consensus says how small). Longer commands are rejected before they are proposed, and in Apply.
const MaxBodyBytes = 256 << 10

// Part is one of the replicated states. Implementations are pure and deterministic, and bound their own size. One that
// rejects a command returns an error and has changed nothing.
type Part interface {
	// Apply applies one command and returns the answer to it. at is the group's clock, which never goes back; index
	// grows with each command, with gaps.
	Apply(index uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error)
	// Snapshot encodes the complete state; the same state gives the same bytes.
	Snapshot() (json.RawMessage, error)
	// Restore replaces the state by that of a snapshot; "null" stands for the state of a new part. After an error the
	// state is unchanged.
	Restore(json.RawMessage) error
}

// Command is one proposal, as it is encoded in the log.
type Command struct {
	Part string          `json:"part"`
	Kind string          `json:"kind"`
	At   time.Duration   `json:"at"` // the group's clock on the leader
	Body json.RawMessage `json:"body,omitempty"`
}

// RejectedError is the answer to a command that its part, or the machine, rejects. The command was committed and
// changed nothing: proposed again, it is rejected again unless something else changes.
type RejectedError struct {
	Part, Kind string
	Cause      error
}

// Error names the part, the kind of command and the cause.
func (r *RejectedError) Error() string {
	return fmt.Sprintf("%s refuses %s: %v", r.Part, r.Kind, r.Cause)
}

// Unwrap returns the cause.
func (r *RejectedError) Unwrap() error { return r.Cause }

// Causes for which the machine itself rejects a command.
var (
	ErrMalformed   = errors.New("the command cannot be read")
	ErrUnknownPart = errors.New("no such part")
	ErrTooLong     = fmt.Errorf("over %d bytes", MaxBodyBytes)
	ErrPanicked    = errors.New("the part failed at it")
)

// Machine is the state of all parts. It is not safe for concurrent use.
type Machine struct {
	parts map[string]Part
	names []string // sorted; all parts are visited in this order
	clock time.Duration
	index uint64
}

// New returns a machine of these parts, which nobody else may change from then on.
func New(parts map[string]Part) *Machine {
	return &Machine{parts: maps.Clone(parts), names: slices.Sorted(maps.Keys(parts))}
}

// Clock is the group's clock as of the latest command: the time since the bootstrap during which there was a leader.
// Time while no process ran is not counted.
func (m *Machine) Clock() time.Duration { return m.clock }

// Index is the log index of the latest command.
func (m *Machine) Index() uint64 { return m.index }

// Encode returns a command's encoding in the log.
func Encode(c Command) ([]byte, error) {
	if len(c.Body) > MaxBodyBytes {
		return nil, &RejectedError{c.Part, c.Kind, ErrTooLong}
	}
	return json.Marshal(c)
}

// Apply applies the command at an index and returns its part's answer. The error is always a *RejectedError.
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

// applyRecovered has a part apply a command and recovers from its panic: otherwise every process would panic at the same
// command after each restart, and none would ever come up. What the part had changed before the panic stays, the same on
// all processes; parts validate before they change anything.
func (m *Machine) applyRecovered(part Part, index uint64, c Command) (answer json.RawMessage, err error) {
	defer func() {
		if recover() != nil {
			answer, err = nil, ErrPanicked
		}
	}()
	return part.Apply(index, m.clock, c.Kind, c.Body)
}

// snapshot is the encoding of a Machine's state.
type snapshot struct {
	At    time.Duration  `json:"at"`
	Index uint64         `json:"index"`
	Parts []partSnapshot `json:"parts"` // by name
}

// partSnapshot is the state of one part in a snapshot.
type partSnapshot struct {
	Name  string          `json:"name"`
	State json.RawMessage `json:"state"`
}

// Snapshot encodes the state of all parts; the same state gives the same bytes. A part whose state is that of a new one
// ("null") is omitted, so that an older program that lacks the part can read the snapshot until the part is used.
func (m *Machine) Snapshot() ([]byte, error) {
	all := snapshot{At: m.clock, Index: m.index}
	for _, name := range m.names {
		state, err := m.parts[name].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("snapshot of %s: %w", name, err)
		}
		if string(state) == "null" {
			continue
		}
		all.Parts = append(all.Parts, partSnapshot{name, state})
	}
	return json.Marshal(all)
}

// Restore replaces the state of all parts, or after an error of none. A part that the snapshot lacks is reset; a part
// that only the snapshot has is an error.
func (m *Machine) Restore(data []byte) error {
	var all snapshot
	if err := json.Unmarshal(data, &all); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	states := map[string]json.RawMessage{}
	for _, p := range all.Parts {
		if m.parts[p.Name] == nil {
			return fmt.Errorf("snapshot: %s: %w", p.Name, ErrUnknownPart)
		}
		states[p.Name] = p.State
	}
	if err := m.restoreParts(states); err != nil {
		return err
	}
	m.clock, m.index = all.At, all.Index
	return nil
}

// restoreParts restores each part to its state. If one fails, those before it get back the state that they had.
func (m *Machine) restoreParts(states map[string]json.RawMessage) error {
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
	return nil
}
