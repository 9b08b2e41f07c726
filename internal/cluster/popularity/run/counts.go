package run

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"flaxcove/internal/cluster/popularity/count"
	"flaxcove/internal/cluster/popularity/merge"
	"flaxcove/internal/cluster/popularity/score"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

// This file carries counts up the tree and rankings down. One message does both: a process calls its parent, and the
// answer holds the ranking if the caller wants one and has not got it. Where nothing changed the message is a few dozen
// bytes, and a process without a small one below it sends none.

const (
	countsPath = "/popularity/up"
	// changedFraction is from which part of the counts on they are sent. Decay alone makes 0.05 after a tick of two seconds
	// and 0.15 after seven: steady traffic is sent each eight seconds, traffic that doubles each four.
	changedFraction = 0.15
)

type countsMessage struct {
	Digest       *merge.Digest `json:"digest,omitempty"`
	WantRanking  bool          `json:"want,omitempty"` // the process is small, or one below it is
	KnownRanking score.Version `json:"have"`
	region       view.Region   // the sender's; does not travel
}

type countsAnswer struct {
	Ranking   *score.Ranking `json:"told,omitempty"`
	ResendAll bool           `json:"lost,omitempty"` // no digest of the caller is stored
}

// countState is what was sent last. Guarded by mu.
type countState struct {
	seq         uint64
	parent      view.Life // this process itself if it is the region's coordinator
	sentRows    []count.Row
	sentAt      view.Uptime
	sent        bool // anything, to that parent
	inFlight    bool
	wantedAt    view.Uptime // when a process below last asked for a ranking
	wantedBelow bool        // ever
}

// updateReporters sets the children of this region as those whose digests are accepted. The caller holds mu.
func (r *Runner) updateReporters(v *view.View, t *tree.Tree) {
	var all []view.Life
	for _, name := range t.Children(r.options.Self.Name) {
		if m, found := v.Find(name); found && t.Region(m.Zone) == r.region(t) {
			all = append(all, m.Life)
		}
	}
	r.merged.SetReporters(all)
}

// region is this process's region as the tree has it: an error in its own settings must not put it apart.
func (r *Runner) region(t *tree.Tree) view.Region { return t.Region(r.options.Self.Zone) }

// countsTick makes the ranking at the region's coordinator, and sends counts to the parent at all other processes.
func (r *Runner) countsTick() {
	now, v, t := r.options.Now(), r.options.View(), r.options.Tree()
	if v == nil || t == nil {
		return
	}
	parent, found := r.countsReceiver(v, t)
	if !found {
		return
	}
	if message, send := r.prepareCounts(now, v, t, parent); send {
		r.startGoroutine(func() { r.sendCounts(parent, message, now) })
	}
}

// countsReceiver is the parent if that is in the same region; the region's coordinator is its own.
func (r *Runner) countsReceiver(v *view.View, t *tree.Tree) (view.Life, bool) {
	region := r.region(t)
	name := t.RegionHead(region)
	if name != r.options.Self.Name {
		name, _ = t.Parent(r.options.Self.Name)
	}
	m, found := v.Find(name)
	return m.Life, found && t.Region(m.Zone) == region
}

// prepareCounts makes the message for the parent. The region's coordinator ranks by its digest instead of sending it.
func (r *Runner) prepareCounts(now view.Uptime, v *view.View, t *tree.Tree, parent view.Life) (message countsMessage, send bool) {
	isHead := parent.Name == r.options.Self.Name
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateReporters(v, t)
	state := &r.countSending
	if parent != state.parent {
		*state = countState{seq: state.seq, parent: parent, inFlight: state.inFlight, wantedAt: state.wantedAt,
			wantedBelow: state.wantedBelow}
	}
	rows, processes := r.merged.Sum(now, r.counts.Top(now, merge.MaxRows))
	if r.countsDue(now, rows) && (isHead || !state.inFlight) {
		message.Digest = r.nextDigest(now, rows, processes)
		if isHead {
			r.rank(now, t, message.Digest)
		}
	}
	message.WantRanking = r.small() || state.wantedBelow && now-state.wantedAt <= r.ticks(wantTicks)
	message.KnownRanking, message.region = r.scores.Version(), r.region(t)
	send = !isHead && !state.inFlight && (message.WantRanking || message.Digest != nil)
	state.inFlight = state.inFlight || send
	return message, send
}

