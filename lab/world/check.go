package world

// This file validates a spec. It must report all problems, not only the first, and must not change the spec.

import (
	"fmt"
	"slices"
)

// Problem is one error in a spec: the path of the field, as in trouble[2].part.kind, and a description of the error.
type Problem struct{ Path, Reason string }

func (p Problem) Error() string { return p.Path + ": " + p.Reason }

// Check returns all problems of a spec; Defaults must have been called before. Faults and changes of the list, which refer
// to other parts of the spec, are checked only if those parts are valid.
func (s *Spec) Check() []Problem {
	c := &checker{}
	c.sizes(s)
	c.network(s)
	c.sender(&s.Sender)
	c.clients(&s.Clients)
	c.rules(&s.Rules, &s.Prices)
	c.classes(s.Classes)
	c.partners(s.Partners)
	if len(c.problems) > 0 {
		return c.problems
	}
	c.faults(s)
	c.changes(s)
	return c.problems
}

// checker collects the problems of one spec.
type checker struct{ problems []Problem }

func (c *checker) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{path, fmt.Sprintf(format, args...)})
}

func (c *checker) checkRange(path string, v, least, most float64) {
	if !(v >= least && v <= most) { // written so that NaN is a problem too
		c.addProblem(path, "%g is not within %g and %g", v, least, most)
	}
}

func (c *checker) checkPair(path string, p Pair, least, most float64) {
	c.checkRange(path, p[0], least, most)
	c.checkRange(path, p[1], least, most)
	if p[0] > p[1] {
		c.addProblem(path, "the lower end %g is above the upper end %g", p[0], p[1])
	}
}

func (c *checker) checkWord(path, v string, known ...string) {
	if !slices.Contains(known, v) {
		c.addProblem(path, "%q is not one of %v", v, known)
	}
}

func (c *checker) sizes(s *Spec) {
	c.checkRange("seconds", s.Seconds, 1, 1e5)
	c.checkRange("senders", float64(s.Senders), 1, 2000)
	c.checkRange("zones", float64(s.Zones), 1, 64)
	if s.Load.Trace == "" || s.Load.Rate != 0 {
		if field, err := s.Load.Check(); err != nil {
			c.addProblem("load."+field, "%s", err)
		}
	}
}

func (c *checker) network(s *Spec) {
	c.checkPair("network.same_ms", s.Network.SameMS, 0, 1e4)
	c.checkPair("network.cross_ms", s.Network.CrossMS, 0, 1e4)
	c.checkRange("network.jitter", s.Network.Jitter, 0, 1)
	c.checkPair("discovery.delay_ms", s.Discovery.DelayMS, 0, 1e5)
}

func (c *checker) sender(s *SenderSpec) {
	c.checkRange("sender.slots", float64(s.InFlightLimit), 0, 1e5)
	c.checkRange("sender.max_open", float64(s.MaxOpen), 0, 1e7)
	c.checkRange("sender.max_dispatches", float64(s.MaxAttempts), 1, 1000)
	c.checkRange("sender.turn_ms", s.TickMS, 0.1, 1000)
	c.checkRange("sender.longest_return_ms", s.LongestRetryAfterMS, 0, 1e5)
	c.checkRange("sender.dial_ms", s.DialMS, 1, 1e5)
	c.checkRange("sender.memory_mb", float64(s.MemoryMB), 16, 1<<20)
	c.checkRange("sender.sockets", float64(s.Sockets), 64, 1<<20)
	c.checkRange("sender.disk_mb", s.DiskMB, 0.05, 1e6)
	c.checkWord("sender.rating", s.Rating, "off", "rough", "nominal")
}

func (c *checker) clients(s *Clients) {
	c.checkRange("clients.retries", float64(s.Retries), 0, 100)
	c.checkRange("clients.honour", s.HonourRetryAfter, 0, 1)
	c.checkPair("clients.backoff_ms", s.BackoffMS, 1, 1e6)
	c.checkPair("clients.again_ms", s.RetryMS, 1, 1e6)
	c.checkRange("clients.patience_ms", s.PatienceMS, 1, 1e6)
}

