package assess

import (
	"cmp"
	"slices"

	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// ZoneView is the health of a locality as seen from one sending zone. Sent, Done and Rejected are in calls per second.
type ZoneView struct {
	From                 view.Zone // the sending zone
	State                State
	SuccessShare         float64 // share of calls that are answered if Degraded; 0 if Failing, otherwise 1
	Sent, Done, Rejected float64
}

// LocalityHealth is the health of a locality as derived from the reports of all zones. State and SuccessShare are the
// overall state, which applies to zones that have no calls there themselves.
type LocalityHealth struct {
	healthreport.Locality
	State            State
	SuccessShare     float64 // share of calls that are answered if Degraded; 0 if Failing, otherwise 1
	Limit            float64 // calls per second from all senders; 0 if none is known
	Rating           float64 // sum of the endpoints' ratings
	Endpoints        int
	Done             float64     // calls per second from all zones
	Rejected         float64     // likewise
	FailureWitnesses []view.Name // names of some witnesses that see it fail; set only if State is Failing
	ByZone           []ZoneView  // zones that recently sent there, sorted by From
}

// StateFrom returns the state and the success share that apply to calls from a zone: those that the zone observes
// itself unless they are Unknown, otherwise the overall ones.
func (h LocalityHealth) StateFrom(from view.Zone) (State, float64) {
	for _, seen := range h.ByZone {
		if seen.From == from && seen.State != Unknown {
			return seen.State, seen.SuccessShare
		}
	}
	return h.State, h.SuccessShare
}

// assumedSuccessShare replaces a success share that is not known: some zone gets answers while the locality's own zone
// gets none, or a few calls failed and none was answered.
const assumedSuccessShare = 0.5

// outcomes holds the numbers of failed and answered calls.
type outcomes struct{ failures, successes float64 }

// link is the direction from a sending zone to a receiving zone.
type link struct{ from, to view.Zone }

// CombineReports combines the reports of all zones, at most one for each sending zone and locality, into the health of
// each locality, sorted by locality. The overall state is Failing only if no zone gets answers and either two zones or
// the locality's own zone see it fail. If calls from one zone fail and others are answered, the link is at fault, and
// only the state seen from that zone is Failing.
func CombineReports(reports []Report, b Bounds) []LocalityHealth {
	reports = slices.Clone(reports)
	slices.SortStableFunc(reports, func(x, y Report) int {
		return cmp.Or(CompareLocalities(x.Locality, y.Locality), cmp.Compare(x.From, y.From))
	})
	byLink := sumByLink(reports, b)
	var localities []LocalityHealth
	for i := 0; i < len(reports); {
		j := i
		for j < len(reports) && reports[j].Locality == reports[i].Locality {
			j++
		}
		if h, ok := assessLocality(reports[i:j], byLink, b); ok {
			localities = append(localities, h)
		}
		i = j
	}
	setOverallStates(localities, reports, b)
	return localities
}

// sumByLink sums the outcomes of all calls from one zone to another. A locality with few calls is assessed by these
// sums, so that the failure of a zone results in one plan rather than in one plan for each destination as soon as
// enough of its calls have failed.
func sumByLink(reports []Report, b Bounds) map[link]outcomes {
	sums := map[link]outcomes{}
	for _, r := range reports {
		if r.Age <= b.MaxAge {
			key := link{r.From, r.Zone}
			sum := sums[key]
			sums[key] = outcomes{sum.failures + r.Failures, sum.successes + r.Successes}
		}
	}
	return sums
}

// assessLocality combines the reports on one locality. It returns false if all of them are too old. The overall state is
// set later, by setOverallStates.
func assessLocality(reports []Report, byLink map[link]outcomes, b Bounds) (LocalityHealth, bool) {
	h := LocalityHealth{Locality: reports[0].Locality, SuccessShare: 1}
	known := false
	for _, r := range reports {
		if r.Age < 0 || r.Age > b.IdleMaxAge {
			continue
		}
		known = true
		h.Limit, h.Rating, h.Endpoints = max(h.Limit, r.Limit), max(h.Rating, r.Rating), max(h.Endpoints, r.Endpoints)
		if r.Age > b.MaxAge || r.Idle() {
			continue
		}
		seen := ZoneView{From: r.From, Sent: r.Sent, Done: r.Done, Rejected: r.Rejected}
		seen.State, seen.SuccessShare = stateSeenBy(r, byLink[link{r.From, r.Zone}], b)
		h.Done, h.Rejected = h.Done+r.Done, h.Rejected+r.Rejected
		h.ByZone = append(h.ByZone, seen)
	}
	return h, known
}

// stateSeenBy returns the state and the success share of a locality as the witnesses of one zone see it. A locality is
// Failing if its failed share is significantly above Bounds.FailingAbove and calls of most witnesses fail (of at least
// two, or of all that sent there). It is also Failing if some witness sees it fail and the failed share of linkOutcomes,
// the outcomes of all calls from that zone to the locality's zone, is significantly above Bounds.FailingAbove.
func stateSeenBy(r Report, linkOutcomes outcomes, b Bounds) (State, float64) {
	state, share := b.classify(r.Failures, r.Successes)
	majority := r.FailingWitnesses >= 2 && r.FailingWitnesses > r.HealthyWitnesses ||
		r.FailingWitnesses > 0 && r.HealthyWitnesses == 0
	switch {
	case state == Failing && !majority:
		return Degraded, max(0.1, r.Successes/max(1, r.Failures+r.Successes)) // calls of some witnesses fail, those of others don't
	case state != Failing && r.FailingWitnesses > 0:
		// The calls to this locality are too few to tell, but all calls over the link together show that it fails.
		if linkState, _ := b.classify(linkOutcomes.failures, linkOutcomes.successes); linkState == Failing {
			return Failing, 0
		}
	case state == Degraded && r.FailingWitnesses == 1 && r.HealthyWitnesses > 0:
		return Healthy, 1 // the fault is that of a single sender
	}
	return state, share
}

// setOverallStates sets the overall state of all localities. Failures seen by an isolated zone are ignored.
func setOverallStates(localities []LocalityHealth, reports []Report, b Bounds) {
	isolated := isolatedZones(localities)
	for i := range localities {
		h := &localities[i]
		h.setOverallState(isolated)
		if h.State == Failing {
			h.FailureWitnesses = failureWitnesses(reports, h.Locality, b)
		}
	}
}

// setOverallState sets State and SuccessShare by the states in ByZone, without failures seen by isolated zones.
func (h *LocalityHealth) setOverallState(isolated map[view.Zone]bool) {
	failing, healthy, degraded := 0, 0, 0
	failsInOwnZone, share := false, 1.0
	for _, seen := range h.ByZone {
		switch {
		case seen.State == Failing && !isolated[seen.From]:
			failing++
			failsInOwnZone = failsInOwnZone || seen.From == h.Zone
		case seen.State == Healthy:
			healthy++
		case seen.State == Degraded:
			degraded++
			share = min(share, seen.SuccessShare)
		}
	}
	switch {
	case healthy == 0 && degraded == 0 && (failing >= 2 || failsInOwnZone):
		h.State, h.SuccessShare = Failing, 0
	case degraded > 0 && healthy == 0 || failsInOwnZone:
		h.State, h.SuccessShare = Degraded, share
		if degraded == 0 {
			h.SuccessShare = assumedSuccessShare
		}
	case healthy > 0:
		h.State = Healthy
	}
}

// isolatedZones returns the sending zones that are cut off from the network: they see localities in at least two zones
// fail and none answer, while some other zone gets answers from one of these localities.
func isolatedZones(localities []LocalityHealth) map[view.Zone]bool {
	failingZones := map[view.Zone]map[view.Zone]bool{} // by sending zone, the receiving zones in which it sees a failure
	sawHealthy, othersAnswered := map[view.Zone]bool{}, map[view.Zone]bool{}
	for _, h := range localities {
		answered := slices.ContainsFunc(h.ByZone, func(v ZoneView) bool { return v.State == Healthy })
		for _, seen := range h.ByZone {
			sawHealthy[seen.From] = sawHealthy[seen.From] || seen.State == Healthy || seen.State == Degraded
			if seen.State == Failing {
				if failingZones[seen.From] == nil {
					failingZones[seen.From] = map[view.Zone]bool{}
				}
				failingZones[seen.From][h.Zone] = true
				othersAnswered[seen.From] = othersAnswered[seen.From] || answered
			}
		}
	}
	isolated := map[view.Zone]bool{}
	for from, seenFailing := range failingZones {
		if len(seenFailing) >= 2 && !sawHealthy[from] && othersAnswered[from] {
			isolated[from] = true
		}
	}
	return isolated
}

// failureWitnesses returns names of witnesses that see a locality fail. The reports must be sorted by locality.
func failureWitnesses(reports []Report, locality healthreport.Locality, b Bounds) []view.Name {
	var names []view.Name
	i, _ := slices.BinarySearchFunc(reports, locality, func(r Report, l healthreport.Locality) int { return CompareLocalities(r.Locality, l) })
	for ; i < len(reports) && reports[i].Locality == locality; i++ {
		if r := reports[i]; r.FailingWitnesses > 0 && r.Age <= b.MaxAge && len(names) < 2*b.MaxNames {
			names = append(names, r.FailingNames...)
		}
	}
	return names
}
