package spread

// This file holds the simulated network and the messages that the processes send over it.

import (
	"encoding/json"
	"time"

	"flaxcove/internal/cluster/view"
)

// event is a function that runs at a simulated time.
type event struct {
	at view.Uptime
	do func()
}

// after runs a function after a simulated delay.
func (w *simulation) after(d time.Duration, do func()) {
	w.events = append(w.events, event{w.now + d, do})
}

// arrives draws the delay of a message and whether it arrives at all.
func (w *simulation) arrives(from, to *process) (time.Duration, bool) {
	if from.group != to.group || w.random.Float64() < w.loss {
		return 0, false
	}
	return time.Duration(1+w.random.IntN(3)) * step, true
}

// find returns the process with this name, or nil.
func (w *simulation) find(name view.Name) *process {
	for _, p := range w.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// countBytes counts the bytes of a message at both ends, if measure is set.
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

// call simulates one call. handle runs in the called process, twice if the message is duplicated, and answers by
// calling done, at once or later. end runs once in the caller, with the answer or, after callTimeout, with nil.
func (w *simulation) call(from *process, to view.Name, message any, handle func(p *process, done func(any)), end func(answer any)) {
	w.calls++
	w.countBytes(from.name, to, message)
	finished, instance := false, from.instance
	finish := func(answer any) {
		if !finished && from.state != nil && from.instance == instance {
			finished = true
			end(answer)
		}
	}
	w.after(callTimeout, func() { finish(nil) })
	p := w.find(to)
	delay, arrives := w.arrives(from, p)
	if !arrives {
		return
	}
	times := 1
	if w.random.Float64() < w.loss/4 {
		times = 2
	}
	for range times {
		w.after(delay, func() {
			if p.state == nil {
				return
			}
			handle(p, func(answer any) {
				w.countBytes(from.name, to, answer)
				if delay, arrives := w.arrives(p, from); arrives {
					w.after(delay, func() { finish(answer) })
				}
			})
		})
	}
}

// answerUpdate handles an update as configuration/run does, and answers it once the state is settled or MaxAnswerDelay
// has passed.
func (w *simulation) answerUpdate(p *process, u Update, done func(any)) {
	state := p.state
	state.HandleUpdate(u, w.now)
	answer := func() {
		if r, first := state.Answer(u, w.now); first {
			done(r)
		}
	}
	state.BeginAnswer()
	if u.Content == nil {
		answer()
		return
	}
	until := w.now + MaxAnswerDelay
	var poll func()
	poll = func() {
		if p.state != state {
			return
		}
		if state.Settled() || w.now >= until {
			answer()
			return
		}
		w.after(step, poll)
	}
	poll()
}

// sendUpdates sends the updates of a state that are due.
func (w *simulation) sendUpdates(p *process, state *State) {
	for _, to := range state.DueUpdates(w.now) {
		w.call(p, to.Child.Name, to.Update, func(at *process, done func(any)) { w.answerUpdate(at, to.Update, done) }, func(answer any) {
			if r, ok := answer.(Report); ok && r.From.Name == to.Child.Name {
				state.HandleAnswer(to.Child, r, w.now)
				return
			}
			state.UpdateFailed(to.Child, w.now)
		})
	}
}

// fetch asks another process for a newer version.
func (w *simulation) fetch(p *process, state *State, from view.Name) {
	w.call(p, from, state.NewFetch(), func(at *process, done func(any)) { done(at.state.AnswerFetch(state.NewFetch())) }, func(answer any) {
		if a, ok := answer.(ReportAnswer); ok {
			state.HandleFetchAnswer(a, w.now)
		}
	})
}
