package member

// This file has the three goroutines: one takes snapshots of the library's state, one joins other processes, one
// notifies the owner.

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/member/roster"
	"flaxcove/internal/cluster/view"
)

// runSnapshots takes a snapshot regularly and when asked to, and ends the library once the name is another process's.
func (m *Members) runSnapshots(ctx context.Context) {
	defer m.wg.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-m.snapshotNeeded:
			if !sleep(ctx, coalesceDelay) {
				return
			}
		}
		m.mu.Lock()
		metaChanged, conflict := m.metaChanged, m.nameOwner != nil
		m.metaChanged = false
		m.mu.Unlock()
		if conflict {
			m.shutdown()
			wake(m.notifyNeeded)
			return
		}
		if metaChanged {
			// The update is queued at once; the rest of the call waits until it was sent, which nobody needs here.
			_ = m.list.UpdateNode(time.Millisecond)
		}
		startedAt := time.Now()
		members := m.takeSnapshot()
		if !sleep(ctx, pauseAfter(time.Since(startedAt), snapshotPauseFactor)) {
			return
		}
		timer.Reset(max(m.opts.Timing.SnapshotInterval, time.Duration(members)*snapshotIntervalPerMember))
	}
}

// takeSnapshot updates the roster by a snapshot of the library's state and returns the number of members in it.
func (m *Members) takeSnapshot() int {
	m.mu.Lock()
	m.updatedSinceSnapshot = map[view.Name]bool{}
	m.mu.Unlock()
	nodes, err := m.snapshots.snapshot(m.list)
	if err != nil {
		m.opts.Log.Warn("membership snapshot failed; the last view stays", zap.Error(err))
		return 0
	}
	m.mu.Lock()
	changed := m.roster.ApplySnapshot(m.reconcile(m.metaCache.refresh(nodes)), m.now())
	m.mu.Unlock()
	if changed {
		wake(m.notifyNeeded)
	}
	return len(nodes)
}

// reconcile returns a snapshot without what is known better: this process itself, and the members of which the library
// reported since the snapshot began, which are returned as the roster has them. Under mu.
func (m *Members) reconcile(snapshot []decodedMeta) []roster.Observation {
	observed := make([]roster.Observation, 0, len(snapshot))
	for _, c := range snapshot {
		if name := c.observed.Member.Name; c.err == nil && name != m.opts.Self.Name && !m.updatedSinceSnapshot[name] {
			observed = append(observed, c.observed)
		}
	}
	for name := range m.updatedSinceSnapshot {
		if o, known := m.roster.Find(name); known {
			observed = append(observed, o)
		}
	}
	return observed
}

// runJoins joins other processes: while alone all seeds, with a backoff up to RejoinInterval; then, each RejoinInterval,
// possibly one that is missing; and one that is present when this process appears to have been suspended.
func (m *Members) runJoins(ctx context.Context) {
	defer m.wg.Done()
	wait := m.opts.Timing.GossipInterval
	lastRound := m.now()
	for {
		suspended := m.now()-lastRound > 2*wait+isolationProbes*m.opts.Timing.ProbeInterval
		lastRound = m.now()
		names, alone := m.joinTargets(suspended)
		for _, name := range names {
			if ctx.Err() != nil || m.libraryClosed.Load() {
				return
			}
			m.Exchange(name)
		}
		if alone {
			wait = min(2*wait, m.opts.Timing.RejoinInterval)
		} else {
			wait = m.opts.Timing.RejoinInterval
		}
		// Jitter, so that many processes that start together do not join one seed in step.
		if !sleep(ctx, wait/2+rand.N(wait)) || m.libraryClosed.Load() {
			return
		}
	}
}

// joinTargets returns whom to join now, and whether no other process is present.
//
// A process that was suspended, or whose probes nobody answers, exchanges with one that is present: others may long
// have marked it dead. So does one that met its first member recently: where many start at once each knows too few
// others to learn of all by gossip (of 30, some had not met after 20 s).
func (m *Members) joinTargets(suspended bool) (names []view.Name, alone bool) {
	m.mu.Lock()
	v, rejected, recentlyMet := m.roster.View(), m.rejected, m.hasMetPeer && m.now()-m.metAt < settlingPeriod
	m.rejected = ""
	m.mu.Unlock()
	present, missing := m.presentAndMissing(v)
	isolated := m.now()-view.Uptime(m.lastAnswer.Load()) > isolationProbes*m.opts.Timing.ProbeInterval
	switch {
	case len(present) == 0:
		return missing[:min(len(missing), maxJoinsPerRound)], true
	case isolated || suspended || recentlyMet:
		return []view.Name{present[rand.IntN(len(present))]}, false
	case rejected != "" && rand.IntN(len(present)+1) < expectedRejoiners:
		return []view.Name{rejected}, false
	case len(missing) > 0 && rand.IntN(len(present)+1) < expectedRejoiners:
		return []view.Name{missing[rand.IntN(len(missing))]}, false
	}
	return nil, false
}

// presentAndMissing returns the other members that are alive, and those to be found again: first the seeds that are not
// present, then members that neither are alive nor left.
func (m *Members) presentAndMissing(v *view.View) (present, missing []view.Name) {
	for _, name := range m.opts.Seeds {
		if seed, found := v.Find(name); name != v.Self && (!found || !seed.Present()) {
			missing = append(missing, name)
		}
	}
	for _, other := range v.Members {
		switch {
		case other.Name == v.Self:
		case other.State == view.Alive:
			present = append(present, other.Name)
		case other.State != view.Left && !slices.Contains(missing, other.Name):
			missing = append(missing, other.Name)
		}
	}
	return present, missing
}

// notification is what the owner has to be called for.
type notification struct {
	view        *view.View
	raised      bool // to incarnation
	incarnation view.Incarnation
	conflict    *view.Life // nil for none
}

// runNotifications calls the owner back, one call at a time and with the latest view only.
func (m *Members) runNotifications(ctx context.Context) {
	defer m.wg.Done()
	var last *view.View
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.notifyNeeded:
		}
		if !sleep(ctx, coalesceDelay) {
			return
		}
		startedAt := time.Now()
		n := m.nextNotification()
		m.notify(n, n.view != last)
		last = n.view
		if !sleep(ctx, pauseAfter(time.Since(startedAt), notifyPauseFactor)) {
			return
		}
	}
}

// nextNotification returns what is due, and marks it as reported.
func (m *Members) nextNotification() notification {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := notification{view: m.roster.View(), raised: m.raisePending, incarnation: m.self.Member.Incarnation}
	m.raisePending = false
	if m.nameOwner != nil && m.libraryClosed.Load() && !m.conflictReported {
		n.conflict = m.nameOwner
		m.conflictReported = true
	}
	return n
}

// notify calls the owner's callbacks, under no lock.
func (m *Members) notify(n notification, viewChanged bool) {
	if n.raised && m.opts.OnIncarnationRaised != nil {
		m.opts.OnIncarnationRaised(n.incarnation)
	}
	if viewChanged && m.opts.OnViewChange != nil {
		m.opts.OnViewChange(n.view)
	}
	if n.conflict != nil && m.opts.OnNameConflict != nil {
		m.opts.OnNameConflict(*n.conflict)
	}
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
