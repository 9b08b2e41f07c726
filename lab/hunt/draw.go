package hunt

// This file draws random scenarios. Each scenario must be valid and must depend only on the given random generator.

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"flaxcove/lab/world"
)

// The kinds of fault that are drawn, each slice sorted by name: those that affect endpoints, and all others.
var endpointFaults, otherFaults = faultKinds()

// withoutEffect names the kinds of fault that have no effect in simulated time.
var withoutEffect = []string{"hoard", "notes_lost", "rubbish", "second_answers"}

// faultKinds returns the kinds of fault that have an effect in simulated time.
func faultKinds() (endpoints, others []string) {
	for name, kind := range world.FaultKinds {
		switch {
		case slices.Contains(withoutEffect, name):
		case kind.Affects == "endpoints":
			endpoints = append(endpoints, name)
		default:
			others = append(others, name)
		}
	}
	slices.Sort(endpoints)
	slices.Sort(others)
	return endpoints, others
}

// drawer draws one scenario, always with the same sequence of draws, so that a seed determines the scenario.
type drawer struct {
	rng   *rand.Rand
	scale float64 // factor on the numbers of senders, destinations and messages
	spec  world.Spec
}

// Draw returns a random scenario. Scale is a factor on its size; with 1 it has one to six senders.
func Draw(rng *rand.Rand, scale float64) *world.Spec {
	d := &drawer{rng: rng, scale: scale, spec: world.DefaultSpec()}
	d.spec.Name = "drawn"
	d.drawEnvironment()
	for i := range 1 + rng.IntN(3) {
		d.spec.Classes = append(d.spec.Classes, d.class(i))
	}
	for i := range 1 + rng.IntN(3) {
		d.spec.Partners = append(d.spec.Partners, d.kind(i))
	}
	for range 1 + rng.IntN(4) {
		d.spec.Faults = append(d.spec.Faults, d.fault())
	}
	for range rng.IntN(3) {
		d.spec.Changes = append(d.spec.Changes, d.change())
	}
	d.spec.Defaults()
	return &d.spec
}

// between draws a value from a range.
func (d *drawer) between(low, high float64) float64 { return low + (high-low)*d.rng.Float64() }

// roundedBetween draws a value from a range, rounded to two decimal places.
func (d *drawer) roundedBetween(low, high float64) float64 { return round(d.between(low, high)) }

// pairBetween draws a range: its lower end from the range low, its upper end from the range high.
func (d *drawer) pairBetween(low, high world.Pair) world.Pair {
	from := d.roundedBetween(low[0], low[1])
	return world.Pair{from, max(from, d.roundedBetween(high[0], high[1]))}
}

// chance returns true with probability p.
func (d *drawer) chance(p float64) bool { return d.rng.Float64() < p }

// pick draws one of several values with equal probabilities.
func pick[T any](d *drawer, from ...T) T { return from[d.rng.IntN(len(from))] }

// drawEnvironment draws the scenario's size, load, senders and rules.
func (d *drawer) drawEnvironment() {
	s := &d.spec
	s.Seconds = float64(20 + d.rng.IntN(25))
	s.Senders = max(1, int(d.between(1, 6)*d.scale+0.5))
	s.Zones = 1 + d.rng.IntN(3)
	s.Halving = d.chance(0.5)
	s.Load.Rate = round(d.between(20, 120) * d.scale)
	s.Load.Shape = pick(d, "poisson", "poisson", "bursts")
	s.Load.Zipf = d.roundedBetween(0, 1.3)
	s.Load.SenderSkew = d.roundedBetween(0, 1)
	s.Load.ClumpShare = d.roundedBetween(0, 0.3)
	s.Load.Swing = d.roundedBetween(0, 0.4)
	s.Sender.Probing = d.chance(0.7)
	s.Sender.Rating = pick(d, "off", "rough", "nominal")
	s.Clients.OwnSender = d.chance(0.4)
	s.Rules.DrainGraceMS = pick(d, 500.0, 1000, 2000)
	s.Rules.FallMultiple = d.roundedBetween(1.8, 3)
	s.Rules.FallS = d.roundedBetween(1, 2)
}

