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

// This file orders purges from the processes.

// States of a purge that is complete, as a process answers them.
const (
	complete           = "complete"
	completeWithLapsed = "complete with lapsed"
)

const (
	purgeTimeout = 40 * time.Second
	retryEvery   = 300 * time.Millisecond
	// pollDecidedEvery is how often the state of a decided purge is polled: it will be complete soon.
	pollDecidedEvery = 50 * time.Millisecond
)

// PurgeReport says what became of a purge that was ordered. Times are tenths of a millisecond of the run.
type PurgeReport struct {
	ID                       string
	Given, Decided, Complete choice.Time
	Attempts                 int
	State                    string
}

// orderPurge orders a purge of the schedule and watches it until it is complete.
func (p *player) orderPurge(ctx context.Context, run *live.RunControl, no int) {
	order := &p.schedule.Purges[no]
	id := fmt.Sprintf("%s-%d", p.schedule.Name, no)
	p.judge.PurgeOrdered(id, run.Now(), func(n choice.MessageID) bool {
		m, known := p.accepted[n]
		return order.Subject == "notices" && known && m.destination == order.Destination && (order.Class == "" || m.class == order.Class)
	})
	report := PurgeReport{ID: id, Given: run.Now()}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		purge := &purgeOrder{player: p, id: id, order: order, by: order.By, began: time.Now()}
		state := purge.run(ctx)
		run.Post(func() {
			report.Attempts = purge.attempts
			if state != "" {
				report.Decided, report.Complete = report.Given+tenths(purge.decidedIn), run.Now()
				report.State = state
				p.judge.PurgeComplete(id, run.Now(), state != complete)
			}
			p.purgeReports = append(p.purgeReports, report)
			p.openOrders--
		})
	}()
}

// purgeOrder is one purge on its way to be complete.
type purgeOrder struct {
	player    *player
	id        string
	order     *schedule.Purge
	by        int // the process that is asked
	began     time.Time
	attempts  int
	decided   bool
	decidedIn time.Duration
}

// run hands the purge to a process, and to the next one where that does not answer, until it is known to be decided; then
// it polls until the purge is complete. It returns the final state, or "" if the time was over before.
func (o *purgeOrder) run(ctx context.Context) (state string) {
	deadline := time.Now().Add(purgeTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		state, code := o.ask(ctx)
		if state == complete || state == completeWithLapsed {
			return state
		}
		if code/100 != 2 {
			o.by = (o.by + 1) % o.player.schedule.Processes
		}
		wait := retryEvery
		if o.decided {
			wait = pollDecidedEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return ""
}

// ask orders the purge, or asks for its state once it is decided. It returns the state that was answered.
func (o *purgeOrder) ask(ctx context.Context) (state string, code int) {
	o.attempts++
	var answer struct {
		State string `json:"state"`
	}
	if o.decided {
		code = o.player.ask(ctx, o.by, "GET", "/v1/purges/"+o.id, nil, &answer)
		return answer.State, code
	}
	body := map[string]any{"id": o.id, "subject": o.order.Subject, "who": "laboratory", "why": "schedule " + o.player.schedule.Name,
		"match": map[string]any{"destination": o.order.Destination, "workload": o.order.Class}}
	code = o.player.ask(ctx, o.by, "POST", "/v1/purges", body, &answer)
	o.decided = code == http.StatusAccepted || code == http.StatusOK
	o.decidedIn = time.Since(o.began)
	return answer.State, code
}

// tenths converts to the unit of choice.Time, tenths of a millisecond.
func tenths(d time.Duration) choice.Time { return choice.Time(d / (100 * time.Microsecond)) }
