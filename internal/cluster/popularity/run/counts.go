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

// This file sends counts up the tree and rankings down. One call does both: a process sends its counts to its parent, and the
// answer holds the ranking if the caller wants one and does not have it. If nothing has changed, the message takes a few dozen
// bytes; and if the process is also large and has no small process below it, it sends no message.

const (
	countsPath = "/popularity/up"
	// changedFraction is the fraction of the counts that must have changed for them to be sent before renewTicks. Decay alone
	// changes 0.05 in a tick of two seconds and 0.15 in seven seconds. So counts of steady traffic are sent every eight
	// seconds, and those of traffic that doubles every four.
	changedFraction = 0.15
)

// countsMessage is the message of a process to its parent.
type countsMessage struct {
	Digest       *merge.Digest `json:"digest,omitempty"` // nil if the counts are not due
	WantRanking  bool          `json:"want,omitempty"`   // the process is small, or has a small one below it
	KnownRanking score.Version `json:"have"`             // version of the ranking that the process has
	region       view.Region   // of the process; not sent
}

// countsAnswer is the answer to a countsMessage.
type countsAnswer struct {
	Ranking   *score.Ranking `json:"told,omitempty"` // nil if the caller does not want one or has it already
	ResendAll bool           `json:"lost,omitempty"` // the caller must send its digest, as none of it is stored
}

// countReportState is the state of sending counts to the parent. It is guarded by mu.
type countReportState struct {
	seq           uint64        // of the newest digest
	parent        view.Instance // the receiver of the counts; this process itself if it is the region's coordinator
	sentRows      []count.Row   // of the newest digest
	sentAt        view.Uptime   // time of the newest digest; valid if sent
	sent          bool          // whether a digest was sent to the parent
	inFlight      bool          // a call to a parent is in flight
	wantedAt      view.Uptime   // time at which a process below last asked for a ranking; valid if wantedByChild
	wantedByChild bool          // whether a process below has ever asked for a ranking
}

// updateReporters accepts the digests of the children that are in this process's region, and of no other process. The caller
// holds mu.
func (r *Runner) updateReporters(v *view.View, t *tree.Tree) {
	var all []view.Instance
	for _, name := range t.Children(r.options.Self.Name) {
		if m, found := v.Find(name); found && t.Region(m.Zone) == r.region(t) {
			all = append(all, m.Instance)
		}
	}
	r.merged.SetReporters(all)
}

// region returns this process's region according to the tree. A wrong region in the process's own settings thus does not separate
// it from the others of its zone.
func (r *Runner) region(t *tree.Tree) view.Region { return t.Region(r.options.Self.Zone) }

// countsTick makes the region's ranking if this process is the region's coordinator. Otherwise it sends the counts to the parent.
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

// countsReceiver returns the process that receives the counts: the parent, or this process itself if it is the region's
// coordinator. It returns false if the receiver is not in the view or not in the same region.
func (r *Runner) countsReceiver(v *view.View, t *tree.Tree) (view.Instance, bool) {
	region := r.region(t)
	name := t.RegionCoordinator(region)
	if name != r.options.Self.Name {
		name, _ = t.Parent(r.options.Self.Name)
	}
	m, found := v.Find(name)
	return m.Instance, found && t.Region(m.Zone) == region
}

// prepareCounts returns the message for the parent, and whether it has to be sent. The region's coordinator sends none; it turns
// its digest into the region's ranking.
func (r *Runner) prepareCounts(now view.Uptime, v *view.View, t *tree.Tree, parent view.Instance) (message countsMessage, send bool) {
	isCoordinator := parent.Name == r.options.Self.Name
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateReporters(v, t)
	state := &r.countReport
	if parent != state.parent {
		*state = countReportState{seq: state.seq, parent: parent, inFlight: state.inFlight, wantedAt: state.wantedAt,
			wantedByChild: state.wantedByChild}
	}
	rows, processes := r.merged.Sum(now, r.counts.Top(now, merge.MaxRows))
	if r.countsDue(now, rows) && (isCoordinator || !state.inFlight) {
		message.Digest = r.nextDigest(now, rows, processes)
		if isCoordinator {
			r.rank(now, t, message.Digest)
		}
	}
	message.WantRanking = r.isSmall() || state.wantedByChild && now-state.wantedAt <= r.ticks(wantTicks)
	message.KnownRanking, message.region = r.scores.Version(), r.region(t)
	send = !isCoordinator && !state.inFlight && (message.WantRanking || message.Digest != nil)
	state.inFlight = state.inFlight || send
	return message, send
}

