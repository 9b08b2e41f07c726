package run

// This file is the messages between processes: begun here, and taken here.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/ordering"
	"flaxcove/internal/cluster/view"
)

const (
	pathDown    = "/configuration/down"
	pathReport  = "/configuration/report"
	pathFetch   = "/configuration/fetch"
	pathPropose = "/configuration/propose"
	pathShow    = "/configuration/show"
)

var (
	errNotLeading = errors.New("configuration: this process does not lead the council")
	errNobody     = errors.New("configuration: nobody to ask is known")
	errAnswered   = errors.New("configuration: this message was answered before")
)

func (r *Runner) handle() {
	r.caller.Handle(map[string]ordering.Handler{
		pathDown: r.takeDown, pathReport: r.takeReport, pathFetch: r.takeFetch, pathPropose: r.takePropose, pathShow: r.takeShow,
		pathAnnounce: r.takeAnnouncement,
	})
}

// send begins the messages down that a state wants sent. The lock is held.
func (r *Runner) send(of *spread.State, now view.Now) {
	for _, to := range of.Downs(now) {
		r.figures.Downs++
		r.counted(to.Down.Content)
		r.going.Go(func() { r.down(of, to) })
	}
}

// counted counts content that is sent. The lock is held.
func (r *Runner) counted(c *spread.Content) {
	switch {
	case c == nil:
		return
	case c.Patch != nil:
		r.figures.Changes++
	default:
		r.figures.Wholes++
	}
	r.figures.ContentBytes += uint64(len(c.Patch) + len(c.Whole))
}

func (r *Runner) down(of *spread.State, to spread.To) {
	var report spread.Report
	err := r.caller.Call(r.ctx, to.Child.Name, pathDown, to.Down, &report)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || report.From.Name != to.Child.Name {
		r.figures.Failed++
		of.Failed(to.Child, r.o.Now())
	} else {
		of.Answered(to.Child, report, r.o.Now())
	}
	if of == r.lead.top {
		r.lead.told = true
	}
	r.signals.Turn()
}

func (r *Runner) upward(parent spread.Above, report spread.Report) {
	var answer spread.ReportAnswer
	err := r.caller.Call(r.ctx, parent.Name, pathReport, report, &answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.figures.Failed++
		r.state.UpFailed(parent, r.o.Now())
	} else {
		r.state.UpDone(parent, answer, r.o.Now())
	}
	r.signals.Turn()
}

// takeDown takes a version in and answers how all below stand, once they have it in force or HoldFor is over.
func (r *Runner) takeDown(ctx context.Context, from view.Life, body []byte) (any, error) {
	var d spread.Down
	if err := json.Unmarshal(body, &d); err != nil {
		return nil, fmt.Errorf("configuration: message down: %w", err)
	}
	if d.From.Name != from.Name {
		return nil, fmt.Errorf("configuration: message down: from %q, field from tells %q", from.Name, d.From.Name)
	}
	leader, known := r.o.Consensus.Leader()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures.DownsIn++
	if d.Top {
		r.leader = d.From // a root without a place in the council learns by it to whom it reports
		r.placeInTree(leader, known, r.o.Now())
	}
	r.state.FromParent(d, r.o.Now())
	r.state.Hold()
	r.signals.Turn()
	if d.Content != nil {
		r.signals.Await(ctx, r.ctx.Done(), spread.HoldFor, r.state.Settled)
	}
	report, first := r.state.Answer(d, r.o.Now())
	r.signals.Wake()
	if !first {
		return nil, errAnswered
	}
	return report, nil
}

// takeReport takes in how a child stands; for whoever leads, how the root does.
func (r *Runner) takeReport(_ context.Context, from view.Life, body []byte) (any, error) {
	var report spread.Report
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, fmt.Errorf("configuration: report: %w", err)
	}
	if report.From.Name != from.Name {
		return nil, fmt.Errorf("configuration: report: from %q, field from tells %q", from.Name, report.From.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	of := r.state
	if report.Top {
		if r.lead.top == nil {
			return nil, errNotLeading
		}
		of, r.lead.told = r.lead.top, true
	}
	r.figures.UpsIn++
	answer := of.FromChild(report, r.o.Now())
	r.counted(answer.Content)
	r.signals.Turn()
	return answer, nil
}

// takeFetch tells one who asks what it lacks, as far as it is known here.
func (r *Runner) takeFetch(_ context.Context, _ view.Life, body []byte) (any, error) {
	var f spread.Fetch
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, fmt.Errorf("configuration: question: %w", err)
	}
	news := r.readLedger() // who asks this may begin to send upon the answer: it must not be of a moment ago
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures.FetchIn++
	answer := r.state.Serve(f)
	if news.leading {
		r.leadOn(news, r.o.Now())
		answer = r.lead.top.Serve(f)
		answer.Leads = r.ahead().Version == 0
	}
	r.counted(answer.Content)
	return answer, nil
}
