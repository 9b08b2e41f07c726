package plan

import (
	"encoding/json"
	"fmt"
	"time"

	"flaxcove/internal/cluster/view"
)

// Names of the replicated state and its command in the consensus group.
const (
	PartName = "failover" // name of the InForce state machine
	Kind     = "plan"     // kind of the command that proposes a plan
)

// InForce is the replicated state machine that holds the plan in force. It is pure, so that its state is the same at
// each member of the consensus group. It accepts a plan only if the plan's epoch is that of the plan in force plus 1, so
// that only one of two leaders that made a plan for the same epoch succeeds. The zero value holds a plan of epoch 0.
type InForce struct {
	plan      Plan
	decidedAt time.Duration // by the consensus group's clock
	index     uint64        // index of the command in the log
}

// StaleEpochError is the error of InForce.Apply for a plan whose Epoch does not follow that of the plan in force.
type StaleEpochError struct{ Epoch, InForce view.Epoch }

func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("plan: epoch: %d does not follow epoch %d, which is in force", e.Epoch, e.InForce)
}

// Apply puts the plan in body in force, if kind is Kind, and returns the plan's epoch as JSON. On an error, which is a
// *StaleEpochError if another plan came first, the plan in force stays.
func (f *InForce) Apply(index uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error) {
	if kind != Kind {
		return nil, fmt.Errorf("plan: command kind %q is unknown", kind)
	}
	var p Plan
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("plan: cannot decode command: %w", err)
	}
	if p.Epoch != f.plan.Epoch+1 {
		return nil, &StaleEpochError{p.Epoch, f.plan.Epoch}
	}
	if err := p.Check(); err != nil {
		return nil, err
	}
	f.plan, f.decidedAt, f.index = p, at, index
	return json.Marshal(p.Epoch)
}

// Plan returns the plan in force, whose maps and slices the caller must not modify. Its epoch is 0 until the first plan
// is accepted.
func (f *InForce) Plan() Plan { return f.plan }

// snapshot is the encoded state of an InForce.
type snapshot struct {
	Plan  Plan          `json:"plan"`
	At    time.Duration `json:"at"`
	Index uint64        `json:"index"`
}

// Snapshot returns the complete state as JSON.
func (f *InForce) Snapshot() (json.RawMessage, error) {
	return json.Marshal(snapshot{f.plan, f.decidedAt, f.index})
}

// Restore replaces the state by that of a snapshot. On an error the state stays unchanged.
func (f *InForce) Restore(body json.RawMessage) error {
	var restored snapshot
	if err := json.Unmarshal(body, &restored); err != nil {
		return fmt.Errorf("plan: cannot decode snapshot: %w", err)
	}
	if restored.Plan.Epoch > 0 {
		if err := restored.Plan.Check(); err != nil {
			return fmt.Errorf("plan: snapshot is invalid: %w", err)
		}
	}
	f.plan, f.decidedAt, f.index = restored.Plan, restored.At, restored.Index
	return nil
}
