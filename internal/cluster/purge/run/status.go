package run

// This file implements the status of a purge by region, zone and process, as the leader of the consensus group knows it.

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/purge/spread"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// AckState says whether a process has acknowledged an open purge.
type AckState string

// Values of AckState.
const (
	ackReceived AckState = "acknowledged"
	ackPending  AckState = "not reached yet"
)

// PurgeStatus is the body of the answer to GET /v1/purges/ID.
type PurgeStatus struct {
	ID          string            `json:"id"`
	Seq         uint64            `json:"seq"`
	Subject     ledger.Subject    `json:"subject"`
	Match       *clusterapi.Match `json:"match,omitempty"` // nil once the ledger has dropped the contents of the record
	RequestedBy string            `json:"who,omitempty"`
	Reason      string            `json:"why,omitempty"`
	AgeMS       int64             `json:"age_ms"`
	State       ledger.State      `json:"state"`
	Sums        Sums              `json:"sums"`
	Regions     []RegionStatus    `json:"regions,omitempty"`
	LapsedAt    []view.Name       `json:"lapsed_at,omitempty"` // participants that did not acknowledge in time; at most 64 of them
	LapseAgeMS  int64             `json:"lapse_at_age_ms"`     // age of the purge from which missing acknowledgements lapse
	ReportedBy  view.Name         `json:"told_by"`             // the leader that made the status
}

// Sums holds the numbers of processes by acknowledgement, and the sum of what the purge found at them.
type Sums struct {
	Acknowledged int                    `json:"acknowledged"`
	NotReached   int                    `json:"not_reached_yet"`
	Lapsed       int                    `json:"lapsed"`
	Found        clusterapi.PurgeResult `json:"found"`
}

// RegionStatus is the status of a purge in one region.
type RegionStatus struct {
	Region view.Region  `json:"region"`
	Sums   Sums         `json:"sums"`
	Zones  []ZoneStatus `json:"zones"`
}

// ZoneStatus is the status of a purge in one zone. Processes is empty for a closed purge.
type ZoneStatus struct {
	Zone      view.Zone       `json:"zone"`
	Sums      Sums            `json:"sums"`
	Processes []ProcessStatus `json:"processes,omitempty"`
}

// ProcessStatus is the status of an open purge at one process.
type ProcessStatus struct {
	view.Instance
	AckState AckState               `json:"standing"`
	Found    clusterapi.PurgeResult `json:"found"`
}

// statusRequest asks the leader for the status of a purge.
type statusRequest struct {
	ID string `json:"id"`
}

// statusAnswer is the answer to a statusRequest. Known is false if no purge has the id.
type statusAnswer struct {
	Known  bool        `json:"known"`
	Status PurgeStatus `json:"shown"`
}

// queryStatus gets the status of a purge from the leader, which may be this process. It retries until ctx ends.
func (r *Runner) queryStatus(ctx context.Context, id string) (s statusAnswer, err error) {
	here := func() error { return r.caller.Call(ctx, r.options.Self.Name, pathStatus, statusRequest{id}, &s) }
	err = r.caller.Query(ctx, queryInterval, here, pathStatus, statusRequest{id}, &s)
	return s, err
}

