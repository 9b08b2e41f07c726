package play

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/configuration"
	versions "flaxcove/internal/cluster/configuration/run"
	"flaxcove/internal/cluster/status"
	"flaxcove/lab/live"
)

// This file orders changes of the shared settings, as an operator's tool would: based on the newest version, again under
// the same id if no answer came, and anew if another change came first.

const changeTimeout = 40 * time.Second

// ChangeReport says what became of a change that was ordered. Times are tenths of a millisecond of the run.
type ChangeReport struct {
	ID             string
	Given, Decided choice.Time
	InForce        choice.Time // when all first reported it or a newer one in force; 0 for never
	Version        uint64
	Attempts       int
}

// orderChange orders a change of the schedule and reports when it is decided.
func (p *player) orderChange(ctx context.Context, run *live.RunControl, no int) {
	report := &ChangeReport{ID: fmt.Sprintf("%s-change-%d", p.schedule.Name, no), Given: run.Now()}
	p.judge.ChangeOrdered(report.ID)
	p.changeReports = append(p.changeReports, report)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		began := time.Now()
		decided, attempts := p.decideChange(ctx, report.ID, no, began)
		took := time.Since(began)
		run.Post(func() {
			report.Attempts, report.Version = attempts, decided.version
			if decided.version > 0 {
				report.Decided = report.Given + tenths(took)
				p.judge.ChangeDecided(report.ID, decided.version, decided.sum)
			}
			p.openOrders--
		})
	}()
}

// decidedChange is the version that a change became; version 0 for none.
type decidedChange struct {
	version uint64
	sum     configuration.Sum
}

// decideChange hands a change to a process, and to the next one where that does not answer, until it is known to be
// decided. Where another change came first, it is ordered anew upon the newest version.
func (p *player) decideChange(ctx context.Context, id string, no int, began time.Time) (decided decidedChange, attempts int) {
	change := &p.schedule.Changes[no]
	by := change.By
	base, known := uint64(0), false
	for ctx.Err() == nil && time.Since(began) < changeTimeout {
		attempts++
		if !known {
			base, known = p.newestVersion(ctx, by)
		}
		code := 0
		if known {
			decided.version, decided.sum, code = p.postChange(ctx, by, id, base, change.Back, no)
		}
		if decided.version > 0 {
			break
		}
		known = known && code != http.StatusConflict
		if code/100 != 2 && code != http.StatusConflict {
			by = (by + 1) % p.schedule.Processes
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryEvery):
		}
	}
	return decided, attempts
}

// newestVersion is the newest version of the settings according to a process. It is false if no answer came.
func (p *player) newestVersion(ctx context.Context, by int) (uint64, bool) {
	var shown struct {
		Version uint64 `json:"version"`
	}
	code := p.ask(ctx, by, "GET", "/v1/configuration", nil, &shown)
	return shown.Version, code == http.StatusOK
}

// askShown asks the first process where the newest version is in force.
func (p *player) askShown(ctx context.Context, h *live.RunControl) {
	var shown versions.ConfigurationStatus
	if p.ask(ctx, 0, "GET", "/v1/configuration", nil, &shown) == http.StatusOK {
		h.Post(func() {
			p.shown = shown
			p.options.OnConfiguration(h.Now(), shown)
		})
	}
}

// postChange makes one attempt to order a change. It changes how long idle connections are kept, which affects no rule.
func (p *player) postChange(ctx context.Context, by int, id string, base uint64, back bool, no int) (uint64, configuration.Sum, int) {
	path, body := "/v1/configuration", map[string]any{"id": id, "base": base, "who": "laboratory", "why": "schedule " + p.schedule.Name}
	if back && base > 0 {
		path = fmt.Sprintf("/v1/configuration/%d/restore", base-1)
	} else {
		body["patch"] = map[string]any{"bounds": map[string]any{"connIdle": 1_000_000_000 + 1_000_000*(no+1)}}
	}
	var answer struct {
		Version uint64            `json:"version"`
		Sum     configuration.Sum `json:"sum"`
		Error   string            `json:"error"`
	}
	code := p.ask(ctx, by, "POST", path, body, &answer)
	if code/100 == 4 && code != http.StatusConflict {
		p.refusedChange(id, answer.Error)
	}
	return answer.Version, answer.Sum, code
}

func (p *player) refusedChange(id, why string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusal == "" {
		p.refusal = fmt.Sprintf("change %s was refused: %s", id, why)
	}
}

// noteInForce records which changes are in force at all processes by now.
func (p *player) noteInForce(now choice.Time, all []*status.Status) {
	if len(all) < p.schedule.Processes {
		return
	}
	lowest := ^uint64(0)
	for _, s := range all {
		if s.Configuration != nil {
			lowest = min(lowest, s.Configuration.Version)
		}
	}
	for _, c := range p.changeReports {
		if c.Version > 0 && c.InForce == 0 && c.Version <= lowest {
			c.InForce = now
		}
	}
}

// behind returns which processes do not run the newest settings, by their own statuses or by the first process's answer.
func (p *player) behind(all []*status.Status) (why []string) {
	for _, s := range all {
		if c := s.Configuration; c != nil && c.Version < p.judge.Newest() {
			why = append(why, fmt.Sprintf("%s runs version %d of the settings, %d is decided (%d refused: %s)",
				s.Self.Name, c.Version, p.judge.Newest(), c.Rejected, c.Why))
		}
	}
	if s := p.shown; p.options.OnConfiguration != nil && (s.Version < p.judge.Newest() || s.State != versions.InForce || len(s.Laggards)+len(s.Away) > 0) {
		why = append(why, fmt.Sprintf("shown is version %d, %q, with laggards %v, away %v", s.Version, s.State, s.Laggards, s.Away))
	}
	return why
}