func (c *checker) rules(r *Rules, p *Prices) {
	c.checkRange("rules.drain_grace_ms", r.DrainGraceMS, 0, 1e6)
	c.checkRange("rules.fall_multiple", r.FallMultiple, 1, 1000)
	c.checkRange("rules.fall_s", r.FallS, 0.1, 1000)
	c.checkRange("rules.key_rest_ms", r.KeyRestMS, 0, 1e6)
	c.checkRange("rules.late_ms", r.LateMS, 0, 1e5)
	c.checkRange("prices.refused", p.Refused, 0, 10)
	c.checkRange("prices.wasted", p.Wasted, 0, 10)
}

func (c *checker) classes(all []Class) {
	if len(all) == 0 {
		c.addProblem("workload", "missing; a scenario needs at least one class")
	}
	for i := range all {
		w, at := &all[i], fmt.Sprintf("workload[%d].", i)
		if w.Name == "" {
			c.addProblem(at+"name", "missing")
		}
		c.checkWord(at+"repeat", w.Repeat, Idempotent, Keyed, NonIdempotent)
		c.checkRange(at+"share", w.Share, 0, 1e6)
		c.checkRange(at+"contract_ms", w.LatencyObjectiveMS, 1, 1e7)
		c.checkRange(at+"hard_stop_ms", w.DeadlineMS, w.LatencyObjectiveMS, 86.4e6)
		c.checkRange(at+"gain", w.Value, 0, 1e6)
		c.checkRange(at+"late_gain", w.LateValue, 0, 1)
		c.checkRange(at+"window_s", w.WindowS, 0, 1e5)
	}
}

func (c *checker) partners(all []PartnerKind) {
	if len(all) == 0 {
		c.addProblem("partner", "missing; a scenario needs at least one kind of partner")
	}
	for i := range all {
		at := fmt.Sprintf("partner[%d].", i)
		c.partner(at, &all[i])
		for j := range i {
			if all[j].Name == all[i].Name {
				c.addProblem(at+"name", "%q is already used by partner[%d]", all[i].Name, j)
			}
		}
	}
}

func (c *checker) partner(at string, k *PartnerKind) {
	c.checkRange(at+"count", float64(k.Count), 1, 1e5)
	c.checkPair(at+"endpoints", k.Endpoints, 1, maxEndpoints)
	c.checkPair(at+"mean_ms", k.MeanMS, 0.1, 1e5)
	c.checkRange(at+"sigma", k.Sigma, 0, 3)
	c.checkPair(at+"headroom", k.Headroom, 0.05, 1000)
	c.checkRange(at+"least_rate", k.LeastRate, 0.1, 1e5)
	c.checkRange(at+"queue", k.Queue, 0, 1000)
	c.checkWord(at+"limit", k.Limit, "none", "rate", "span")
	c.checkPair(at+"limit_times", k.LimitTimes, 0.01, 1000)
	c.checkRange(at+"span_s", k.SpanS, 0.05, 1000)
	c.checkRange(at+"told_waits", k.RetryAfterShare, 0, 1)
	c.checkRange(at+"report_ms", k.ReportMS, 0, 1e5)
	c.checkRange(at+"bundle", float64(k.Bundle), 1, 1000)
	c.checkRange(at+"connections", float64(k.MaxConnections), 0, 1e6)
	c.checkRange(at+"handshake_ms", k.HandshakeMS, 0, 1e5)
	c.checkRange(at+"idle_s", k.IdleS, 0.5, 1e5)
	c.checkRange(at+"cold_s", k.SlowStartS, 0.1, 1e4)
	c.checkRange(at+"cold_from", k.SlowStartFrom, 0.01, 1)
	c.checkRange(at+"down_s", k.DownS, 0.1, 1e4)
	c.checkRange(at+"errors", k.ErrorShare, 0, 1)
}

