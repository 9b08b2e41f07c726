package plan

import (
	"encoding/json"
	"fmt"
	"time"

	"flaxcove/internal/cluster/view"
)

// Kind is how a plan is proposed to the council; PartName is where the part stands there.
const (
	PartName = "failover"
	Kind     = "plan"
)

// InForce is the council's part that keeps the plan: pure and the same at each member. A plan is taken only if its
// epoch follows the one in force, so that two leaders that each made one cannot both have it decided.
type InForce struct {
	plan  Plan
	at    time.Duration
	index uint64
}

// Stale tells that a plan was made on another than the one in force.
type Stale struct{ Epoch, InForce view.Epoch }

func (e *Stale) Error() string {
	return fmt.Sprintf("plan: epoch: %d does not follow %d, which is in force", e.Epoch, e.InForce)
}

// Apply takes a plan (kind "plan") and answers its epoch. Anything else leaves what is in force.
func (f *InForce) Apply(index uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error) {
	if kind != Kind {
		return nil, fmt.Errorf("plan: kind: %q is unknown", kind)
	}
	var p Plan
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("plan: body: %w", err)
	}
	if p.Epoch != f.plan.Epoch+1 {
		return nil, &Stale{p.Epoch, f.plan.Epoch}
	}
	if err := p.Check(); err != nil {
		return nil, err
	}
	f.plan, f.at, f.index = p, at, index
	return json.Marshal(p.Epoch)
}

// Plan is what is in force; its epoch is 0 while nothing was decided. It is not to be changed.
func (f *InForce) Plan() Plan { return f.plan }

type kept struct {
	Plan  Plan          `json:"plan"`
	At    time.Duration `json:"at"`
	Index uint64        `json:"index"`
}

// Snapshot is all of it.
func (f *InForce) Snapshot() (json.RawMessage, error) {
	return json.Marshal(kept{f.plan, f.at, f.index})
}

// Restore takes a snapshot's place; on an error what stood stays.
func (f *InForce) Restore(body json.RawMessage) error {
	var k kept
	if err := json.Unmarshal(body, &k); err != nil {
		return fmt.Errorf("plan: snapshot: %w", err)
	}
	if k.Plan.Epoch > 0 {
		if err := k.Plan.Check(); err != nil {
			return fmt.Errorf("plan: snapshot: %w", err)
		}
	}
	f.plan, f.at, f.index = k.Plan, k.At, k.Index
	return nil
}
