package plan_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// sparse is a fleet in which each destination has few calls: six senders a zone, twelve destinations of 0.5 to 8 calls
// a second a zone, one call in a hundred failed by chance, no limits told, digests over one sliding second. A sender
// that saw two fail leaves near alone but for what the plan holds to it, as package choice does.
type sparse struct {
	rng     *rand.Rand
	now     view.Now
	dead    map[view.Zone]bool
	last    map[healthreport.Locality]map[view.Name]healthreport.Sample
	aside   map[healthreport.Locality]map[view.Name]bool
	board   *weigh.Board
	planner *plan.Planner
	plan    plan.Plan
	changes []view.Now
	nearBy  float64 // share of a1's calls that went near in the last half second
	left    float64 // of all zones' calls, those that left their zone since the start
	all     float64
}

func (s *sparse) poisson(mean float64) float64 {
	n, p := 0.0, s.rng.Float64()
	for limit := math.Exp(-mean); p > limit; p *= s.rng.Float64() {
		n++
	}
	return n
}

func (s *sparse) step() {
	s.now += tick
	near, all := 0.0, 0.0
	for _, from := range []view.Zone{"a1", "a2", "b1", "b2"} {
		var rows []healthreport.Sample
		for d := range choice.DestinationID(12) {
			rate := 0.5 * math.Exp2(float64(d)/2.75)
			part, others := 1.0, map[view.Zone]float64{}
			r, found := s.plan.Find(d, from)
			if found && r.Phase != plan.Free {
				part = r.Near
				for _, share := range r.Shares {
					others[share.Zone] = share.Part
				}
			}
			for w := range 6 {
				name := view.Name(fmt.Sprint(from, w))
				for _, to := range []view.Zone{"a1", "a2", "b1", "b2"} {
					at := healthreport.Locality{Destination: d, Zone: to}
					mean := rate / 6 * tick.Seconds() * others[to]
					if to == from {
						mean = rate / 6 * tick.Seconds() * part
						if s.aside[at] != nil && s.aside[at][name] && !found {
							mean = 0 // it tries nobody that failed while others can be placed
						}
					}
					row := s.draw(at, name, from, mean)
					if all += row.Sent; to == from {
						near += row.Sent
					}
					if old, known := s.last[at][name]; known {
						old.Age += tick
						rows = append(rows, joined(row, old))
					} else {
						rows = append(rows, row)
					}
					s.last[at][name] = row
				}
			}
		}
		s.board.Put(s.now, weigh.Zonal(from, rows, weigh.Usual()))
		if from == "a1" {
			s.nearBy = near / max(1, all)
		}
	}
	s.left, s.all = s.left+all-near, s.all+all
	s.planner.Judged(s.now, weigh.Judge(s.board.Fresh(s.now), weigh.Usual()))
	if next, some := s.planner.Step(s.now); some {
		s.plan = next
		s.planner.Applied(s.now, next)
		s.changes = append(s.changes, s.now)
	}
}

// draw is half a second of one sender at one place.
func (s *sparse) draw(at healthreport.Locality, name view.Name, from view.Zone, mean float64) healthreport.Sample {
	if s.last[at] == nil {
		s.last[at], s.aside[at] = map[view.Name]healthreport.Sample{}, map[view.Name]bool{}
	}
	row := healthreport.Sample{Locality: at, Witness: name, From: from, Span: tick, Endpoints: 2, Sent: s.poisson(mean)}
	for range int(row.Sent) {
		if s.dead[at.Zone] || s.rng.Float64() < 0.01 {
			row.Failed++
		} else {
			row.Done++
		}
	}
	switch {
	case row.Done > 0:
		s.aside[at][name] = false
	case row.Failed >= 2:
		s.aside[at][name] = true
	}
	return row
}

func joined(a, b healthreport.Sample) healthreport.Sample {
	a.Sent, a.Done, a.Failed, a.Span = a.Sent+b.Sent, a.Done+b.Done, a.Failed+b.Failed, a.Span+b.Span
	return a
}

func TestFewCallsAndChance(t *testing.T) {
	s := &sparse{rng: rand.New(rand.NewPCG(1, 2)), dead: map[view.Zone]bool{}, board: weigh.NewBoard(weigh.Usual()),
		last: map[healthreport.Locality]map[view.Name]healthreport.Sample{}, aside: map[healthreport.Locality]map[view.Name]bool{},
		planner: plan.New(plan.Usual())}
	s.planner.Members(map[view.Zone]view.Region{"a1": "A", "a2": "A", "b1": "B", "b2": "B"})
	run := func(span time.Duration) {
		for end := s.now + span; s.now < end; {
			s.step()
		}
	}
	run(time.Minute)
	if len(s.changes) > 1 || s.left > 0.02*s.all {
		t.Errorf("all is well: plans at %v, %.4f of calls left their zone", s.changes, s.left/s.all)
	}
	fell, n := s.now, len(s.changes)
	s.dead["a1"] = true
	for s.nearBy > 0.15 && s.now < fell+20*time.Second {
		s.step()
	}
	t.Logf("moved after %v in %d plans", s.now-fell, len(s.changes)-n)
	if s.now-fell > 3*time.Second {
		t.Errorf("moved only after %v", s.now-fell)
	}
	run(12 * time.Second)
	n = len(s.changes)
	s.dead["a1"] = false
	well := s.now
	for len(s.plan.Routes) > 0 && s.now < well+time.Minute {
		s.step()
	}
	t.Logf("back after %v in %d plans", s.now-well, len(s.changes)-n)
	if s.now-well > 25*time.Second {
		t.Errorf("back only after %v: %+v", s.now-well, s.plan.Routes)
	}
}