// class draws class number no.
func (d *drawer) class(no int) world.Class {
	latencyObjectiveMS := float64(300 + d.rng.IntN(3000))
	return world.Class{
		Name:               fmt.Sprintf("w%d", no),
		Repeat:             pick(d, world.Idempotent, world.Keyed, world.NonIdempotent),
		Share:              d.roundedBetween(0.3, 3),
		LatencyObjectiveMS: latencyObjectiveMS,
		DeadlineMS:         latencyObjectiveMS * (2 + float64(d.rng.IntN(6))),
		Value:              d.roundedBetween(0.5, 4),
		LateValue:          d.roundedBetween(0, 0.6),
		Ordered:            d.chance(0.25),
		ZoneGroup:          d.chance(0.3),
		WindowS:            d.roundedBetween(0.5, 6),
	}
}

// kind draws kind number no of destinations.
func (d *drawer) kind(no int) world.PartnerKind {
	k := world.PartnerKind{
		Name:            fmt.Sprintf("k%d", no),
		Count:           max(1, int(d.between(1, 7)*d.scale+0.5)),
		Endpoints:       world.Pair{1, float64(1 + d.rng.IntN(4))},
		MeanMS:          d.pairBetween(world.Pair{15, 100}, world.Pair{100, 350}),
		Sigma:           d.roundedBetween(0.2, 1.2),
		Headroom:        d.pairBetween(world.Pair{1.05, 1.8}, world.Pair{1.8, 4}),
		Queue:           d.roundedBetween(0.5, 6),
		RetryAfterShare: d.roundedBetween(0, 1),
		Reports:         d.chance(0.6),
		SlowStartS:      d.roundedBetween(3, 15),
		SlowStartFrom:   d.roundedBetween(0.1, 0.5),
		IdleS:           d.roundedBetween(2, 15),
		HandshakeMS:     float64(d.rng.IntN(60)),
		ErrorShare:      d.roundedBetween(0, 0.02),
	}
	d.drawLimit(&k)
	if d.chance(0.3) {
		k.Bundle = 2 + d.rng.IntN(9)
	}
	k.SeparateRoutes = d.chance(0.2)
	if d.chance(0.4) {
		k.MaxConnections = max(6, int(d.between(6, 30)*max(1, d.scale)))
	}
	return k
}

// drawLimit sets the limit of a kind of destination: with equal probabilities a rate limit, a limit on the calls in a span of
// time, or none.
func (d *drawer) drawLimit(k *world.PartnerKind) {
	times := func() world.Pair { return d.pairBetween(world.Pair{0.9, 1.5}, world.Pair{1.5, 3}) }
	switch d.rng.IntN(3) {
	case 0:
		k.Limit = "rate"
		k.LimitTimes = times()
		k.CountRefused = d.chance(0.3)
	case 1:
		k.Limit = "span"
		k.LimitTimes = times()
		k.SpanS = float64(1 + d.rng.IntN(3))
		k.CountRefused = d.chance(0.3)
	}
}

// fault draws a fault that ends before the scenario does. Three of four affect endpoints.
func (d *drawer) fault() world.Fault {
	t := world.Fault{
		At:      d.roundedBetween(1, d.spec.Seconds*0.6),
		Seconds: d.roundedBetween(2, d.spec.Seconds*0.35),
	}
	if d.chance(0.75) {
		d.drawEndpoints(&t)
	} else {
		t.Kind = pick(d, otherFaults...)
		if world.FaultKinds[t.Kind].Affects == "senders" {
			t.Selector.Share = d.roundedBetween(0.2, 1)
		}
	}
	if kind := world.FaultKinds[t.Kind]; kind.Amount != "" && d.chance(0.7) {
		t.Amount = round(min(kind.Most, max(kind.Least, kind.Default*d.between(0.4, 1.6))))
	}
	return t
}

// drawEndpoints draws the kind of a fault that affects endpoints, and the endpoints that it affects.
func (d *drawer) drawEndpoints(t *world.Fault) {
	t.Kind = pick(d, endpointFaults...)
	t.Selector.Share = d.roundedBetween(0.1, 0.7)
	if d.chance(0.3) {
		t.Selector.Endpoint = 1
	}
	if d.chance(0.3) {
		t.Selector.Kind = pick(d, d.spec.Partners...).Name
	}
}

// change draws a change of the endpoint list.
func (d *drawer) change() world.ListEvent {
	return world.ListEvent{
		Change:   pick(d, "drain", "remove", "move", "back"),
		At:       d.roundedBetween(1, d.spec.Seconds),
		Selector: world.Selector{Share: d.roundedBetween(0.1, 0.6), Endpoint: d.rng.IntN(3)},
		Restart:  d.chance(0.5),
	}
}

// round rounds to two decimal places.
func round(v float64) float64 { return float64(int(v*100+0.5)) / 100 }