// countsDue reports whether the counts have to be sent, because they have changed or were not sent for renewTicks. The caller
// holds mu.
func (r *Runner) countsDue(now view.Uptime, rows []count.Row) bool {
	state := &r.countReport
	if !state.sent || now-state.sentAt >= r.ticks(renewTicks)-r.options.TickInterval/2 {
		return true
	}
	decayed := count.Decay(now-state.sentAt, count.HalfLife)
	return merge.ChangedFraction(state.sentRows, rows, decayed) > changedFraction
}

// nextDigest returns a new digest and records it as sent. The caller holds mu.
func (r *Runner) nextDigest(now view.Uptime, rows []count.Row, processes int) *merge.Digest {
	state := &r.countReport
	state.seq++
	state.sentRows, state.sentAt, state.sent = rows, now, true
	d := merge.NewDigest(r.options.Self.Instance, state.seq, processes, rows)
	return &d
}

// rank turns the digest of the region's coordinator into the region's ranking. The caller holds mu.
func (r *Runner) rank(now view.Uptime, t *tree.Tree, d *merge.Digest) {
	region := r.region(t)
	r.scores.Update(now, region, score.Ranking{
		Version:      score.Version{Coordinator: d.From, Seq: d.Seq},
		Region:       region,
		Processes:    d.Processes,
		Destinations: d.Destinations,
		Messages:     d.Messages,
	})
	r.status.RankedProcesses = d.Processes
}

// sendCounts sends a message to the parent and stores the ranking in the answer. If the call fails or the parent has lost the
// counts, they are due again at the next tick. countedAt is the time of the counts.
func (r *Runner) sendCounts(to view.Instance, message countsMessage, countedAt view.Uptime) {
	if message.Digest != nil {
		message.Digest.Age = max(0, r.options.Now()-countedAt)
	}
	started := r.options.Now()
	var answer countsAnswer
	err := r.call(to.Name, countsPath, message, &answer)
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countReport.inFlight = false
	if err != nil || answer.ResendAll {
		if r.countReport.parent == to {
			r.countReport.sent = false
		}
		return
	}
	if answer.Ranking != nil {
		// The time that the answer spent on the network is not known, but it cannot exceed the duration of the call.
		answer.Ranking.Age += max(0, now-started)
		if r.scores.Update(now, message.region, *answer.Ranking) {
			r.status.RankedProcesses = answer.Ranking.Processes
		}
	}
}

// handleCounts handles the message of a child.
func (r *Runner) handleCounts(_ context.Context, from view.Instance, body []byte) (any, error) {
	var message countsMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return nil, r.countMalformed(fmt.Errorf("popularity: cannot decode counts from %q: %w", from.Name, err))
	}
	if message.Digest != nil && message.Digest.From != from {
		return nil, r.countMalformed(fmt.Errorf("popularity: counts rejected: the caller is %q, but field digest.from names %q or another incarnation of it",
			from.Name, message.Digest.From.Name))
	}
	now, v, t := r.options.Now(), r.options.View(), r.options.Tree()
	if v == nil || t == nil {
		return countsAnswer{ResendAll: true}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateReporters(v, t)
	if message.Digest != nil && r.merged.Put(now, *message.Digest) == merge.Invalid {
		r.status.Malformed++
		return nil, fmt.Errorf("popularity: counts from %q rejected: the age, the number of processes or the rows are invalid", from.Name)
	}
	answer := countsAnswer{ResendAll: !r.merged.Has(from)}
	if message.WantRanking {
		r.countReport.wantedAt, r.countReport.wantedByChild = now, true
		answer.Ranking = r.scores.RankingFor(now, message.KnownRanking)
	}
	return answer, nil
}

// ticks returns the duration of n ticks.
func (r *Runner) ticks(n int) time.Duration { return time.Duration(n) * r.options.TickInterval }
