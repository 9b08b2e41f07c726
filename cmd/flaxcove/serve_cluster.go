package main

// This file joins a sender to the processes around it, where `serve --cluster FILE` asks for that. Without the flag
// nothing of it runs.

import (
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/cluster"
	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/config"
	"flaxcove/internal/sender"
	"flaxcove/internal/sender/together"
)

// withCluster is how many threads run Go code with a cluster: the sender's one loop keeps one to itself.
const withCluster = 2

// withCachedSettings is a configuration with the settings that all senders share, where an earlier incarnation of this process cached a
// version of them. What cannot be read or run with ends the start, named by its file, as a wrong configuration file does:
// the file's own settings are older, and no process runs an older version after a newer one.
func withCachedSettings(cfg *config.Config, joining *settings.Settings) (*config.Config, error) {
	if !joining.Uses.Configuration {
		return cfg, nil
	}
	folder := joining.Here.Folder
	cached, err := configuration.LoadCached(folder)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w; without this file the process starts with its own settings, and takes the version in force as it joins", err)
	case cached.Version == 0:
		return cfg, nil
	}
	with, err := cfg.WithSettings(cached.Settings)
	if err != nil {
		return nil, fmt.Errorf("%s: version %d: %w", configuration.Path(folder), cached.Version, err)
	}
	with.Version = cached.Version
	return with, nil
}

// running is the shared version that a sender starts with; version 0 for its own file.
func running(cfg *config.Config) (c together.Configuration) {
	if cfg.Version > 0 {
		c = together.Configuration{Version: cfg.Version, Settings: cfg.SettingsInForce()}
	}
	return c
}

// checkOf checks settings for a sender that runs others; those of its own file where none are told.
func checkOf(cfg *config.Config) func(inForce, proposed json.RawMessage) error {
	return func(inForce, proposed json.RawMessage) error {
		if len(inForce) == 0 {
			inForce = cfg.OwnSettings()
		}
		return config.CheckSettings(inForce, proposed)
	}
}

// startCluster is called between the sender's start and its Run: it joins the sender (sender.Join), and its orders
// (sender.Orders) may be given from then on. What it returns is called once Run has returned.
func startCluster(joining *settings.Settings, cfg *config.Config, s *sender.Sender, log *zap.Logger) (leave func(), err error) {
	span := func(t choice.Time) time.Duration { return time.Duration(config.Nanoseconds(t)) }
	longest := choice.Time(0)
	for _, w := range cfg.Settings.Classes {
		longest = max(longest, w.Deadline)
	}
	n, err := cluster.Start(cluster.Options{Settings: joining, Log: log.Named("cluster"), Orders: s.Orders(), Zones: cfg.Zones,
		Longest: span(longest), SlowStart: span(cfg.Settings.SlowStart), SlowStartFrom: cfg.Settings.SlowStartFrom, FallMultiple: cfg.Settings.FallMultiple,
		RatingIsRate:  cfg.Settings.Rating != choice.RatingNone,
		CheckSettings: checkOf(cfg), OwnSettings: cfg.OwnSettings(), Running: running(cfg)})
	if err != nil {
		return nil, err
	}
	s.Join(n, sender.Joining{Gate: n.Gate()})
	return func() {
		if err := n.Close(); err != nil {
			log.Warn("cluster left with trouble", zap.Error(err))
		}
	}, nil
}
