package apply_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/apply"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

var _ clusterapi.RoutingPlan = (*apply.Guide)(nil)

const (
	ttl    = 10 * time.Second
	second = time.Second
)

// withNear returns a plan with a route from zone a to destination 1 that has this near share and these shares, or without
// any route if near is 1.
func withNear(epoch view.Epoch, near float64, shares ...plan.Share) *plan.Plan {
	p := &plan.Plan{Epoch: epoch, TTL: ttl, Regions: map[view.Zone]view.Region{"a": "A", "b": "A", "c": "C"}}
	if near < 1 {
		p.Routes = []plan.Route{{Destination: 1, From: "a", Phase: plan.Returning, NearShare: near, Shares: shares}}
	}
	return p
}

// local returns the state of a process in zone a that lists endpoints of destinations 1 to 3.
func local() apply.Local {
	return apply.Local{Zone: "a", Numbers: map[view.Zone]choice.ZoneNo{"a": 0, "b": 1, "c": 2},
		Listed: map[choice.DestinationID][]choice.ZoneNo{1: {0, 1, 2, 7}, 2: {1, 2}, 3: {2}}, Failing: map[apply.Endpoints]bool{}}
}

// zones returns those of zones 0 to 2 that message n may go to.
func zones(g *apply.Guide, n int, d choice.DestinationID) (allowed []choice.ZoneNo) {
	for z := range choice.ZoneNo(3) {
		if g.Allowed(choice.MessageID(fmt.Sprint("order-", n)), d, z) {
			allowed = append(allowed, z)
		}
	}
	return allowed
}

// TestMessagesGoHomeWithoutRoutes checks the home zones of destinations that are listed in the own zone, only in the own
// region, only in another region, and not at all. It also checks that zones outside the plan are allowed.
func TestMessagesGoHomeWithoutRoutes(t *testing.T) {
	g := apply.Compile(withNear(1, 1), local())
	for d, want := range map[choice.DestinationID]string{1: "[0]", 2: "[1]", 3: "[0 1 2]", 9: "[0 1 2]"} {
		if got := fmt.Sprint(zones(g, 1, d)); got != want {
			t.Errorf("messages to destination %d may go to zones %s, want %s", d, got, want)
		}
	}
	if !g.Allowed("n", 1, 7) {
		t.Error("a zone outside the plan is not allowed")
	}
}

// TestSharesAndSmallMoves checks that each zone receives its share of the messages, and that a larger near share only
// moves messages to near, not between the other zones.
func TestSharesAndSmallMoves(t *testing.T) {
	const n = 20000
	guideOf := func(near, b, c float64) *apply.Guide {
		return apply.Compile(withNear(1, near, plan.Share{Zone: "b", Fraction: b}, plan.Share{Zone: "c", Fraction: c}), local())
	}
	before, after := guideOf(0.05, 0.57, 0.38), guideOf(0.15, 0.51, 0.34)
	var counts [3]float64
	moved := 0
	for i := range n {
		zonesBefore, zonesAfter := zones(before, i, 1), zones(after, i, 1)
		if len(zonesBefore) != 1 || len(zonesAfter) != 1 {
			t.Fatalf("message %d may go to zones %v and then %v, want one each", i, zonesBefore, zonesAfter)
		}
		counts[zonesBefore[0]]++
		if zonesBefore[0] != zonesAfter[0] {
			moved++
			if zonesAfter[0] != 0 {
				t.Fatalf("message %d moves between zones other than near", i)
			}
		}
	}
	for z, want := range []float64{0.05, 0.57, 0.38} {
		if got := counts[z] / n; math.Abs(got-want) > 0.02 {
			t.Errorf("zone %d receives a share of %.3f, want %.2f", z, got, want)
		}
	}
	if share := float64(moved) / n; math.Abs(share-0.1) > 0.02 {
		t.Errorf("a share of %.3f moved, want 0.1", share)
	}
}

