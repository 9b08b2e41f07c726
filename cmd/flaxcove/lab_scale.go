package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"flaxcove/lab/cluster/schedule"
	"flaxcove/lab/scale"
	"flaxcove/lab/scale/fleet"
	"flaxcove/lab/scale/hollow"
	"flaxcove/lab/scale/host"
)

// The planned size: 570,000 messages a second over 660 senders, 61,000 destinations of which 2.7% are down.
const (
	plannedRate         = 570_000.0 / 660
	plannedDestinations = 61_000
	plannedDown         = 0.027
	plannedOutageS      = 300 // how long one is down, in seconds
)

func labScale() *cli.Command {
	return &cli.Command{
		Name: "scale", Usage: "run the cluster part of a large fleet, hollow members beside real ones, and measure each role",
		Description: "Hollow members are the control part with real sockets on loopback and a synthetic sender; many share a process.\n" +
			"Real ones are processes of this program. Without flags a small fleet that suits any machine is run.\n\n" +
			"Examples: flaxcove lab scale --schedule rack\n" +
			"          flaxcove lab scale --members 660 --real 8 --zones 24 --uses purges --calm 30 --json scale.json",
		Flags: []cli.Flag{flagSeed, flagLogs, flagBinary,
			&cli.IntFlag{Name: "members", Usage: "in all", Value: 40},
			&cli.IntFlag{Name: "real", Usage: "of them real processes", Value: 2},
			&cli.IntFlag{Name: "zones", Value: 8},
			&cli.IntFlag{Name: "regions", Value: 3},
			&cli.IntFlag{Name: "large", Usage: "members of each zone that may coordinate and vote", Value: 3},
			&cli.StringSliceFlag{Name: "uses", Usage: "of the cluster: failover, purges, popularity, configuration", Value: []string{"failover", "purges", "configuration"}},
			&cli.IntFlag{Name: "destinations", Value: plannedDestinations},
			&cli.FloatFlag{Name: "rate", Usage: "messages a second at each sender", Value: plannedRate},
			&cli.FloatFlag{Name: "down", Usage: "share of destinations that are down", Value: plannedDown},
			&cli.IntFlag{Name: "ends", Usage: "zones in which a destination has an endpoint", Value: 2},
			&cli.FloatFlag{Name: "real-rate", Usage: "messages a second at each real sender", Value: 20},
			&cli.IntFlag{Name: "real-destinations", Value: 60},
			&cli.IntFlag{Name: "hosts", Usage: "processes for hollow senders", Value: 6},
			&cli.DurationFlag{Name: "calm", Usage: "measured before any fault", Value: 20 * time.Second},
			&cli.DurationFlag{Name: "agree-within", Usage: "a bound on how long agreement is waited for", Value: 3 * time.Minute},
			&cli.IntFlag{Name: "purges", Usage: "ordered and timed while all is calm", Value: 3},
			&cli.IntFlag{Name: "changes", Usage: "of the configuration, ordered and timed while all is calm", Value: 3},
			&cli.StringSliceFlag{Name: "schedule", Usage: "what goes wrong, one after the other: files, or calm, machine, leader, rack, zone, endpoints, region, restarts, rolling"},
			&cli.StringFlag{Name: "json", Usage: "write the result to this file"}},
		Action: scaleAction,
	}
}

// scaleAction measures a fleet, or, in a process that such a run has started for its hollow members, serves these until its
// input ends; such a process catches no signals, since its parent ends it.
func scaleAction(ctx context.Context, c *cli.Command) error {
	if os.Getenv(scale.HostVariable) != "" {
		return host.Main(os.Stdin, os.Stdout)
	}
	return untilStopSignal(runScale)(ctx, c)
}

// runScale runs the fleet that the flags describe, and prints and writes what was measured.
func runScale(ctx context.Context, c *cli.Command) error {
	o, err := scaleOptions(c)
	if err != nil {
		return err
	}
	// What was measured before a run failed is reported, too.
	result, runErr := scale.Run(ctx, o)
	if result == nil {
		return runErr
	}
	if path := c.String("json"); path != "" {
		if err := writeJSON(path, result); err != nil {
			return errors.Join(runErr, err)
		}
	}
	return errors.Join(runErr, result.Markdown(os.Stdout))
}

// scaleOptions are the options of the run, from the flags.
func scaleOptions(c *cli.Command) (scale.Options, error) {
	self, err := os.Executable()
	if err != nil {
		return scale.Options{}, err
	}
	sender := self
	if other := c.String("binary"); other != "" {
		if sender, err = filepath.Abs(other); err != nil {
			return scale.Options{}, err
		}
	}
	o := scale.Options{
		Fleet: fleet.Size{Members: c.Int("members"), Real: c.Int("real"), Zones: c.Int("zones"), Regions: c.Int("regions"),
			Large: c.Int("large"), Uses: c.StringSlice("uses")},
		Load: hollow.Load{Destinations: c.Int("destinations"), Rate: c.Float("rate"), Down: c.Float("down"), OutageS: plannedOutageS,
			Ends: c.Int("ends"), Seed: c.Uint64("seed")},
		Hosts: c.Int("hosts"), Calm: c.Duration("calm"), RealRate: c.Float("real-rate"), RealDestinations: c.Int("real-destinations"),
		HostCommand: []string{self, "lab", "scale"}, ServeCommand: []string{sender, "serve"}, Purges: c.Int("purges"), Changes: c.Int("changes"),
		AgreeWithin: c.Duration("agree-within"), Logs: c.String("logs"), Say: printStatus,
	}
	o.Schedules, err = findSchedules(c.StringSlice("schedule"))
	return o, err
}

// findSchedules reads the schedules that --schedule names.
func findSchedules(names []string) (found []*schedule.Schedule, err error) {
	for _, name := range names {
		s, err := scale.FindSchedule(name)
		if err != nil {
			return nil, wrongInput(err)
		}
		found = append(found, s)
	}
	return found, nil
}
