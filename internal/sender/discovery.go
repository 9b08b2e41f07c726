package sender

// This file follows the endpoint list of discovery, and changes to another address of discovery on reload.

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/config"
	"flaxcove/internal/directory"
)

// firstListTimeout is how long a start waits for discovery. What discovery's agent has counts as known to the process from
// its first moment, and the agent answers at once: so long nothing is sent by the list of the configuration, which may be
// out of date. Clients wait 400 ms for an answer.
const firstListTimeout = 150 * time.Millisecond

const watchEnded reason = "watch_over"

// awaitFirstList handles what comes in until the list has come or late is closed. The loop does not run yet.
func (s *Sender) awaitFirstList(late <-chan time.Time) {
	for s.eventsPending = true; !s.listReceived; {
		select {
		case f := <-s.inbox:
			f()
		case <-late:
			return
		}
	}
}

// watch follows the list at the present address. Earlier watches go on until this one first hears: a new address that
// never answers must not leave the sender without any.
func (s *Sender) watch(since int64) {
	addr, stop := s.discovery, make(chan struct{})
	s.watches = append(s.watches, stop)
	onList := func(l directory.List) {
		s.post(func() {
			if i := slices.Index(s.watches, stop); i >= 0 {
				s.endWatches(i)
				s.updateEndpoints(l, false)
			}
		})
	}
	onEnd := func(err error) {
		s.post(func() {
			s.counts.watchesEnded++
			s.logConnEnded("discovery", addr, watchEnded, err)
		})
	}
	go directory.Watch(addr, s.cfg.Settings.Senders, since, stop, onList, onEnd)
}

// endWatches ends the oldest watches.
func (s *Sender) endWatches(count int) {
	for _, stop := range s.watches[:count] {
		close(stop)
	}
	s.watches = slices.Delete(s.watches, 0, count)
}

// Reload takes a configuration that was read again while the sender runs, or why it could not be read. Only the address
// of discovery changes under a running sender; the process goes on in any case.
func (s *Sender) Reload(cfg *config.Config, err error) { s.post(func() { s.reload(cfg, err) }) }

func (s *Sender) reload(cfg *config.Config, err error) {
	if err != nil {
		s.log.Error("configuration rejected", zap.Error(err))
		return
	}
	s.counts.reloads++
	fixed := s.cfg.RestartOnlyChanges(cfg)
	s.log.Info("configuration read", zap.String("discovery", cfg.Discovery), zap.String("before", s.discovery),
		zap.Strings("at_the_next_start", fixed))
	if cfg.Discovery == s.discovery {
		return
	}
	s.discovery, s.retryPause = cfg.Discovery, minPostRetryPause
	s.watch(0) // from version 0, as another address may number its versions otherwise
}
