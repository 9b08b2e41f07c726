package sender

// This file owns the change of settings under a running sender: a configuration decided in common comes as an order and is
// put in force between two turns. It must never put an older version in force after a newer one, nor part of one: all
// that can be wrong is found before anything changes. What was taken on stays: each message keeps its deadline, its
// class by number and what is on record of it.

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/directory"
	"flaxcove/internal/sender/together"
)

func (o orders) Configure(c together.Configuration, done func(error)) {
	o.s.enqueueOrder(func() {
		err := o.s.configure(c)
		o.s.afterAppend(func() { done(err) })
	})
}

func (s *Sender) configure(c together.Configuration) error {
	if s.inForce(c) {
		return nil
	}
	next, err := s.checkConfiguration(c)
	if err != nil {
		s.log.Warn("configuration not taken", zap.Uint64("version", c.Version), zap.Uint64("in_force", s.cfg.Version), zap.Error(err))
		return err
	}
	before := s.cfg.Version
	s.apply(next)
	s.log.Info("configuration in force", zap.Uint64("version", c.Version), zap.Uint64("before", before))
	s.log.Debug("configuration", zap.Any("settings", next.Settings))
	return nil
}

func (s *Sender) inForce(c together.Configuration) bool {
	return c.Version == s.cfg.Version && bytes.Equal(c.Settings, s.cfg.SettingsInForce())
}

// checkConfiguration is the configuration that an order leads to, or what is wrong with it.
func (s *Sender) checkConfiguration(c together.Configuration) (*config.Config, error) {
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
	next.Settings.Notes = next.Settings.Notes && s.peers != nil // where they could not be turned on they stay off
	return next, nil
}

// apply has all that reads settings, or keeps something made of them, go by the new ones. The watch of the list goes
// on with the number of senders that it began with, which only spaces its calls after an error.
func (s *Sender) apply(next *config.Config) {
	was := s.cfg
	s.cfg = next
	s.numbering = directory.Names{Zones: next.Zones, Kinds: next.Kinds}
	s.clients.setBusyReply(&next.Settings)
	s.linkPool.init(s.withSystemLimits(next), s.clients.maxConns)
	if s.cluster != nil {
		s.digestState.includeClasses(next.Settings.Classes)
	}
	s.module.Configure(next.Settings)
	// Work follows what changed: with a large list each round over it holds up the loop for tens of milliseconds.
	if !slices.Equal(was.Settings.Kinds, next.Settings.Kinds) {
		for _, e := range s.endpoints {
			e.bulkMax = s.bulkMaxOf(e.kind)
		}
	}
	if was.Settings.ConnIdle != next.Settings.ConnIdle {
		for _, e := range s.endpoints {
			s.restartIdleTimers(e)
		}
	}
	if len(was.Zones) != len(next.Zones) || len(was.Kinds) != len(next.Kinds) {
		s.renumberEndpoints()
	}
}

// withSystemLimits is a configuration whose sockets are no more than the system gives.
func (s *Sender) withSystemLimits(cfg *config.Config) *config.Config {
	given := *cfg
	given.Limits.Sockets = min(given.Limits.Sockets, descriptorLimit())
	return &given
}

// bulkMaxOf is how many messages one call to a kind of endpoint may carry.
func (s *Sender) bulkMaxOf(kind choice.KindNo) int {
	kinds := s.cfg.Settings.Kinds
	return kinds[max(0, min(int(kind), len(kinds)-1))].BundleMax
}

// restartIdleTimers has idle links end by the new time, counted from when each became idle: their endpoints close them by it.
func (s *Sender) restartIdleTimers(e *endpoint) {
	for _, l := range e.idle {
		s.cancelTimer(l.idleTimer)
		s.startIdleTimer(l)
	}
}

// startIdleTimer has an idle link end before its endpoint would end it.
func (s *Sender) startIdleTimer(l *link) {
	l.idleTimer = nil
	if keep := time.Duration(config.Nanoseconds(s.cfg.Settings.ConnIdle)); keep > 0 {
		until := l.idleSince + max(keep/2, keep-idleMargin)
		l.idleTimer = s.after(until-s.sinceStart(), func() { s.closeIdleLink(l, idleTimeout) })
	}
}

// renumberEndpoints reads again what the list said of endpoints whose zone or kind has got a number only now.
func (s *Sender) renumberEndpoints() {
	var named []directory.Entry
	for _, e := range s.endpoints {
		if !e.gone && (s.numbering.Zone(e.listed.Zone) != e.zone || s.numbering.Kinds[e.listed.Kind] != e.kind) {
			named = append(named, e.listed)
		}
	}
	slices.SortFunc(named, func(a, b directory.Entry) int { return strings.Compare(a.ID, b.ID) })
	if len(named) > 0 {
		s.updateEndpoints(directory.List{Servers: named}, true)
	}
}
