package run

// This file holds the leader's announcements of the newest version to processes that the tree does not reach. These are
// processes that are absent from the leader's view, as a partitioned process returns seconds before the view shows
// that, and processes that do not answer their parent. A process that receives an announcement fetches the version from
// the leader. Processes that were partitioned together with it get the version from it.

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
	// At most maxAnnouncements calls are made per announceInterval. That is 3 KB/s if many processes are absent and all
	// of them answer.
	announceInterval = time.Second
	maxAnnouncements = 8
)

// announcement is the message that names the newest version.
type announcement struct {
	Held spread.Digest `json:"h"`
}

// announceAnswer is the answer to an announcement: the newest version that the process has, and the one in force there.
type announceAnswer struct {
	Held    spread.Digest `json:"h"`
	InForce uint64        `json:"i"`
}

// announceToLaggards starts the announcements that are due. r.mu is held.
func (r *Runner) announceToLaggards(now view.Uptime) {
	work := &r.leaderWork
	if now < work.nextAnnounceAt || work.state.Newest().Version == 0 {
		return
	}
	work.nextAnnounceAt = now + announceInterval
	newest := work.state.Newest()
	message := announcement{spread.Digest{Version: newest.Version, Sum: newest.Sum}}
	for _, name := range work.roster.DueAnnouncements(work.state.Summary(now).Laggards, maxAnnouncements, now) {
		r.counters.AnnouncementsSent++
		r.goroutines.Go(func() {
			var answer announceAnswer
			if r.caller.Call(r.ctx, name, pathAnnounce, message, &answer) != nil {
				return // expected for an absent process
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			work.roster.RecordVersion(name, answer.InForce)
		})
	}
}

// handleAnnouncement records the caller as the source of a newer version, which the next step fetches.
func (r *Runner) handleAnnouncement(_ context.Context, from view.Instance, body []byte) (any, error) {
	var message announcement
	if err := json.Unmarshal(body, &message); err != nil {
		return nil, fmt.Errorf("configuration: cannot decode announcement: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.state.Newest()
	if message.Held.Version > newest.Version {
		r.announcedBy = from.Name
		r.signals.Wake()
	}
	return announceAnswer{spread.Digest{Version: newest.Version, Sum: newest.Sum}, r.running.Version}, nil
}
