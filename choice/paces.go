package choice

import "math"

// What a route may be sent: paces after refusals, told waits, and what senders tell each other of them.

// refused tells a limit, which a report shows used up, from a shut destination. With neither report nor wait
// told, a run with nothing done has one guessed, doubling. Harm: a very low limit not reported.
func (s *Sender) refused(c *call, o Outcome) {
	e, r, halted := c.e, c.e.route, c.e.route.haltUntil
	limited := o.Report.Limit > 0 && (o.Report.Left-usedUp)*o.Report.Limit < 1
	if r.run++; s.notes && s.now >= halted && (limited || o.Wait > 0 || !e.d.kind.reports) {
		s.tell(e, max(o.Wait, noteUnit))
		s.heed(e, o.Wait)
	}
	if o.Wait > 0 {
		s.halt(e, o.Wait, o.Wait > longWait || e.d.kind.reports && !limited && s.now-r.lastGood > crowdedFor)
	}
	if limited && o.Wait <= longWait {
		s.readmit(e, c.sentAt)
	} else if o.Wait == 0 && e.d.kind.reports && r.limit == 0 && !e.ejected && s.now-r.lastGood < crowdedFor {
		e.limit = max(1, min(e.limit, float64(e.calls)-1)) // a pace cut for it would starve what has no limit
		return
	} else if e.ejected || e.d.kind.reports {
		s.recordFailure(e, o.Report.Limit)
	} else if o.Wait == 0 && r.run >= refusedRun && s.now-r.lastGood > quietFor && s.now >= r.haltUntil {
		r.guess = min(lastGuess, max(firstTrialPause, 2*r.guess))
		s.halt(e, r.guess/2+s.chance.upTo(string(e.id), r.guess/2), false)
	}
	if o.Wait == 0 || s.now-halted <= quietFor { // a wait that comes anew is heeded, and that is enough
		s.slowDown(e.d, r)
	}
}

// slowDown answers the share of calls refused since it last judged, once a second at most, in proportion,
// from the highest load of late. A share that stays when there is less load is noise, once luck does not
// explain it. Harm: a limit told nowhere is met oftener, and of few calls nothing can be told.
func (s *Sender) slowDown(d *destination, r *route) {
	if r.full++; s.now-r.lastCut <= Second {
		return
	}
	full, seen := s.ofRoute(d, r)
	since, share := max(1, seconds(s.now-r.lastCut)), full/seen
	r.top = max(r.load.read(s.now, s.loadSpan), r.seen/since, r.top*math.Exp(-since/topFor))
	load := min(r.top, r.pace.rate)
	limited := max(0, 1-(1-r.wasShare)*r.wasLoad/load) // what a limit would refuse of so much less
	both := (share*seen + r.wasShare*r.wasSeen) / (seen + r.wasSeen)
	told := r.wasShare-limited > noiseTold*luck(both, seen, r.wasSeen)
	if told && share > (limited+r.wasShare)/2 {
		r.noise, load = max(r.noise, min(mostNoise, r.wasShare, share)), r.wasLoad
		r.pace.rate = max(r.pace.rate, load)
	}
	if told || load > r.wasLoad {
		r.wasLoad, r.wasShare, r.wasSeen = load, share, seen
	} else if load > nearLoad*r.wasLoad {
		r.wasShare, r.wasSeen = both, seen+r.wasSeen
	}
	r.noise += meanWeight * min(0, share-r.noise)
	over := share - max(toleratedShare, r.noise+2*math.Sqrt(r.noise*(1-r.noise)/seen))
	over = max(over, one(s.senders > smallFleetSize && r.seen < callsToJudge))
	r.lastCut, r.seen, r.full = s.now, 0, 0
	if over > 0 {
		r.pace.level = min(0, r.pace.level)
		to := max(paceCut-paceCut/2*one(full > handful), 1-over) * load
		if part := r.limit / s.senders; r.limit > 0 { // where refused calls count, parts would keep it used up
			to = either(r.run >= refusedRun, paceCut*min(r.pace.rate, part), part)
		}
		r.pace.rate = max(leastPace/s.senders, one(s.notes)/seconds(s.base), to)
	}
}

// ofRoute counts what tells of a route. What one endpoint refuses of late beyond luck is its own affair.
func (s *Sender) ofRoute(d *destination, r *route) (float64, float64) {
	worst, full, seen := &endpoint{}, 0.0, 0.0
	for e := range d.sharing(r) {
		full, seen, e.full, e.asked = full+e.full, seen+e.asked, e.full*nearLoad, e.asked*nearLoad
		if e.full >= worst.full {
			worst = e
		}
	}
	own, most, rest := worst.asked/nearLoad, worst.full/nearLoad, seen-worst.asked/nearLoad
	if rest >= callsToJudge/2 && most/own-(full-most)/rest > noiseTold*luck(full/seen, own, rest) {
		return full - most, rest
	}
	return r.full, r.seen + 1
}

// halt heeds a told wait, jittered so that senders told alike do not return in step.
func (s *Sender) halt(e *endpoint, wait Time, shut bool) {
	end := s.now + wait + s.chance.upTo(string(e.id), min(wait/8, tick*4))
	e.route.haltUntil = max(e.route.haltUntil, end)
	for other := range e.d.sharing(e.route) {
		other.slowStart.at = max(other.slowStart.at, end) // what all may send after it must not pile up in it
		if shut {
			s.beginSlowStart(other, end)
		}
	}
}

func (r *route) ready(now Time) bool {
	// Room is tried again little by little, and faster the longer and the more calls show that there is some.
	faster := max(0, min(seconds(now-r.lastCut-3*Second), r.seen/callsToJudge))/2 + one(r.pace.rate < r.peak/2)
	r.pace.rate = min(unpaced, r.pace.rate*math.Exp(paceGrow*(1+faster)*seconds(now-r.pace.at)))
	return now >= r.haltUntil && r.pace.fill(now, max(1, r.pace.rate/2)) >= 1
}

// Heard takes a note of another sender: that a limit was met, or, with no wait, that no place was found.
func (s *Sender) Heard(note []byte) {
	s.now = s.h.Now()
	g, wait := read(note)
	if e := s.signs[g]; e != nil && wait > 0 {
		s.heed(e, wait)
	} else if e != nil && wait == 0 {
		if e.toldAt = s.now; e.calls == 0 && e.linkUntil > s.now {
			e.linkUntil = s.now
			s.h.CloseIdle(e.id)
		}
	}
}

func (s *Sender) tell(e *endpoint, wait Time) {
	if s.notes && (wait > 0 || s.now >= e.toldAt+quietFor) {
		e.toldAt = s.now
		s.h.Tell(write(e.id, wait))
	}
}

// heed rests a route whose limit a sender of the fleet met, jittered, as what all hold back must not come at
// once: as long as its kind usually tells to wait, longer the sooner it is met again. Harm: room lies idle.
func (s *Sender) heed(e *endpoint, wait Time) {
	r, k := e.route, e.d.kind
	k.wait += Time(one(wait > noteUnit && wait < lastGuess/2) * meanWeight * float64(wait-k.wait))
	if s.now < r.metAt+r.rest/2 {
		return
	}
	longer := min(max(Second, 2*k.wait), r.rest+r.rest/2)
	r.rest, r.metAt = either(s.now >= r.metAt+2*longer, k.wait, longer), s.now
	r.haltUntil = max(r.haltUntil, s.now+max(wait, r.rest/2)+s.chance.upTo(string(e.id), r.rest))
}
