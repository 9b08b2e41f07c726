// Package scale runs a fleet of the planned size on one machine: hollow members, many to a process, beside real ones. It
// measures what each role of the cluster costs and how the fleet comes through faults.
//
// run.go plays a run, hosts.go runs the hosts' processes, real.go the real members by package live, faults.go plays faults,
// agree.go waits for agreement, measure.go measures, report.go writes the result. Both kinds of member speak the program's
// own protocol, which this package does not know. The package must leave no process or file behind and listen on loopback
// only. Its verdict must not depend on how busy the machine is: it waits for agreement.
package scale

import (
	"fmt"
	"time"

	"flaxcove/lab/cluster/schedule"
	"flaxcove/lab/scale/fleet"
	"flaxcove/lab/scale/hollow"
)

// Options are the inputs of a run.
type Options struct {
	Fleet fleet.Size // a Port of 0 is drawn
	Load  hollow.Load
	Hosts int // processes for hollow members that coordinate nothing; each other role has one of its own
	// Schedules are played one after the other, each once all members agree after the one before.
	Schedules []*schedule.Schedule
	Calm      time.Duration // time without faults that is measured
	Settle    time.Duration // between the first agreement and the measuring
	// RealRate is the messages a second that clients hand in to each real member, for RealDestinations destinations with
	// two endpoints each.
	RealRate         float64
	RealDestinations int
	HostCommand      []string `json:"-"` // runs host.Main
	ServeCommand     []string `json:"-"` // runs flaxcove serve; needed for real members
	Purges           int      // number of purges that are ordered without faults, one after the other, and timed
	Changes          int      // number of changes of the configuration, likewise
	AgreeWithin      time.Duration
	Logs             string                           `json:"-"` // a folder; "" keeps none
	Say              func(format string, args ...any) `json:"-"`
}

// Defaults of options that were left out.
const (
	defaultHosts  = 6
	defaultAgree  = 3 * time.Minute
	defaultSettle = 5 * time.Second
	// maxMembers is how many members the addresses of package fleet suffice for; far more than one machine can run.
	maxMembers = 2000
)

func (o *Options) fillAndCheck() error {
	if o.Hosts <= 0 {
		o.Hosts = defaultHosts
	}
	if o.AgreeWithin <= 0 {
		o.AgreeWithin = defaultAgree
	}
	if o.Settle <= 0 {
		o.Settle = defaultSettle
	}
	if o.Say == nil {
		o.Say = func(string, ...any) {}
	}
	f := &o.Fleet
	switch {
	case f.Members < 1 || f.Members > maxMembers:
		return fmt.Errorf("%d members; 1 to %d", f.Members, maxMembers)
	case f.Zones < 1 || f.Zones > f.Members || f.Regions < 1 || f.Regions > f.Zones:
		return fmt.Errorf("%d zones in %d regions for %d members", f.Zones, f.Regions, f.Members)
	case f.Large < 1:
		return fmt.Errorf("no member of a zone is large: none could vote")
	case f.Real < 0 || f.Real > f.Members:
		return fmt.Errorf("%d real of %d members", f.Real, f.Members)
	case f.Real > 0 && len(o.ServeCommand) == 0:
		return fmt.Errorf("no command for real members")
	case f.Real < f.Members && len(o.HostCommand) == 0:
		return fmt.Errorf("no command for hosts")
	case o.Load.Destinations < 1 || o.Load.Ends < 1 || o.Load.Ends > f.Zones:
		return fmt.Errorf("%d destinations in %d zones each", o.Load.Destinations, o.Load.Ends)
	}
	for _, s := range o.Schedules {
		s.Processes, s.Zones, s.Regions = f.Members, f.Zones, f.Regions
		if problems := s.Check(); len(problems) > 0 {
			return fmt.Errorf("%s: %s", problems[0].Path, problems[0].What)
		}
	}
	o.Load.Zones = f.Zones
	return nil
}
