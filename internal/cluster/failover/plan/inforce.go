package plan

import (
	"encoding/json"
	"fmt"
	"time"

	"flaxcove/internal/cluster/view"
)

// Names under which the consensus group knows the plan.
const (
	PartName = "failover" // of the replicated state machine
	Kind     = "plan"     // of the command that proposes a plan
)

// InForce is the replicated state machine that holds the plan in force: pure, and the same at each member of the
// consensus group. A plan is accepted only if its epoch follows the one in force, so that of two leaders that each
// made a plan only one succeeds.
type InForce struct {
	plan      Plan
	decidedAt time.Duration
	index     uint64
}

// StaleEpochError is returned for a plan that was made on another than the one in force.
type StaleEpochError struct{ Epoch, InForce view.Epoch }

func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("plan: epoch: %d does not follow %d, which is in force", e.Epoch, e.InForce)
}

// Apply puts a plan (kind "plan") in force and returns its epoch. On an error the plan in force stays.
func (f *InForce) Apply(index uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error) {
	if kind != Kind {
		return nil, fmt.Errorf("plan: kind: %q is unknown", kind)
	}
	var p Plan
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("plan: body: %w", err)
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

// Plan returns the plan in force, which the caller must not change. Its epoch is 0 until one is decided.
func (f *InForce) Plan() Plan { return f.plan }

type snapshot struct {
	Plan  Plan          `json:"plan"`
	At    time.Duration `json:"at"`
	Index uint64        `json:"index"`
}

// Snapshot encodes the complete state.
func (f *InForce) Snapshot() (json.RawMessage, error) {
	return json.Marshal(snapshot{f.plan, f.decidedAt, f.index})
}

// Restore replaces the state by that of a snapshot; on an error it stays as it was.
func (f *InForce) Restore(body json.RawMessage) error {
	var restored snapshot
	if err := json.Unmarshal(body, &restored); err != nil {
		return fmt.Errorf("plan: snapshot: %w", err)
	}
	if restored.Plan.Epoch > 0 {
		if err := restored.Plan.Check(); err != nil {
			return fmt.Errorf("plan: snapshot: %w", err)
		}
	}
	f.plan, f.decidedAt, f.index = restored.Plan, restored.At, restored.Index
	return nil
}
