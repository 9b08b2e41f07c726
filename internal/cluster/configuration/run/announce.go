package run

// This file has whoever leads try those whom the tree does not reach: who is away by its view, as one that was cut off
// is back seconds before the view says so, and who does not answer its parent. One that is reached asks for what it
// lacks; if it coordinates others that were cut off with it, or reports to such a one, they have it from there.

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/view"
)

const (
	pathAnnounce = "/configuration/nudge"
	// At most mostAnnounced calls in announceEvery: 3 KB/s where many are away and all of them answer.
	announceEvery = time.Second
	mostAnnounced = 8
)

// announcement tells of the newest version.
type announcement struct {
	Held spread.Digest `json:"h"`
}

// announceAnswer answers it.
type announceAnswer struct {
	Held    spread.Digest `json:"h"`
	InForce uint64        `json:"i"`
}

// announceToLaggards begins what is due. The lock is held.
func (r *Runner) announceToLaggards(now view.Now) {
	l := &r.lead
	if now < l.announceAt || l.top.Held().Version == 0 {
		return
	}
	l.announceAt = now + announceEvery
	held := l.top.Held()
	of := announcement{spread.Digest{Version: held.Version, Sum: held.Sum}}
	for _, name := range l.roster.Due(l.top.Summary(now).Laggards, mostAnnounced, now) {
		r.figures.Announcements++
		r.going.Go(func() {
			var answer announceAnswer
			if r.caller.Call(r.ctx, name, pathAnnounce, of, &answer) != nil {
				return // it is away: that is why it was tried
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			l.roster.Heard(name, answer.InForce)
		})
	}
}

// takeAnnouncement has the caller asked for what is lacking here.
func (r *Runner) takeAnnouncement(_ context.Context, from view.Life, body []byte) (any, error) {
	var n announcement
	if err := json.Unmarshal(body, &n); err != nil {
		return nil, fmt.Errorf("configuration: nudge: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.state.Held()
	if n.Held.Version > held.Version {
		r.announcedBy = from.Name
		r.signals.Wake()
	}
	return announceAnswer{spread.Digest{Version: held.Version, Sum: held.Sum}, r.running.Version}, nil
}
