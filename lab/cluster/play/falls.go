package play

import (
	"fmt"
	"math"
	"slices"

	"flaxcove/choice"
	"flaxcove/internal/cluster/status"
	"flaxcove/lab/cluster/judge"
	"flaxcove/lab/cluster/mesh"
	"flaxcove/lab/cluster/schedule"
)

// This file measures how the cluster reacts to the outage of a zone, from the routing plans that the processes report in
// force. The times have the resolution of the polls (pollInterval). A run reports their values, and checks only whether each
// event was observed.

const (
	quorumShare = 0.95 // share of the reachable processes at which a plan must be in force
	// routeReturnTimeout is the time in seconds after the last fault until which routes may still lead away: three times the
	// allowed return time, plus the time for which a plan holds.
	routeReturnTimeout = 55.0
)

// Expectations of a schedule (schedule.Expect) that a run can fail to meet.
const (
	NotDiverted   judge.Promise = "unmoved"  // a zone had an outage and no plan that routes its messages away was in force
	StillDiverted judge.Promise = "afar"     // long after the last fault, some routes still lead away from a zone
	TooManyPlans  judge.Promise = "restless" // there were more plans than MostPlans allows
)

// ZoneOutage is one outage of a zone. Its times are in milliseconds, or -1 if the event was not observed.
type ZoneOutage struct {
	Zone int
	// InForceMS is the time from the start of the outage until a plan that routes away from the zone is in force at
	// quorumShare of the reachable processes.
	InForceMS       int64
	AllReturnedMS   int64 // from the end of the outage until no process has a route that leads away
	FirstReturnedMS int64 // from the end of the outage until the number of diverted routes first decreases

	from, to    choice.Time
	maxDiverted int // highest number of diverted routes that a process reported during the outage
}

// outagesOf returns the outages of a schedule's zones that do not flap.
func outagesOf(s *schedule.Schedule) (all []ZoneOutage) {
	for _, f := range s.Faults {
		if f.Kind == "zone" && f.Every == 0 {
			all = append(all, ZoneOutage{f.Zone, -1, -1, -1, seconds(f.At), seconds(f.At + f.Seconds), 0})
		}
	}
	return all
}

// isCutOff reports whether a fault of the schedule cuts process i off or stops it at a time.
func isCutOff(s *schedule.Schedule, i int, now choice.Time) bool {
	return slices.ContainsFunc(s.Faults, func(f schedule.Fault) bool {
		cuts := slices.Contains([]string{"cut", "one_way", "flap", "stall", "stop"}, f.Kind)
		return cuts && now >= seconds(f.At) && now < seconds(f.At+f.Seconds) && slices.Contains(f.From, i)
	})
}

// measureOutages updates the measured times of all outages from the statuses of a poll.
func (p *player) measureOutages(now choice.Time, all []*status.Status) {
	for i := range p.outages {
		o := &p.outages[i]
		key := fmt.Sprintf("away_from_z%d", o.Zone-1)
		diverting, reachable, routes, most := 0, 0, 0, 0
		for _, s := range all {
			routes += s.Counts["plan_routes"]
			most = max(most, s.Counts[key])
			no := slices.IndexFunc(p.meshOptions.Processes, func(m mesh.Process) bool { return m.Name == string(s.Self.Name) })
			if no < 0 || isCutOff(p.schedule, no, now) {
				continue
			}
			reachable++
			if s.Counts[key] > 0 {
				diverting++
			}
		}
		if now <= o.from {
			continue
		}
		if now <= o.to {
			o.maxDiverted = max(o.maxDiverted, most)
		}
		if o.InForceMS < 0 && now <= o.to && diverting > 0 && diverting >= int(math.Ceil(quorumShare*float64(reachable))) {
			o.InForceMS = int64((now - o.from) / choice.Millisecond)
		}
		if now > o.to && o.FirstReturnedMS < 0 && most < o.maxDiverted {
			o.FirstReturnedMS = int64((now - o.to) / choice.Millisecond)
		}
		if now > o.to && o.AllReturnedMS < 0 && routes == 0 && len(all) > 0 {
			o.AllReturnedMS = int64((now - o.to) / choice.Millisecond)
		}
		if now > o.to && routes > 0 {
			o.AllReturnedMS = -1
		}
	}
}

// awaitsRouteReturn reports whether the run must continue because routes that the schedule expects to return still lead away.
func (p *player) awaitsRouteReturn() bool {
	diverted := slices.ContainsFunc(p.lastStatuses, func(s *status.Status) bool { return s.Counts["plan_routes"] > 0 })
	return p.schedule.Expect.Moves && diverted && p.now < seconds(p.schedule.LastFaultEnd()+routeReturnTimeout)
}

// unmetExpectations returns the expectations of the schedule that the run did not meet.
func (p *player) unmetExpectations(epochs int) (breaches []judge.Breach) {
	for _, o := range p.outages {
		if p.schedule.Expect.Moves && o.InForceMS < 0 {
			breaches = append(breaches, judge.Breach{Promise: NotDiverted,
				Detail: fmt.Sprintf("zone %d failed at %d tenths of a millisecond, but no plan that routes away from it was in force at enough processes", o.Zone, o.from)})
		}
		if p.schedule.Expect.Moves && o.AllReturnedMS < 0 {
			breaches = append(breaches, judge.Breach{Promise: StillDiverted,
				Detail: fmt.Sprintf("the outage of zone %d ended at %d tenths of a millisecond, but routes led away at the end of the run", o.Zone, o.to)})
		}
	}
	if most := p.schedule.Expect.MostPlans; most > 0 && epochs > most+1 {
		breaches = append(breaches, judge.Breach{Promise: TooManyPlans,
			Detail: fmt.Sprintf("%d plans observed: at most %d are allowed after the first", epochs, most)})
	}
	return breaches
}
