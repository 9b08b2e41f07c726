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

var _ clusterapi.Guide = (*apply.Guide)(nil)

const (
	hold   = 10 * time.Second
	second = time.Second
)

func withNear(epoch view.Epoch, near float64, shares ...plan.Share) *plan.Plan {
	p := &plan.Plan{Epoch: epoch, TTL: hold, Regions: map[view.Zone]view.Region{"a": "A", "b": "A", "c": "C"}}
	if near < 1 {
		p.Routes = []plan.Route{{Destination: 1, From: "a", Phase: plan.Returning, NearShare: near, Shares: shares}}
	}
	return p
}

func local() apply.Local {
	return apply.Local{Zone: "a", Numbers: map[view.Zone]choice.ZoneNo{"a": 0, "b": 1, "c": 2},
		Listed: map[choice.DestinationID][]choice.ZoneNo{1: {0, 1, 2, 7}, 2: {1, 2}, 3: {2}}, Failing: map[apply.Endpoints]bool{}}
}

// zones are those that a message may go to.
func zones(g *apply.Guide, n int, d choice.DestinationID) (to []choice.ZoneNo) {
	for z := range choice.ZoneNo(3) {
		if g.Allowed(choice.MessageID(fmt.Sprint("order-", n)), d, z) {
			to = append(to, z)
		}
	}
	return to
}

func TestMessagesGoHomeWithoutRoutes(t *testing.T) {
	g := apply.Compile(withNear(1, 1), local())
	for d, want := range map[choice.DestinationID]string{1: "[0]", 2: "[1]", 3: "[0 1 2]", 9: "[0 1 2]"} {
		if got := fmt.Sprint(zones(g, 1, d)); got != want {
			t.Errorf("destination %d may go to %s, not %s", d, got, want)
		}
	}
	if !g.Allowed("n", 1, 7) {
		t.Error("a zone outside the plan is closed")
	}
}

func TestSharesAndSmallMoves(t *testing.T) {
	const n = 20000
	to := func(near, b, c float64) *apply.Guide {
		return apply.Compile(withNear(1, near, plan.Share{Zone: "b", Fraction: b}, plan.Share{Zone: "c", Fraction: c}), local())
	}
	before, after := to(0.05, 0.57, 0.38), to(0.15, 0.51, 0.34)
	var counts [3]float64
	moved := 0
	for i := range n {
		to, then := zones(before, i, 1), zones(after, i, 1)
		if len(to) != 1 || len(then) != 1 {
			t.Fatalf("message %d may go to %v", i, to)
		}
		counts[to[0]]++
		if to[0] != then[0] {
			moved++
			if then[0] != 0 {
				t.Fatalf("message %d moves between receivers", i)
			}
		}
	}
	for z, want := range []float64{0.05, 0.57, 0.38} {
		if got := counts[z] / n; math.Abs(got-want) > 0.02 {
			t.Errorf("zone %d gets %.3f, not %.2f", z, got, want)
		}
	}
	if share := float64(moved) / n; math.Abs(share-0.1) > 0.02 {
		t.Errorf("%.3f move as a tenth returns", share)
	}
}

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
		t.Errorf("%d free and %d near of 1000", all, near)
	}
	l.Failing[apply.Endpoints{Destination: 1, Zone: 0}] = true // near fails here and no plan has it yet
	if got := zones(apply.Compile(withNear(1, 1), l), 1, 1); len(got) != 3 {
		t.Errorf("held to what it sees fail: %v", got)
	}
}

func TestHolder(t *testing.T) {
	var h apply.Holder
	receive := func(now view.Uptime, in apply.Announcement) {
		t.Helper()
		if _, err := h.Receive(now, in); err != nil {
			t.Fatal(err)
		}
	}
	epoch := func(now view.Uptime, want view.Epoch) {
		t.Helper()
		got := view.Epoch(0)
		if p, _ := h.Plan(now); p != nil {
			got = p.Epoch
		}
		if got != want {
			t.Errorf("at %v: epoch %d counts, not %d", now, got, want)
		}
	}
	receive(0, apply.Announcement{Epoch: 5, Term: 2, Age: 4 * second, Plan: withNear(5, 1)})
	receive(second, apply.Announcement{Epoch: 4, Term: 2, Plan: withNear(4, 1)}) // after its successor
	epoch(5*second, 5)
	epoch(6*second, 0) // 4 s old when it came
	receive(5*second, apply.Announcement{Epoch: 5, Term: 3})
	receive(7*second, apply.Announcement{Epoch: 5, Term: 2}) // a leader that was replaced
	receive(8*second, apply.Announcement{Epoch: 6, Term: 3}) // of what it never had
	epoch(14*second, 5)
	epoch(15*second, 0)
	receive(16*second, apply.Announcement{Epoch: 6, Term: 3, Age: hold, Plan: withNear(6, 1)}) // too old
	receive(16*second, apply.Announcement{Epoch: 1, Term: 1, Plan: withNear(1, 1)})
	epoch(16*second, 0)
	receive(2*time.Minute, apply.Announcement{Epoch: 1, Term: 1, Plan: withNear(1, 1)}) // a consensus group that starts anew
	epoch(2*time.Minute, 1)
	if _, err := h.Receive(2*time.Minute, apply.Announcement{Epoch: 2, Plan: &plan.Plan{Epoch: 2}}); err == nil {
		t.Error("a plan that holds for nothing was taken")
	}
	if in, some := h.Announce(2*time.Minute+3*second, true); !some || in.Age != 3*second || in.Plan == nil {
		t.Errorf("announced as %+v", in)
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