// TestNoMessageIsStuck checks that all zones are allowed for messages whose assigned zone the process sees fail or does
// not know, and for those whose home the process sees fail while the plan has no route.
func TestNoMessageIsStuck(t *testing.T) {
	l := local()
	l.Failing[apply.Endpoints{Destination: 1, Zone: 1}] = true
	g := apply.Compile(withNear(1, 0.5, plan.Share{Zone: "b", Fraction: 0.3}, plan.Share{Zone: "x", Fraction: 0.2}), l)
	all, near := 0, 0
	for i := range 1000 {
		switch len(zones(g, i, 1)) {
		case 3:
			all++
		case 1:
			near++
		}
	}
	if all < 400 || near < 400 {
		t.Errorf("of 1000 messages %d may go to all zones and %d to near only, want about 500 each", all, near)
	}
	l.Failing[apply.Endpoints{Destination: 1, Zone: 0}] = true // the process sees near fail, and the plan has no route yet
	if got := zones(apply.Compile(withNear(1, 1), l), 1, 1); len(got) != 3 {
		t.Errorf("while the process sees near fail, only zones %v are allowed", got)
	}
}

// TestHolder checks which plan is in force as plans and renewals arrive late, out of order, from a replaced leader and
// from a consensus group that started again.
func TestHolder(t *testing.T) {
	var h apply.Holder
	receive := func(now view.Uptime, in apply.Announcement) {
		t.Helper()
		if _, err := h.Receive(now, in); err != nil {
			t.Fatal(err)
		}
	}
	expectEpoch := func(now view.Uptime, want view.Epoch) {
		t.Helper()
		got := view.Epoch(0)
		if p, _ := h.Plan(now); p != nil {
			got = p.Epoch
		}
		if got != want {
			t.Errorf("at %v the plan of epoch %d is in force, want %d", now, got, want)
		}
	}
	receive(0, apply.Announcement{Epoch: 5, Term: 2, Age: 4 * second, Plan: withNear(5, 1)})
	receive(second, apply.Announcement{Epoch: 4, Term: 2, Plan: withNear(4, 1)}) // arrives after its successor
	expectEpoch(5*second, 5)
	expectEpoch(6*second, 0) // the plan was 4 s old on arrival
	receive(5*second, apply.Announcement{Epoch: 5, Term: 3})
	receive(7*second, apply.Announcement{Epoch: 5, Term: 2}) // from a leader that was replaced
	receive(8*second, apply.Announcement{Epoch: 6, Term: 3}) // renews a plan that was not received
	expectEpoch(14*second, 5)
	expectEpoch(15*second, 0)
	receive(16*second, apply.Announcement{Epoch: 6, Term: 3, Age: ttl, Plan: withNear(6, 1)}) // too old
	receive(16*second, apply.Announcement{Epoch: 1, Term: 1, Plan: withNear(1, 1)})
	expectEpoch(16*second, 0)
	receive(2*time.Minute, apply.Announcement{Epoch: 1, Term: 1, Plan: withNear(1, 1)}) // the consensus group started again
	expectEpoch(2*time.Minute, 1)
	if _, err := h.Receive(2*time.Minute, apply.Announcement{Epoch: 2, Plan: &plan.Plan{Epoch: 2}}); err == nil {
		t.Error("a plan without a TTL was accepted")
	}
	if in, found := h.Announce(2*time.Minute+3*second, true); !found || in.Age != 3*second || in.Plan == nil {
		t.Errorf("Announce returns %+v, want the plan with an age of 3 s", in)
	}
}

func BenchmarkAllowed(b *testing.B) {
	g := apply.Compile(withNear(1, 0.5, plan.Share{Zone: "b", Fraction: 0.3}, plan.Share{Zone: "c", Fraction: 0.2}), local())
	id := choice.MessageID("018f5f4e-9a5c-7b1e-8c7d-2f0e4a9b1c3d-order-77")
	b.ReportAllocs()
	for b.Loop() {
		g.Allowed(id, 1, 1)
	}
}
