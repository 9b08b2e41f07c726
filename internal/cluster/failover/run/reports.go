package run

import (
	"context"
	"encoding/json"
	"fmt"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/jsonsize"
)

// reportsMessage carries reports to the parent, or to the leader.
type reportsMessage struct {
	Reports []assess.Report `json:"reports"`
	Final   bool            `json:"final,omitempty"` // sent to the leader, which does not forward the reports
}

// maxReports bounds the number of reports sent at a time. Further ones stay due and go later.
const maxReports = 3000

// maxReportsBytes is the length in JSON of the longest list of reports in one message; the link's limit is 1 MB.
const maxReportsBytes = 1000 << 10

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
	r.reporting = r.startCall(func() { r.callWithAll(targets, leader, reports) })
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

// callWithAll sends reports in as many messages as their length requires.
func (r *Runner) callWithAll(targets []view.Name, leader view.Name, reports []assess.Report) {
	for len(reports) > 0 {
		fitting := jsonsize.Prefix(reports, maxReportsBytes)
		r.callWithReports(targets, leader, reports[:fitting])
		reports = reports[fitting:]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reporting = false
}

// callWithReports sends reports in one message to the targets in turn until one answers.
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
