package run

// This file is the leader's announcements to processes that the tree does not reach: those absent from its view, as a
// partitioned process is back seconds before the view says so, and those that do not answer their parent. A process that
// gets one fetches what it lacks; processes that were partitioned together with it get the version from there.

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
	// At most maxAnnouncements calls in announceInterval: 3 KB/s where many are absent and all of them answer.
	announceInterval = time.Second
	maxAnnouncements = 8
)

// announcement names the newest version.
type announcement struct {
	Held spread.Digest `json:"h"`
}

// announceAnswer is the answer to an announcement.
type announceAnswer struct {
	Held    spread.Digest `json:"h"`
	InForce uint64        `json:"i"`
}

// announceToLaggards starts the announcements that are due. The lock is held.
func (r *Runner) announceToLaggards(now view.Uptime) {
	work := &r.leaderWork
	if now < work.nextAnnounceAt || work.state.Newest().Version == 0 {
		return
	}
	work.nextAnnounceAt = now + announceInterval
	newest := work.state.Newest()
	message := announcement{spread.Digest{Version: newest.Version, Sum: newest.Sum}}
	for _, name := range work.roster.DueAnnouncements(work.state.Summary(now).Laggards, maxAnnouncements, now) {
		r.figures.AnnouncementsSent++
		r.goroutines.Go(func() {
			var answer announceAnswer
			if r.caller.Call(r.ctx, name, pathAnnounce, message, &answer) != nil {
				return // as expected of an absent process
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			work.roster.RecordVersion(name, answer.InForce)
		})
	}
}

// handleAnnouncement has a newer version fetched from the caller.
func (r *Runner) handleAnnouncement(_ context.Context, from view.Life, body []byte) (any, error) {
	var message announcement
	if err := json.Unmarshal(body, &message); err != nil {
		return nil, fmt.Errorf("configuration: nudge: %w", err)
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
