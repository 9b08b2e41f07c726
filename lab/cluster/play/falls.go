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

// This file measures how the cluster reacts to the fall of a zone, by the routing plans that the processes report in force.
// The times depend on how often they are polled (askEvery); they are figures, not verdicts.

const (
	quorumShare = 0.95 // of the reachable processes; from issue 36
	// nearTimeout is how long after the last fault routes may still lead away: three times what issue 36 allows, and the
	// time that a plan holds.
	nearTimeout = 55.0
)

// Breaches of what a schedule expects.
const (
	Unmoved  judge.Promise = "unmoved"  // a zone fell and no plan routed its messages away
	Afar     judge.Promise = "afar"     // long after the last fault some routes still lead away
	Restless judge.Promise = "restless" // more plans than expected
)

// Fall is one fall of a zone. Times are milliseconds; -1 for what was not observed.
type Fall struct {
	Zone      int
	InForceMS int64 // from the fall until a plan that routes away from it is in force at enough processes
	NearMS    int64 // from the zone's return until no process has a route that leads away
	WithinMS  int64 // from the zone's return until its first routes are back

	from, to choice.Time
	mostAway int
}

func fallsOf(s *schedule.Schedule) (all []Fall) {
	for _, f := range s.Faults {
		if f.Kind == "zone" && f.Every == 0 {
			all = append(all, Fall{f.Zone, -1, -1, -1, seconds(f.At), seconds(f.At + f.Seconds), 0})
		}
	}
	return all
}

// isCutOff reports whether the schedule has a process cut off or stopped at a time.
func isCutOff(s *schedule.Schedule, i int, now choice.Time) bool {
	return slices.ContainsFunc(s.Faults, func(f schedule.Fault) bool {
		cuts := slices.Contains([]string{"cut", "one_way", "flap", "stall", "stop"}, f.Kind)
		return cuts && now >= seconds(f.At) && now < seconds(f.At+f.Seconds) && slices.Contains(f.From, i)
	})
}

// measureFalls updates the falls by the statuses of a poll.
func (p *player) measureFalls(now choice.Time, all []*status.Status) {
	for i := range p.falls {
		f := &p.falls[i]
		key := fmt.Sprintf("away_from_z%d", f.Zone-1)
		away, reach, routes, most := 0, 0, 0, 0
		for _, s := range all {
			routes += s.Counts["plan_routes"]
			most = max(most, s.Counts[key])
			no := slices.IndexFunc(p.meshOptions.Processes, func(m mesh.Process) bool { return m.Name == string(s.Self.Name) })
			if no < 0 || isCutOff(p.schedule, no, now) {
				continue
			}
			reach++
			if s.Counts[key] > 0 {
				away++
			}
		}
		if now <= f.from {
			continue
		}
		if now <= f.to {
			f.mostAway = max(f.mostAway, most)
		}
		if f.InForceMS < 0 && now <= f.to && away > 0 && away >= int(math.Ceil(quorumShare*float64(reach))) {
			f.InForceMS = int64((now - f.from) / choice.Millisecond)
		}
		if now > f.to && f.WithinMS < 0 && most < f.mostAway {
			f.WithinMS = int64((now - f.to) / choice.Millisecond)
		}
		if now > f.to && f.NearMS < 0 && routes == 0 && len(all) > 0 {
			f.NearMS = int64((now - f.to) / choice.Millisecond)
		}
		if now > f.to && routes > 0 {
			f.NearMS = -1
		}
	}
}

// awaitsNear reports whether the run has to go on because some routes still lead away.
func (p *player) awaitsNear() bool {
	away := slices.ContainsFunc(p.lastStatuses, func(s *status.Status) bool { return s.Counts["plan_routes"] > 0 })
	return p.schedule.Expect.Moves && away && p.now < seconds(p.schedule.LastFaultEnd()+nearTimeout)
}

// unexpected returns breaches of what the schedule expects.
func (p *player) unexpected(epochs int) (breaks []judge.Breach) {
	for _, f := range p.falls {
		if p.schedule.Expect.Moves && f.InForceMS < 0 {
			breaks = append(breaks, judge.Breach{Promise: Unmoved, What: fmt.Sprintf("zone %d fell at %d", f.Zone, f.from)})
		}
		if p.schedule.Expect.Moves && f.NearMS < 0 {
			breaks = append(breaks, judge.Breach{Promise: Afar, What: fmt.Sprintf("zone %d was well at %d", f.Zone, f.to)})
		}
	}
	if most := p.schedule.Expect.MostPlans; most > 0 && epochs > most+1 {
		breaks = append(breaks, judge.Breach{Promise: Restless, What: fmt.Sprintf("%d plans, %d expected beyond the first", epochs, most)})
	}
	return breaks
}
