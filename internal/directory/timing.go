package directory

// This file decides how long each step of a watch may take and how long to wait before the next call. It opens nothing
// and reads no clock.
//
// Whatever became of a call, the next one begins so soon that a change is received within NotifyWithin of the moment at
// which discovery had it and could be reached: within maxInterval of the beginning of the previous call, since that one
// may have begun just too early and hang, and the next may connect late. So the wait is what the call has left of that
// interval, and calls are spread evenly over it. Source: the operators' terms, by which such a change counts as notified.
//
// An error status is different. It comes from a discovery that can be reached and is overloaded by the calls of all
// senders, and in a large fleet calling within the bound would keep it overloaded: no call would ever be served. So after
// an error status the wait depends on the number of senders, as long as their calls would otherwise come closer together
// than CallSpacing on average; in a smaller fleet the bound holds there as well. The drawback: where many senders have a
// discovery that answers an error for another reason, its changes are received up to MaxBackoff late. The longer wait
// applies after that answer alone.

import "time"

// timing bounds the steps of a watch. All bounds together keep one promise: whatever a watch misses by falling silent is
// received, or asked for twice, within NotifyWithin of its last sign of life. The longest ways to the next call, with the
// figures of defaultTiming: silent (2.75 s); half a message begun just before that (3.8 s); either, and then a call whose
// head never comes (4.85 s); silent, and then a head with nothing after it (5.25 s).
type timing struct {
	// NotifyWithin is when a missed change counts as notified, from the last sign of life or from when discovery could be
	// reached again. Source: the page of the standing test, and the operators' terms.
	NotifyWithin time.Duration
	// Slack is the part of NotifyWithin that is left for delays of the machine.
	Slack time.Duration
	// MaxSilence is how long an open watch may send nothing. An empty line is due every two seconds.
	MaxSilence time.Duration
	// HeadTimeout is how long a call may take until the head of its answer, connecting included: the agent answers at once,
	// and a connection is made within a second.
	HeadTimeout time.Duration
	// FirstSignTimeout is how long a call may take until its first message or empty line, one of which is due two seconds
	// after its head.
	FirstSignTimeout time.Duration
	// MessageTimeout is how long a message may take from its first byte to its last, whatever trickles in between.
	MessageTimeout time.Duration
	// StalledTimeout takes the place of HeadTimeout and MessageTimeout, and half of it that of FirstSignTimeout, for a
	// stalled call that is read on beside the next one: a slow answer may come there, as it delays nothing.
	StalledTimeout time.Duration
	// ReconnectSpread spreads the calls of senders whose watches were closed, which a restarting discovery does to all
	// at once.
	ReconnectSpread time.Duration
	// CallSpacing is how far the waits of all senders spread their calls after one that failed, then twice and four times
	// as far, MaxBackoff at most: a discovery that many senders call again and again answers none of them, and never
	// recovers. Other failures than an error status have less, see above.
	CallSpacing time.Duration
	MaxBackoff  time.Duration
	Senders     int
}

const (
	// maxImmediateRetries is how many calls in a row may be silent or cut off before the next waits like one that failed.
	maxImmediateRetries = 2
	// maxDoublings is how often the spread of calls doubles with failures in a row.
	maxDoublings = 2
)

// defaultTiming is the timing in service, with so many senders at one discovery.
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
		CallSpacing:      100 * time.Millisecond,
		MaxBackoff:       30 * time.Second,
		Senders:          senders,
	}
}

// maxInterval is how long after a call began the next one begins at the latest.
func (t *timing) maxInterval() time.Duration { return t.NotifyWithin - t.HeadTimeout - t.Slack }

// fleetSpread is the duration over which the calls of all senders are CallSpacing apart.
func (t *timing) fleetSpread() time.Duration { return time.Duration(t.Senders) * t.CallSpacing }

// overloads reports whether the calls of all senders, spread evenly over what the bound allows, come closer together than
// CallSpacing.
func (t *timing) overloads() bool { return 2*t.fleetSpread() > t.maxInterval() }

// maxWait is the longest wait after so many calls in a row that failed.
func (t *timing) maxWait(failures int) time.Duration {
	if failures == 0 {
		return t.ReconnectSpread
	}
	backoff := t.fleetSpread() << min(failures-1, maxDoublings)
	return min(t.MaxBackoff, max(2*t.ReconnectSpread, backoff))
}

// ending is how a call for the list ended.
type ending int

const (
	failed      ending = iota // no connection, no watch, or one that ended before its first sign of life
	errorStatus               // discovery is there and cannot serve all who call
	cutOff                    // it ended, or could not be read any more, after it had begun to send
	silent                    // it sent nothing for longer than it may
)

// backoff decides when the next call begins. A sign of life resets it.
type backoff struct {
	failures int // calls in a row that failed
	silences int // calls in a row that fell silent or were cut off before a sign of life
}

// next is the longest wait before the next call, all shorter ones being as likely. sinceSign is the time since the last
// sign of life, sinceCall that since the call began.
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
	if how == errorStatus && t.overloads() {
		return most
	}
	return max(0, min(most, t.maxInterval()-sinceCall))
}
