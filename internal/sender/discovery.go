package sender

// This file watches the endpoint list of discovery, and switches to another address of discovery on reload.

import (
	"math"
	"slices"

	"go.uber.org/zap"

	"flaxcove/internal/config"
	"flaxcove/internal/directory"
)

// watchEnded is the reason logged when a watch of discovery ends.
const watchEnded reason = "watch_over"

// watch starts a watch of the list at the current address, from version since on. Earlier watches continue until this
// one receives its first list: a new address that never answers must not leave the sender without a watch.
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
	onEstablished := func(e directory.Established) {
		s.post(func() {
			s.discoveryAnswered(e.Unchanged)
			s.log.Info("discovery: watch established", zap.String("peer", addr), zap.Int64("call_age_ms", e.CallAge.Milliseconds()),
				zap.Int64("silence_ms", e.Silence.Milliseconds()))
		})
	}
	onStalled := func() { s.post(s.discoveryFellSilent) }
	onEnd := func(err error) {
		s.post(func() {
			s.counts.watchesEnded++
			if directory.Refused(err) {
				s.discoveryRefused()
			}
			s.logConnEnded("discovery", addr, watchEnded, err)
		})
	}
	options := directory.Options{Addr: addr, Senders: s.cfg.Settings.Senders, Since: since, DrainGrace: s.cfg.DrainGrace,
		MaxList: int(min(s.cfg.Limits.MemoryMB<<20/listDivisor, math.MaxInt32))}
	go directory.Watch(options, stop, directory.Callbacks{OnList: onList, OnEstablished: onEstablished, OnStalled: onStalled, OnFailure: onEnd})
}

// endWatches ends the oldest watches, as many as count says.
func (s *Sender) endWatches(count int) {
	for _, stop := range s.watches[:count] {
		close(stop)
	}
	s.watches = slices.Delete(s.watches, 0, count)
}

// Reload applies a configuration that was read again while the sender runs; err says why it could not be read. Only the
// address of discovery changes in a running sender. The sender continues in any case. Reload may be called from any
// goroutine except the loop.
func (s *Sender) Reload(cfg *config.Config, err error) { s.post(func() { s.reload(cfg, err) }) }

// reload implements Reload on the loop.
func (s *Sender) reload(cfg *config.Config, err error) {
	if err != nil {
		s.log.Error("reload: configuration rejected, the current one stays in force", zap.Error(err))
		return
	}
	s.counts.reloads++
	restartOnly := s.cfg.RestartOnlyChanges(cfg)
	s.log.Info("reload: configuration read", zap.String("discovery", cfg.Discovery), zap.String("before", s.discovery),
		zap.Strings("at_the_next_start", restartOnly))
	if cfg.Discovery == s.discovery {
		return
	}
	s.discovery, s.retryPause = cfg.Discovery, minPostRetryPause
	s.watch(0) // from version 0, as another address may number its versions differently
}
