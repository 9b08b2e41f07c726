package main

// This file joins a sender to a cluster if `serve --cluster FILE` is used. Without the flag none of it runs.

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

// withCachedSettings returns cfg with the newest version of the shared settings that an earlier incarnation of this process
// has cached, or cfg itself if none is cached. If the cached version cannot be read or applied, it returns an error that names
// the file, and the process must not start: the settings of its own configuration file are older, and no process may run an
// older version after a newer one.
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

// runningConfiguration returns the version of the shared settings that the sender starts with, or the zero value (version 0)
// if it starts with the settings of its own configuration file.
func runningConfiguration(cfg *config.Config) clusterapi.Configuration {
	if cfg.Version == 0 {
		return clusterapi.Configuration{}
	}
	return clusterapi.Configuration{Version: cfg.Version, Settings: cfg.SettingsInForce()}
}

// settingsCheck returns a function that checks proposed settings against those in force. If inForce is empty, it checks them
// against the settings of the sender's own configuration file.
func settingsCheck(cfg *config.Config) func(inForce, proposed json.RawMessage) error {
	return func(inForce, proposed json.RawMessage) error {
		if len(inForce) == 0 {
			inForce = cfg.OwnSettings()
		}
		return config.CheckSettings(inForce, proposed)
	}
}

// startCluster starts the cluster code and joins the sender to it. It must be called after sender.Start and before
// Sender.Run; from then on the cluster may use Sender.Orders. Leave must be called after Run has returned.
func startCluster(clusterSettings *settings.Settings, cfg *config.Config, s *sender.Sender, log *zap.Logger) (leave func(), err error) {
	node, err := cluster.Start(cluster.Options{Settings: clusterSettings, Log: log.Named("cluster"), Orders: s.Orders(), Zones: cfg.ZoneNumbers,
		LongestDeadline: duration(longestDeadline(cfg.Settings.Classes)), SlowStart: duration(cfg.Settings.SlowStart), SlowStartFrom: cfg.Settings.SlowStartFrom,
		FallMultiple: cfg.Settings.OverloadMultiple, RatingIsRate: cfg.Settings.Rating != choice.RatingNone,
		CheckSettings: settingsCheck(cfg), OwnSettings: cfg.OwnSettings(), Running: runningConfiguration(cfg)})
	if err != nil {
		return nil, err
	}
	s.Join(node, sender.JoinOptions{Gate: node.CaughtUp()})
	return func() {
		if err := node.Close(); err != nil {
			log.Warn("cluster shutdown failed", zap.Error(err))
		}
	}, nil
}

// longestDeadline returns the longest deadline of all classes, which is the longest time that a message can be pending.
func longestDeadline(classes []choice.Class) choice.Time {
	longest := choice.Time(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// duration converts a time of package choice, which counts tenths of a millisecond, to a time.Duration.
func duration(t choice.Time) time.Duration { return time.Duration(config.Nanoseconds(t)) }
