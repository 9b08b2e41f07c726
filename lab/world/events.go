package world

// This file holds the event queue. Events of the same time must run in the order in which they were added.

import (
	"container/heap"
)

type event struct {
	at  Time
	seq uint64 // orders events of the same time
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// Next returns the time of the next event, or false if the queue is empty.
func (w *World) Next() (Time, bool) {
	if len(w.events) == 0 {
		return 0, false
	}
	return w.events[0].at, true
}

// Advance runs all events up to and including a time, and sets the world's time to it.
func (w *World) Advance(to Time) {
	for len(w.events) > 0 && w.events[0].at <= to {
		e := heap.Pop(&w.events).(event)
		w.now = max(w.now, e.at)
		e.do()
	}
	w.now = max(w.now, to)
}

// At schedules do for a time, or for now if that time is over. The engine in simulated time schedules its senders' ticks
// and timers here too.
func (w *World) At(at Time, do func()) {
	w.lastEventSeq++
	heap.Push(&w.events, event{max(at, w.now), w.lastEventSeq, do})
}

// After schedules do after a delay.
func (w *World) After(in Time, do func()) { w.At(w.now+in, do) }
