// Package scale runs a fleet of the size that is planned on one machine: hollow members, many to a process, beside real
// ones, and says what each role of the cluster costs and how the fleet comes through faults.
//
// It owns the run (run.go), the hosts' processes (hosts.go), the real ones (real.go, by lab/live), the faults
// (faults.go), the check that all agree (agree.go), and what is measured (measure.go) and told (report.go). The protocol
// is the program's in both kinds of member: nothing here may know it. It must never leave a process or a file behind,
// listen beyond loopback, or give a verdict that hangs on how busy the machine is: agreement is waited for.
package scale

import (
	"fmt"
	"time"

	"flaxcove/lab/cluster/schedule"
	"flaxcove/lab/scale/fleet"
	"flaxcove/lab/scale/hollow"
)

// Options are what a run is played with.
type Options struct {
	Fleet fleet.Size // its Port is drawn where it is 0
	Load  hollow.Load
	Hosts int // processes for hollow members that coordinate nothing; each other role has one of its own
	// Schedules are played one after the other, each once all agree after the one before.
	Schedules []*schedule.Schedule
	Calm      time.Duration // measured before any fault
	Settle    time.Duration // between the first agreement and the measuring
	// RealRate is the messages a second of each real member's programs, for RealDestinations of two endpoints each.
	RealRate         float64
	RealDestinations int
	HostCommand      []string `json:"-"` // runs host.Main
	ServeCommand     []string `json:"-"` // runs flaxcove serve; needed for real members
	Purges           int      // ordered one after the other while all is calm, and timed
	Changes          int      // of the configuration, likewise
	AgreeWithin      time.Duration
	Logs             string                           `json:"-"` // a folder; "" keeps none
	Say              func(format string, args ...any) `json:"-"`
}

// Defaults of what a caller left out.
const (
	defaultHosts  = 6
	defaultAgree  = 3 * time.Minute
	defaultSettle = 5 * time.Second
	// maxMembers is what the addresses of package fleet have room for, and far over what a machine bears.
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
