package world

// This file owns what troubles do to one endpoint. It must never know when they begin or end.

// effects are what the troubles of the moment do to one endpoint.
type effects struct {
	crash  bool
	shut   bool
	silent bool
	hung   bool
	cut    bool
	deaf   bool
	refuse bool // connections

	failing  float64 // shares of calls
	refusing float64
	resets   float64
	spoilt   float64
	lying    float64

	slow  float64 // times slower; 0 where nothing
	shake float64 // milliseconds more for a handshake
	limit float64 // share of the limit that is left; 0 where nothing

	pauseFor   Time
	pauseEvery Time
	pauseFrom  Time
	shutUntil  Time
	burst      cycle
	swing      cycle
	firstCalls float64 // refused after a pause of firstPause
	firstPause Time
}

// cycle is something that comes back in each span: for its share of it, from where the trouble began.
type cycle struct {
	share float64
	every Time
	from  Time
}

// phase is the part of the present span that is over.
func (c cycle) phase(now Time) float64 {
	return float64((now-c.from)%c.every) / float64(c.every)
}

// slowness is how many times longer a call takes.
func (f *effects) slowness() float64 { return max(1, f.slow) }

// limitLeft is the share of its limit that is left.
func (f *effects) limitLeft(now Time) float64 {
	left := 1.0
	if f.limit > 0 {
		left = f.limit
	}
	if f.swing.every > 0 && f.swing.phase(now) >= 0.5 {
		left *= f.swing.share
	}
	return left
}

// pausedUntil is when an endpoint that stands still goes on; 0 where it does not.
func (w *World) pausedUntil(e *Endpoint) Time {
	if e.effects.pauseFor == 0 {
		return 0
	}
	from := (w.now - e.effects.pauseFrom) / e.effects.pauseEvery * e.effects.pauseEvery
	if end := e.effects.pauseFrom + from + e.effects.pauseFor; w.now < end {
		return end
	}
	return 0
}

// add adds what a trouble does to what others do.
func (f *effects) add(t *Fault) {
	amount := t.Amount
	switch t.Kind {
	case "crash":
		f.crash = true
	case "shut":
		f.shut, f.shutUntil = true, max(f.shutUntil, seconds(t.At+t.Seconds))
	case "silent":
		f.silent = true
	case "hung":
		f.hung = true
	case "cut_off":
		f.cut = true
	case "never_reads":
		f.deaf = true
	case "no_connections":
		f.refuse = true
	case "failing":
		f.failing = either(f.failing, amount)
	case "refusing":
		f.refusing = either(f.refusing, amount)
	case "refusing_bursts":
		f.burst = cycle{share: amount, every: seconds(t.Every), from: seconds(t.At)}
	case "refusing_first":
		f.firstCalls, f.firstPause = max(f.firstCalls, amount), seconds(t.Every)
	case "lying":
		f.lying = either(f.lying, amount)
	case "limit_swings":
		f.swing = cycle{share: amount, every: seconds(t.Every), from: seconds(t.At)}
	case "resets":
		f.resets = either(f.resets, amount)
	case "spoilt":
		f.spoilt = either(f.spoilt, amount)
	case "slow":
		f.slow = f.slowness() * amount
	case "slow_handshakes":
		f.shake += amount
	case "throttled":
		if f.limit == 0 {
			f.limit = 1
		}
		f.limit *= max(amount, 1e-6)
	case "pausing":
		f.pauseFor, f.pauseEvery, f.pauseFrom = max(f.pauseFor, ms(amount)), seconds(t.Every), seconds(t.At)
	}
}

// either is the share of calls that one of two things of their own strikes.
func either(one, other float64) float64 { return 1 - (1-one)*(1-other) }
