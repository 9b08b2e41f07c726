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

func encode(v any) (json.RawMessage, error) { return json.Marshal(v) }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

const second = time.Second

func TestZoneFailsAndReturns(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	if f.leftZone > 0.02*f.totalCalls {
		t.Fatalf("%.0f of %.0f leave their zone while all is well", f.leftZone, f.totalCalls)
	}
	f.working["a1"] = 0
	f.until("moved", 2*second, func() bool { return f.maxShare("a1", "a2")+f.maxShare("a1", "b1")+f.maxShare("a1", "b2") > 0.8 })
	if f.maxShare("a1", "a2") < 0.5 { // the own region has capacity for 35 of 60 and comes first
		t.Errorf("only %.2f to the own region", f.maxShare("a1", "a2"))
	}
	f.run(12 * second)
	f.working["a1"] = 1
	well := f.now
	last := 0.0
	f.until("back", 15*second, func() bool {
		share := f.distribution(1, "a1")["a1"]
		if warm := 0.2 + 0.8*(f.now-well).Seconds()/10; 60*share > 100*min(1, warm)+1 {
			t.Errorf("%.2f of 60 calls a second go to what can do %.2f of 100", share, warm)
		}
		if share < last {
			t.Errorf("a step back without a reason: %.2f after %.2f", share, last)
		}
		last = share
		return f.allNear()
	})
	f.expectNoOverload()
	if len(f.planChanges) > 6 {
		t.Errorf("%d plan changes for one outage", len(f.planChanges))
	}
}

func TestHalfOfAZoneFails(t *testing.T) {
	f := newFleet(t)
	f.limitsKnown = false
	f.run(10 * second)
	f.working["a1"] = 0.5 // 50 of 60
	f.run(10 * second)
	if got := f.maxShare("a1", "a1"); got < 0.6 || got > 0.95 {
		t.Errorf("%.2f stay near, of which there is capacity for 0.83", got)
	}
	f.working["a1"] = 1
	f.until("back", 40*second, f.allNear)
	f.expectNoOverload()
}

func TestRegionFailsWhileAnotherIsDegraded(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.working["b1"] = 0.65 // 65 of 100, 60 of its own
	f.run(6 * second)
	f.capacity["b1"], f.working["b1"] = 65, 1 // as it reports by then
	f.run(3 * second)
	f.working["a1"], f.working["a2"] = 0, 0
	f.run(8 * second)
	if f.maxShare("a1", "b2")+f.maxShare("a2", "b2") < 0.4 {
		t.Errorf("little goes to where there is capacity: %v", f.inForce.Plan().Routes)
	}
	f.expectNoOverload() // 120 a second lost their home and there is capacity for under 40: the rest stays
	if near := f.distribution(1, "a1")["a1"] + f.distribution(1, "a2")["a2"]; near < 1 {
		t.Errorf("more was diverted than there is capacity for: %.2f of 2 stay", near)
	}
}

func TestTwoZonesOneAfterTheOther(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.working["a1"] = 0
	f.until("first", 2*second, f.awayFrom("a1"))
	f.run(2 * second)
	f.working["a2"] = 0
	f.until("second", 3*second, func() bool { return f.maxShare("a2", "b1")+f.maxShare("a2", "b2") > 0.1 && f.maxShare("a1", "a2") == 0 })
	f.run(5 * second)
	f.expectNoOverload()
	f.working["a1"], f.working["a2"] = 1, 1
	f.until("both back", 25*second, f.allNear)
}

func TestReceiverFails(t *testing.T) {
	f := newFleet(t)
	for _, z := range f.zones {
		f.rate[z] = 30
	}
	f.run(10 * second)
	f.working["a1"] = 0
	f.until("moved", 2*second, func() bool { return f.maxShare("a1", "a2") > 0.9 })
	f.working["a2"] = 0
	f.until("moved on", 3*second, func() bool { return f.maxShare("a1", "a2") == 0 && f.maxShare("a1", "b1")+f.maxShare("a1", "b2") > 0.9 })
}

