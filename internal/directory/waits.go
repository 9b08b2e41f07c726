package directory

// This file owns how long each step of a watch may take and how long the next call waits. It opens nothing and reads
// no clock.
//
// Whatever became of a call, the next one begins so soon that a change is heard within NotifyWithin of the moment in which
// discovery had it and could be reached: within apart() of the beginning of the one before, since that one may have
// begun just too early and hang, and the next may come up late. So the wait is what the call has left of that, and
// calls are drawn evenly over it. Source: the operators' terms, by which such a change counts as told.
//
// An error status is another matter. It comes from a discovery that can be reached and is overbooked by the calls of
// all, and in a large fleet asking inside the bound is what keeps it so: none is ever served. Its waits follow from how many
// senders there are, as long as their calls would else come closer than Apart on average; in a smaller fleet the bound
// holds there as well. It harms where so many senders have a discovery that answers an error for another reason: its
// news is then heard up to Longest late. It counts for the wait after that answer alone.

import "time"

// Waits bound the steps of a watch. All of them together keep one promise: whatever a watch misses by falling silent is
// heard, or asked for twice, within Told of its last sign of life. The longest ways to a call, with the figures of
// standing: silent (2.75 s); half a message begun just before that (3.8 s); either, and then a call whose head never
// comes (4.85 s); silent, and then a head with nothing behind it (5.25 s).
type Waits struct {
	// NotifyWithin is when missed news counts as told, from the last sign of life or from when discovery could be reached
	// again. Source: the page of the standing test, and the operators' terms.
	NotifyWithin time.Duration
	// Slack is what of NotifyWithin is left to the machine.
	Slack time.Duration
	// Quiet is how long an open watch may say nothing. An empty line is due every two seconds.
	Quiet time.Duration
	// Head is how long a call may take to its answer's head, connecting included: the agent answers at once, and a
	// connection comes up within a second.
	Head time.Duration
	// First is how long a call may take to its first message or empty line, one of which is due two seconds after its head.
	First time.Duration
	// Whole is how long a message may take from its first byte to its last, whatever trickles in between.
	Whole time.Duration
	// Patient is what Head and Whole, and half of what First is for a call that is read on beside the next: what is
	// slow is let come there, as it holds up nothing.
	Patient time.Duration
	// Soon spreads the calls of senders whose watches were ended, which a discovery that starts anew does to all at once.
	Soon time.Duration
	// Apart is how far the waits of all senders spread their calls after one that failed, then twice and four times as
	// far, Longest at most: a discovery that so many ask again and again answers none of them, and never comes out of it.
	// Other failures than an error status have less, see above.
	Apart   time.Duration
	Longest time.Duration
	Senders int
}

// atOnce is how many calls in a row may be silent or cut off before the next waits like one that failed.
const atOnce = 2

// standing are the waits in service, with so many senders at one discovery.
func standing(senders int) Waits {
	return Waits{
		NotifyWithin: 6 * time.Second,
		Slack:        100 * time.Millisecond,
		Quiet:        2750 * time.Millisecond,
		Head:         1050 * time.Millisecond,
		First:        2500 * time.Millisecond,
		Whole:        1050 * time.Millisecond,
		Patient:      6 * time.Second,
		Soon:         600 * time.Millisecond,
		Apart:        100 * time.Millisecond,
		Longest:      30 * time.Second,
		Senders:      senders,
	}
}

// apart is how long after a call began the next one begins at the latest.
func (w *Waits) apart() time.Duration { return w.NotifyWithin - w.Head - w.Slack }

// all is the span over which the calls of all senders are Apart.
func (w *Waits) all() time.Duration { return time.Duration(w.Senders) * w.Apart }

// crowded tells whether calls of all senders, spread evenly over what the bound allows, come closer than Apart.
func (w *Waits) crowded() bool { return 2*w.all() > w.apart() }

// ceiling is the longest wait after so many calls in a row that brought nothing.
func (w *Waits) ceiling(failures int) time.Duration {
	if failures == 0 {
		return w.Soon
	}
	return min(w.Longest, max(2*w.Soon, w.all()<<min(failures-1, 2)))
}

// ending is how a call for the list ended.
type ending int

const (
	refused ending = iota // no connection, no watch, or one that ended before it said anything
	busy                  // an error status: discovery is there and cannot serve all who ask
	cutOff                // it ended, or could not be read any more, after it had begun to speak
	silent                // it said nothing for longer than it may
)

// ladder decides when the next call comes. A sign of life has it start anew.
type ladder struct {
	failures int // calls in a row that failed
	silences int // calls in a row that fell silent or were cut off before a sign of life
}

// next is the longest wait before the next call, all shorter ones being as likely. since is the time since the last
// sign of life, took that since the call began.
func (l *ladder) next(w *Waits, how ending, since, took time.Duration) time.Duration {
	if how >= cutOff && l.silences < atOnce && since < w.NotifyWithin {
		if l.silences++; how == silent {
			return 0
		}
		return w.Soon
	}
	l.failures++
	most := w.ceiling(l.failures)
	if how == busy && w.crowded() {
		return most
	}
	return max(0, min(most, w.apart()-took))
}
