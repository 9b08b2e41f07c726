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
	"flaxcove/internal/sender/clusterapi"
)

// withCachedSettings is a configuration with the settings that all senders share, where an earlier incarnation of this process cached a
// version of them. What cannot be read or run with ends the start, named by its file, as a wrong configuration file does:
// the file's own settings are older, and no process runs an older version after a newer one.
func withCachedSettings(cfg *config.Config, clusterSettings *settings.Settings) (*config.Config, error) {
	if !clusterSettings.Features.Configuration {
		return cfg, nil
	}
	folder := clusterSettings.Self.Folder
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

// runningConfiguration is the shared version that a sender starts with; version 0 for its own file.
func runningConfiguration(cfg *config.Config) clusterapi.Configuration {
	if cfg.Version == 0 {
		return clusterapi.Configuration{}
	}
	return clusterapi.Configuration{Version: cfg.Version, Settings: cfg.SettingsInForce()}
}

// settingsCheck checks proposed settings against those in force; against those of the sender's own file where none are given.
func settingsCheck(cfg *config.Config) func(inForce, proposed json.RawMessage) error {
	return func(inForce, proposed json.RawMessage) error {
		if len(inForce) == 0 {
			inForce = cfg.OwnSettings()
		}
		return config.CheckSettings(inForce, proposed)
	}
}

// startCluster is called between the sender's start and its Run: it joins the sender (sender.Join), and its orders
// (sender.Orders) may be given from then on. What it returns is called once Run has returned.
func startCluster(clusterSettings *settings.Settings, cfg *config.Config, s *sender.Sender, log *zap.Logger) (leave func(), err error) {
	node, err := cluster.Start(cluster.Options{Settings: clusterSettings, Log: log.Named("cluster"), Orders: s.Orders(), Zones: cfg.Zones,
		LongestDeadline: duration(longestDeadline(cfg.Settings.Classes)), SlowStart: duration(cfg.Settings.SlowStart), SlowStartFrom: cfg.Settings.SlowStartFrom,
		FallMultiple: cfg.Settings.OverloadMultiple, RatingIsRate: cfg.Settings.Rating != choice.RatingNone,
		CheckSettings: settingsCheck(cfg), OwnSettings: cfg.OwnSettings(), Running: runningConfiguration(cfg)})
	if err != nil {
		return nil, err
	}
	s.Join(node, sender.Joining{Gate: node.CaughtUp()})
	return func() {
		if err := node.Close(); err != nil {
			log.Warn("cluster shutdown failed", zap.Error(err))
		}
	}, nil
}

// longestDeadline is how long a message of any class may be owed.
func longestDeadline(classes []choice.Class) choice.Time {
	longest := choice.Time(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// duration converts a time of the decision package, which counts microseconds, to one of the standard library.
func duration(t choice.Time) time.Duration { return time.Duration(config.Nanoseconds(t)) }
