package assess

import (
	"cmp"
	"slices"

	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// ZoneView is what one zone sees of a place. Rates are calls a second.
type ZoneView struct {
	From                view.Zone
	State               State
	SuccessShare        float64 // of its calls that are answered, where Degraded
	Sent, Done, Refused float64
}

// PlaceHealth is what is known of a place from the reports of all zones.
type PlaceHealth struct {
	healthreport.Locality
	State            State // for a zone that has seen nothing of it
	SuccessShare     float64
	Limit            float64 // calls a second of all senders together; 0 where none is known
	Rating           float64
	Endpoints        int
	Done             float64 // calls a second, of all zones
	Refused          float64
	FailureWitnesses []view.Name // where Failing
	ByZone           []ZoneView  // sorted by From; only zones that sent there
}

// StateFrom returns the place's state and success share for messages that a zone sends: what that zone sees itself if
// it sees anything, otherwise the common state.
func (s PlaceHealth) StateFrom(from view.Zone) (State, float64) {
	for _, p := range s.ByZone {
		if p.From == from && p.State != Unknown {
			return p.State, p.SuccessShare
		}
	}
	return s.State, s.SuccessShare
}

// assumedSuccessShare stands in for a success share that is not known: one zone gets answers and the place's own zone
// does not, or a few calls failed and none was answered.
const assumedSuccessShare = 0.5

// outcomes counts failed and answered calls.
type outcomes struct{ failures, successes float64 }

// link is from a zone that sends to a zone that is sent to.
type link struct{ from, to view.Zone }

// Judge combines the reports of all zones, one for each zone and place, into the health of each place, sorted by
// place. A place is failing for everyone only if two zones say so and none gets answers, or if all witnesses of its
// own zone say so and none gets answers. Where one zone fails and others get answers, the link is at fault and only
// that zone's traffic is concerned.
func Judge(reports []Report, b Bounds) []PlaceHealth {
	reports = slices.Clone(reports)
	slices.SortStableFunc(reports, func(x, y Report) int {
		return cmp.Or(ComparePlaces(x.Locality, y.Locality), cmp.Compare(x.From, y.From))
	})
	outcomesByZones := sumByZones(reports, b)
	var places []PlaceHealth
	for i := 0; i < len(reports); {
		j := i
		for j < len(reports) && reports[j].Locality == reports[i].Locality {
			j++
		}
		if s, ok := assessPlace(reports[i:j], outcomesByZones, b); ok {
			places = append(places, s)
		}
		i = j
	}
	settleCommonStates(places, reports, b)
	return places
}

// sumByZones sums what each zone sees of all places in another. A place with few calls is then judged together with
// the rest of its zone, so that the failure of a zone makes one plan rather than one for each destination as its calls
// fail.
func sumByZones(reports []Report, b Bounds) map[link]outcomes {
	sums := map[link]outcomes{}
	for _, r := range reports {
		if r.Age <= b.MaxAge {
			key := link{r.From, r.Zone}
			p := sums[key]
			sums[key] = outcomes{p.failures + r.Failures, p.successes + r.Successes}
		}
	}
	return sums
}

// assessPlace combines the reports about one place; false if all of them are too old. The common state is left to
// settleCommonStates.
func assessPlace(reports []Report, outcomesByZones map[link]outcomes, b Bounds) (PlaceHealth, bool) {
	s := PlaceHealth{Locality: reports[0].Locality, SuccessShare: 1}
	known := false
	for _, r := range reports {
		if r.Age < 0 || r.Age > b.IdleAge {
			continue
		}
		known = true
		s.Limit, s.Rating, s.Endpoints = max(s.Limit, r.Limit), max(s.Rating, r.Rating), max(s.Endpoints, r.Endpoints)
		if r.Age > b.MaxAge || r.Idle() {
			continue
		}
		p := ZoneView{From: r.From, Sent: r.Sent, Done: r.Done, Refused: r.Refused}
		p.State, p.SuccessShare = stateSeenBy(r, outcomesByZones[link{r.From, r.Zone}], b)
		s.Done, s.Refused = s.Done+r.Done, s.Refused+r.Refused
		s.ByZone = append(s.ByZone, p)
	}
	return s, known
}

// stateSeenBy is the state of a place as the witnesses of one zone see it. Failing takes two witnesses, or all of the
// zone's witnesses that sent there, and more failures than chance explains.
func stateSeenBy(r Report, zoneOutcomes outcomes, b Bounds) (State, float64) {
	state, share := b.classify(r.Failures, r.Successes)
	majority := r.FailingWitnesses >= 2 && r.FailingWitnesses > r.HealthyWitnesses ||
		r.FailingWitnesses > 0 && r.HealthyWitnesses == 0
	switch {
	case state == Failing && !majority:
		return Degraded, max(0.1, r.Successes/max(1, r.Failures+r.Successes)) // all calls of some witnesses fail, those of others don't
	case state != Failing && r.FailingWitnesses > 0:
		// The whole zone fails, and this is one of its places.
		if zoneState, _ := b.classify(zoneOutcomes.failures, zoneOutcomes.successes); zoneState == Failing {
			return Failing, 0
		}
	case state == Degraded && r.FailingWitnesses == 1 && r.HealthyWitnesses > 0:
		return Healthy, 1 // one sender's fault
	}
	return state, share
}

// settleCommonStates sets the state that holds for zones that have seen nothing of a place. What an
// isolated zone reports counts for no other zone.
func settleCommonStates(places []PlaceHealth, reports []Report, b Bounds) {
	isolated := isolatedZones(places)
	for i := range places {
		s := &places[i]
		s.settleCommonState(isolated)
		if s.State == Failing {
			s.FailureWitnesses = failureWitnesses(reports, s.Locality, b)
		}
	}
}

func (s *PlaceHealth) settleCommonState(isolated map[view.Zone]bool) {
	failing, healthy, degraded := 0, 0, 0
	failsAtHome, share := false, 1.0
	for _, seen := range s.ByZone {
		switch {
		case seen.State == Failing && !isolated[seen.From]:
			failing++
			failsAtHome = failsAtHome || seen.From == s.Zone
		case seen.State == Healthy:
			healthy++
		case seen.State == Degraded:
			degraded++
			share = min(share, seen.SuccessShare)
		}
	}
	switch {
	case healthy == 0 && degraded == 0 && (failing >= 2 || failsAtHome):
		s.State, s.SuccessShare = Failing, 0
	case degraded > 0 && healthy == 0 || failsAtHome:
		s.State, s.SuccessShare = Degraded, share
		if degraded == 0 {
			s.SuccessShare = assumedSuccessShare
		}
	case healthy > 0:
		s.State = Healthy
	}
}

// isolatedZones returns the zones that are cut off themselves: they see places of two zones or more fail and none
// answer, while other zones get answers there.
func isolatedZones(places []PlaceHealth) map[view.Zone]bool {
	failingZones := map[view.Zone]map[view.Zone]bool{} // by the zone that sees them fail
	sawHealthy, othersAnswered := map[view.Zone]bool{}, map[view.Zone]bool{}
	for _, s := range places {
		answered := slices.ContainsFunc(s.ByZone, func(p ZoneView) bool { return p.State == Healthy })
		for _, p := range s.ByZone {
			sawHealthy[p.From] = sawHealthy[p.From] || p.State == Healthy || p.State == Degraded
			if p.State == Failing {
				if failingZones[p.From] == nil {
					failingZones[p.From] = map[view.Zone]bool{}
				}
				failingZones[p.From][s.Zone] = true
				othersAnswered[p.From] = othersAnswered[p.From] || answered
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

// failureWitnesses returns the names of witnesses of a place's failure. The reports must be sorted by place.
func failureWitnesses(reports []Report, place healthreport.Locality, b Bounds) []view.Name {
	var names []view.Name
	i, _ := slices.BinarySearchFunc(reports, place, func(r Report, p healthreport.Locality) int { return ComparePlaces(r.Locality, p) })
	for ; i < len(reports) && reports[i].Locality == place; i++ {
		if r := reports[i]; r.FailingWitnesses > 0 && r.Age <= b.MaxAge && len(names) < 2*b.MaxNames {
			names = append(names, r.FailingNames...)
		}
	}
	return names
}
