package run

// This file implements the sending and handling of messages between processes.

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

// Paths of messages.
const (
	pathUpdate      = "/purge/down"    // from a parent to a child
	pathRootUpdate  = "/purge/root"    // from the leader to the root
	pathReport      = "/purge/up"      // from a child to its parent
	pathRootReport  = "/purge/top"     // from the root to the leader
	pathPurgesSince = "/purge/missed"  // from a process that has started to any other
	pathPropose     = "/purge/propose" // from any process to the leader
	pathStatus      = "/purge/show"    // from any process to the leader
)

// Errors of calls that need the leader. errUndecided has no prefix, as leadercall.Caller adds that of the part.
var (
	errNotLeading  = errors.New("purge: this process is not the leader of the consensus group")
	errNoCandidate = errors.New("purge: no candidate for the leader is known")
	errUndecided   = errors.New("no candidate for the leader is known")
)

// sinceRequest asks for the purges with a Seq above Since.
type sinceRequest struct {
	Since uint64 `json:"since"`
}

// proposal asks the leader to propose a command to the consensus group.
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

// updateTracker processes the outcome of an update. It is implemented by spread.State and rootState.
type updateTracker interface {
	HandleAnswer(view.Instance, spread.Report, view.Uptime)
	UpdateFailed(view.Instance, view.Uptime)
}

// sendUpdate sends an update to a child, and passes the report in the answer to the tracker.
func (r *Runner) sendUpdate(tracker updateTracker, path string, to spread.OutgoingUpdate) {
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

// sendReport sends a report to the parent and processes the answer.
func (r *Runner) sendReport(parent spread.Parent, report spread.Report) {
	path := pathReport
	if parent.IsLeader {
		path = pathRootReport
	}
	var answer spread.ReportAnswer
	err := r.caller.Call(r.ctx, parent.Name, path, report, &answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.state.ReportFailed(parent, r.options.Now())
		return
	}
	r.state.ReportAnswered(parent, answer, r.options.Now())
}

// handleUpdate handles an update of the parent. It answers with a report once this process and all processes below it have
// applied the purges, or after spread.MaxAnswerDelay.
func (r *Runner) handleUpdate(ctx context.Context, from view.Instance, body []byte) (any, error) {
	var update spread.Update
	if err := json.Unmarshal(body, &update); err != nil {
		return nil, fmt.Errorf("purge: cannot decode update: %w", err)
	}
	if update.From.Name != from.Name {
		return nil, fmt.Errorf("purge: update rejected: the caller is %q, but its field from names %q", from.Name, update.From.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.HandleUpdate(update, r.options.Now())
	r.state.BeginAnswer()
	r.signals.NotifyChange()
	r.signals.WaitUntil(ctx, r.ctx.Done(), spread.MaxAnswerDelay, r.state.SubtreeApplied)
	return r.state.Answer(update, r.options.Now()), nil
}

// handleRootUpdate handles an update of the leader to the root. It stores who the leader is, because a root outside the
// consensus group learns only from this message to whom it must report.
func (r *Runner) handleRootUpdate(ctx context.Context, from view.Instance, body []byte) (any, error) {
	leader, known := r.options.Consensus.Leader()
	r.mu.Lock()
	r.lastLeader = from
	r.updateTreePosition(leader, known, r.options.Now())
	r.mu.Unlock()
	return r.handleUpdate(ctx, from, body)
}

// decodeReport decodes a report and checks that it was made by the process that sent it.
func decodeReport(from view.Instance, body []byte) (report spread.Report, err error) {
	if err = json.Unmarshal(body, &report); err != nil {
		return report, fmt.Errorf("purge: cannot decode report: %w", err)
	}
	if report.From.Name != from.Name {
		return report, fmt.Errorf("purge: report rejected: the caller is %q, but its field from names %q", from.Name, report.From.Name)
	}
	return report, nil
}

// handleReport handles a report of a child.
func (r *Runner) handleReport(_ context.Context, from view.Instance, body []byte) (any, error) {
	report, err := decodeReport(from, body)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := r.state.HandleReport(report, r.options.Now())
	r.signals.NotifyChange()
	return answer, nil
}

// handleRootReport handles a report of the root. It fails if this process is not the leader.
func (r *Runner) handleRootReport(_ context.Context, from view.Instance, body []byte) (any, error) {
	report, err := decodeReport(from, body)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leading || r.leaderState == nil {
		return nil, errNotLeading
	}
	answer := r.leaderState.HandleRootReport(report, r.options.Now())
	r.signals.NotifyChange()
	return answer, nil
}

// handlePurgesSince answers a process that has started with the purges that it has missed and this process has received.
func (r *Runner) handlePurgesSince(_ context.Context, _ view.Instance, body []byte) (any, error) {
	var request sinceRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("purge: cannot decode request for missed purges: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leading && r.leaderState != nil {
		return r.leaderState.PurgesSince(request.Since, r.options.Now()), nil
	}
	return r.state.PurgesSince(request.Since, r.options.Now()), nil
}

// handlePropose proposes a command of another process. It fails if this process is not the leader.
func (r *Runner) handlePropose(ctx context.Context, _ view.Instance, body []byte) (any, error) {
	var p proposal
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("purge: cannot decode proposal: %w", err)
	}
	if p.Kind != ledger.KindOpen && p.Kind != ledger.KindJoin && p.Kind != ledger.KindLeave {
		return nil, fmt.Errorf("purge: proposal rejected: commands of kind %q are not accepted from other processes", p.Kind)
	}
	if !r.options.Consensus.Leading() {
		return nil, errNotLeading
	}
	answer, err := r.options.Consensus.Propose(ctx, ledger.Part, p.Kind, p.Body)
	r.signals.Wake()
	return answer, err
}

// propose has a command committed, either by this process or by the leader, and decodes the result into out. It retries until
// ctx ends, which is safe because commands are idempotent. After an error it is unknown whether the command was committed.
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

// candidates returns the processes to ask for what only the leader can answer: first those that may be the leader, as far as
// this process knows, then others, at most maxCandidates in total.
func (r *Runner) candidates() []view.Name {
	likely := r.options.Consensus.LeaderCandidates()
	r.mu.Lock()
	defer r.mu.Unlock()
	return leadercall.Candidates(likely, r.lastLeader.Name, r.view, r.options.Self.Name, maxCandidates)
}
