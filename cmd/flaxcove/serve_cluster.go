package main

// This file joins a sender to the processes around it, where `serve --cluster FILE` asks for that. Without the flag
// nothing of it runs.

import (
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/cluster"
	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/config"
	"flaxcove/internal/sender"
)

// withCluster is how many threads run Go code with a cluster: the sender's one loop keeps one to itself.
const withCluster = 2

// startCluster is called between the sender's start and its Run: it joins the sender (sender.Join), and its orders
// (sender.Orders) may be given from then on. What it returns is called once Run has returned.
func startCluster(path string, cfg *config.Config, s *sender.Sender, log *zap.Logger) (leave func(), err error) {
	set, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	span := func(t choice.Time) time.Duration { return time.Duration(config.Nanoseconds(t)) }
	longest := choice.Time(0)
	for _, w := range cfg.Settings.Workloads {
		longest = max(longest, w.HardStop)
	}
	n, err := cluster.Start(cluster.Options{Settings: set, Log: log.Named("cluster"), Orders: s.Orders(), Zones: cfg.Zones,
		Longest: span(longest), Cold: span(cfg.Settings.Cold), ColdFrom: cfg.Settings.ColdFrom, FallMultiple: cfg.Settings.FallMultiple,
		RatingIsRate: cfg.Settings.Rating != choice.RatingNone})
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
