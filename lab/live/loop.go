package live

// This file holds the loop of the world's goroutine, which advances the world in real time.

import (
	"time"

	"flaxcove/choice"
)

// post queues do for the world's goroutine. It waits while the queue is full, and drops do if the run has ended.
func (e *engine) post(do func()) {
	select {
	case e.tasks <- do:
	case <-e.done:
	}
}

// now returns the time of the world that corresponds to the current real time, or 0 before the world begins.
func (e *engine) now() choice.Time {
	if !e.worldBegan {
		return 0
	}
	return choice.Time(time.Since(e.startedAt) / (100 * time.Microsecond))
}

// advance runs the world's events that are due, and counts those that run late.
func (e *engine) advance() {
	for {
		now := e.now()
		at, more := e.w.Next()
		if !more || at > now {
			e.w.Advance(max(now, e.w.Now()))
			return
		}
		e.events++
		if behind := time.Duration(now-at) * 100 * time.Microsecond; behind > 0 && e.worldBegan {
			if behind > lateThreshold {
				e.lateEvents++
			}
			e.worstDelay = max(e.worstDelay, behind)
		}
		e.w.Advance(at)
	}
}

// loop plays the world until every message has been judged, the run fails or ctx ends.
func (e *engine) loop() {
	wake := time.NewTimer(0)
	longest := 0.0
	for i := range e.opts.Spec.Classes {
		longest = max(longest, e.opts.Spec.Classes[i].DeadlineMS)
	}
	end := e.w.End() + choice.Time((longest+e.opts.Spec.Rules.LateMS+2000)*float64(choice.Millisecond))
	second := choice.Time(0)
	for e.failure == "" {
		e.advance()
		now := e.w.Now()
		if now/choice.Second > second {
			second = now / choice.Second
			if e.opts.Watch != nil {
				e.opts.Watch(now)
			}
		}
		over := now > end || now > e.w.End()+choice.Second/2 && e.judge.Pending() == 0
		if over && (e.opts.KeepRunning == nil || !e.opts.KeepRunning()) {
			return
		}
		in := time.Second / 4
		if at, more := e.w.Next(); more && e.worldBegan {
			in = min(in, time.Until(e.startedAt.Add(time.Duration(at)*100*time.Microsecond)))
		}
		wake.Reset(max(0, in))
		select {
		case do := <-e.tasks:
			e.advance()
			do()
			for range len(e.tasks) {
				(<-e.tasks)()
			}
		case <-wake.C:
		case <-e.ctx.Done():
			return
		}
	}
}

// runUntil runs posted tasks until cond holds. It serves to wait before the world begins. It returns false if the run
// fails, ctx ends, or cond does not hold in time.
func (e *engine) runUntil(within time.Duration, cond func() bool) bool {
	deadline := time.After(within)
	for !cond() {
		if e.failure != "" {
			return false
		}
		select {
		case do := <-e.tasks:
			do()
		case <-deadline:
			return false
		case <-e.ctx.Done():
			return false
		}
	}
	return true
}
