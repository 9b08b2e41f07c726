package sender

// This file owns the loop's timers. They fire on the loop, at the begin of a turn.

import (
	"container/heap"
	"time"
)

// noTimer is timers.next where no timer is set, in time since the start.
const noTimer = time.Hour

// after makes the loop call fire once a time is over, unless the timer is cancelled.
func (s *Sender) after(d time.Duration, fire func()) *timer {
	s.timerSeq++
	t := &timer{at: s.sinceStart() + d, seq: s.timerSeq, fire: fire}
	heap.Push(&s.timers, t)
	return t
}

// cancelTimer removes a timer, if it is set. What its function refers to would otherwise be held until it is due: a call's
// messages for a whole deadline, though the call was answered in a millisecond.
func (s *Sender) cancelTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&s.timers, t.index)
	}
}

type timer struct {
	at    time.Duration
	seq   uint64 // timers of the same time fire in the order they were set
	fire  func()
	index int // in the heap; -1 once it is removed
}

// timers are a heap by time, for container/heap.
type timers []*timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	x.(*timer).index = len(*t)
	*t = append(*t, x.(*timer))
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	x.index = -1
	return x
}

// next is when the first timer fires.
func (t timers) next() time.Duration {
	if len(t) == 0 {
		return noTimer
	}
	return t[0].at
}
