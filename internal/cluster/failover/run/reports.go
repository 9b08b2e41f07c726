package run

import (
	"context"
	"encoding/json"
	"fmt"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

// reportsMessage carries reports to the parent, or to the leader.
type reportsMessage struct {
	Reports []assess.Report `json:"reports"`
	Final   bool            `json:"final,omitempty"` // sent to the leader, which does not forward the reports
}

// maxReports bounds the number of reports in one message. Further ones stay due and go with a later message.
const maxReports = 3000

// sendReports sends the reports that are due to the parent. If the parent does not answer, they go to the parent's
// parent, and if that does not answer, to the leader. The root sends them to the leader. At most one call is in flight;
// reports that become due meanwhile go with the next one.
func (r *Runner) sendReports(now view.Uptime, t *tree.Tree) {
	targets, leader := r.reportTargets(t)
	if len(targets) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reporting {
		return
	}
	if targets[0] != r.reportingTo {
		r.reportingTo = targets[0]
		r.outgoing.MarkAllUnsent()
	}
	reports := r.outgoing.TakeDue(now, maxReports)
	if len(reports) == 0 {
		return
	}
	r.reporting = r.startCall(func() { r.callWithReports(targets, leader, reports) })
}

// reportTargets returns the processes to send reports to, in the order in which they are tried, and the leader if that
// is another process.
func (r *Runner) reportTargets(t *tree.Tree) (targets []view.Name, leader view.Name) {
	if parent, known := t.Parent(r.options.Self); known {
		targets = append(targets, parent)
		if grandparent, known := t.Parent(parent); known {
			targets = append(targets, grandparent)
		}
	}
	leader, known := r.options.Consensus.Leader()
	if !known || leader == r.options.Self {
		return targets, ""
	}
	return append(targets, leader), leader
}

// callWithReports sends reports to the targets in turn until one answers.
func (r *Runner) callWithReports(targets []view.Name, leader view.Name, reports []assess.Report) {
	calls, failed := uint64(0), uint64(0)
	agesAsOf := r.options.Now()
	for i, name := range targets {
		if waited := r.options.Now() - agesAsOf; waited > 0 { // the reports have aged while a target did not answer
			for j := range reports {
				reports[j].Age += waited
			}
			agesAsOf += waited
		}
		message := reportsMessage{reports, i == len(targets)-1 && name == leader}
		ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
		err := r.options.Link.Call(ctx, name, reportsPath, message, nil)
		cancel()
		if calls++; err == nil || r.ctx.Err() != nil {
			break
		}
		failed++
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reporting = false
	r.stats.ReportCalls, r.stats.Failed = r.stats.ReportCalls+calls, r.stats.Failed+failed
	r.stats.ReportsSent += uint64(len(reports))
}

// handleReports stores received reports: final ones for the planner, others to be sent on to the parent.
func (r *Runner) handleReports(_ context.Context, from view.Instance, body []byte) (any, error) {
	var in reportsMessage
	err := json.Unmarshal(body, &in)
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.stats.Malformed++
		return nil, fmt.Errorf("failover: cannot decode reports from %q: %w", from.Name, err)
	}
	r.stats.Received++
	table := r.outgoing
	if in.Final {
		table = r.collected
	}
	if table.Put(now, in.Reports) {
		r.wakeLoop()
	}
	return nil, nil
}
