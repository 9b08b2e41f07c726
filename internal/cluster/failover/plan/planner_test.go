package plan_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
)

// encode returns v as JSON.
func encode(v any) (json.RawMessage, error) { return json.Marshal(v) }

// must returns v, and panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

const second = time.Second

// TestZoneFailsAndReturns checks that the messages of a failing zone go to its own region first, then to others, and
// return in ascending steps that do not exceed the capacity of endpoints in slow start.
func TestZoneFailsAndReturns(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	if f.leftZone > 0.02*f.totalCalls {
		t.Fatalf("%.0f of %.0f calls leave their zone without a failure", f.leftZone, f.totalCalls)
	}
	f.working["a1"] = 0
	f.until("diverted", 2*second, func() bool { return f.maxShare("a1", "a2")+f.maxShare("a1", "b1")+f.maxShare("a1", "b2") > 0.8 })
	if f.maxShare("a1", "a2") < 0.5 { // the own region comes first and has capacity for 35 of 60 calls per second
		t.Errorf("only a share of %.2f goes to the own region", f.maxShare("a1", "a2"))
	}
	f.run(12 * second)
	f.working["a1"] = 1
	healthySince := f.now
	last := 0.0
	f.until("returned", 15*second, func() bool {
		share := f.distribution(1, "a1")["a1"]
		if warmed := 0.2 + 0.8*(f.now-healthySince).Seconds()/10; 60*share > 100*min(1, warmed)+1 {
			t.Errorf("a share of %.2f of 60 calls per second goes to endpoints in slow start, with a fraction of %.2f of their capacity of 100", share, warmed)
		}
		if share < last {
			t.Errorf("the near share decreases during a return, from %.2f to %.2f", last, share)
		}
		last = share
		return f.allNear()
	})
	f.expectNoOverload()
	if len(f.planChanges) > 6 {
		t.Errorf("%d plan changes for one outage", len(f.planChanges))
	}
}

// TestHalfOfAZoneFails checks that a zone that loses half of its capacity, and whose limit is not known, keeps the share
// of messages that it has capacity for.
func TestHalfOfAZoneFails(t *testing.T) {
	f := newFleet(t)
	f.limitsKnown = false
	f.run(10 * second)
	f.working["a1"] = 0.5 // capacity for 50 of 60 calls per second
	f.run(10 * second)
	if got := f.maxShare("a1", "a1"); got < 0.6 || got > 0.95 {
		t.Errorf("a share of %.2f goes near, which has capacity for 0.83", got)
	}
	f.working["a1"] = 1
	f.until("returned", 40*second, f.allNear)
	f.expectNoOverload()
}

// TestRegionFailsWhileAnotherIsDegraded checks that only as many messages leave a failing region as a partly degraded
// region has capacity for.
func TestRegionFailsWhileAnotherIsDegraded(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.working["b1"] = 0.65 // capacity for 65 calls per second, of which 60 are its own
	f.run(6 * second)
	f.capacity["b1"], f.working["b1"] = 65, 1 // by now the endpoints report the lower limit
	f.run(3 * second)
	f.working["a1"], f.working["a2"] = 0, 0
	f.run(8 * second)
	if f.maxShare("a1", "b2")+f.maxShare("a2", "b2") < 0.4 {
		t.Errorf("too few messages go to the zone with spare capacity: %v", f.inForce.Plan().Routes)
	}
	f.expectNoOverload() // 120 calls per second lost their home, and there is capacity for less than 40; the rest stays
	if near := f.distribution(1, "a1")["a1"] + f.distribution(1, "a2")["a2"]; near < 1 {
		t.Errorf("the near shares of two zones add up to %.2f; more was diverted than there is capacity for", near)
	}
}

// TestTwoZonesOneAfterTheOther checks that both zones of a region are diverted when the second fails shortly after the
// first, whose messages it received.
func TestTwoZonesOneAfterTheOther(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.working["a1"] = 0
	f.until("first zone diverted", 2*second, f.awayFrom("a1"))
	f.run(2 * second)
	f.working["a2"] = 0
	f.until("second zone diverted", 3*second, func() bool { return f.maxShare("a2", "b1")+f.maxShare("a2", "b2") > 0.1 && f.maxShare("a1", "a2") == 0 })
	f.run(5 * second)
	f.expectNoOverload()
	f.working["a1"], f.working["a2"] = 1, 1
	f.until("both zones returned", 25*second, f.allNear)
}

