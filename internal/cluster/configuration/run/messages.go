package run

// This file sends and handles the messages between processes.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/leadercall"
	"flaxcove/internal/cluster/view"
)

// Paths of the messages, by which processes of different program versions understand each other.
const (
	pathUpdate  = "/configuration/down"
	pathReport  = "/configuration/report"
	pathFetch   = "/configuration/fetch"
	pathPropose = "/configuration/propose"
	pathStatus  = "/configuration/show"
)

var (
	errNotLeading      = errors.New("configuration: this process is not the leader of the consensus group")
	errNoCandidate     = errors.New("configuration: no candidate for the leader is known")
	errAlreadyAnswered = errors.New("configuration: this update was already answered")
)

// registerHandlers registers the handlers of messages.
func (r *Runner) registerHandlers() {
	r.caller.Handle(map[string]leadercall.Handler{
		pathUpdate: r.handleUpdate, pathReport: r.handleReport, pathFetch: r.handleFetch, pathPropose: r.handlePropose, pathStatus: r.handleStatusRequest,
		pathAnnounce: r.handleAnnouncement,
	})
}

// sendUpdates starts the updates that are due. r.mu is held.
func (r *Runner) sendUpdates(state *spread.State, now view.Uptime) {
	for _, to := range state.DueUpdates(now) {
		r.counters.UpdatesSent++
		r.countContent(to.Update.Content)
		r.goroutines.Go(func() { r.sendUpdate(state, to) })
	}
}

// countContent counts content that is sent; c may be nil. r.mu is held.
func (r *Runner) countContent(c *spread.Content) {
	switch {
	case c == nil:
		return
	case c.Patch != nil:
		r.counters.PatchesSent++
	default:
		r.counters.FullSent++
	}
	r.counters.ContentBytes += uint64(len(c.Patch) + len(c.Full))
}

// sendUpdate sends an update to a child and passes the report in its answer to state.
func (r *Runner) sendUpdate(state *spread.State, to spread.Outgoing) {
	var report spread.Report
	err := r.caller.Call(r.ctx, to.Child.Name, pathUpdate, to.Update, &report)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || report.From.Name != to.Child.Name {
		r.counters.CallsFailed++
		state.UpdateFailed(to.Child, r.options.Now())
	} else {
		state.HandleAnswer(to.Child, report, r.options.Now())
	}
	if state == r.leaderWork.state {
		r.leaderWork.reportChanged = true
	}
	r.signals.NotifyChange()
}

// sendReport sends a report to the parent.
func (r *Runner) sendReport(parent spread.Parent, report spread.Report) {
	var answer spread.ReportAnswer
	err := r.caller.Call(r.ctx, parent.Name, pathReport, report, &answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.counters.CallsFailed++
		r.state.ReportFailed(parent, r.options.Now())
	} else {
		r.state.ReportAnswered(parent, answer, r.options.Now())
	}
	r.signals.NotifyChange()
}

// handleUpdate passes an update to the state and answers with a report. If the update has content, the answer waits
// until this process and all below it have put the version in force or rejected it, for spread.MaxAnswerDelay at most.
func (r *Runner) handleUpdate(ctx context.Context, from view.Instance, body []byte) (any, error) {
	var update spread.Update
	if err := json.Unmarshal(body, &update); err != nil {
		return nil, fmt.Errorf("configuration: cannot decode update: %w", err)
	}
	if update.From.Name != from.Name {
		return nil, fmt.Errorf("configuration: update rejected: the caller is %q, but its field from names %q", from.Name, update.From.Name)
	}
	leader, known := r.options.Consensus.Leader()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.UpdatesReceived++
	if update.FromLeader {
		r.lastLeader = update.From // a root outside the consensus group learns here which process it reports to
		r.updateTreePosition(leader, known, r.options.Now())
	}
	r.state.HandleUpdate(update, r.options.Now())
	r.state.BeginAnswer()
	r.signals.NotifyChange()
	if update.Content != nil {
		r.signals.WaitUntil(ctx, r.ctx.Done(), spread.MaxAnswerDelay, r.state.Settled)
	}
	report, first := r.state.Answer(update, r.options.Now())
	r.signals.Wake()
	if !first {
		return nil, errAlreadyAnswered
	}
	return report, nil
}

// handleReport passes a child's report to the state. On the leader, the report of the root goes to the leader's state.
func (r *Runner) handleReport(_ context.Context, from view.Instance, body []byte) (any, error) {
	var report spread.Report
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, fmt.Errorf("configuration: cannot decode report: %w", err)
	}
	if report.From.Name != from.Name {
		return nil, fmt.Errorf("configuration: report rejected: the caller is %q, but its field from names %q", from.Name, report.From.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state
	if report.ToLeader {
		if r.leaderWork.state == nil {
			return nil, errNotLeading
		}
		state, r.leaderWork.reportChanged = r.leaderWork.state, true
	}
	r.counters.ReportsReceived++
	answer := state.HandleReport(report, r.options.Now())
	r.countContent(answer.Content)
	r.signals.NotifyChange()
	return answer, nil
}

// handleFetch answers a process with the newest version known here, if that process lacks it.
func (r *Runner) handleFetch(_ context.Context, _ view.Instance, body []byte) (any, error) {
	var request spread.FetchRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("configuration: cannot decode fetch request: %w", err)
	}
	update := r.readLedger() // read before the answer, which must be up to date because the other process may become ready after it
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.FetchesReceived++
	answer := r.state.AnswerFetch(request)
	if update.leading {
		r.leaderStep(update, r.options.Now())
		answer = r.leaderWork.state.AnswerFetch(request)
		answer.FromLeader = r.newerThanLedger().Version == 0
	}
	r.countContent(answer.Content)
	return answer, nil
}
