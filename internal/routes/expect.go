package routes

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"flaxcove/choice"
)

// Expectation is a statement of operators about where one message may go, which the rules and overrides have to fulfil.
// A requirement that is empty or 0 is not checked.
type Expectation struct {
	Name        string
	Destination *choice.DestinationID // of the message; nil for every destination of the list in turn
	Class       string                // of the message
	Tenant      string                // of the message
	Key         string                // of the message

	Only    []choice.EndpointID           // the message may go to no other endpoints
	Never   []choice.EndpointID           // the message may not go to these endpoints
	AtLeast int                           // minimum number of endpoints that the message may go to
	Shares  map[choice.EndpointID]float64 // fraction of the messages for each endpoint, from 0 to 1
	Within  float64                       // allowed difference from Shares: 0.05 for five percentage points
	Losses  int                           // the requirements also hold after any so many endpoints are lost, at most two
}

// maxLosses is the highest value of Losses. The cost of a check grows exponentially with Losses.
const maxLosses = 2

// sumTolerance is how far the sum of the shares may exceed 1 because of rounding.
const sumTolerance = 1e-9

// Failure reports an expectation that is not fulfilled, with the smallest case in which it fails.
type Failure struct {
	Expect      string               // name of the expectation
	Destination choice.DestinationID // of the message
	Lost        []choice.EndpointID  // endpoints lost in this case; empty if the expectation fails without a loss
	Overrides   []OverrideID         // the overrides that the failure depends on
	Route       Route                // of the message in this case
	What        string               // the requirement that is not met
}

// String returns the failure and its case on one line.
func (f *Failure) String() string {
	text := fmt.Sprintf("%s: at destination %d, %s", f.Expect, f.Destination, f.What)
	if len(f.Lost) > 0 {
		text += fmt.Sprintf("; once drained: %s", joinIDs(f.Lost))
	}
	if len(f.Overrides) > 0 {
		text += fmt.Sprintf("; with override %s", joinIDs(f.Overrides))
	}
	if f.Route.Rule != "" {
		return text + fmt.Sprintf("; decided by route %q", f.Route.Rule)
	}
	return text + "; no route matches it"
}

// joinIDs returns the ids in order, separated by commas.
func joinIDs[T ~string](ids []T) string {
	var parts []string
	for _, id := range ids {
		parts = append(parts, string(id))
	}
	return strings.Join(parts, ", ")
}

// CheckExpectation returns all problems of the expectation x itself, without checking whether it is fulfilled. The paths
// of the problems begin with path.
func CheckExpectation(path string, x *Expectation) []Problem {
	var found problems
	if x.Name == "" {
		found.add(path+"name", "missing")
	}
	if len(x.Only) == 0 && len(x.Never) == 0 && x.AtLeast == 0 && len(x.Shares) == 0 {
		found.add(path+"name", "%q expects nothing: set only, never, at_least or shares", x.Name)
	}
	if x.Losses < 0 || x.Losses > maxLosses {
		found.add(path+"losses", "%d is not between 0 and %d", x.Losses, maxLosses)
	}
	if len(x.Shares) > 0 && !(x.Within > 0 && x.Within < 1) {
		found.add(path+"within", "%g is not above 0 and below 1", x.Within)
	}
	sum := 0.0
	for _, share := range x.Shares {
		sum += share
		if !(share >= 0 && share <= 1) {
			found.add(path+"shares", "%g is not between 0 and 1", share)
		}
	}
	if sum > 1+sumTolerance {
		found.add(path+"shares", "the shares add up to %g, which is above 1", sum)
	}
	for _, id := range x.Only {
		if slices.Contains(x.Never, id) {
			found.add(path+"never", "%s is also listed in only", id)
		}
	}
	return found
}

// CheckExpectations checks expectations against rules, overrides and a list of endpoints; no messages are sent. It
// returns at most one failure for each expectation, for the first destination at which it fails, with the fewest lost
// endpoints and without overrides that the failure does not depend on. The cost grows with the number of endpoints of a
// destination to the power of Losses, and linearly with the number of destinations.
func CheckExpectations(t *Table, o *Overrides, list []Endpoint, expectations []Expectation) (failures []Failure) {
	byDestination := map[choice.DestinationID][]Endpoint{}
	var all []choice.DestinationID
	for _, e := range list {
		if byDestination[e.Destination] == nil {
			all = append(all, e.Destination)
		}
		byDestination[e.Destination] = append(byDestination[e.Destination], e)
	}
	slices.Sort(all)
	for i := range expectations {
		x := &expectations[i]
		destinations := all
		if x.Destination != nil {
			destinations = []choice.DestinationID{*x.Destination}
		}
		for _, d := range destinations {
			message := Message{Destination: d, Class: x.Class, Tenant: x.Tenant, Key: x.Key}
			search := failureSearch{table: t, expectation: x, message: message, endpoints: byDestination[d]}
			if f, fails := search.smallestFailure(o); fails {
				failures = append(failures, f)
				break
			}
		}
	}
	return failures
}

