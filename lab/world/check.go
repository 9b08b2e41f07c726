package world

// This file validates a spec. It must not change the spec, nor stop at the first problem.

import (
	"fmt"
	"slices"
)

// Problem is one thing wrong with a spec: the path of the field, as in trouble[2].part.kind, and what is wrong.
type Problem struct{ Path, What string }

func (p Problem) Error() string { return p.Path + ": " + p.What }

// Check returns all problems of a spec whose defaults are filled in. References to other parts of the spec are checked
// only if those parts are valid.
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

func (c *checker) wrong(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{path, fmt.Sprintf(format, args...)})
}

func (c *checker) within(path string, v, least, most float64) {
	if !(v >= least && v <= most) { // so that NaN is wrong too
		c.wrong(path, "%g is not within %g and %g", v, least, most)
	}
}

func (c *checker) pair(path string, p Pair, least, most float64) {
	c.within(path, p[0], least, most)
	c.within(path, p[1], least, most)
	if p[0] > p[1] {
		c.wrong(path, "%g is above %g", p[0], p[1])
	}
}

func (c *checker) word(path, v string, known ...string) {
	if !slices.Contains(known, v) {
		c.wrong(path, "%q is none of %v", v, known)
	}
}

func (c *checker) sizes(s *Spec) {
	c.within("seconds", s.Seconds, 1, 1e5)
	c.within("senders", float64(s.Senders), 1, 2000)
	c.within("zones", float64(s.Zones), 1, 64)
	if s.Load.Trace == "" || s.Load.Rate != 0 {
		if field, err := s.Load.Check(); err != nil {
			c.wrong("load."+field, "%s", err)
		}
	}
}

func (c *checker) network(s *Spec) {
	c.pair("network.same_ms", s.Network.SameMS, 0, 1e4)
	c.pair("network.cross_ms", s.Network.CrossMS, 0, 1e4)
	c.within("network.jitter", s.Network.Jitter, 0, 1)
	c.pair("discovery.delay_ms", s.Discovery.DelayMS, 0, 1e5)
}

func (c *checker) sender(s *SenderSpec) {
	c.within("sender.slots", float64(s.InFlightLimit), 0, 1e5)
	c.within("sender.max_open", float64(s.MaxOpen), 0, 1e7)
	c.within("sender.max_dispatches", float64(s.MaxAttempts), 1, 1000)
	c.within("sender.turn_ms", s.TickMS, 0.1, 1000)
	c.within("sender.longest_return_ms", s.LongestRetryAfterMS, 0, 1e5)
	c.within("sender.dial_ms", s.DialMS, 1, 1e5)
	c.within("sender.memory_mb", float64(s.MemoryMB), 16, 1<<20)
	c.within("sender.sockets", float64(s.Sockets), 64, 1<<20)
	c.within("sender.disk_mb", s.DiskMB, 0.05, 1e6)
	c.word("sender.rating", s.Rating, "off", "rough", "nominal")
}

func (c *checker) clients(s *Clients) {
	c.within("clients.retries", float64(s.Retries), 0, 100)
	c.within("clients.honour", s.HonourRetryAfter, 0, 1)
	c.pair("clients.backoff_ms", s.BackoffMS, 1, 1e6)
	c.pair("clients.again_ms", s.RetryMS, 1, 1e6)
	c.within("clients.patience_ms", s.PatienceMS, 1, 1e6)
}

func (c *checker) rules(r *Rules, p *Prices) {
	c.within("rules.drain_grace_ms", r.DrainGraceMS, 0, 1e6)
	c.within("rules.fall_multiple", r.FallMultiple, 1, 1000)
	c.within("rules.fall_s", r.FallS, 0.1, 1000)
	c.within("rules.key_rest_ms", r.KeyRestMS, 0, 1e6)
	c.within("rules.late_ms", r.LateMS, 0, 1e5)
	c.within("prices.refused", p.Refused, 0, 10)
	c.within("prices.wasted", p.Wasted, 0, 10)
}

func (c *checker) classes(all []Class) {
	if len(all) == 0 {
		c.wrong("workload", "missing; a world needs at least one")
	}
	for i := range all {
		w, at := &all[i], fmt.Sprintf("workload[%d].", i)
		if w.Name == "" {
			c.wrong(at+"name", "missing")
		}
		c.word(at+"repeat", w.Repeat, Idempotent, Keyed, NonIdempotent)
		c.within(at+"share", w.Share, 0, 1e6)
		c.within(at+"contract_ms", w.LatencyObjectiveMS, 1, 1e7)
		c.within(at+"hard_stop_ms", w.DeadlineMS, w.LatencyObjectiveMS, 86.4e6)
		c.within(at+"gain", w.Value, 0, 1e6)
		c.within(at+"late_gain", w.LateValue, 0, 1)
		c.within(at+"window_s", w.WindowS, 0, 1e5)
	}
}

func (c *checker) partners(all []Kind) {
	if len(all) == 0 {
		c.wrong("partner", "missing; a world needs at least one kind")
	}
	for i := range all {
		at := fmt.Sprintf("partner[%d].", i)
		c.partner(at, &all[i])
		for j := range i {
			if all[j].Name == all[i].Name {
				c.wrong(at+"name", "%q is taken by partner[%d]", all[i].Name, j)
			}
		}
	}
}

