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

// Clock is the time of the run in seconds, the same in all its processes.
type Clock func() float64

// Sender stands in for a sender. Its methods may be called from any goroutine.
type Sender struct {
	clock    Clock
	fallen   func(zone int) bool
	observed *observations
	applied  atomic.Uint64

	mu         sync.Mutex
	at         map[uint64]time.Time // when a purge was applied; a run orders a handful
	version    uint64               // of the configuration in force
	configured map[uint64]time.Time // when each version came into force, likewise
}

// New creates a sender in a zone. no distinguishes it from others; applied is the highest purge that an earlier incarnation
// applied, which a sender has in its journal.
func New(load *Load, zone int, no uint64, applied uint64, clock Clock, fallen func(zone int) bool) *Sender {
	s := &Sender{clock: clock, fallen: fallen, observed: newObservations(load, zone, no), at: map[uint64]time.Time{}, configured: map[uint64]time.Time{}}
	s.applied.Store(applied)
	return s
}

// Run reports digests to a cluster until ctx ends.
func (s *Sender) Run(ctx context.Context, to clusterapi.Cluster) {
	every := time.NewTicker(time.Second / digestsPerSecond)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			to.Digest(s.observed.digest(s.clock(), s.fallen))
			to.Guide()
		}
	}
}

// AppliedAt is when a purge was applied here; the zero time for never.
func (s *Sender) AppliedAt(seq uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[seq]
}

// Purge applies purges at once: there are no messages that could be purged.
func (s *Sender) Purge(all []clusterapi.Purge, done func(uint64, []clusterapi.Found)) {
	now := time.Now()
	s.mu.Lock()
	for _, p := range all {
		if s.at[p.Seq].IsZero() {
			s.at[p.Seq] = now
		}
		s.applied.Store(max(s.applied.Load(), p.Seq))
	}
	s.mu.Unlock()
	go done(s.applied.Load(), make([]clusterapi.Found, len(all)))
}

// Configure puts a configuration in force at once, unless a newer one is in force.
func (s *Sender) Configure(c clusterapi.Configuration, done func(error)) {
	s.mu.Lock()
	var err error
	if c.Version < s.version {
		err = fmt.Errorf("version %d is in force; %d is older", s.version, c.Version)
	} else if s.version = c.Version; s.configured[c.Version].IsZero() {
		s.configured[c.Version] = time.Now()
	}
	s.mu.Unlock()
	go done(err)
}

// ConfiguredAt is when a version came into force here; the zero time for never.
func (s *Sender) ConfiguredAt(version uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configured[version]
}

// Version is the version of the configuration in force.
func (s *Sender) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Applied is the highest purge applied.
func (s *Sender) Applied() uint64 { return s.applied.Load() }

// Evict evicts nothing, as there is no state to evict.
func (s *Sender) Evict(_ []choice.DestinationID, done func([]choice.DestinationID)) { go done(nil) }

// Holding reports no state.
func (s *Sender) Holding(done func([]clusterapi.Held)) { go done(nil) }

// Teach ignores learned state.
func (s *Sender) Teach([]clusterapi.LearnedEndpoint) {}

// Know returns no learned state.
func (s *Sender) Know(_ []choice.DestinationID, done func([]clusterapi.LearnedEndpoint)) {
	go done(nil)
}
