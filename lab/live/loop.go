package live

// This file has the loop of the world's goroutine, which keeps the world in step with the machine's clock.

import (
	"time"

	"flaxcove/choice"
)

// post has the loop call do, unless the run has ended.
func (e *engine) post(do func()) {
	select {
	case e.tasks <- do:
	case <-e.done:
	}
}

// now is the time of the world by the machine's clock.
func (e *engine) now() choice.Time {
	if !e.worldBegan {
		return 0
	}
	return choice.Time(time.Since(e.startedAt) / (100 * time.Microsecond))
}

// advance runs the world's events that are due and counts those that are late.
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

// loop plays the world until nothing more can be judged.
func (e *engine) loop() {
	wake := time.NewTimer(0)
	tail := 0.0
	for i := range e.o.Spec.Classes {
		tail = max(tail, e.o.Spec.Classes[i].DeadlineMS)
	}
	end := e.w.End() + choice.Time((tail+e.o.Spec.Rules.LateMS+2000)*float64(choice.Millisecond))
	second := choice.Time(0)
	for e.failure == "" {
		e.advance()
		now := e.w.Now()
		if now/choice.Second > second {
			second = now / choice.Second
			if e.o.Watch != nil {
				e.o.Watch(now)
			}
		}
		over := now > end || now > e.w.End()+choice.Second/2 && e.judge.Pending() == 0
		if over && (e.o.KeepRunning == nil || !e.o.KeepRunning()) {
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

// runUntil runs posted tasks before the world begins, until cond holds. It is false if the run failed or the time is over.
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
