package run

// This file sends requests to other processes: for newer versions, and for answers that only the leader can give.

import (
	"context"

	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/leadercall"
	"flaxcove/internal/cluster/view"
)

// fetch starts a request for a newer version if another process may have one, at most once per fetchInterval. r.mu is
// held.
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

// fetchSource returns the process to ask for a newer version and the state that receives the answer, and reports
// whether there is one. The process is a child that has reported a newer version, the leader that has announced one,
// the root of the tree (on the leader), or any other process while the parent is unreachable. r.mu is held.
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

// fetchFrom asks one process for a newer version and passes the answer to state.
func (r *Runner) fetchFrom(ctx context.Context, state *spread.State, name view.Name, request spread.FetchRequest) (answer spread.ReportAnswer, err error) {
	err = r.caller.Call(ctx, name, pathFetch, request, &answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.FetchesSent++
	r.fetchInFlight = false
	if err != nil {
		r.counters.CallsFailed++
		return answer, err
	}
	state.HandleFetchAnswer(answer, r.options.Now())
	r.signals.NotifyChange()
	return answer, nil
}

// propose proposes a change, on this process if it leads and otherwise through the leader. It retries until ctx ends,
// which is possible because requests are idempotent. After an error it is unknown whether the change was committed.
func (r *Runner) propose(ctx context.Context, request ledger.Request) (decided ledger.DecideResult, err error) {
	here := func() (err error) {
		decided, err = r.decide(ctx, request)
		return err
	}
	err = r.caller.Propose(ctx, here, pathPropose, request, &decided)
	return decided, err
}

// candidates returns the processes to ask when only the leader can answer: those that may lead, as far as they are
// known here, and then others, up to maxCandidates.
func (r *Runner) candidates() []view.Name {
	likely := r.options.Consensus.LeaderCandidates()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidatesFrom(likely)
}

// candidatesFrom returns the likely processes and others from the view, up to maxCandidates. r.mu is held.
func (r *Runner) candidatesFrom(likely []view.Name) []view.Name {
	return leadercall.Candidates(likely, r.lastLeader.Name, r.view, r.options.Self.Name, maxCandidates)
}
