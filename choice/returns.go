package choice

import "math"

// Outages: how an endpoint is ejected, and how it comes back without being pushed over.

// lost tells of a call without an answer, once. Others answered meanwhile: less at once is enough.
func (s *Sender) lost(c *call) {
	if !c.lost && c.e.goodAt > c.sentAt {
		c.e.limit, c.e.doubt, c.e.badAt = max(1, c.e.limit/2), doubtRun, s.now
	} else if !c.lost {
		s.failed(c.e, 0)
	}
	c.lost = true
}

func (s *Sender) failed(e *endpoint, limit float64) {
	e.fails, e.route.fails = e.fails+1, e.route.fails+1
	// One is enough where nothing was answered lately, as a large fleet seldom sees two, and two of a route are
	// all of it, or each sender would push at every endpoint in turn. Of many calls some fail by chance.
	used := e.used.read(s.now, loadSpan*Time(s.senders))
	run := math.Log(byChance*used) / -math.Log(max(toleratedShare, e.wrong))
	if e.ejected || e.fails >= max(ejectAfter, int(math.Ceil(run))) || limit == 0 && s.now-e.goodAt > quietFor {
		all := s.senders > smallFleet && e.route.fails >= ejectAfter && s.now-e.route.lastGood > quietFor
		for _, other := range e.d.ranked {
			if other == e || other.route == e.route && !other.ejected && all {
				s.eject(other)
			}
		}
	}
}

// eject stops sends to an endpoint whose calls fail, whatever the cause. It comes back by a probe, where
// the fleet is small, and then a trial call. Harm: a healthy endpoint with two chance failures.
func (s *Sender) eject(e *endpoint) {
	if s.stir(e.d); e.ejected {
		e.step, e.failAt = min(lastTrial, 2*e.step), s.now
	} else {
		e.ejectedAt, e.failAt, e.step, e.coldWas = s.now, s.now, firstTrial, e.coldFrom
		s.chill(e, max(s.now, e.route.haltUntil))
	}
	e.ejected, e.passed, e.tryAt = true, false, s.now+e.step/2+s.chance.upTo(string(e.id), e.step/2)
}

func (s *Sender) comeBack(e *endpoint, sentAt Time) {
	if e.ejected && s.now-e.goodAt < blinkFor {
		e.coldFrom = e.coldWas
	} else if e.ejected && sentAt >= e.ejectedAt { // a call from before shows no return
		s.chill(e, (e.failAt+s.now)/2)
	}
	e.fails, e.ejected = 0, false
}

// chill starts a cold budget: two senders begin at once, those of a fleet each by chance. One under way goes
// on, or each would send twice at its own return; but for few senders, whose parts fill often in a fall span.
func (s *Sender) chill(e *endpoint, from Time) {
	level := 1 - s.chance.share(string(e.id))*max(0, 1-2/s.senders)
	if s.outage(e) && (s.senders > smallFleet || e.cold.rate*s.fall <= handful) {
		level = min(level, e.cold.level) // nor may what piled up leave in one moment, as a told wait ends
	}
	e.limit, e.mean, e.coldFrom, e.cold = firstLimit, e.past, from, bucket{e.cold.rate, level, max(from, s.now)}
}

func (s *Sender) outage(e *endpoint) bool { return e.ejected || s.now < e.coldFrom+s.set.SlowStart }

// coldReady bounds all that goes to what is ejected or may be cold, against pushing it over.
func (s *Sender) coldReady(e *endpoint) bool {
	if !s.outage(e) {
		return true
	}
	ends := 1 + one(e.route == e.d.route)*float64(len(e.d.ranked)-1)
	cold := max(1, s.set.SlowStart)
	warm := s.set.SlowStartFrom + one(!e.ejected)*(1-s.set.SlowStartFrom)*float64(s.now-e.coldFrom)/float64(cold)
	told := min(unpaced, max(e.route.limit, e.route.rating*s.ratingPart*s.senders))
	// Where it is not known what it takes, less would keep a large fleet away.
	floor := either(told*s.set.FallMultiple == 0, coldFloor/seconds(cold)/ends, 0)
	share := s.coldMean(s.set.FallMultiple*warm*max(leastPace, told)/ends*s.fall) / s.fall / s.senders
	e.cold.rate = max(floor, share)
	return e.cold.fill(s.now, 1) >= 1
}

// coldMean is the design's ramp for all senders together: their calls in a fall span, on average, where n are
// allowed. It falls beyond n + 2 root n + 2. Few senders stay below with all buckets full; a fleet, coldLuck
// deviations below, if it acts by chance, not in step. Harm: if few of it have calls, returns are seen late.
func (s *Sender) coldMean(n float64) float64 {
	n = min(max(0, n), unpaced*s.fall)
	most, many := n+2*math.Sqrt(n)+2, one(s.senders > smallFleet)
	sure := min(most, max(handful+s.senders, coldPart*n)) - s.senders
	return min(coldPart*max(n, 1/handful), max(sure, min(handful+many*n, meanBelow(most, coldLuck))))
}

func (s *Sender) Probed(id EndpointID, result Result) {
	s.now = s.h.Now()
	if e := s.endpoints[id]; e != nil && e.probing {
		if e.probing, e.passed = false, result == Done; result == Cancelled { // it never left, and tells nothing
			e.tryAt = s.now + e.step
		} else if e.ejected && !e.passed {
			s.eject(e)
		}
	}
}
