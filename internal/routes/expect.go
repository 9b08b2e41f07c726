package routes

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"flaxcove/choice"
)

// Expectation is what operators expect of routing, beside their rules. What is left empty or 0 is not expected.
type Expectation struct {
	Name        string
	Destination *choice.DestinationID // nil for each destination of the list
	Class       string
	Tenant      string
	Key         string

	Only    []choice.EndpointID           // the message reaches these and no others
	Never   []choice.EndpointID           // the message never reaches these
	AtLeast int                           // at least so many endpoints remain
	Shares  map[choice.EndpointID]float64 // each endpoint gets this fraction of the messages,
	Within  float64                       // give or take so much: 0.05 for five percentage points
	Losses  int                           // all of that holds after the loss of any so many endpoints, two at most
}

// maxLosses bounds Losses, with which the cost of a test grows exponentially.
const maxLosses = 2

// sumTolerance is what shares may add up to above 1, for rounding.
const sumTolerance = 1e-9

// Failure is an expectation that does not hold, with the smallest case in which it fails.
type Failure struct {
	Expect      string // its name
	Destination choice.DestinationID
	Lost        []choice.EndpointID // drained beside what the list says; none where it fails without a loss
	Overrides   []OverrideID        // without which it would not fail
	Route       Route               // as it is then
	What        string
}

// String says on one line what fails and in which case.
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

func joinIDs[T ~string](ids []T) string {
	var parts []string
	for _, id := range ids {
		parts = append(parts, string(id))
	}
	return strings.Join(parts, ", ")
}

// CheckExpectation returns all that is wrong with an expectation itself; its fields' paths begin with path.
func CheckExpectation(path string, x *Expectation) []Problem {
	var found problems
	if x.Name == "" {
		found.add(path+"name", "missing")
	}
	if len(x.Only) == 0 && len(x.Never) == 0 && x.AtLeast == 0 && len(x.Shares) == 0 {
		found.add(path+"name", "%q expects nothing: it takes only, never, at_least or shares", x.Name)
	}
	if x.Losses < 0 || x.Losses > maxLosses {
		found.add(path+"losses", "%d is not within 0 and %d", x.Losses, maxLosses)
	}
	if len(x.Shares) > 0 && !(x.Within > 0 && x.Within < 1) {
		found.add(path+"within", "%g is not above 0 and under 1", x.Within)
	}
	sum := 0.0
	for _, share := range x.Shares {
		sum += share
		if !(share >= 0 && share <= 1) {
			found.add(path+"shares", "%g is not within 0 and 1", share)
		}
	}
	if sum > 1+sumTolerance {
		found.add(path+"shares", "they add up to %g, above 1", sum)
	}
	for _, id := range x.Only {
		if slices.Contains(x.Never, id) {
			found.add(path+"never", "%s is among only, too", id)
		}
	}
	return found
}

// CheckExpectations checks expectations against rules, overrides and a list, without traffic. It returns each expectation that fails
// once, with the smallest case: fewest endpoints lost, then fewest overrides. Its cost grows with the endpoints of one
// destination to the power of the losses, and linearly with the number of destinations.
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

// failureSearch looks for the smallest case in which an expectation fails at one destination.
type failureSearch struct {
	table       *Table
	expectation *Expectation
	message     Message
	endpoints   []Endpoint // of the destination
}

// evaluate resolves the message with some endpoints lost and returns what the expectation misses, "" for nothing.
func (s *failureSearch) evaluate(o *Overrides, lost []int) (Route, string) {
	endpoints := slices.Clone(s.endpoints)
	for _, i := range lost {
		endpoints[i].Ready = false
	}
	r := Resolve(s.table, o, &s.message, endpoints)
	return r, s.expectation.unmet(&r)
}

// smallestFailure is the failure with the fewest losses, and among these one without overrides that have no part in it.
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

// reduceOverrides leaves out, one after another, overrides without which the failure occurs as well, and sets the failure to
// what remains.
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

// lossSets are all sets of at most so many ready endpoints, by position, smaller sets first.
func lossSets(endpoints []Endpoint, most int) (all [][]int) {
	all = append(all, nil)
	from := 0 // of the sets of the size before
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

// unmet says what of an expectation a route does not meet, "" for nothing.
func (x *Expectation) unmet(r *Route) string {
	total := 0.0
	for _, a := range r.Allowed {
		total += a.Weight
		if len(x.Only) > 0 && !slices.Contains(x.Only, a.Endpoint) {
			return fmt.Sprintf("it reaches %s, which is not among those expected", a.Endpoint)
		}
		if slices.Contains(x.Never, a.Endpoint) {
			return fmt.Sprintf("it reaches %s", a.Endpoint)
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
			return fmt.Sprintf("%s gets %.2f of it, not %.2f", id, share, x.Shares[id])
		}
	}
	return ""
}
