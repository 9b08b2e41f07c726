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

// This file orders changes of the shared settings as an operator's tool does: based on the newest version, repeated under the
// same id if no answer came, and based on the then newest version if another change was decided first.

const changeTimeout = 40 * time.Second

// ChangeReport is the outcome of a change that was ordered. Times are times of the run, in tenths of a millisecond. Version
// and Decided are 0 if the change was not reported decided.
type ChangeReport struct {
	ID               string
	Ordered, Decided choice.Time
	InForce          choice.Time // when all processes had this or a newer version in force; 0 for never
	Version          uint64
	Attempts         int
}

// orderChange orders change no of the schedule and records when it is decided.
func (p *player) orderChange(ctx context.Context, run *live.RunControl, no int) {
	report := &ChangeReport{ID: fmt.Sprintf("%s-change-%d", p.schedule.Name, no), Ordered: run.Now()}
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
				report.Decided = report.Ordered + tenths(took)
				p.judge.ChangeDecided(report.ID, decided.version, decided.sum)
			}
			p.ordersInProgress--
		})
	}()
}

// decidedChange is the version that a change became. Version 0 means that it was not decided.
type decidedChange struct {
	version uint64
	sum     configuration.Sum
}

// decideChange orders a change at a process until it is reported decided or changeTimeout has passed. After a request without
// success it turns to the next process. If another change was decided first, it orders the change again, based on the newest
// version.
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
		case <-time.After(retryInterval):
		}
	}
	return decided, attempts
}

// newestVersion returns the newest version of the settings that a process reports. It returns false if no answer came.
func (p *player) newestVersion(ctx context.Context, by int) (uint64, bool) {
	var answer struct {
		Version uint64 `json:"version"`
	}
	code := p.request(ctx, by, "GET", "/v1/configuration", nil, &answer)
	return answer.Version, code == http.StatusOK
}

// pollConfiguration asks the first process at which processes the newest version is in force, and passes its answer to
// OnConfiguration.
func (p *player) pollConfiguration(ctx context.Context, h *live.RunControl) {
	var answer versions.ConfigurationStatus
	if p.request(ctx, 0, "GET", "/v1/configuration", nil, &answer) == http.StatusOK {
		h.Post(func() {
			p.configuration = answer
			p.options.OnConfiguration(h.Now(), answer)
		})
	}
}

// postChange makes one attempt to order a change and returns the HTTP status. The change sets how long idle connections are
// kept, which affects no rule of the referee.
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
	code := p.request(ctx, by, "POST", path, body, &answer)
	if code/100 == 4 && code != http.StatusConflict {
		p.recordRejectedChange(id, answer.Error)
	}
	return answer.Version, answer.Sum, code
}

// recordRejectedChange records the first change that a process rejected.
func (p *player) recordRejectedChange(id, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rejectedChange == "" {
		p.rejectedChange = fmt.Sprintf("change %s was rejected: %s", id, reason)
	}
}

// recordInForce sets InForce of the changes that are in force at all processes, once the statuses of all processes are there.
func (p *player) recordInForce(now choice.Time, all []*status.Status) {
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

// laggingProcesses describes the processes that do not run the newest settings, according to their own statuses and to the
// answer of the first process.
func (p *player) laggingProcesses(all []*status.Status) (differences []string) {
	for _, s := range all {
		if c := s.Configuration; c != nil && c.Version < p.judge.Newest() {
			differences = append(differences, fmt.Sprintf("%s runs version %d of the settings, but version %d is decided (%d rejected: %s)",
				s.Self.Name, c.Version, p.judge.Newest(), c.Rejected, c.Why))
		}
	}
	if s := p.configuration; p.options.OnConfiguration != nil && (s.Version < p.judge.Newest() || s.State != versions.InForce || len(s.Laggards)+len(s.Absent) > 0) {
		differences = append(differences, fmt.Sprintf("the first process reports version %d in state %q, laggards %v, absent processes %v", s.Version, s.State, s.Laggards, s.Absent))
	}
	return differences
}