// handleStatusRequest handles a request for a status, by another process or this one. It fails if this process is not the
// leader.
func (r *Runner) handleStatusRequest(_ context.Context, _ view.Instance, body []byte) (any, error) {
	var request statusRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("purge: cannot decode status request: %w", err)
	}
	if !r.options.Consensus.Leading() {
		return nil, errNotLeading
	}
	var record ledger.Record
	var known bool
	var horizon time.Duration
	var participants []ledger.Participant
	r.options.Consensus.Read(func(uint64) {
		record, known = r.options.Ledger.Find(request.ID)
		horizon, participants = r.options.Ledger.Horizon(), r.options.Ledger.Participants()
	})
	if !known {
		return statusAnswer{}, nil
	}
	status := PurgeStatus{ID: record.ID, Seq: record.Seq, Subject: record.Subject, RequestedBy: record.RequestedBy,
		Reason: record.Reason, State: record.State, LapseAgeMS: horizon.Milliseconds(), ReportedBy: r.options.Self.Name}
	if record.Match != (clusterapi.Match{}) {
		status.Match = &record.Match
	}
	status.AgeMS = max(r.options.Consensus.Clock()-record.OpenedAt, 0).Milliseconds()
	r.mu.Lock()
	var acknowledgements []spread.ParticipantStatus
	if r.leading && r.leaderState != nil && record.State == ledger.Spreading {
		acknowledgements = r.leaderState.StatusOf(record.Seq)
	}
	r.mu.Unlock()
	if record.State == ledger.Spreading {
		status.addOpen(acknowledgements, participants)
	} else {
		status.addClosed(record)
	}
	return statusAnswer{Known: true, Status: status}, nil
}

// addOpen adds the status of an open purge at each process. acknowledgements is nil at a process that has only just become the
// leader; then all participants are reported as not reached yet.
func (s *PurgeStatus) addOpen(acknowledgements []spread.ParticipantStatus, participants []ledger.Participant) {
	if acknowledgements == nil {
		for _, participant := range participants {
			acknowledgements = append(acknowledgements, spread.ParticipantStatus{Participant: participant})
		}
	}
	for _, p := range acknowledgements {
		z := s.zone(p.Participant.Region, p.Participant.Zone)
		one := ProcessStatus{Instance: p.Participant.Instance, AckState: ackPending, Found: p.Found}
		if p.Acknowledged {
			one.AckState = ackReceived
			z.Sums.Acknowledged++
		} else {
			z.Sums.NotReached++
		}
		z.Sums.Found = spread.AddFound(z.Sums.Found, p.Found)
		z.Processes = append(z.Processes, one)
	}
	s.sum()
}

// addClosed adds the outcome of a closed purge by zone, from its record.
func (s *PurgeStatus) addClosed(record ledger.Record) {
	for _, sum := range record.Zones {
		s.zone(sum.Region, sum.Zone).Sums = Sums{Acknowledged: sum.Reached, Lapsed: sum.Lapsed, Found: sum.Found}
	}
	s.LapsedAt = record.LapsedNames
	s.sum()
	s.Sums = Sums{Acknowledged: record.Reached, Lapsed: record.Lapsed, Found: record.Found}
}

// zone returns the status of a zone, and adds it if there is none. Regions and zones are sorted by name.
func (s *PurgeStatus) zone(region view.Region, zone view.Zone) *ZoneStatus {
	i, found := slices.BinarySearchFunc(s.Regions, region, func(r RegionStatus, n view.Region) int {
		return cmp.Compare(r.Region, n)
	})
	if !found {
		s.Regions = slices.Insert(s.Regions, i, RegionStatus{Region: region})
	}
	zones := &s.Regions[i].Zones
	j, found := slices.BinarySearchFunc(*zones, zone, func(z ZoneStatus, n view.Zone) int {
		return cmp.Compare(z.Zone, n)
	})
	if !found {
		*zones = slices.Insert(*zones, j, ZoneStatus{Zone: zone})
	}
	return &(*zones)[j]
}

// sum computes the sums of all regions and of the purge from those of the zones.
func (s *PurgeStatus) sum() {
	for i := range s.Regions {
		for _, z := range s.Regions[i].Zones {
			s.Regions[i].Sums = s.Regions[i].Sums.plus(z.Sums)
		}
		s.Sums = s.Sums.plus(s.Regions[i].Sums)
	}
}

// plus returns the sum of s and o.
func (s Sums) plus(o Sums) Sums {
	return Sums{Acknowledged: s.Acknowledged + o.Acknowledged, NotReached: s.NotReached + o.NotReached,
		Lapsed: s.Lapsed + o.Lapsed, Found: spread.AddFound(s.Found, o.Found)}
}
