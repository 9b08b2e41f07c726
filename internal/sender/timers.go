package sender

// This file owns the loop's timers. They fire on the loop, in a turn.

import (
	"container/heap"
	"time"
)

// after has the loop call fire once so much time is over, unless the timer is taken back.
func (s *Sender) after(d time.Duration, fire func()) *timer {
	s.timerSeq++
	t := &timer{at: s.sinceStart() + d, seq: s.timerSeq, fire: fire}
	heap.Push(&s.timers, t)
	return t
}

// cancelTimer ends a timer that nobody waits for any more. What its function holds on to would otherwise stay until it
// is due: a call's messages for a whole deadline, though the call was answered in a millisecond.
func (s *Sender) cancelTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&s.timers, t.index)
	}
}

type timer struct {
	at    time.Duration
	seq   uint64 // timers of one time fire in the order set
	fire  func()
	index int // in the heap; -1 once it has left
}

// timers are a heap by time. Each leaves when it fires or is taken back.
type timers []*timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *timers) Push(x any) {
	x.(*timer).index = len(*t)
	*t = append(*t, x.(*timer))
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	x.index = -1
	return x
}

// next is when the first fires.
func (t timers) next() time.Duration {
	if len(t) == 0 {
		return time.Hour
	}
	return t[0].at
}
