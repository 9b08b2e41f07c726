package world

// This file holds the effects of faults on one endpoint. fault.go decides when faults begin and end.

// effects is the combined effect of the active faults on one endpoint. Its zero value is no effect.
type effects struct {
	crash        bool
	shut         bool
	shutCloses   bool // while it is shut, each refusal announces that its connection is closed
	shutHangsUp  bool // while it is shut, each refusal closes its connection without an announcement
	shutTells    bool // while it is shut, each refusal carries a Retry-After
	unanswered   bool // each call closes its connection in place of an answer
	silent       bool
	hung         bool
	isolated     bool
	neverReads   bool
	refusesConns bool // new connections are refused

	// Shares of the calls that the faults affect, from 0 to 1.
	failing   float64
	refusing  float64
	resets    float64
	malformed float64
	lying     float64
	twice     float64 // answers of which a second copy follows

	slowFactor  float64 // factor on the duration of a call; 0 if no fault changes it
	handshakeMS float64 // additional milliseconds for a handshake
	limitShare  float64 // remaining share of the rate limit; 0 if no fault changes it

	pauseFor     Time // length of each pause of the process; 0 for no pauses
	pauseEvery   Time // time from the start of one pause to the start of the next
	pauseFrom    Time // start of the first pause
	shutUntil    Time // end of the fault shut, which sets the Retry-After
	refusedBurst cycle
	limitSwing   cycle
	firstCalls   float64 // number of calls that are refused after a pause
	firstPause   Time    // time without calls after which the next firstCalls are refused
}

// cycle is a periodic effect. Periods have the length every and are counted from the start of the fault. For
// refusing_bursts, share is the part of the period in which calls are refused; for limit_swings, the part of the limit
// that remains in the second half. A cycle is off if every is 0.
type cycle struct {
	share float64
	every Time
	from  Time
}

// cycleOf returns the cycle of a fault, from its amount, period and start.
func cycleOf(t *Fault) cycle {
	return cycle{share: t.Amount, every: seconds(t.Every), from: seconds(t.At)}
}

// phase returns the elapsed part of the current period, from 0 to 1.
func (c cycle) phase(now Time) float64 {
	return float64((now-c.from)%c.every) / float64(c.every)
}

// durationFactor returns the factor on the duration of a call, at least 1.
func (f *effects) durationFactor() float64 { return max(1, f.slowFactor) }

// limitLeft returns the share of an endpoint's rate limit that the active faults leave, from 0 to 1.
func (f *effects) limitLeft(now Time) float64 {
	left := 1.0
	if f.limitShare > 0 {
		left = f.limitShare
	}
	if f.limitSwing.every > 0 && f.limitSwing.phase(now) >= 0.5 {
		left *= f.limitSwing.share
	}
	return left
}

// pausedUntil returns the time at which a paused endpoint continues, or 0 if the endpoint is not paused.
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

// add adds the effect of a fault of any kind in effectOfKind.
func (f *effects) add(t *Fault) {
	if apply := effectOfKind[t.Kind]; apply != nil {
		apply(f, t)
	}
}

// effectOfKind maps each kind of fault of endpoints to the function that adds its effect to those of other faults.
var effectOfKind = map[string]func(*effects, *Fault){
	"crash":          func(f *effects, _ *Fault) { f.crash = true },
	"silent":         func(f *effects, _ *Fault) { f.silent = true },
	"hung":           func(f *effects, _ *Fault) { f.hung = true },
	"cut_off":        func(f *effects, _ *Fault) { f.isolated = true },
	"never_reads":    func(f *effects, _ *Fault) { f.neverReads = true },
	"no_connections": func(f *effects, _ *Fault) { f.refusesConns = true },
	"shut": func(f *effects, t *Fault) {
		f.shut, f.shutUntil = true, max(f.shutUntil, seconds(t.At+t.Seconds))
	},

	"shut_closing": func(f *effects, t *Fault) {
		f.shut, f.shutCloses, f.shutUntil = true, true, max(f.shutUntil, seconds(t.At+t.Seconds))
	},

	"shut_hanging_up": func(f *effects, t *Fault) {
		f.shut, f.shutHangsUp, f.shutUntil = true, true, max(f.shutUntil, seconds(t.At+t.Seconds))
	},

	"shut_telling": func(f *effects, t *Fault) {
		f.shut, f.shutTells, f.shutUntil = true, true, max(f.shutUntil, seconds(t.At+t.Seconds))
	},

	"unanswered": func(f *effects, _ *Fault) { f.unanswered = true },

	"failing":  func(f *effects, t *Fault) { f.failing = combineShares(f.failing, t.Amount) },
	"refusing": func(f *effects, t *Fault) { f.refusing = combineShares(f.refusing, t.Amount) },
	"lying":    func(f *effects, t *Fault) { f.lying = combineShares(f.lying, t.Amount) },
	"resets":   func(f *effects, t *Fault) { f.resets = combineShares(f.resets, t.Amount) },
	"spoilt":   func(f *effects, t *Fault) { f.malformed = combineShares(f.malformed, t.Amount) },

	"second_answers": func(f *effects, t *Fault) { f.twice = combineShares(f.twice, t.Amount) },

	"refusing_bursts": func(f *effects, t *Fault) { f.refusedBurst = cycleOf(t) },
	"limit_swings":    func(f *effects, t *Fault) { f.limitSwing = cycleOf(t) },
	"refusing_first": func(f *effects, t *Fault) {
		f.firstCalls, f.firstPause = max(f.firstCalls, t.Amount), seconds(t.Every)
	},
	"pausing": func(f *effects, t *Fault) {
		f.pauseFor, f.pauseEvery, f.pauseFrom = max(f.pauseFor, ms(t.Amount)), seconds(t.Every), seconds(t.At)
	},

	"slow":            func(f *effects, t *Fault) { f.slowFactor = f.durationFactor() * t.Amount },
	"slow_handshakes": func(f *effects, t *Fault) { f.handshakeMS += t.Amount },
	"throttled": func(f *effects, t *Fault) {
		if f.limitShare == 0 {
			f.limitShare = 1
		}
		f.limitShare *= max(t.Amount, 1e-6)
	},
}

// combineShares returns the share of calls that at least one of two independent faults affects, from the share of each.
func combineShares(one, other float64) float64 { return 1 - (1-one)*(1-other) }