// TestReceiverFails checks that diverted messages move on when the zone that receives them fails too.
func TestReceiverFails(t *testing.T) {
	f := newFleet(t)
	for _, z := range f.zones {
		f.rate[z] = 30
	}
	f.run(10 * second)
	f.working["a1"] = 0
	f.until("diverted", 2*second, func() bool { return f.maxShare("a1", "a2") > 0.9 })
	f.working["a2"] = 0
	f.until("diverted again", 3*second, func() bool { return f.maxShare("a1", "a2") == 0 && f.maxShare("a1", "b1")+f.maxShare("a1", "b2") > 0.9 })
}

// TestNothingMovesWhileAllFail checks that all routes are unrestricted and that no further plan is made while all zones
// fail.
func TestNothingMovesWhileAllFail(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	for _, z := range f.zones {
		f.working[z] = 0
	}
	f.until("unrestricted", 4*second, func() bool {
		p := f.inForce.Plan()
		for _, r := range p.Routes {
			if r.Phase != plan.Unrestricted || len(r.Shares) > 0 {
				return false
			}
		}
		return len(p.Routes) == 12
	})
	n := len(f.planChanges)
	f.run(20 * second)
	if len(f.planChanges) > n {
		t.Errorf("%d further plans while all zones fail", len(f.planChanges)-n)
	}
	for _, z := range f.zones {
		f.working[z] = 1
	}
	f.until("returned", 30*second, f.allNear)
}

// TestFlappingLink checks that a link that alternates between failing and working makes few plan changes.
func TestFlappingLink(t *testing.T) {
	for _, interval := range []time.Duration{2 * second, 5 * second, 9 * second} {
		f := newFleet(t)
		f.run(10 * second)
		for range int(time.Minute / interval / 2) {
			f.brokenLinks[[2]view.Zone{"a1", "a1"}] = true
			f.run(interval)
			f.brokenLinks[[2]view.Zone{"a1", "a1"}] = false
			f.run(interval)
		}
		// Longer failures are outages, after which the route returns in steps, each with a plan.
		maxChanges := map[time.Duration]int{2 * second: 3, 5 * second: 5, 9 * second: 9}[interval]
		if f.expectNoOverload(); len(f.planChanges) > maxChanges {
			t.Errorf("flapping every %v: %d plan changes in a minute, want at most %d: at %v", interval, len(f.planChanges), maxChanges, f.planChanges)
		}
		t.Log(interval, f.planChanges)
	}
}

// TestOneWayLinkFailureMovesOneZone checks that the failure of the link from one zone to another diverts only the
// messages from the first zone.
func TestOneWayLinkFailureMovesOneZone(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.working["a1"] = 0
	f.until("diverted", 2*second, f.awayFrom("a1"))
	f.brokenLinks[[2]view.Zone{"a1", "a2"}] = true // a2 answers all zones but a1
	f.until("diverted from a2", 3*second, func() bool { return f.maxShare("a1", "a2") == 0 })
	f.run(5 * second)
	if f.maxShare("a2", "a2") != 1 {
		t.Errorf("messages from a2 were diverted: %v", f.inForce.Plan().Routes)
	}
}

// TestMissingReportsMoveNothing checks that the loss of all reports of a region causes no plan, and that the other region
// is still diverted when it fails.
func TestMissingReportsMoveNothing(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.unreportedZones["b1"], f.unreportedZones["b2"] = true, true // cut off, so that their last reports become too old
	f.run(60 * second)
	if n := len(f.planChanges); n > 0 {
		t.Errorf("%d plan changes because of missing reports alone", n)
	}
	f.working["a1"] = 0
	f.run(4 * second)
	if f.maxShare("a1", "a2") < 0.3 {
		t.Error("a failing zone of the region with the leader is not diverted")
	}
}

// TestNewLeaderContinues checks that a new leader continues from the plan in force and does not undo diversions.
func TestNewLeaderContinues(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.working["a1"] = 0
	f.until("diverted", 2*second, f.awayFrom("a1"))
	f.now += time.Hour // the new leader's clock differs, so that all earlier reports are too old
	f.planner = plan.New(plan.DefaultSettings())
	f.planner.SetPlanInForce(f.now, f.inForce.Plan())
	n := len(f.planChanges)
	f.run(8 * second)
	if f.maxShare("a1", "a1") > 0.5 || len(f.planChanges) > n+1 {
		t.Errorf("the new leader made %d plans, in force is %v", len(f.planChanges)-n, f.inForce.Plan().Routes)
	}
	f.working["a1"] = 1
	f.until("returned", 20*second, f.allNear)
}