func (c *checker) faults(s *Spec) {
	for i := range s.Faults {
		t, at := &s.Faults[i], fmt.Sprintf("trouble[%d].", i)
		kind, known := FaultKinds[t.Kind]
		if !known {
			c.addProblem(at+"kind", "unknown kind of fault %q; `flaxcove lab scenarios --troubles` lists the kinds", t.Kind)
			continue
		}
		c.checkRange(at+"at", t.At, 0, 1e6)
		c.checkRange(at+"seconds", t.Seconds, 0.01, 1e6)
		if end := t.At + t.Seconds; end > s.Seconds {
			c.addProblem(at+"seconds", "ends at %g s, past the run's end at %g s", end, s.Seconds)
		}
		if kind.Amount != "" {
			c.checkRange(at+"amount", t.Amount, kind.Least, kind.Most)
		}
		c.checkRange(at+"every_s", t.Every, 0.05, 1e5)
		if problem := s.selectorProblem(&t.Selector, kind.Affects); problem != "" {
			c.addProblem(at+"part", "%s", problem)
		}
	}
}

func (c *checker) changes(s *Spec) {
	for i := range s.Changes {
		change, at := &s.Changes[i], fmt.Sprintf("change[%d].", i)
		c.checkWord(at+"what", change.Change, "drain", "remove", "move", "back")
		c.checkRange(at+"at", change.At, 0, s.Seconds)
		if problem := s.selectorProblem(&change.Selector, "endpoints"); problem != "" {
			c.addProblem(at+"part", "%s", problem)
		}
	}
}

// maxEndpoints is the largest number of endpoints that a partner may have.
const maxEndpoints = 4

// selectorProblem describes why a selector is invalid for this spec, or returns "" if it is valid. The parameter affects
// is the FaultKind.Affects of the fault.
func (s *Spec) selectorProblem(p *Selector, affects string) string {
	named, total := 0, 0
	for i := range s.Partners {
		total += s.Partners[i].Count
		if p.Kind == "" || p.Kind == s.Partners[i].Name {
			named += s.Partners[i].Count
		}
	}
	switch {
	case named == 0:
		return fmt.Sprintf("there is no kind of partner %q", p.Kind)
	case p.Zone < 0 || p.Zone > s.Zones:
		return fmt.Sprintf("zone %d does not exist; the scenario has zones 1 to %d", p.Zone, s.Zones)
	case p.Endpoint < 0 || p.Endpoint > maxEndpoints:
		return fmt.Sprintf("endpoint %d is not within 0 and %d", p.Endpoint, maxEndpoints)
	case !(p.Share >= 0 && p.Share <= 1): // written so that NaN is a problem too
		return fmt.Sprintf("share %g is not within 0 and 1", p.Share)
	}
	if n, out := firstOutOfRange(p.Partners, total); out {
		return fmt.Sprintf("there is no partner %d: the scenario has %d, counted from 0", n, total)
	}
	if n, out := firstOutOfRange(p.Senders, s.Senders); out {
		return fmt.Sprintf("there is no sender %d: the scenario has %d, counted from 0", n, s.Senders)
	}
	return p.mismatch(affects)
}

// firstOutOfRange returns the first number outside [0, total), and whether there is one.
func firstOutOfRange(numbers []int, total int) (int, bool) {
	for _, n := range numbers {
		if n < 0 || n >= total {
			return n, true
		}
	}
	return 0, false
}

// mismatch describes why a selector does not suit a fault, or returns "" if it does. The parameter affects is the
// FaultKind.Affects of the fault.
func (p *Selector) mismatch(affects string) string {
	switch affects {
	case "senders":
		if p.Kind != "" || len(p.Partners) > 0 || p.Endpoint != 0 {
			return "this kind of fault affects senders; select them by share, zone or senders only"
		}
	case "clients":
	default:
		if len(p.Senders) > 0 {
			return "senders cannot be selected here, since only endpoints or discovery are affected"
		}
	}
	return ""
}
