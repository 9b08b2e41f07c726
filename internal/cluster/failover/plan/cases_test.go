package plan_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/view"
)

func jsonOf(v any) (json.RawMessage, error) { return json.Marshal(v) }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

const second = time.Second

func TestZoneGoneAndBack(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	if f.far > 0.02*f.all {
		t.Fatalf("%.0f of %.0f leave their zone while all is well", f.far, f.all)
	}
	f.part["a1"] = 0
	f.until("moved", 2*second, func() bool { return f.to("a1", "a2")+f.to("a1", "b1")+f.to("a1", "b2") > 0.8 })
	if f.to("a1", "a2") < 0.5 { // room in the own region is 35 of 60; that comes first
		t.Errorf("only %.2f to the own region", f.to("a1", "a2"))
	}
	f.run(12 * second)
	f.part["a1"] = 1
	well := f.now
	last := 0.0
	f.until("back", 15*second, func() bool {
		share := f.goes(1, "a1")["a1"]
		if warm := 0.2 + 0.8*(f.now-well).Seconds()/10; 60*share > 100*min(1, warm)+1 {
			t.Errorf("%.2f of 60 calls a second go to what can do %.2f of 100", share, warm)
		}
		if share < last {
			t.Errorf("a step back without a reason: %.2f after %.2f", share, last)
		}
		last = share
		return f.near()
	})
	f.fits()
	if len(f.changes) > 6 {
		t.Errorf("%d plan changes for one outage", len(f.changes))
	}
}

func TestHalfGone(t *testing.T) {
	f := newFleet(t)
	f.told = false
	f.run(10 * second)
	f.part["a1"] = 0.5 // 50 of 60
	f.run(10 * second)
	if got := f.to("a1", "a1"); got < 0.6 || got > 0.95 {
		t.Errorf("%.2f stay near, of which there is room for 0.83", got)
	}
	f.part["a1"] = 1
	f.until("back", 40*second, f.near)
	f.fits()
}

func TestRegionGoneWhileAnotherIsWeak(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.part["b1"] = 0.65 // 65 of 100, 60 of its own
	f.run(6 * second)
	f.can["b1"], f.part["b1"] = 65, 1 // as it tells by then
	f.run(3 * second)
	f.part["a1"], f.part["a2"] = 0, 0
	f.run(8 * second)
	if f.to("a1", "b2")+f.to("a2", "b2") < 0.4 {
		t.Errorf("little goes to where there is room: %v", f.inForce.Plan().Routes)
	}
	f.fits() // 120 a second are homeless and there is room for under 40: the rest stays
	if near := f.goes(1, "a1")["a1"] + f.goes(1, "a2")["a2"]; near < 1 {
		t.Errorf("more moved than there is room for: %.2f of 2 stay", near)
	}
}

func TestTwoZonesOneAfterTheOther(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.part["a1"] = 0
	f.until("first", 2*second, f.away("a1"))
	f.run(2 * second)
	f.part["a2"] = 0
	f.until("second", 3*second, func() bool { return f.to("a2", "b1")+f.to("a2", "b2") > 0.1 && f.to("a1", "a2") == 0 })
	f.run(5 * second)
	f.fits()
	f.part["a1"], f.part["a2"] = 1, 1
	f.until("both back", 25*second, f.near)
}

func TestWhatWasMovedToFails(t *testing.T) {
	f := newFleet(t)
	for _, z := range f.zones {
		f.rate[z] = 30
	}
	f.run(10 * second)
	f.part["a1"] = 0
	f.until("moved", 2*second, func() bool { return f.to("a1", "a2") > 0.9 })
	f.part["a2"] = 0
	f.until("moved on", 3*second, func() bool { return f.to("a1", "a2") == 0 && f.to("a1", "b1")+f.to("a1", "b2") > 0.9 })
}

func TestAllBadMovesNothing(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	for _, z := range f.zones {
		f.part[z] = 0
	}
	f.until("free", 4*second, func() bool {
		p := f.inForce.Plan()
		for _, r := range p.Routes {
			if r.Phase != plan.Free || len(r.Shares) > 0 {
				return false
			}
		}
		return len(p.Routes) == 12
	})
	n := len(f.changes)
	f.run(20 * second)
	if len(f.changes) > n {
		t.Errorf("%d more plans while nothing can be done", len(f.changes)-n)
	}
	for _, z := range f.zones {
		f.part[z] = 1
	}
	f.until("back", 30*second, f.near)
}

func TestFlappingLink(t *testing.T) {
	for _, each := range []time.Duration{2 * second, 5 * second, 9 * second} {
		f := newFleet(t)
		f.run(10 * second)
		for range int(time.Minute / each / 2) {
			f.cut[[2]view.Zone{"a1", "a1"}] = true
			f.run(each)
			f.cut[[2]view.Zone{"a1", "a1"}] = false
			f.run(each)
		}
		// Longer ones are outages, with steps.
		most := map[time.Duration]int{2 * second: 3, 5 * second: 5, 9 * second: 9}[each]
		if f.fits(); len(f.changes) > most {
			t.Errorf("flaps each %v: %d plan changes in a minute, at %v", each, len(f.changes), f.changes)
		}
		t.Log(each, f.changes)
	}
}

