package play

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"flaxcove/choice"
	"flaxcove/lab/cluster/schedule"
	"flaxcove/lab/live"
)

// This file orders purges through the HTTP interface of the processes.

// Final states of a purge, as a process reports them.
const (
	complete           = "complete"
	completeWithLapsed = "complete with lapsed"
)

const (
	purgeTimeout  = 40 * time.Second
	retryInterval = 300 * time.Millisecond
	// decidedPollInterval is the time between two polls of the state of a decided purge. It is shorter than retryInterval since
	// a decided purge completes soon.
	decidedPollInterval = 50 * time.Millisecond
)

// PurgeReport is the outcome of a purge that was ordered. Times are times of the run, in tenths of a millisecond. Decided,
// Complete and State are zero if the purge was not reported complete.
type PurgeReport struct {
	ID                         string
	Ordered, Decided, Complete choice.Time
	Attempts                   int
	State                      string
}

// orderPurge orders purge no of the schedule and polls its state until it is complete.
func (p *player) orderPurge(ctx context.Context, run *live.RunControl, no int) {
	order := &p.schedule.Purges[no]
	id := fmt.Sprintf("%s-%d", p.schedule.Name, no)
	p.judge.PurgeOrdered(id, run.Now(), func(n choice.MessageID) bool {
		m, known := p.accepted[n]
		return order.Subject == "notices" && known && m.destination == order.Destination && (order.Class == "" || m.class == order.Class)
	})
	report := PurgeReport{ID: id, Ordered: run.Now()}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		purge := &purgeOrder{player: p, id: id, order: order, by: order.By, began: time.Now()}
		state := purge.run(ctx)
		run.Post(func() {
			report.Attempts = purge.attempts
			if state != "" {
				report.Decided, report.Complete = report.Ordered+tenths(purge.decidedIn), run.Now()
				report.State = state
				p.judge.PurgeComplete(id, run.Now(), state != complete)
			}
			p.purgeReports = append(p.purgeReports, report)
			p.ordersInProgress--
		})
	}()
}

// purgeOrder is a purge in progress. It belongs to one goroutine.
type purgeOrder struct {
	player    *player
	id        string
	order     *schedule.Purge
	by        int // number of the process that the next request goes to
	began     time.Time
	attempts  int
	decided   bool
	decidedIn time.Duration
}

// run orders the purge at a process until it is reported decided, and then polls its state until it is complete. After a
// request without success it turns to the next process. It returns the final state, or "" if purgeTimeout passed before.
func (o *purgeOrder) run(ctx context.Context) (state string) {
	deadline := time.Now().Add(purgeTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		state, code := o.request(ctx)
		if state == complete || state == completeWithLapsed {
			return state
		}
		if code/100 != 2 {
			o.by = (o.by + 1) % o.player.schedule.Processes
		}
		wait := retryInterval
		if o.decided {
			wait = decidedPollInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return ""
}

// request orders the purge, or asks for its state once it is decided. It returns the state and the HTTP status of the answer.
func (o *purgeOrder) request(ctx context.Context) (state string, code int) {
	o.attempts++
	var answer struct {
		State string `json:"state"`
	}
	if o.decided {
		code = o.player.request(ctx, o.by, "GET", "/v1/purges/"+o.id, nil, &answer)
		return answer.State, code
	}
	body := map[string]any{"id": o.id, "subject": o.order.Subject, "who": "laboratory", "why": "schedule " + o.player.schedule.Name,
		"match": map[string]any{"destination": o.order.Destination, "workload": o.order.Class}}
	code = o.player.request(ctx, o.by, "POST", "/v1/purges", body, &answer)
	o.decided = code == http.StatusAccepted || code == http.StatusOK
	o.decidedIn = time.Since(o.began)
	return answer.State, code
}

// tenths converts a duration to the unit of choice.Time, tenths of a millisecond.
func tenths(d time.Duration) choice.Time { return choice.Time(d / (100 * time.Microsecond)) }
