package play

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"flaxcove/choice"
	"flaxcove/lab/live"
)

// This file gives purges to the processes.

const (
	purgeFor   = 40 * time.Second
	purgeAgain = 300 * time.Millisecond
)

// PurgeReport is what a purge's caller was told, by the run's clock in tenths of a millisecond.
type PurgeReport struct {
	ID                       string
	Given, Decided, Complete choice.Time
	Tries                    int
	Whole                    string
}

// give hands a purge to a process, and to the next where that does not answer, until it is known to be decided; then
// it asks until it is complete.
func (p *player) give(ctx context.Context, h *live.RunControl, no int) {
	order := &p.s.Purges[no]
	id := fmt.Sprintf("%s-%d", p.s.Name, no)
	p.judge.Opened(id, h.Now(), func(n choice.MessageID) bool {
		k, known := p.kinds[n]
		return order.Subject == "notices" && known && k.destination == order.Destination && (order.Class == "" || k.class == order.Class)
	})
	report := PurgeReport{ID: id, Given: h.Now()}
	body := map[string]any{"id": id, "subject": order.Subject, "who": "laboratory", "why": "schedule " + p.s.Name,
		"match": map[string]any{"destination": order.Destination, "workload": order.Class}}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		deadline := time.Now().Add(purgeFor)
		by, decided := order.By, false
		var decidedIn, tries = time.Duration(0), 0
		began := time.Now()
		for ctx.Err() == nil && time.Now().Before(deadline) {
			tries++
			var answer struct {
				State string `json:"state"`
			}
			var code int
			if !decided {
				code = p.ask(ctx, by, "POST", "/v1/purges", body, &answer)
				decided = code == http.StatusAccepted || code == http.StatusOK
				decidedIn = time.Since(began)
			} else {
				code = p.ask(ctx, by, "GET", "/v1/purges/"+id, nil, &answer)
			}
			if answer.State == "complete" || answer.State == "complete with lapsed" {
				h.Post(func() {
					report.Decided, report.Complete = report.Given+tenths(decidedIn), h.Now()
					report.Tries, report.Whole = tries, answer.State
					p.report = append(p.report, report)
					p.judge.Complete(id, h.Now(), answer.State != "complete")
					p.open--
				})
				return
			}
			if code/100 != 2 {
				by = (by + 1) % p.s.Processes
			}
			wait := purgeAgain
			if decided {
				wait = 50 * time.Millisecond
			}
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		h.Post(func() {
			report.Tries = tries
			p.report = append(p.report, report)
			p.open--
		})
	}()
}

func tenths(d time.Duration) choice.Time { return choice.Time(d / (100 * time.Microsecond)) }
