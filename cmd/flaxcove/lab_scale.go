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

// The planned size: 660 senders with 570,000 messages per second in total, and 61,000 destinations, of which 2.7% are down.
const (
	plannedRate         = 570_000.0 / 660 // messages per second and sender
	plannedDestinations = 61_000
	plannedDown         = 0.027 // share of the destinations
	plannedOutageS      = 300   // duration of one outage, in seconds
)

func labScale() *cli.Command {
	return &cli.Command{
		Name: "scale", Usage: "run a large cluster of simulated and real members on this machine, and measure the cost of each role",
		Description: "Most members are hollow: they run the cluster code with real sockets on loopback, but a synthetic sender; many\n" +
			"share a process. Real members are processes of this program. Without flags the fleet is small enough for any\nmachine.\n\n" +
			"Examples: flaxcove lab scale --schedule rack\n" +
			"          flaxcove lab scale --members 660 --real 8 --zones 24 --uses purges --calm 30 --json scale.json",
		Flags: []cli.Flag{flagSeed, flagLogs, flagBinary,
			&cli.IntFlag{Name: "members", Usage: "number of members, hollow and real", Value: 40},
			&cli.IntFlag{Name: "real", Usage: "number of members that are real processes", Value: 2},
			&cli.IntFlag{Name: "zones", Value: 8},
			&cli.IntFlag{Name: "regions", Value: 3},
			&cli.IntFlag{Name: "large", Usage: "number of members in each zone that may be coordinators and voters", Value: 3},
			&cli.StringSliceFlag{Name: "uses", Usage: "cluster features to enable: failover, purges, popularity, configuration", Value: []string{"failover", "purges", "configuration"}},
			&cli.IntFlag{Name: "destinations", Value: plannedDestinations},
			&cli.FloatFlag{Name: "rate", Usage: "messages per second at each hollow member", Value: plannedRate},
			&cli.FloatFlag{Name: "down", Usage: "share of destinations that are down", Value: plannedDown},
			&cli.IntFlag{Name: "ends", Usage: "number of zones in which a destination has an endpoint", Value: 2},
			&cli.FloatFlag{Name: "real-rate", Usage: "messages per second at each real member", Value: 20},
			&cli.IntFlag{Name: "real-destinations", Value: 60},
			&cli.IntFlag{Name: "hosts", Usage: "number of processes that run the hollow members", Value: 6},
			&cli.DurationFlag{Name: "calm", Usage: "duration of the measurement without faults", Value: 20 * time.Second},
			&cli.DurationFlag{Name: "agree-within", Usage: "maximum time to wait until all members agree on the state of the cluster", Value: 3 * time.Minute},
			&cli.IntFlag{Name: "purges", Usage: "number of purges to order and time while there are no faults", Value: 3},
			&cli.IntFlag{Name: "changes", Usage: "number of configuration changes to order and time while there are no faults", Value: 3},
			&cli.StringSliceFlag{Name: "schedule", Usage: "schedules of faults to run one after the other: paths of files, or built-in ones: calm, machine, leader, rack, zone, endpoints, region, restarts, rolling"},
			&cli.StringFlag{Name: "json", Usage: "write the result to this file"}},
		Action: scaleAction,
	}
}

// scaleAction measures a fleet. If scale.HostVariable is set, a run of the command has started this process to host hollow
// members, and it does so until its standard input ends; a host catches no signals, because its parent stops it.
func scaleAction(ctx context.Context, c *cli.Command) error {
	if os.Getenv(scale.HostVariable) != "" {
		return host.Main(os.Stdin, os.Stdout)
	}
	return untilStopSignal(runScale)(ctx, c)
}

// runScale runs the fleet that the flags describe, prints the measurements, and writes them to the file named by --json.
func runScale(ctx context.Context, c *cli.Command) error {
	o, err := newScaleOptions(c)
	if err != nil {
		return err
	}
	// A run that fails returns what it has measured so far, which is reported, too.
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

// newScaleOptions returns the options of the run, as set by the flags.
func newScaleOptions(c *cli.Command) (scale.Options, error) {
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
			EndpointZones: c.Int("ends"), Seed: c.Uint64("seed")},
		Hosts: c.Int("hosts"), Calm: c.Duration("calm"), RealRate: c.Float("real-rate"), RealDestinations: c.Int("real-destinations"),
		HostCommand: []string{self, "lab", "scale"}, ServeCommand: []string{sender, "serve"}, Purges: c.Int("purges"), Changes: c.Int("changes"),
		AgreeWithin: c.Duration("agree-within"), Logs: c.String("logs"), Logf: printStatus,
	}
	o.Schedules, err = findSchedules(c.StringSlice("schedule"))
	return o, err
}

// findSchedules loads the schedules named by --schedule.
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
