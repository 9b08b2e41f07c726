package sender

// This file changes the settings of a running sender: a configuration that the cluster has decided comes as an order and is
// put in force between two turns. An older version is never put in force after a newer one, nor part of one: all checks
// are made before anything changes. Accepted messages keep their deadline, the number of their class and their records.

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

// Configure puts a configuration in force, or says why not.
func (o orders) Configure(c clusterapi.Configuration, done func(error)) {
	o.s.enqueueOrder(func() {
		err := o.s.configure(c)
		o.s.afterAppend(func() { done(err) })
	})
}

func (s *Sender) configure(c clusterapi.Configuration) error {
	if s.inForce(c) {
		return nil
	}
	next, err := s.checkConfiguration(c)
	if err != nil {
		s.log.Warn("configuration rejected", zap.Uint64("version", c.Version), zap.Uint64("in_force", s.cfg.Version), zap.Error(err))
		return err
	}
	before := s.cfg.Version
	s.apply(next)
	s.log.Info("configuration in force", zap.Uint64("version", c.Version), zap.Uint64("before", before))
	s.log.Debug("configuration", zap.Any("settings", next.Settings))
	return nil
}

// inForce reports whether an order has been carried out already.
func (s *Sender) inForce(c clusterapi.Configuration) bool {
	return c.Version == s.cfg.Version && bytes.Equal(c.Settings, s.cfg.SettingsInForce())
}

// checkConfiguration returns the configuration that an order leads to, or what is wrong with it.
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
	next.Settings.Notes = next.Settings.Notes && s.peers != nil // gossip stays off where it could not be started
	return next, nil
}

// apply makes all that reads settings, or holds something derived of them, go by the new ones. The watch of the endpoint
// list goes on with the number of senders that it began with, which only spaces its calls after an error.
func (s *Sender) apply(next *config.Config) {
	previous := s.cfg
	s.cfg = next
	s.numbering = directory.NameNumbers{Zones: next.Zones, Kinds: next.Kinds}
	s.clients.setBusyReply(&next.Settings)
	s.linkPool.init(s.withSystemLimits(next), s.clients.maxConns)
	if s.cluster != nil {
		s.digestState.includeClasses(next.Settings.Classes)
	}
	s.choice.Configure(next.Settings)
	// Only what changed is worked through: with a large list each pass over it blocks the loop for tens of milliseconds.
	if !slices.Equal(previous.Settings.Kinds, next.Settings.Kinds) {
		for _, e := range s.endpoints {
			e.bulkMax = s.bulkMaxOf(e.kind)
		}
	}
	if previous.Settings.ConnIdle != next.Settings.ConnIdle {
		for _, e := range s.endpoints {
			s.restartIdleTimers(e)
		}
	}
	if len(previous.Zones) != len(next.Zones) || len(previous.Kinds) != len(next.Kinds) {
		s.renumberEndpoints()
	}
}

// withSystemLimits is a configuration whose sockets are no more than the system gives.
func (s *Sender) withSystemLimits(cfg *config.Config) *config.Config {
	given := *cfg
	given.Limits.Sockets = min(given.Limits.Sockets, descriptorLimit())
	return &given
}

// restartIdleTimers closes idle links by the new ConnIdle, counted from when each became idle, as their endpoints do.
func (s *Sender) restartIdleTimers(e *endpoint) {
	for _, l := range e.idle {
		s.cancelTimer(l.idleTimer)
		s.startIdleTimer(l)
	}
}

// startIdleTimer closes an idle link before its endpoint would.
func (s *Sender) startIdleTimer(l *link) {
	l.idleTimer = nil
	if keep := time.Duration(config.Nanoseconds(s.cfg.Settings.ConnIdle)); keep > 0 {
		until := l.idleSince + max(keep/2, keep-idleMargin)
		l.idleTimer = s.after(until-s.sinceStart(), func() { s.closeIdleLink(l, idleTimeout) })
	}
}

// renumberEndpoints applies the list's entries again of endpoints whose zone or kind has got another number.
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
