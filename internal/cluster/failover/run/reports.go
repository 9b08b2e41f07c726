package run

import (
	"context"
	"encoding/json"
	"fmt"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

// reportsMessage goes to a parent; with Final set to the leader, which passes it no further.
type reportsMessage struct {
	Reports []assess.Report `json:"reports"`
	Final   bool            `json:"final,omitempty"`
}

// maxReports bounds one message. Reports beyond it wait for the next tick, as the board still has them.
const maxReports = 3000

// sendReports sends reports to the parent; if it does not answer, to the parent's parent; and if that does not either,
// to the leader, as the root does. One call is in flight at a time; what it misses goes with the next.
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

// reportTargets is whom to try, in this order, and the leader if that is another process.
func (r *Runner) reportTargets(t *tree.Tree) (targets []view.Name, leader view.Name) {
	if parent, known := t.Parent(r.options.Self); known {
		targets = append(targets, parent)
		if above, known := t.Parent(parent); known {
			targets = append(targets, above)
		}
	}
	leader, known := r.options.Consensus.Leader()
	if !known || leader == r.options.Self {
		return targets, ""
	}
	return append(targets, leader), leader
}

// callWithReports calls the targets until one answers.
func (r *Runner) callWithReports(targets []view.Name, leader view.Name, reports []assess.Report) {
	calls, failed := uint64(0), uint64(0)
	countedFrom := r.options.Now()
	for i, name := range targets {
		if waited := r.options.Now() - countedFrom; waited > 0 { // one did not answer: all reports are older by that
			for j := range reports {
				reports[j].Age += waited
			}
			countedFrom += waited
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

func (r *Runner) handleReports(_ context.Context, from view.Life, body []byte) (any, error) {
	var in reportsMessage
	err := json.Unmarshal(body, &in)
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.stats.Malformed++
		return nil, fmt.Errorf("failover: reports of %s: %w", from.Name, err)
	}
	r.stats.Received++
	board := r.outgoing
	if in.Final {
		board = r.collected
	}
	if board.Put(now, in.Reports) {
		r.wakeLoop()
	}
	return nil, nil
}
