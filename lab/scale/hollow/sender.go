package hollow

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
)

// Clock returns the time of the run in seconds, which is the same in all processes of a run.
type Clock func() float64

// Sender is a synthetic sender. Its methods may be called concurrently.
type Sender struct {
	clock     Clock
	zoneFails func(zone int) bool // reports whether a zone's endpoints do not answer
	observed  *observations
	applied   atomic.Uint64

	mu        sync.Mutex
	appliedAt map[uint64]time.Time // time at which each purge was applied; a run orders only a few
	version   uint64               // version of the configuration in force
	inForceAt map[uint64]time.Time // time at which each version came into force; likewise
}

// New returns a sender in a zone. no is part of its seed and distinguishes it from other senders. applied is the number of the
// highest purge that an earlier incarnation applied, which a real sender reads from its journal.
func New(load *Load, zone int, no uint64, applied uint64, clock Clock, zoneFails func(zone int) bool) *Sender {
	s := &Sender{clock: clock, zoneFails: zoneFails, observed: newObservations(load, zone, no), appliedAt: map[uint64]time.Time{}, inForceAt: map[uint64]time.Time{}}
	s.applied.Store(applied)
	return s
}

// Run reports digests to a cluster and reads the routing plan, digestsPerSecond times a second, until ctx ends.
func (s *Sender) Run(ctx context.Context, to clusterapi.Cluster) {
	every := time.NewTicker(time.Second / digestsPerSecond)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			to.ReportDigest(s.observed.digest(s.clock(), s.zoneFails))
			to.RoutingPlan()
		}
	}
}

// AppliedAt returns the time at which a purge was applied, or the zero time if it was not.
func (s *Sender) AppliedAt(seq uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appliedAt[seq]
}

// Purge reports purges as applied at once, since there are no messages to purge.
func (s *Sender) Purge(all []clusterapi.Purge, done func(uint64, []clusterapi.PurgeResult)) {
	now := time.Now()
	s.mu.Lock()
	for _, p := range all {
		if s.appliedAt[p.Seq].IsZero() {
			s.appliedAt[p.Seq] = now
		}
		s.applied.Store(max(s.applied.Load(), p.Seq))
	}
	s.mu.Unlock()
	go done(s.applied.Load(), make([]clusterapi.PurgeResult, len(all)))
}

// Configure puts a configuration in force at once. It reports an error if a newer version is in force.
func (s *Sender) Configure(c clusterapi.Configuration, done func(error)) {
	s.mu.Lock()
	var err error
	if c.Version < s.version {
		err = fmt.Errorf("version %d is in force and newer than version %d", s.version, c.Version)
	} else if s.version = c.Version; s.inForceAt[c.Version].IsZero() {
		s.inForceAt[c.Version] = time.Now()
	}
	s.mu.Unlock()
	go done(err)
}

// InForceAt returns the time at which a version came into force, or the zero time if it did not.
func (s *Sender) InForceAt(version uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForceAt[version]
}

// Version returns the version of the configuration in force; 0 before the first.
func (s *Sender) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// LastAppliedSeq returns the number of the highest purge that was applied; 0 for none.
func (s *Sender) LastAppliedSeq() uint64 { return s.applied.Load() }

// Evict reports that nothing was evicted, since there is no learned state.
func (s *Sender) Evict(_ []choice.DestinationID, done func([]choice.DestinationID)) { go done(nil) }

// ListHeldState reports that no learned state is held.
func (s *Sender) ListHeldState(done func([]clusterapi.HeldState)) { go done(nil) }

// AdoptLearnedState ignores learned state.
func (s *Sender) AdoptLearnedState([]clusterapi.LearnedEndpoint) {}

// GetLearnedState reports no learned state.
func (s *Sender) GetLearnedState(_ []choice.DestinationID, done func([]clusterapi.LearnedEndpoint)) {
	go done(nil)
}
