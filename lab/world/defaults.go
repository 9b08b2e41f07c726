package world

// This file holds the default values of a scenario. They must not replace a value that the scenario sets.

import (
	"cmp"
	"fmt"
)

// DefaultSpec returns the spec that a scenario starts from. The scenario's own values override it.
func DefaultSpec() Spec {
	return Spec{
		Name: "unnamed", Seconds: 30, Senders: 2, Zones: 1, Halving: true,
		Network:   Network{SameMS: Pair{1, 3}, CrossMS: Pair{8, 20}, Jitter: 0.2},
		Discovery: Discovery{DelayMS: Pair{300, 1500}},
		Sender: SenderSpec{MaxAttempts: 12, TickMS: 5, Probing: true, LongestRetryAfterMS: 2000, DialMS: 1000, Rating: "rough",
			MemoryMB: 192, Sockets: 1024, DiskMB: 8},
		Clients: Clients{Retries: 3, HonourRetryAfter: 0.7, BackoffMS: Pair{500, 1200}, RetryMS: Pair{300, 900}, PatienceMS: 400},
		Prices:  Prices{Refused: 0.05, Wasted: 0.05},
		Rules:   Rules{DrainGraceMS: 500, FallMultiple: 2.5, FallS: 1.5, KeyRestMS: 500, LateMS: 350},
	}
}

// Defaults replaces zero values in the load and in the entries of lists (classes, partners and faults) by their defaults.
func (s *Spec) Defaults() {
	s.Load.Defaults()
	for i := range s.Classes {
		s.Classes[i].defaults()
	}
	for i := range s.Partners {
		s.Partners[i].defaults(i)
	}
	for i := range s.Faults {
		s.Faults[i].Amount = cmp.Or(s.Faults[i].Amount, FaultKinds[s.Faults[i].Kind].Default)
		s.Faults[i].Every = cmp.Or(s.Faults[i].Every, 3)
	}
}

func (w *Class) defaults() {
	w.Share = cmp.Or(w.Share, 1)
	w.Value = cmp.Or(w.Value, 1)
	w.WindowS = cmp.Or(w.WindowS, 5)
	w.Repeat = cmp.Or(w.Repeat, Idempotent)
}

func (k *PartnerKind) defaults(no int) {
	k.Name = cmp.Or(k.Name, fmt.Sprintf("kind%d", no))
	k.Count = cmp.Or(k.Count, 1)
	k.Endpoints = cmp.Or(k.Endpoints, Pair{1, 2})
	k.MeanMS = cmp.Or(k.MeanMS, Pair{40, 120})
	k.Headroom = cmp.Or(k.Headroom, Pair{1.6, 3})
	k.LimitTimes = cmp.Or(k.LimitTimes, Pair{1.3, 2.5})
	k.Sigma = cmp.Or(k.Sigma, 0.5)
	k.LeastRate = cmp.Or(k.LeastRate, 4)
	k.Queue = cmp.Or(k.Queue, 3)
	k.SpanS = cmp.Or(k.SpanS, 1)
	k.ReportMS = cmp.Or(k.ReportMS, 300)
	k.IdleS = cmp.Or(k.IdleS, 10)
	k.SlowStartS = cmp.Or(k.SlowStartS, 8)
	k.SlowStartFrom = cmp.Or(k.SlowStartFrom, 0.2)
	k.DownS = cmp.Or(k.DownS, 4)
	k.Limit = cmp.Or(k.Limit, "none")
	k.Bundle = cmp.Or(k.Bundle, 1)
}
