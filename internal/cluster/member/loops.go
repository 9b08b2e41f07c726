package member

// This file holds the three goroutines of Members: runSnapshots takes snapshots of the library's states, runJoins joins
// other processes, and runNotifications calls the owner's callbacks.

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/member/roster"
	"flaxcove/internal/cluster/view"
)

// runSnapshots takes a snapshot regularly and on a signal of snapshotNeeded. After a name conflict it shuts the library
// down and returns.
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
			// UpdateNode queues the update at once, and then waits until it is sent, which is not needed here.
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

// takeSnapshot updates the roster from a snapshot of the library's states, and returns the number of members in it; 0
// if the snapshot failed.
func (m *Members) takeSnapshot() int {
	m.mu.Lock()
	m.updatedSinceSnapshot = map[view.Name]bool{}
	m.mu.Unlock()
	nodes, err := m.snapshots.snapshot(m.list)
	if err != nil {
		m.opts.Log.Warn("membership snapshot failed; keeping the last view", zap.Error(err))
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

// reconcile returns the observations of a snapshot that the roster may apply. It leaves out this process itself and
// members with invalid metadata, and replaces the members in updatedSinceSnapshot by their observations in the roster,
// which are newer. The caller holds mu.
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

// runJoins joins the processes that joinTargets returns, in rounds, the first of them at once. While no other process
// is present the interval between rounds doubles from twice GossipInterval up to RejoinInterval; after that it is
// RejoinInterval. Each interval is randomized.
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
		// Jitter keeps many processes that start together from joining one seed at the same time.
		if !sleep(ctx, wait/2+rand.N(wait)) || m.libraryClosed.Load() {
			return
		}
	}
}

// joinTargets returns the processes to join now, and whether no other process is present (alone). While alone it
// returns the missing seeds and members, maxJoinsPerRound at most. Otherwise it returns one process or none: a present
// one if this process needs an exchange, else possibly one of a rejected incarnation or a missing one.
//
// A process needs an exchange with a present member if it was suspended, or if its probes are not answered: the other
// members may have marked it dead. It also needs one within settlingPeriod of meeting its first member: if many
// processes start together, each knows too few others to learn of all of them by gossip. Of 30, some had not met after
// 20 s.
func (m *Members) joinTargets(suspended bool) (names []view.Name, alone bool) {
	m.mu.Lock()
	v, rejected, recentlyMet := m.roster.View(), m.rejectedName, m.hasMetPeer && m.now()-m.firstMetAt < settlingPeriod
	m.rejectedName = ""
	m.mu.Unlock()
	present, missing := m.presentAndMissing(v)
	isolated := m.now()-view.Uptime(m.lastContact.Load()) > isolationProbes*m.opts.Timing.ProbeInterval
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

// presentAndMissing returns the other members that are alive, and those to rejoin: first the seeds that are not
// present, then the members that are suspected or dead.
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

// notification holds the arguments of the callbacks that are due.
type notification struct {
	view        *view.View
	raised      bool             // OnIncarnationRaised is due, with incarnation
	incarnation view.Incarnation // of this process
	conflict    *view.Instance   // argument of OnNameConflict; nil if that is not due
}

// runNotifications calls the owner's callbacks on a signal of notifyNeeded, one at a time and with the latest view
// only.
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

// nextNotification returns the callbacks that are due, and marks them as called.
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

// notify calls the owner's callbacks that are due; OnViewChange only if viewChanged. It holds no lock.
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

// sleep waits for d and returns true; it returns false as soon as ctx ends.
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
