package sender

// This file implements the timers of the loop. They fire on the loop, at the beginning of a turn.

import (
	"container/heap"
	"time"
)

// noTimer is the value of timers.next if no timer is set, as time since the start.
const noTimer = time.Hour

// after sets a timer: the loop calls fire in the first turn after d, unless the timer is cancelled.
func (s *Sender) after(d time.Duration, fire func()) *timer {
	s.timerSeq++
	t := &timer{at: s.sinceStart() + d, seq: s.timerSeq, fire: fire}
	heap.Push(&s.timers, t)
	return t
}

// cancelTimer removes t, which may be nil, removed or fired. A timer keeps everything its function refers to in memory
// until it is due: without the removal, a call answered in a millisecond would hold its messages for a whole deadline.
func (s *Sender) cancelTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&s.timers, t.index)
	}
}

// timer is one timer of the loop.
type timer struct {
	at    time.Duration // when it fires, since the start
	seq   uint64        // timers of the same time fire in the order in which they were set
	fire  func()
	index int // in the heap; -1 once it is removed
}

// timers is a heap of timers ordered by time. It implements heap.Interface.
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

// next returns when the first timer fires, or noTimer if there is none.
func (t timers) next() time.Duration {
	if len(t) == 0 {
		return noTimer
	}
	return t[0].at
}
