package run

// This file is what a process asks of others: newer versions, and what only the leader can answer.

import (
	"context"

	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/leadercall"
	"flaxcove/internal/cluster/view"
)

// fetch asks for a newer version where one is expected, once each fetchInterval. The lock is held.
func (r *Runner) fetch(now view.Uptime) {
	if r.fetchInFlight || now < r.nextFetchAt {
		return
	}
	state, name, found := r.fetchSource()
	if !found {
		return
	}
	r.fetchInFlight, r.nextFetchAt = true, now+fetchInterval
	request := state.NewFetch()
	r.goroutines.Go(func() { r.fetchFrom(r.ctx, state, name, request) })
}

// fetchSource is the process to ask for a newer version, and the state that is to have it: a child that has reported one,
// the leader that has announced one, on the leader the root, or any other process while the parent is unreachable. The
// lock is held.
func (r *Runner) fetchSource() (state *spread.State, name view.Name, found bool) {
	if name, found := r.state.ChildWithNewer(); found {
		return r.state, name, true
	}
	if name := r.announcedBy; name != "" {
		r.announcedBy = ""
		return r.state, name, true
	}
	if state := r.leaderWork.state; state != nil {
		if name, found := state.ChildWithNewer(); found {
			return state, name, true
		}
	}
	if r.state.ParentUnreachable() {
		if candidates := r.candidatesFrom(nil); len(candidates) > 0 {
			r.fetchTurn++
			return r.state, candidates[r.fetchTurn%len(candidates)], true
		}
	}
	return nil, "", false
}

// fetchFrom asks one process for a newer version and takes it in.
func (r *Runner) fetchFrom(ctx context.Context, state *spread.State, name view.Name, request spread.FetchRequest) (answer spread.ReportAnswer, err error) {
	err = r.caller.Call(ctx, name, pathFetch, request, &answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures.FetchesSent++
	r.fetchInFlight = false
	if err != nil {
		r.figures.CallsFailed++
		return answer, err
	}
	state.HandleFetchAnswer(answer, r.options.Now())
	r.signals.NotifyChange()
	return answer, nil
}

// propose has a change committed, by this process or by the leader, with retries until ctx ends: a request is idempotent.
// After an error it is not known whether it was committed.
func (r *Runner) propose(ctx context.Context, request ledger.Request) (decided ledger.DecideResult, err error) {
	here := func() (err error) {
		decided, err = r.decide(ctx, request)
		return err
	}
	err = r.caller.Propose(ctx, here, pathPropose, request, &decided)
	return decided, err
}

// candidates are the processes to ask for what only the leader can answer: those that may lead, as far as they are known
// here, and then others, up to maxCandidates.
func (r *Runner) candidates() []view.Name {
	likely := r.options.Consensus.Ask()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidatesFrom(likely)
}

// candidatesFrom are the likely processes and others of the view, up to maxCandidates. The lock is held.
func (r *Runner) candidatesFrom(likely []view.Name) []view.Name {
	return leadercall.Candidates(likely, r.lastLeader.Name, r.view, r.options.Self.Name, maxCandidates)
}
