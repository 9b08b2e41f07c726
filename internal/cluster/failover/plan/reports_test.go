package plan_test

import (
	"fmt"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// fleetShape describes a fleet in which each zone sends to its own locality of each destination.
type fleetShape struct {
	zones, processes, endpoints int    // number of zones; of processes in a zone; of endpoints in a locality
	zoneName                    string // fmt format of a zone's name, which takes its number
	region                      func(zone int) view.Region
}

// reports returns the region of each zone and the reports of all zones. All calls to localities in the zone failing fail.
func (f fleetShape) reports(destinations int, failing view.Zone) (map[view.Zone]view.Region, []assess.Report) {
	regions := map[view.Zone]view.Region{}
	var all []assess.Report
	for i := range f.zones {
		z := view.Zone(fmt.Sprintf(f.zoneName, i))
		regions[z] = f.region(i)
		for d := range destinations {
			r := assess.Report{Locality: healthreport.Locality{Destination: choice.DestinationID(d), Zone: z}, From: z, Processes: f.processes,
				HealthyWitnesses: 9, Successes: 20, Sent: 20, Done: 20, Limit: 40, Endpoints: f.endpoints}
			if z == failing {
				r.HealthyWitnesses, r.FailingWitnesses, r.Successes, r.Failures, r.Done = 0, 9, 0, 20, 0
			}
			all = append(all, r)
		}
	}
	return regions, all
}
