package plan_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"flaxcove/internal/cluster/consensus/machine/machinetest"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
)

// storedPlan returns the plan in force after the stored commands.
func storedPlan() plan.Plan {
	return plan.Plan{
		Epoch:   2,
		TTL:     20 * time.Second,
		Regions: map[view.Zone]view.Region{"z1": "r1", "z2": "r1", "z3": "r2"},
		Routes: []plan.Route{
			{Destination: -7, From: "z1", Phase: "away", NearShare: 0.25,
				Shares: []plan.Share{{Zone: "z2", Fraction: 0.5}, {Zone: "z3", Fraction: 0.25}}, Diversions: 2, Outage: 90 * time.Second},
			{Destination: 7, From: "z1", Phase: "return", NearShare: 0.5, Shares: []plan.Share{{Zone: "z2", Fraction: 0.5}}, Step: 3, Diversions: 1},
			{Destination: 7, From: "z3", Phase: "over", NearShare: 0.75, Shares: []plan.Share{{Zone: "z1", Fraction: 0.25}},
				HomeZones: []view.Zone{"z2", "z1"}},
			{Destination: 8, From: "z2", Phase: "free", NearShare: 1},
		},
	}
}

// TestReplaysStoredPlans checks that the commands in the log of an older version are applied with the same answers and
// the same plan in force.
func TestReplaysStoredPlans(t *testing.T) {
	part := &plan.InForce{}
	machinetest.Replay(t, part)
	checkStoredPlan(t, part)
}

// TestReadsStoredPlan checks that the plan in a snapshot of an older version is restored with every field.
func TestReadsStoredPlan(t *testing.T) {
	part := &plan.InForce{}
	machinetest.Restore(t, part)
	checkStoredPlan(t, part)
}

// checkStoredPlan reports an error if the plan in force differs from storedPlan.
func checkStoredPlan(t *testing.T, part *plan.InForce) {
	t.Helper()
	if diff := cmp.Diff(storedPlan(), part.Plan()); diff != "" {
		t.Errorf("the plan in force differs from the stored one (-stored +read):\n%s", diff)
	}
}