// failureSearch searches for the smallest case in which an expectation fails at one destination.
type failureSearch struct {
	table       *Table
	expectation *Expectation
	message     Message
	endpoints   []Endpoint // of the destination
}

// evaluate resolves the message with some endpoints lost, given by their positions. It returns the route and the
// requirement that the route does not meet, or "" if it meets all.
func (s *failureSearch) evaluate(o *Overrides, lost []int) (Route, string) {
	endpoints := slices.Clone(s.endpoints)
	for _, i := range lost {
		endpoints[i].Ready = false
	}
	r := Resolve(s.table, o, &s.message, endpoints)
	return r, s.expectation.unmet(&r)
}

// smallestFailure returns the failure with the fewest lost endpoints, without overrides that it does not depend on. It
// returns false if there is no failure.
func (s *failureSearch) smallestFailure(o *Overrides) (f Failure, fails bool) {
	for _, lost := range lossSets(s.endpoints, s.expectation.Losses) {
		r, what := s.evaluate(o, lost)
		if what == "" {
			continue
		}
		f = Failure{Expect: s.expectation.Name, Destination: s.message.Destination, Route: r, What: what}
		for _, i := range lost {
			f.Lost = append(f.Lost, s.endpoints[i].ID)
		}
		s.reduceOverrides(&f, o, lost)
		return f, true
	}
	return f, false
}

// reduceOverrides removes, one after another, each override without which the expectation still fails, and stores the
// remaining overrides and the resulting route in the failure.
func (s *failureSearch) reduceOverrides(f *Failure, o *Overrides, lost []int) {
	needed := &Overrides{active: slices.Clone(o.active)}
	for i := len(needed.active) - 1; i >= 0; i-- {
		fewer := &Overrides{active: slices.Delete(slices.Clone(needed.active), i, i+1)}
		if r, what := s.evaluate(fewer, lost); what != "" {
			needed, f.Route, f.What = fewer, r, what
		}
	}
	for _, v := range needed.active {
		f.Overrides = append(f.Overrides, v.ID)
	}
}

// lossSets returns all sets of at most most ready endpoints, smaller sets first. A set holds the positions of its
// endpoints.
func lossSets(endpoints []Endpoint, most int) (all [][]int) {
	all = append(all, nil)
	from := 0 // position of the first set of the previous size
	for range most {
		end := len(all)
		for _, set := range all[from:end] {
			next := 0
			if len(set) > 0 {
				next = set[len(set)-1] + 1
			}
			for i := next; i < len(endpoints); i++ {
				if endpoints[i].Ready {
					all = append(all, append(slices.Clone(set), i))
				}
			}
		}
		from = end
	}
	return all
}

// unmet describes the first requirement that a route does not meet, or returns "" if it meets all.
func (x *Expectation) unmet(r *Route) string {
	total := 0.0
	for _, a := range r.Allowed {
		total += a.Weight
		if len(x.Only) > 0 && !slices.Contains(x.Only, a.Endpoint) {
			return fmt.Sprintf("it reaches %s, which is not listed in only", a.Endpoint)
		}
		if slices.Contains(x.Never, a.Endpoint) {
			return fmt.Sprintf("it reaches %s, which is listed in never", a.Endpoint)
		}
	}
	if len(r.Allowed) < x.AtLeast {
		return fmt.Sprintf("%d endpoints remain of %d expected", len(r.Allowed), x.AtLeast)
	}
	for _, id := range slices.Sorted(maps.Keys(x.Shares)) {
		share := 0.0
		for _, a := range r.Allowed {
			if a.Endpoint == id {
				share = a.Weight / total
			}
		}
		if math.Abs(share-x.Shares[id]) > x.Within {
			return fmt.Sprintf("the share of %s is %.2f, not %.2f", id, share, x.Shares[id])
		}
	}
	return ""
}