// countsDue reports whether the counts are to be sent, since they changed or were not sent for long. The caller holds mu.
func (r *Runner) countsDue(now view.Uptime, rows []count.Row) bool {
	state := &r.countSending
	if !state.sent || now-state.sentAt >= r.ticks(renewTicks)-r.options.TickInterval/2 {
		return true
	}
	decayed := count.Decay(now-state.sentAt, count.HalfLife)
	return merge.ChangedFraction(state.sentRows, rows, decayed) > changedFraction
}

// nextDigest makes a digest and notes it as sent. The caller holds mu.
func (r *Runner) nextDigest(now view.Uptime, rows []count.Row, processes int) *merge.Digest {
	state := &r.countSending
	state.seq++
	state.sentRows, state.sentAt, state.sent = rows, now, true
	d := merge.NewDigest(r.options.Self.Life, state.seq, processes, rows)
	return &d
}

// rank makes the digest of the region's coordinator the region's ranking. The caller holds mu.
func (r *Runner) rank(now view.Uptime, t *tree.Tree, d *merge.Digest) {
	region := r.region(t)
	r.scores.Update(now, region, score.Ranking{
		Version:      score.Version{Head: d.From, Seq: d.Seq},
		Region:       region,
		Processes:    d.Processes,
		Destinations: d.Destinations,
		Messages:     d.Messages,
	})
	r.status.RankedProcesses = d.Processes
}

func (r *Runner) sendCounts(to view.Life, message countsMessage, countedAt view.Uptime) {
	if message.Digest != nil {
		message.Digest.Age = max(0, r.options.Now()-countedAt)
	}
	started := r.options.Now()
	var answer countsAnswer
	err := r.call(to.Name, countsPath, message, &answer)
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countSending.inFlight = false
	if err != nil || answer.ResendAll {
		if r.countSending.parent == to {
			r.countSending.sent = false
		}
		return
	}
	if answer.Ranking != nil {
		// How long the answer was on its way is not known; at most it was the whole call.
		answer.Ranking.Age += max(0, now-started)
		if r.scores.Update(now, message.region, *answer.Ranking) {
			r.status.RankedProcesses = answer.Ranking.Processes
		}
	}
}

func (r *Runner) handleCounts(_ context.Context, from view.Life, body []byte) (any, error) {
	var in countsMessage
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, r.countMalformed(fmt.Errorf("popularity: counts of %s: %w", from.Name, err))
	}
	if in.Digest != nil && in.Digest.From != from {
		return nil, r.countMalformed(fmt.Errorf("popularity: counts from %q, field from tells %q", from.Name, in.Digest.From.Name))
	}
	now, v, t := r.options.Now(), r.options.View(), r.options.Tree()
	if v == nil || t == nil {
		return countsAnswer{ResendAll: true}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateReporters(v, t)
	if in.Digest != nil && r.merged.Put(now, *in.Digest) == merge.Invalid {
		r.status.Malformed++
		return nil, fmt.Errorf("popularity: counts of %s: not sound", from.Name)
	}
	answer := countsAnswer{ResendAll: !r.merged.Has(from)}
	if in.WantRanking {
		r.countSending.wantedAt, r.countSending.wantedBelow = now, true
		answer.Ranking = r.scores.RankingFor(now, in.KnownRanking)
	}
	return answer, nil
}

// ticks is the span of so many ticks.
func (r *Runner) ticks(n int) time.Duration { return time.Duration(n) * r.options.TickInterval }