func TestNothingMovesWhileAllFail(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	for _, z := range f.zones {
		f.working[z] = 0
	}
	f.until("free", 4*second, func() bool {
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
		t.Errorf("%d more plans while nothing can be done", len(f.planChanges)-n)
	}
	for _, z := range f.zones {
		f.working[z] = 1
	}
	f.until("back", 30*second, f.allNear)
}

func TestFlappingLink(t *testing.T) {
	for _, each := range []time.Duration{2 * second, 5 * second, 9 * second} {
		f := newFleet(t)
		f.run(10 * second)
		for range int(time.Minute / each / 2) {
			f.brokenLinks[[2]view.Zone{"a1", "a1"}] = true
			f.run(each)
			f.brokenLinks[[2]view.Zone{"a1", "a1"}] = false
			f.run(each)
		}
		// Longer ones are outages, with steps.
		most := map[time.Duration]int{2 * second: 3, 5 * second: 5, 9 * second: 9}[each]
		if f.expectNoOverload(); len(f.planChanges) > most {
			t.Errorf("flaps each %v: %d plan changes in a minute, at %v", each, len(f.planChanges), f.planChanges)
		}
		t.Log(each, f.planChanges)
	}
}

func TestOneWayLinkFailureMovesOneZone(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.working["a1"] = 0
	f.until("moved", 2*second, f.awayFrom("a1"))
	f.brokenLinks[[2]view.Zone{"a1", "a2"}] = true // a2 serves all but a1
	f.until("around the link", 3*second, func() bool { return f.maxShare("a1", "a2") == 0 })
	f.run(5 * second)
	if f.maxShare("a2", "a2") != 1 {
		t.Errorf("a2's own traffic moved: %v", f.inForce.Plan().Routes)
	}
}

func TestMissingReportsMoveNothing(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.unreportedZones["b1"], f.unreportedZones["b2"] = true, true // cut off: their reports grow old
	f.run(60 * second)
	if n := len(f.planChanges); n > 0 {
		t.Errorf("%d plan changes by silence alone", n)
	}
	f.working["a1"] = 0
	f.run(4 * second)
	if f.maxShare("a1", "a2") < 0.3 {
		t.Error("the side that still decides does not act")
	}
}

// A new leader starts with the plan in force: no step is lost, and no route changes its direction.
func TestNewLeaderContinues(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.working["a1"] = 0
	f.until("moved", 2*second, f.awayFrom("a1"))
	f.now += time.Hour // its clock is another, and so it sees nothing from before
	f.planner = plan.New(plan.DefaultSettings())
	f.planner.PlanInForce(f.now, f.inForce.Plan())
	n := len(f.planChanges)
	f.run(8 * second)
	if f.maxShare("a1", "a1") > 0.5 || len(f.planChanges) > n+1 {
		t.Errorf("%d plans, %v", len(f.planChanges)-n, f.inForce.Plan().Routes)
	}
	f.working["a1"] = 1
	f.until("back", 20*second, f.allNear)
}

func TestEpochsNeverFork(t *testing.T) {
	var f plan.InForce
	regions := map[view.Zone]view.Region{"a": "A"}
	p := plan.Plan{Epoch: 1, TTL: second, Regions: regions}
	if _, err := f.Apply(1, 0, plan.Kind, must(encode(p))); err != nil {
		t.Fatal(err)
	}
	var stale *plan.StaleEpochError
	if _, err := f.Apply(2, 0, plan.Kind, must(encode(p))); !errors.As(err, &stale) || stale.InForce != 1 {
		t.Errorf("the same epoch twice: %v", err)
	}
	bad := plan.Plan{Epoch: 2, TTL: second, Routes: []plan.Route{{Phase: plan.Diverted, NearShare: 0.5}}}
	if _, err := f.Apply(3, 0, plan.Kind, must(encode(bad))); err == nil || f.Plan().Epoch != 1 {
		t.Errorf("shares that add up to a half: %v", err)
	}
	var g plan.InForce
	if err := g.Restore(must(f.Snapshot())); err != nil || g.Plan().Epoch != 1 || g.Plan().Regions["a"] != "A" {
		t.Errorf("restored %+v, %v", g.Plan(), err)
	}
	if g.Restore(json.RawMessage(`{"plan":{"epoch":3}}`)) == nil || g.Plan().Epoch != 1 {
		t.Error("a spoilt snapshot was taken")
	}
}

// Two planners both believe to lead: of the plans they make for one epoch one is decided, and the other planner goes
// on from that.
func TestTwoPlannersDecideEachEpochOnce(t *testing.T) {
	f := newFleet(t)
	other := plan.New(plan.DefaultSettings())
	decided := map[view.Epoch]int{}
	for i := range 60 {
		if f.working["a1"] = 1; i > 20 {
			f.working["a1"] = 0
		}
		f.planningDisabled = true
		f.step()
		all := assess.Judge(f.reportTable.Fresh(f.now), assess.DefaultBounds())
		for _, p := range []*plan.Planner{f.planner, other} {
			p.SetRegions(f.regions)
			p.UpdateHealth(f.now, all)
			next, some := p.Step(f.now)
			if !some {
				continue
			}
			if _, err := f.inForce.Apply(uint64(i), f.now, plan.Kind, must(encode(next))); err == nil {
				decided[next.Epoch]++
			} else if stale := (*plan.StaleEpochError)(nil); !errors.As(err, &stale) {
				t.Fatal(err)
			}
			p.PlanInForce(f.now, f.inForce.Plan())
		}
	}
	for e := view.Epoch(1); e <= f.inForce.Plan().Epoch; e++ {
		if decided[e] != 1 {
			t.Errorf("epoch %d was decided %d times", e, decided[e])
		}
	}
	if n := len(decided); n < 2 || n > 6 || !f.awayFrom("a1")() {
		t.Errorf("%d epochs, %v", n, f.inForce.Plan().Routes)
	}
}

// A new leader that starts in an outage gets no reports of one zone that failed, and of another only what fails: the
// first stays diverted, and the second is diverted by the calls tried there.
func TestNewLeaderDuringOutage(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.working["a1"] = 0
	f.until("moved", 2*second, f.awayFrom("a1"))
	f.run(3 * second)
	f.unreportedZones["a1"], f.working["b1"] = true, 0
	for _, from := range f.zones {
		f.reports[from] = nil
	}
	f.reportTable = assess.NewReportTable(assess.DefaultBounds())
	f.planner = plan.New(plan.DefaultSettings())
	f.planner.PlanInForce(f.now, f.inForce.Plan())
	f.until("the second moved", 3*second, func() bool { return f.maxShare("b1", "a2")+f.maxShare("b1", "b2") > 0.2 })
	f.run(6 * second)
	if !f.awayFrom("a1")() {
		t.Errorf("a zone that nobody reports on is taken for healthy: %v", f.inForce.Plan().Routes)
	}
}