func (c *checker) partner(at string, k *Kind) {
	c.within(at+"count", float64(k.Count), 1, 1e5)
	c.pair(at+"endpoints", k.Endpoints, 1, maxEndpoints)
	c.pair(at+"mean_ms", k.MeanMS, 0.1, 1e5)
	c.within(at+"sigma", k.Sigma, 0, 3)
	c.pair(at+"headroom", k.Headroom, 0.05, 1000)
	c.within(at+"least_rate", k.LeastRate, 0.1, 1e5)
	c.within(at+"queue", k.Queue, 0, 1000)
	c.word(at+"limit", k.Limit, "none", "rate", "span")
	c.pair(at+"limit_times", k.LimitTimes, 0.01, 1000)
	c.within(at+"span_s", k.SpanS, 0.05, 1000)
	c.within(at+"told_waits", k.RetryAfterShare, 0, 1)
	c.within(at+"report_ms", k.ReportMS, 0, 1e5)
	c.within(at+"bundle", float64(k.Bundle), 1, 1000)
	c.within(at+"connections", float64(k.MaxConnections), 0, 1e6)
	c.within(at+"handshake_ms", k.HandshakeMS, 0, 1e5)
	c.within(at+"idle_s", k.IdleS, 0.5, 1e5)
	c.within(at+"cold_s", k.SlowStartS, 0.1, 1e4)
	c.within(at+"cold_from", k.SlowStartFrom, 0.01, 1)
	c.within(at+"down_s", k.DownS, 0.1, 1e4)
	c.within(at+"errors", k.ErrorShare, 0, 1)
}

func (c *checker) faults(s *Spec) {
	for i := range s.Faults {
		t, at := &s.Faults[i], fmt.Sprintf("trouble[%d].", i)
		kind, known := FaultKinds[t.Kind]
		if !known {
			c.wrong(at+"kind", "no trouble is called %q", t.Kind)
			continue
		}
		c.within(at+"at", t.At, 0, 1e6)
		c.within(at+"seconds", t.Seconds, 0.01, 1e6)
		if end := t.At + t.Seconds; end > s.Seconds {
			c.wrong(at+"seconds", "ends at %g s, past the run's end at %g s", end, s.Seconds)
		}
		if kind.Amount != "" {
			c.within(at+"amount", t.Amount, kind.Least, kind.Most)
		}
		c.within(at+"every_s", t.Every, 0.05, 1e5)
		if what := s.selectorProblem(&t.Selector, kind.Affects); what != "" {
			c.wrong(at+"part", "%s", what)
		}
	}
}

func (c *checker) changes(s *Spec) {
	for i := range s.Changes {
		change, at := &s.Changes[i], fmt.Sprintf("change[%d].", i)
		c.word(at+"what", change.Change, "drain", "remove", "move", "back")
		c.within(at+"at", change.At, 0, s.Seconds)
		if what := s.selectorProblem(&change.Selector, "endpoints"); what != "" {
			c.wrong(at+"part", "%s", what)
		}
	}
}

// maxEndpoints is the largest number of endpoints of a partner.
const maxEndpoints = 4

// selectorProblem says why a selector matches nothing of this spec, or "" if it matches.
func (s *Spec) selectorProblem(p *Selector, strikes string) string {
	named, total := 0, 0
	for i := range s.Partners {
		total += s.Partners[i].Count
		if p.Kind == "" || p.Kind == s.Partners[i].Name {
			named += s.Partners[i].Count
		}
	}
	switch {
	case named == 0:
		return fmt.Sprintf("no kind of partner is called %q", p.Kind)
	case p.Zone < 0 || p.Zone > s.Zones:
		return fmt.Sprintf("zone %d of %d", p.Zone, s.Zones)
	case p.Endpoint < 0 || p.Endpoint > maxEndpoints:
		return fmt.Sprintf("endpoint %d is not within 0 and %d", p.Endpoint, maxEndpoints)
	case !(p.Share >= 0 && p.Share <= 1): // so that NaN is wrong too
		return fmt.Sprintf("share %g is not within 0 and 1", p.Share)
	}
	if n, out := outside(p.Partners, total); out {
		return fmt.Sprintf("partner %d of %d, counted from 0", n, total)
	}
	if n, out := outside(p.Senders, s.Senders); out {
		return fmt.Sprintf("sender %d of %d, counted from 0", n, s.Senders)
	}
	return p.mismatch(strikes)
}

// outside returns the first number that is not a valid index below total.
func outside(numbers []int, total int) (int, bool) {
	for _, n := range numbers {
		if n < 0 || n >= total {
			return n, true
		}
	}
	return 0, false
}

// mismatch says why a selector does not suit a fault that affects senders, clients or endpoints, or "" if it does.
func (p *Selector) mismatch(what string) string {
	switch what {
	case "senders":
		if p.Kind != "" || len(p.Partners) > 0 || p.Endpoint != 0 {
			return "this trouble strikes senders; choose them by share, zone or senders"
		}
	case "clients":
	default:
		if len(p.Senders) > 0 {
			return "senders cannot be chosen here"
		}
	}
	return ""
}
