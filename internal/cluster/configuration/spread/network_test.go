package spread

// This file is the simulated network, and what the processes send over it.

import (
	"encoding/json"
	"time"

	"flaxcove/internal/cluster/view"
)

type event struct {
	at view.Uptime
	do func()
}

func (w *simulation) after(d time.Duration, do func()) {
	w.events = append(w.events, event{w.now + d, do})
}

// arrives draws whether a message arrives, and after how long.
func (w *simulation) arrives(from, to *process) (time.Duration, bool) {
	if from.group != to.group || w.random.Float64() < w.loss {
		return 0, false
	}
	return time.Duration(1+w.random.IntN(3)) * step, true
}

func (w *simulation) find(name view.Name) *process {
	for _, p := range w.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// countBytes counts a message at both ends.
func (w *simulation) countBytes(one, other view.Name, message any) {
	if !w.measure {
		return
	}
	text, err := json.Marshal(message)
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	w.bytes[one] += len(text)
	w.bytes[other] += len(text)
}

// call carries one call: take answers (by calling done, perhaps later), end gets the answer, or nil without one.
func (w *simulation) call(from *process, to view.Name, message any, take func(p *process, done func(any)), end func(answer any)) {
	w.calls++
	w.countBytes(from.name, to, message)
	over, life := false, from.life
	finish := func(answer any) {
		if !over && from.state != nil && from.life == life {
			over = true
			end(answer)
		}
	}
	w.after(callTimeout, func() { finish(nil) })
	p := w.find(to)
	late, comes := w.arrives(from, p)
	if !comes {
		return
	}
	times := 1
	if w.random.Float64() < w.loss/4 {
		times = 2
	}
	for range times {
		w.after(late, func() {
			if p.state == nil {
				return
			}
			take(p, func(answer any) {
				w.countBytes(from.name, to, answer)
				if late, comes := w.arrives(p, from); comes {
					w.after(late, func() { finish(answer) })
				}
			})
		})
	}
}

// answerUpdate answers as configuration/run does.
func (w *simulation) answerUpdate(p *process, d Update, done func(any)) {
	state := p.state
	state.HandleUpdate(d, w.now)
	answer := func() {
		if r, first := state.Answer(d, w.now); first {
			done(r)
		}
	}
	state.BeginAnswer()
	if d.Content == nil {
		answer()
		return
	}
	until := w.now + MaxAnswerDelay
	var look func()
	look = func() {
		if p.state != state {
			return
		}
		if state.Settled() || w.now >= until {
			answer()
			return
		}
		w.after(step, look)
	}
	look()
}

func (w *simulation) sendUpdates(p *process, state *State) {
	for _, to := range state.DueUpdates(w.now) {
		w.call(p, to.Child.Name, to.Update, func(at *process, done func(any)) { w.answerUpdate(at, to.Update, done) }, func(answer any) {
			if r, is := answer.(Report); is && r.From.Name == to.Child.Name {
				state.HandleAnswer(to.Child, r, w.now)
				return
			}
			state.UpdateFailed(to.Child, w.now)
		})
	}
}

func (w *simulation) fetch(p *process, state *State, of view.Name) {
	w.call(p, of, state.NewFetch(), func(at *process, done func(any)) { done(at.state.AnswerFetch(state.NewFetch())) }, func(answer any) {
		if a, is := answer.(ReportAnswer); is {
			state.HandleFetchAnswer(a, w.now)
		}
	})
}
