package directory

// This file owns how long each step of a watch may take and how long the next call waits. It opens nothing and reads
// no clock.

import "time"

// Waits bound the steps of a watch. All of them together keep one promise: whatever a watch misses by falling silent is
// heard, or asked for twice, within Told of its last sign of life. The longest ways to a call, with the figures of
// standing: silent (2.75 s); half a message begun just before that (3.8 s); either, and then a call whose head never
// comes (4.85 s); silent, and then a head with nothing behind it (5.25 s).
type Waits struct {
	// Told is when missed news counts as told, from the last sign of life. Source: the page of the standing test.
	Told time.Duration
	// Quiet is how long an open watch may say nothing. An empty line is due every two seconds.
	Quiet time.Duration
	// Head is how long a call may take to its answer's head, connecting included: the agent answers at once.
	Head time.Duration
	// First is how long a call may take to its first message or empty line, one of which is due two seconds after its head.
	First time.Duration
	// Whole is how long a message may take from its first byte to its last, whatever trickles in between.
	Whole time.Duration
	// Patient is what Head and Whole, and half of what First is once a call had to be spread: what is slow is let come
	// then, as waiting costs nothing that is not lost already.
	Patient time.Duration
	// Soon spreads the calls of senders whose watches were ended, which a discovery that starts anew does to all at once.
	Soon time.Duration
	// Apart is how far the waits of all senders spread their calls after one that failed, then twice and four times as
	// far, Longest at most: a discovery that so many ask again and again answers none of them, and never comes out of it.
	Apart   time.Duration
	Longest time.Duration
	Senders int
}

// atOnce is how many calls in a row may be silent or cut off before the next waits like one that failed.
const atOnce = 2

// standing are the waits in service, with so many senders at one discovery.
func standing(senders int) Waits {
	return Waits{
		Told:    6 * time.Second,
		Quiet:   2750 * time.Millisecond,
		Head:    1050 * time.Millisecond,
		First:   2500 * time.Millisecond,
		Whole:   1050 * time.Millisecond,
		Patient: 6 * time.Second,
		Soon:    600 * time.Millisecond,
		Apart:   100 * time.Millisecond,
		Longest: 30 * time.Second,
		Senders: senders,
	}
}

// ceiling is the longest wait after so many calls in a row that brought nothing.
func (w *Waits) ceiling(failures int) time.Duration {
	if failures == 0 {
		return w.Soon
	}
	all := time.Duration(w.Senders) * w.Apart
	return min(w.Longest, max(2*w.Soon, all<<min(failures-1, 2)))
}

// ending is how a call for the list ended.
type ending int

const (
	refused ending = iota // no connection, another answer than a watch, or one that ended before it said anything
	cutOff                // it ended, or could not be read any more, after it had begun to speak
	silent                // it said nothing for longer than it may
)

// ladder decides when the next call comes.
type ladder struct {
	failures int // calls in a row that failed
	silences int // calls in a row that fell silent or were cut off before a sign of life
}

// next is the longest wait before the next call, all shorter ones being as likely. since is the time since the last
// sign of life, lived whether this call has given one.
func (l *ladder) next(w *Waits, how ending, lived bool, since time.Duration) time.Duration {
	if lived {
		*l = ladder{}
	}
	if how != refused && l.silences < atOnce && since < w.Told {
		if l.silences++; how == silent {
			return 0
		}
		return w.Soon
	}
	l.failures++
	return w.ceiling(l.failures)
}

// patient tells whether the next call may take its time.
func (l *ladder) patient() bool { return l.failures > 0 }
