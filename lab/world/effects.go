package world

// This file holds what faults do to one endpoint. When they begin and end is up to fault.go.

// effects is the sum of what the active faults do to one endpoint.
type effects struct {
	crash      bool
	shut       bool
	silent     bool
	hung       bool
	cut        bool
	neverReads bool
	refuse     bool // new connections

	// Shares of calls, from 0 to 1.
	failing  float64
	refusing float64
	resets   float64
	spoilt   float64
	lying    float64

	slow  float64 // factor on the duration of a call; 0 for none
	shake float64 // additional milliseconds for a handshake
	limit float64 // share of the limit that is left; 0 for all of it

	pauseFor   Time
	pauseEvery Time
	pauseFrom  Time
	shutUntil  Time
	burst      cycle
	swing      cycle
	firstCalls float64 // so many calls are refused after a pause of firstPause
	firstPause Time
}

// cycle is a condition that recurs in each period of the length every, for a share of it, counted from the fault's start.
type cycle struct {
	share float64
	every Time
	from  Time
}

// cycleOf is the cycle that a fault describes.
func cycleOf(t *Fault) cycle {
	return cycle{share: t.Amount, every: seconds(t.Every), from: seconds(t.At)}
}

// phase is the part of the current period that is over, from 0 to 1.
func (c cycle) phase(now Time) float64 {
	return float64((now-c.from)%c.every) / float64(c.every)
}

// slowness is the factor on the duration of a call.
func (f *effects) slowness() float64 { return max(1, f.slow) }

// limitLeft is the share of an endpoint's limit that is left.
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

// pausedUntil is when an endpoint that is paused continues, or 0 if it is not paused.
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

// add adds the effect of a fault.
func (f *effects) add(t *Fault) {
	if apply := effectOfKind[t.Kind]; apply != nil {
		apply(f, t)
	}
}

// effectOfKind says what each kind of fault of endpoints adds to the effects of others.
var effectOfKind = map[string]func(*effects, *Fault){
	"crash":          func(f *effects, _ *Fault) { f.crash = true },
	"silent":         func(f *effects, _ *Fault) { f.silent = true },
	"hung":           func(f *effects, _ *Fault) { f.hung = true },
	"cut_off":        func(f *effects, _ *Fault) { f.cut = true },
	"never_reads":    func(f *effects, _ *Fault) { f.neverReads = true },
	"no_connections": func(f *effects, _ *Fault) { f.refuse = true },
	"shut": func(f *effects, t *Fault) {
		f.shut, f.shutUntil = true, max(f.shutUntil, seconds(t.At+t.Seconds))
	},

	"failing":  func(f *effects, t *Fault) { f.failing = either(f.failing, t.Amount) },
	"refusing": func(f *effects, t *Fault) { f.refusing = either(f.refusing, t.Amount) },
	"lying":    func(f *effects, t *Fault) { f.lying = either(f.lying, t.Amount) },
	"resets":   func(f *effects, t *Fault) { f.resets = either(f.resets, t.Amount) },
	"spoilt":   func(f *effects, t *Fault) { f.spoilt = either(f.spoilt, t.Amount) },

	"refusing_bursts": func(f *effects, t *Fault) { f.burst = cycleOf(t) },
	"limit_swings":    func(f *effects, t *Fault) { f.swing = cycleOf(t) },
	"refusing_first": func(f *effects, t *Fault) {
		f.firstCalls, f.firstPause = max(f.firstCalls, t.Amount), seconds(t.Every)
	},
	"pausing": func(f *effects, t *Fault) {
		f.pauseFor, f.pauseEvery, f.pauseFrom = max(f.pauseFor, ms(t.Amount)), seconds(t.Every), seconds(t.At)
	},

	"slow":            func(f *effects, t *Fault) { f.slow = f.slowness() * t.Amount },
	"slow_handshakes": func(f *effects, t *Fault) { f.shake += t.Amount },
	"throttled": func(f *effects, t *Fault) {
		if f.limit == 0 {
			f.limit = 1
		}
		f.limit *= max(t.Amount, 1e-6)
	},
}

// either is the share of calls that at least one of two independent faults affects.
func either(one, other float64) float64 { return 1 - (1-one)*(1-other) }