func TestOneWayCutMovesThatZoneAlone(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.part["a1"] = 0
	f.until("moved", 2*second, f.away("a1"))
	f.cut[[2]view.Zone{"a1", "a2"}] = true // a2 serves all but a1
	f.until("around the link", 3*second, func() bool { return f.to("a1", "a2") == 0 })
	f.run(5 * second)
	if f.to("a2", "a2") != 1 {
		t.Errorf("a2's own traffic moved: %v", f.inForce.Plan().Routes)
	}
}

func TestMinorityIsSilent(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.mute["b1"], f.mute["b2"] = true, true // beyond the cut: evidence grows old
	f.run(60 * second)
	if n := len(f.changes); n > 0 {
		t.Errorf("%d plan changes by silence alone", n)
	}
	f.part["a1"] = 0
	f.run(4 * second)
	if f.to("a1", "a2") < 0.3 {
		t.Error("the side that still decides does not act")
	}
}

// A new leader begins with what is in force: no step is lost, and nothing turns about.
func TestAnotherPlannerTakesOver(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.part["a1"] = 0
	f.until("moved", 2*second, f.away("a1"))
	f.now += time.Hour // its clock is another, and so it sees nothing from before
	f.planner = plan.New(plan.Usual())
	f.planner.Applied(f.now, f.inForce.Plan())
	n := len(f.changes)
	f.run(8 * second)
	if f.to("a1", "a1") > 0.5 || len(f.changes) > n+1 {
		t.Errorf("%d plans, %v", len(f.changes)-n, f.inForce.Plan().Routes)
	}
	f.part["a1"] = 1
	f.until("back", 20*second, f.near)
}

func TestEpochsNeverFork(t *testing.T) {
	var f plan.InForce
	regions := map[view.Zone]view.Region{"a": "A"}
	p := plan.Plan{Epoch: 1, Hold: second, Regions: regions}
	if _, err := f.Apply(1, 0, plan.Kind, must(jsonOf(p))); err != nil {
		t.Fatal(err)
	}
	var stale *plan.Stale
	if _, err := f.Apply(2, 0, plan.Kind, must(jsonOf(p))); !errors.As(err, &stale) || stale.InForce != 1 {
		t.Errorf("the same epoch twice: %v", err)
	}
	bad := plan.Plan{Epoch: 2, Hold: second, Routes: []plan.Route{{Phase: plan.Away, Near: 0.5}}}
	if _, err := f.Apply(3, 0, plan.Kind, must(jsonOf(bad))); err == nil || f.Plan().Epoch != 1 {
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

// Two that both take themselves for the leader: of what they make for one epoch, one is decided, and the other goes on
// from that.
func TestTwoPlannersOneHistory(t *testing.T) {
	f := newFleet(t)
	other := plan.New(plan.Usual())
	decided := map[view.Epoch]int{}
	for i := range 60 {
		if f.part["a1"] = 1; i > 20 {
			f.part["a1"] = 0
		}
		f.deadPlan = true
		f.step()
		all := weigh.Judge(f.board.Fresh(f.now), weigh.Usual())
		for _, p := range []*plan.Planner{f.planner, other} {
			p.Members(f.regions)
			p.Judged(f.now, all)
			next, some := p.Step(f.now)
			if !some {
				continue
			}
			if _, err := f.inForce.Apply(uint64(i), f.now, plan.Kind, must(jsonOf(next))); err == nil {
				decided[next.Epoch]++
			} else if stale := (*plan.Stale)(nil); !errors.As(err, &stale) {
				t.Fatal(err)
			}
			p.Applied(f.now, f.inForce.Plan())
		}
	}
	for e := view.Epoch(1); e <= f.inForce.Plan().Epoch; e++ {
		if decided[e] != 1 {
			t.Errorf("epoch %d was decided %d times", e, decided[e])
		}
	}
	if n := len(decided); n < 2 || n > 6 || !f.away("a1")() {
		t.Errorf("%d epochs, %v", n, f.inForce.Plan().Routes)
	}
}

// A new leader that begins in an outage hears nothing of one zone that fell, and of another only what fails: the first
// stays away, and the second moves by what is tried there.
func TestANewLeaderInAnOutage(t *testing.T) {
	f := newFleet(t)
	f.run(10 * second)
	f.part["a1"] = 0
	f.until("moved", 2*second, f.away("a1"))
	f.run(3 * second)
	f.mute["a1"], f.part["b1"] = true, 0
	for _, from := range f.zones {
		f.seen[from] = nil
	}
	f.board = weigh.NewBoard(weigh.Usual())
	f.planner = plan.New(plan.Usual())
	f.planner.Applied(f.now, f.inForce.Plan())
	f.until("the second moved", 3*second, func() bool { return f.to("b1", "a2")+f.to("b1", "b2") > 0.2 })
	f.run(6 * second)
	if !f.away("a1")() {
		t.Errorf("a zone of which nothing is heard is taken for well: %v", f.inForce.Plan().Routes)
	}
}
