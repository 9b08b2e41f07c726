package run

// This file is what a process asks of others by itself: what is newer, and what whoever leads alone can answer.

import (
	"context"

	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/ordering"
	"flaxcove/internal/cluster/view"
)

// fetch asks for what is newer: a child that has told of it, whoever leads where that has told of it, or others while
// the parent is not reached. The lock is held.
func (r *Runner) fetch(now view.Now) {
	if r.fetching || now < r.fetchAt {
		return
	}
	of := r.state
	name, is := of.Newer()
	if !is && r.announcedBy != "" {
		name, is = r.announcedBy, true
		r.announcedBy = ""
	}
	if !is && r.lead.top != nil {
		if name, is = r.lead.top.Newer(); is {
			of = r.lead.top
		}
	}
	if !is && r.state.Lost() {
		if all := r.known(nil); len(all) > 0 {
			r.asked++
			name, is = all[r.asked%len(all)], true
		}
	}
	if !is {
		return
	}
	r.fetching, r.fetchAt = true, now+fetchEach
	question := of.Fetching()
	r.going.Go(func() { r.ask(r.ctx, of, name, question) })
}

// ask asks one process for what is newer and takes it in.
func (r *Runner) ask(ctx context.Context, of *spread.State, name view.Name, question spread.Fetch) (answer spread.ReportAnswer, err error) {
	err = r.caller.Call(ctx, name, pathFetch, question, &answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures.Fetches++
	r.fetching = false
	if err != nil {
		r.figures.Failed++
		return answer, err
	}
	of.Fetched(answer, r.o.Now())
	r.signals.Turn()
	return answer, nil
}

// propose has a change decided, by this process or by whoever leads, tried again until ctx ends: a request is safe to
// repeat. An error tells that it is not known whether it was decided.
func (r *Runner) propose(ctx context.Context, request ledger.Request) (decided ledger.Decided, err error) {
	here := func() (err error) {
		decided, err = r.decide(ctx, request)
		return err
	}
	err = r.caller.Decide(ctx, here, pathPropose, request, &decided)
	return decided, err
}

// whomToAsk is for what the leader alone can answer: by the council, or without a place in it those who hold its
// records and then any, at most mostAsked.
func (r *Runner) whomToAsk() []view.Name {
	likely := r.o.Consensus.Ask()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known(likely)
}

// known are the likely ones and others who are here, at most mostAsked. The lock is held.
func (r *Runner) known(likely []view.Name) []view.Name {
	return ordering.Whom(likely, r.leader.Name, r.view, r.o.Self.Name, mostAsked)
}
