package sender

// This file changes the settings of a running sender. A configuration that the cluster has decided arrives as an order and
// is put in force between two turns. All checks are made before anything changes, so a configuration is put in force
// completely or not at all, and an older version never replaces a newer one. Accepted messages keep their deadline, the
// number of their class and their records.

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/config"
	"flaxcove/internal/directory"
	"flaxcove/internal/sender/clusterapi"
)

// Configure implements clusterapi.Orders.
func (o orders) Configure(c clusterapi.Configuration, done func(error)) {
	o.s.enqueueOrder(func() {
		err := o.s.configure(c)
		o.s.afterAppend(func() { done(err) })
	})
}

// configure puts a configuration in force, or returns an error that says why it was rejected. It does nothing if the
// configuration is in force already.
func (s *Sender) configure(c clusterapi.Configuration) error {
	if s.inForce(c) {
		return nil
	}
	next, err := s.checkConfiguration(c)
	if err != nil {
		s.log.Warn("configuration rejected; the previous one stays in force", zap.Uint64("version", c.Version), zap.Uint64("in_force", s.cfg.Version), zap.Error(err))
		return err
	}
	before := s.cfg.Version
	s.apply(next)
	s.log.Info("configuration put in force", zap.Uint64("version", c.Version), zap.Uint64("before", before))
	s.log.Debug("settings of the configuration in force", zap.Any("settings", next.Settings))
	return nil
}

// inForce reports whether c is the configuration that is in force.
func (s *Sender) inForce(c clusterapi.Configuration) bool {
	return c.Version == s.cfg.Version && bytes.Equal(c.Settings, s.cfg.SettingsInForce())
}

// checkConfiguration returns the sender's configuration with the settings of c, or an error if c is not newer or not valid.
func (s *Sender) checkConfiguration(c clusterapi.Configuration) (*config.Config, error) {
	switch {
	case c.Version < s.cfg.Version:
		return nil, fmt.Errorf("version %d is older than version %d, which is in force", c.Version, s.cfg.Version)
	case c.Version == s.cfg.Version:
		return nil, fmt.Errorf("version %d is in force with other settings", c.Version)
	}
	if err := config.CheckSettings(s.cfg.SettingsInForce(), c.Settings); err != nil {
		return nil, err
	}
	next, err := s.cfg.WithSettings(c.Settings)
	if err != nil {
		return nil, err
	}
	next.Version = c.Version
	next.Settings.Notes = next.Settings.Notes && s.peers != nil // gossip stays off if it was not started
	return next, nil
}

// apply replaces the configuration and updates everything that is derived from the settings. The running watch of the
// endpoint list keeps the number of senders with which it started; this number only spaces its calls after an error.
func (s *Sender) apply(next *config.Config) {
	previous := s.cfg
	s.cfg = next
	s.numbering = directory.NameNumbers{Zones: next.ZoneNumbers, Kinds: next.KindNumbers}
	s.clients.setBusyReply(&next.Settings)
	s.linkPool.init(s.withSystemLimits(next), s.clients.maxConns)
	if s.cluster != nil {
		s.digestState.includeClasses(next.Settings.Classes)
	}
	s.choice.Configure(withBodyLimit(next.Settings))
	// Each pass over a large endpoint list blocks the loop for tens of milliseconds, so a pass is made only if its settings
	// have changed.
	if previous.Settings.ConnIdle != next.Settings.ConnIdle {
		for _, e := range s.endpoints {
			s.restartIdleTimers(e)
		}
	}
	if len(previous.ZoneNumbers) != len(next.ZoneNumbers) || len(previous.KindNumbers) != len(next.KindNumbers) {
		s.renumberEndpoints()
	}
}

// withSystemLimits returns a copy of cfg whose limit of sockets is at most the descriptor limit of the process.
func (s *Sender) withSystemLimits(cfg *config.Config) *config.Config {
	given := *cfg
	given.Limits.Sockets = min(given.Limits.Sockets, descriptorLimit())
	return &given
}

// restartIdleTimers restarts the timers of an endpoint's idle links with the new ConnIdle, counted from the time at which
// each link became idle, because the endpoint counts from there too.
func (s *Sender) restartIdleTimers(e *endpoint) {
	for _, l := range e.idle {
		s.cancelTimer(l.idleTimer)
		s.startIdleTimer(l)
	}
}

// startIdleTimer starts the timer that closes an idle link shortly before its endpoint would close it.
func (s *Sender) startIdleTimer(l *link) {
	l.idleTimer = nil
	if keep := time.Duration(config.Nanoseconds(s.cfg.Settings.ConnIdle)); keep > 0 {
		until := l.idleSince + max(keep/2, keep-idleMargin)
		l.idleTimer = s.after(until-s.sinceStart(), func() { s.closeIdleLink(l, idleTimeout) })
	}
}

// renumberEndpoints applies the list entries again for all endpoints whose zone or kind has a different number now.
func (s *Sender) renumberEndpoints() {
	var named []directory.Entry
	for _, e := range s.endpoints {
		if !e.gone && (s.numbering.Zone(e.listed.Zone) != e.zone || s.numbering.Kinds[e.listed.Kind] != e.kind) {
			named = append(named, e.listed)
		}
	}
	slices.SortFunc(named, func(a, b directory.Entry) int { return strings.Compare(a.ID, b.ID) })
	if len(named) > 0 {
		s.updateEndpoints(directory.List{Entries: named}, true)
	}
}
