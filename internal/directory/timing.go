package directory

// This file computes how long each step of a watch may take and how long to wait before the next call. It uses no
// connection and reads no clock.
//
// A change must be received within NotifyWithin of the time when discovery both has the change and can be reached.
// Source: the operators' terms, by which such a change counts as notified. A call may have started just before that time
// and hang, and the next one may connect late. Therefore the next call starts within maxInterval of the start of the
// previous one, however that one ended. The wait before it is drawn evenly from the rest of that interval, which spreads
// the calls.
//
// After an error status a longer wait may apply. Such a status comes from a discovery that can be reached but is
// overloaded by the calls of all senders. In a large fleet, calls within maxInterval would keep it overloaded, and no
// call would ever be served. So after an error status the wait depends on the number of senders, if their calls would
// otherwise be less than CallSpacing apart on average; in a smaller fleet maxInterval applies after an error status as
// well. The drawback: if discovery returns an error to many senders for another reason, they receive its changes up to
// MaxBackoff late. The longer wait applies only after an error status.

import "time"

// timing holds the timeouts of the steps of a watch and the waits between calls. Together they guarantee that a change
// that a watch misses by falling silent is received, or asked for twice, within NotifyWithin of the last sign of life.
// With the values of defaultTiming, the longest times from the last sign of life to the start of the next call are:
// silence, 2.75 s; a message that begins just before then and stops, 3.8 s; either, followed by a call whose head never
// arrives, 4.85 s; silence, followed by a call that sends only a head, 5.25 s.
type timing struct {
	// NotifyWithin is the time after which a missed change counts as notified, measured from the last sign of life or
	// from the time when discovery could be reached again. Source: the page of the standing test, and the operators'
	// terms.
	NotifyWithin time.Duration
	// Slack is the part of NotifyWithin that is reserved for delays of the machine.
	Slack time.Duration
	// MaxSilence is how long an open watch may send nothing. Discovery sends an empty line every two seconds.
	MaxSilence time.Duration
	// HeadTimeout is the time from the start of a call to the head of the answer, including the time to connect.
	// Discovery answers immediately, and connecting takes at most a second.
	HeadTimeout time.Duration
	// FirstSignTimeout is the time from the start of a call to the first sign of life. Discovery sends a message or an
	// empty line within two seconds of the head.
	FirstSignTimeout time.Duration
	// MessageTimeout is the time from the first byte of a message to its last.
	MessageTimeout time.Duration
	// StalledTimeout replaces HeadTimeout and MessageTimeout for a stalled call that is read in parallel with the next
	// one; twice its value replaces FirstSignTimeout. A stalled call may be slow because it delays nothing. It is longer
	// than maxInterval, so that the next call starts before the stalled one is given up.
	StalledTimeout time.Duration
	// ReconnectSpread is the maximum wait before the call after a closed watch. It spreads the calls of all senders when
	// a restarting discovery closes all watches at once. withDrainGrace limits it, because a pushed list counts as
	// notified also while no watch is open.
	ReconnectSpread time.Duration
	// MinBackoff is the shortest maximum wait after a failed call.
	MinBackoff time.Duration
	// CallSpacing is the average time between two calls of all senders after a failed call. The time doubles after the
	// second failure in a row and again after the third, as long as the wait stays below MaxBackoff. Without
	// CallSpacing, a discovery that many senders call again and again would answer none of them and never recover. After
	// a failure other than an error status, maxInterval limits the wait as well.
	CallSpacing time.Duration
	// MaxBackoff is the maximum wait before a call.
	MaxBackoff time.Duration
	// Senders is the number of senders that call the same discovery.
	Senders int
}

const (
	// maxImmediateRetries is how many calls in a row may be silent or cut off before the wait is that of a failed call.
	maxImmediateRetries = 2
	// maxDoublings is how many times failures in a row double the spread of calls.
	maxDoublings = 2
)

// defaultTiming returns the timing that Watch uses if the given number of senders call the same discovery.
func defaultTiming(senders int) timing {
	return timing{
		NotifyWithin:     6 * time.Second,
		Slack:            100 * time.Millisecond,
		MaxSilence:       2750 * time.Millisecond,
		HeadTimeout:      1050 * time.Millisecond,
		FirstSignTimeout: 2500 * time.Millisecond,
		MessageTimeout:   1050 * time.Millisecond,
		StalledTimeout:   6 * time.Second,
		ReconnectSpread:  600 * time.Millisecond,
		MinBackoff:       1200 * time.Millisecond,
		CallSpacing:      100 * time.Millisecond,
		MaxBackoff:       30 * time.Second,
		Senders:          senders,
	}
}

// withDrainGrace returns the timing for a sender whose calls to an endpoint must end within grace after it is drained or
// removed. Half of the grace is left for the call for the list and for delays of the machine. A grace of 0 is unknown.
func (t timing) withDrainGrace(grace time.Duration) timing {
	if grace > 0 {
		t.ReconnectSpread = min(t.ReconnectSpread, grace/2)
	}
	return t
}

// maxInterval returns the maximum time from the start of one call to the start of the next.
func (t *timing) maxInterval() time.Duration { return t.NotifyWithin - t.HeadTimeout - t.Slack }

// fleetSpread returns the duration over which the calls of all senders are CallSpacing apart.
func (t *timing) fleetSpread() time.Duration { return time.Duration(t.Senders) * t.CallSpacing }

// wouldOverload reports whether calls of all senders within maxInterval, after waits drawn evenly from it, would be less
// than CallSpacing apart.
func (t *timing) wouldOverload() bool { return 2*t.fleetSpread() > t.maxInterval() }

// maxWait returns the maximum wait after the given number of failed calls in a row.
func (t *timing) maxWait(failures int) time.Duration {
	if failures == 0 {
		return t.ReconnectSpread
	}
	backoff := t.fleetSpread() << min(failures-1, maxDoublings)
	return min(t.MaxBackoff, max(t.MinBackoff, backoff))
}

// ending says how a call for the list ended.
type ending int

const (
	failed      ending = iota // the connection failed, the answer was not a watch, or it ended before the first sign of life
	errorStatus               // the answer had an error status: discovery cannot serve all callers
	cutOff                    // the connection ended or failed after a sign of life or in the first message
	silent                    // a timeout expired
)

// backoff computes the wait before the next call. A sign of life resets it to the zero value.
type backoff struct {
	failures int // failed calls in a row
	silences int // calls in a row that were silent or cut off and were not counted as failures
}

// next returns the maximum wait before the next call, from which the actual wait is drawn evenly. sinceSign is the time
// since the last sign of life, sinceCall the time since the start of the call.
func (b *backoff) next(t *timing, how ending, sinceSign, sinceCall time.Duration) time.Duration {
	lost := how == cutOff || how == silent
	if lost && b.silences < maxImmediateRetries && sinceSign < t.NotifyWithin {
		b.silences++
		if how == silent {
			return 0
		}
		return t.ReconnectSpread
	}
	b.failures++
	most := t.maxWait(b.failures)
	if how == errorStatus && t.wouldOverload() {
		return most
	}
	return max(0, min(most, t.maxInterval()-sinceCall))
}
