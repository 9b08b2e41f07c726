package run

// This file is the messages between processes: sent and handled here.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"flaxcove/internal/cluster/leadercall"
	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/purge/spread"
	"flaxcove/internal/cluster/view"
)

const (
	pathUpdate      = "/purge/down"
	pathRootUpdate  = "/purge/root" // from the leader to the root
	pathReport      = "/purge/up"
	pathRootReport  = "/purge/top" // from the root to the leader
	pathPurgesSince = "/purge/missed"
	pathPropose     = "/purge/propose"
	pathStatus      = "/purge/show"
)

var (
	errNotLeading  = errors.New("purge: this process does not lead the council")
	errNoCandidate = errors.New("purge: nobody to ask is known")
	errUndecided   = errors.New("nobody to ask is known")
)

// sinceRequest asks for the purges after a Seq.
type sinceRequest struct {
	Since uint64 `json:"since"`
}

// proposal is a command that another process asks the leader to propose.
type proposal struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// registerHandlers registers the handlers of messages.
func (r *Runner) registerHandlers() {
	r.caller.Handle(map[string]leadercall.Handler{
		pathUpdate: r.handleUpdate, pathRootUpdate: r.handleRootUpdate, pathReport: r.handleReport, pathRootReport: r.handleRootReport,
		pathPurgesSince: r.handlePurgesSince, pathPropose: r.handlePropose, pathStatus: r.handleStatusRequest,
	})
}

// updateTracker is told the outcome of an update: a spread.State or a rootState.
type updateTracker interface {
	HandleAnswer(view.Life, spread.Report, view.Uptime)
	UpdateFailed(view.Life, view.Uptime)
}

// sendUpdate sends an update to a child, and takes in the report in its answer.
func (r *Runner) sendUpdate(tracker updateTracker, path string, to spread.Outgoing) {
	var report spread.Report
	err := r.caller.Call(r.ctx, to.Child.Name, path, to.Update, &report)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil || report.From.Name != to.Child.Name:
		tracker.UpdateFailed(to.Child, r.options.Now())
	default:
		tracker.HandleAnswer(to.Child, report, r.options.Now())
		r.signals.NotifyChange()
	}
}

// sendReport sends a report to the parent.
func (r *Runner) sendReport(parent spread.Parent, report spread.Report) {
	path := pathReport
	if parent.IsLeader {
		path = pathRootReport
	}
	var a spread.ReportAnswer
	err := r.caller.Call(r.ctx, parent.Name, path, report, &a)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.state.ReportFailed(parent, r.options.Now())
		return
	}
	r.state.ReportAnswered(parent, a, r.options.Now())
}

// handleUpdate takes in purges and answers with a report, once this process and all below it have applied them or
// spread.MaxAnswerDelay is over.
func (r *Runner) handleUpdate(ctx context.Context, from view.Life, body []byte) (any, error) {
	var d spread.Update
	if err := json.Unmarshal(body, &d); err != nil {
		return nil, fmt.Errorf("purge: message down: %w", err)
	}
	if d.From.Name != from.Name {
		return nil, fmt.Errorf("purge: message down: from %q, field from tells %q", from.Name, d.From.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.HandleUpdate(d, r.options.Now())
	r.state.BeginAnswer()
	r.signals.NotifyChange()
	r.signals.WaitUntil(ctx, r.ctx.Done(), spread.MaxAnswerDelay, r.state.Settled)
	return r.state.Answer(d, r.options.Now()), nil
}

// handleRootUpdate handles an update of the leader, by which a root outside the consensus group learns to whom it
// reports.
func (r *Runner) handleRootUpdate(ctx context.Context, from view.Life, body []byte) (any, error) {
	leader, known := r.options.Consensus.Leader()
	r.mu.Lock()
	r.lastLeader = from
	r.updateTreePosition(leader, known, r.options.Now())
	r.mu.Unlock()
	return r.handleUpdate(ctx, from, body)
}

// decodeReport decodes a report and checks that it is the sender's own.
func decodeReport(from view.Life, body []byte) (report spread.Report, err error) {
	if err = json.Unmarshal(body, &report); err != nil {
		return report, fmt.Errorf("purge: message up: %w", err)
	}
	if report.From.Name != from.Name {
		return report, fmt.Errorf("purge: message up: from %q, field from tells %q", from.Name, report.From.Name)
	}
	return report, nil
}

// handleReport takes in a child's report.
func (r *Runner) handleReport(_ context.Context, from view.Life, body []byte) (any, error) {
	report, err := decodeReport(from, body)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.state.HandleReport(report, r.options.Now())
	r.signals.NotifyChange()
	return a, nil
}

// handleRootReport takes in the root's report, on the leader.
func (r *Runner) handleRootReport(_ context.Context, from view.Life, body []byte) (any, error) {
	report, err := decodeReport(from, body)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leading || r.leaderState == nil {
		return nil, errNotLeading
	}
	a := r.leaderState.HandleRootReport(report, r.options.Now())
	r.signals.NotifyChange()
	return a, nil
}

// handlePurgesSince answers a process that has restarted with the purges that it missed, as far as they are known here.
func (r *Runner) handlePurgesSince(_ context.Context, _ view.Life, body []byte) (any, error) {
	var request sinceRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("purge: asked for what was missed: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leading && r.leaderState != nil {
		return r.leaderState.PurgesSince(request.Since, r.options.Now()), nil
	}
	return r.state.PurgesSince(request.Since, r.options.Now()), nil
}

// handlePropose proposes another process's command, on the leader.
func (r *Runner) handlePropose(ctx context.Context, _ view.Life, body []byte) (any, error) {
	var p proposal
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("purge: proposal: %w", err)
	}
	if p.Kind != ledger.KindOpen && p.Kind != ledger.KindJoin && p.Kind != ledger.KindLeave {
		return nil, fmt.Errorf("purge: proposal: kind %q is not taken from others", p.Kind)
	}
	if !r.options.Consensus.Leading() {
		return nil, errNotLeading
	}
	answer, err := r.options.Consensus.Propose(ctx, ledger.Part, p.Kind, p.Body)
	r.signals.Wake()
	return answer, err
}

// propose has a command committed, by this process or by the leader, with retries until ctx ends: commands are
// idempotent. After an error it is not known whether the command was committed.
func (r *Runner) propose(ctx context.Context, kind string, body, out any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var answer json.RawMessage
	decidedHere := false
	here := func() (err error) {
		answer, err = r.options.Consensus.Propose(ctx, ledger.Part, kind, json.RawMessage(text))
		decidedHere = err == nil
		return err
	}
	err = r.caller.Propose(ctx, here, pathPropose, proposal{kind, text}, out)
	if err != nil || !decidedHere {
		return err
	}
	r.signals.Wake()
	return json.Unmarshal(answer, out)
}

// candidates are the processes to ask for what only the leader can answer: those that may lead, as far as they are known
// here, and then others, up to maxCandidates.
func (r *Runner) candidates() []view.Name {
	likely := r.options.Consensus.Ask()
	r.mu.Lock()
	defer r.mu.Unlock()
	return leadercall.Candidates(likely, r.lastLeader.Name, r.view, r.options.Self.Name, maxCandidates)
}
