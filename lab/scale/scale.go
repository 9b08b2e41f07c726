// Package scale runs a fleet of the planned size on one machine: hollow members, of which many share a process, and real
// members. It measures the cost of each role of the cluster and how the fleet recovers from faults.
//
// A hollow member has the program's control part and a synthetic sender; a real member is a process of the program. run.go
// plays a run, hosts.go runs the processes of hollow members (hosts), real.go runs the real members with package live,
// faults.go injects faults, decided.go orders purges and changes, agree.go waits for agreement, measure.go measures, report.go
// writes the result. Members use the program's own protocol, which this package does not implement. The package must leave no
// process or file behind and listen on loopback only. A run waits until all members agree, so that its verdict does not depend
// on how busy the machine is.
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
	Fleet fleet.Size // with Port 0, a free port is chosen
	Load  hollow.Load
	Hosts int // number of processes for hollow members of the role Plain; each other role has one process
	// Schedules are played one after the other. Each begins once all members agree after the previous one.
	Schedules []*schedule.Schedule
	Calm      time.Duration // duration of the measurement without faults; 0 for none
	Settle    time.Duration // time between the first agreement and the measurement
	// RealRate is the number of messages per second that clients submit to each real member, for RealDestinations
	// destinations with two endpoints each.
	RealRate         float64
	RealDestinations int
	HostCommand      []string                         `json:"-"` // command that runs host.Main
	ServeCommand     []string                         `json:"-"` // command that runs flaxcove serve; required for real members
	Purges           int                              // number of purges that are ordered without faults, one after the other, and measured
	Changes          int                              // number of changes of the configuration, likewise
	AgreeWithin      time.Duration                    // the run fails if members do not agree within this time; 0 for a default
	Logs             string                           `json:"-"` // folder for the logs of all processes; "" for none
	Logf             func(format string, args ...any) `json:"-"` // reports progress; nil for no reports
}

// Defaults of options that are 0.
const (
	defaultHosts  = 6
	defaultAgree  = 3 * time.Minute
	defaultSettle = 5 * time.Second
	// maxMembers is the number of members for which the addresses of package fleet suffice, far more than one machine can run.
	maxMembers = 2000
)

// fillAndCheck sets the defaults and returns an error for options that cannot be played.
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
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
	f := &o.Fleet
	switch {
	case f.Members < 1 || f.Members > maxMembers:
		return fmt.Errorf("fleet of %d members: must have 1 to %d", f.Members, maxMembers)
	case f.Zones < 1 || f.Zones > f.Members || f.Regions < 1 || f.Regions > f.Zones:
		return fmt.Errorf("%d zones in %d regions are not possible with %d members", f.Zones, f.Regions, f.Members)
	case f.Large < 1:
		return fmt.Errorf("no member of a zone is large: no member could vote")
	case f.Real < 0 || f.Real > f.Members:
		return fmt.Errorf("%d real members in a fleet of %d members", f.Real, f.Members)
	case f.Real > 0 && len(o.ServeCommand) == 0:
		return fmt.Errorf("ServeCommand is missing: it runs the real members")
	case f.Real < f.Members && len(o.HostCommand) == 0:
		return fmt.Errorf("HostCommand is missing: it runs the hollow members")
	case o.Load.Destinations < 1 || o.Load.EndpointZones < 1 || o.Load.EndpointZones > f.Zones:
		return fmt.Errorf("load of %d destinations with endpoints in %d zones each is not possible", o.Load.Destinations, o.Load.EndpointZones)
	}
	for _, s := range o.Schedules {
		s.Processes, s.Zones, s.Regions = f.Members, f.Zones, f.Regions
		if problems := s.Check(); len(problems) > 0 {
			return fmt.Errorf("schedule field %s: %s", problems[0].Path, problems[0].Reason)
		}
	}
	o.Load.Zones = f.Zones
	return nil
}