// TestEpochsNeverFork checks that InForce rejects a second plan of the same epoch and invalid plans, and that invalid
// snapshots leave the state unchanged.
func TestEpochsNeverFork(t *testing.T) {
	var f plan.InForce
	regions := map[view.Zone]view.Region{"a": "A"}
	p := plan.Plan{Epoch: 1, TTL: second, Regions: regions}
	if _, err := f.Apply(1, 0, plan.Kind, must(encode(p))); err != nil {
		t.Fatal(err)
	}
	var stale *plan.StaleEpochError
	if _, err := f.Apply(2, 0, plan.Kind, must(encode(p))); !errors.As(err, &stale) || stale.InForce != 1 {
		t.Errorf("a second plan of the same epoch returns %v, want a StaleEpochError", err)
	}
	invalid := plan.Plan{Epoch: 2, TTL: second, Routes: []plan.Route{{Phase: plan.Diverted, NearShare: 0.5}}}
	if _, err := f.Apply(3, 0, plan.Kind, must(encode(invalid))); err == nil || f.Plan().Epoch != 1 {
		t.Errorf("a route whose shares add up to 0.5 returns %v, epoch %d is in force", err, f.Plan().Epoch)
	}
	var restored plan.InForce
	if err := restored.Restore(must(f.Snapshot())); err != nil || restored.Plan().Epoch != 1 || restored.Plan().Regions["a"] != "A" {
		t.Errorf("restored %+v, error %v", restored.Plan(), err)
	}
	if restored.Restore(json.RawMessage(`{"plan":{"epoch":3}}`)) == nil || restored.Plan().Epoch != 1 {
		t.Error("an invalid snapshot was restored")
	}
}

// TestTwoPlannersDecideEachEpochOnce checks that, while two planners both act as leader, exactly one plan for each epoch
// is accepted, and that both planners continue from it.
func TestTwoPlannersDecideEachEpochOnce(t *testing.T) {
	f := newFleet(t)
	other := plan.New(plan.DefaultSettings())
	accepted := map[view.Epoch]int{}
	for i := range 60 {
		if f.working["a1"] = 1; i > 20 {
			f.working["a1"] = 0
		}
		f.planningDisabled = true
		f.step()
		health := assess.CombineReports(f.reportTable.Fresh(f.now), assess.DefaultBounds())
		for _, p := range []*plan.Planner{f.planner, other} {
			p.SetRegions(f.regions)
			p.UpdateHealth(f.now, health)
			next, found := p.Step(f.now)
			if !found {
				continue
			}
			if _, err := f.inForce.Apply(uint64(i), f.now, plan.Kind, must(encode(next))); err == nil {
				accepted[next.Epoch]++
			} else if stale := (*plan.StaleEpochError)(nil); !errors.As(err, &stale) {
				t.Fatal(err)
			}
			p.SetPlanInForce(f.now, f.inForce.Plan())
		}
	}
	for e := view.Epoch(1); e <= f.inForce.Plan().Epoch; e++ {
		if accepted[e] != 1 {
			t.Errorf("%d plans of epoch %d were accepted, want 1", accepted[e], e)
		}
	}
	if n := len(accepted); n < 2 || n > 6 || !f.awayFrom("a1")() {
		t.Errorf("%d epochs, want 2 to 6 and zone a1 diverted: %v", n, f.inForce.Plan().Routes)
	}
}

// TestNewLeaderDuringOutage starts a new leader that gets no reports from one failing zone, and from another zone only
// failures. The first zone must stay diverted, and the second must be diverted although only the calls sent show its
// demand.
func TestNewLeaderDuringOutage(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.working["a1"] = 0
	f.until("first zone diverted", 2*second, f.awayFrom("a1"))
	f.run(3 * second)
	f.unreportedZones["a1"], f.working["b1"] = true, 0
	for _, from := range f.zones {
		f.reports[from] = nil
	}
	f.reportTable = assess.NewReportTable(assess.DefaultBounds())
	f.planner = plan.New(plan.DefaultSettings())
	f.planner.SetPlanInForce(f.now, f.inForce.Plan())
	f.until("second zone diverted", 3*second, func() bool { return f.maxShare("b1", "a2")+f.maxShare("b1", "b2") > 0.2 })
	f.run(6 * second)
	if !f.awayFrom("a1")() {
		t.Errorf("a zone without reports is taken for healthy: %v", f.inForce.Plan().Routes)
	}
}
