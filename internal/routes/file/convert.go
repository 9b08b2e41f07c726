package file

// This file converts the tables of one file into the types of package routes and collects the problems of the tables.

import (
	"fmt"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/routes"
	"flaxcove/internal/tomlfile"
)

// converter converts the tables of one file.
type converter struct {
	routing  *Routing           // holds the results of earlier files; the converter adds to it
	problems []tomlfile.Problem // found so far
}

// problem records a problem with the field at path.
func (c *converter) problem(path, format string, args ...any) {
	c.problems = append(c.problems, tomlfile.Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// addProblems records problems found by package routes.
func (c *converter) addProblems(problems []routes.Problem) {
	for _, p := range problems {
		c.problems = append(c.problems, tomlfile.Problem(p))
	}
}

// rules converts and checks the routes. It does not add them to the routing.
func (c *converter) rules(tables []route) (rules []routes.Rule) {
	for i := range tables {
		table := &tables[i]
		rules = append(rules, routes.Rule{
			Name: table.Name,
			Match: routes.Match{
				Destination: destinationID(table.Match.Destination),
				Class:       table.Match.Class,
				Tenant:      table.Match.Tenant,
				KeyPrefix:   table.Match.KeyPrefix,
			},
			Sets:       ruleSets(table.Sets),
			NoEndpoint: c.noEndpointPolicy(fmt.Sprintf("route[%d].nowhere", i), table.Nowhere),
		})
	}
	c.addProblems(routes.Check(rules))
	for i := range rules {
		if c.routing.hasRule(rules[i].Name) {
			c.problem(fmt.Sprintf("route[%d].name", i), "%q is already defined in an earlier file", rules[i].Name)
		}
	}
	return rules
}

// noEndpointPolicy converts the word of the field nowhere.
func (c *converter) noEndpointPolicy(path, word string) routes.NoEndpointPolicy {
	switch word {
	case "", "hold":
	case "hand_back":
		return routes.HandBack
	default:
		c.problem(path, "%q is neither hold nor hand_back", word)
	}
	return routes.Hold
}

// ruleSets converts the sets of a route. A target without a weight gets the weight 1.
func ruleSets(tables []set) (sets []routes.Set) {
	for _, table := range tables {
		ruleSet := routes.Set{Under: table.Under}
		for _, to := range table.To {
			weight := 1.0
			if to.Weight != nil {
				weight = *to.Weight
			}
			ruleSet.Targets = append(ruleSet.Targets, routes.Target{
				Endpoints: endpointIDs(to.Endpoints),
				Zone:      to.Zone,
				Kind:      to.Kind,
				Labels:    to.Labels,
				Weight:    weight,
			})
		}
		sets = append(sets, ruleSet)
	}
	return sets
}

// expectations converts and checks expectations and adds them to the routing.
func (c *converter) expectations(tables []expect) {
	for i := range tables {
		table := &tables[i]
		expectation := routes.Expectation{
			Name:        table.Name,
			Destination: destinationID(table.Destination),
			Class:       table.Class,
			Tenant:      table.Tenant,
			Key:         table.Key,
			Only:        endpointIDs(table.Only),
			Never:       endpointIDs(table.Never),
			AtLeast:     table.AtLeast,
			Within:      table.Within,
			Losses:      table.Losses,
		}
		for id, share := range table.Shares {
			if expectation.Shares == nil {
				expectation.Shares = map[choice.EndpointID]float64{}
			}
			expectation.Shares[choice.EndpointID(id)] = share
		}
		c.addProblems(routes.CheckExpectation(fmt.Sprintf("expect[%d].", i), &expectation))
		c.routing.Expects = append(c.routing.Expects, expectation)
	}
}

// overrideKinds maps the words of an override's field kind to constants of package routes.
var overrideKinds = map[string]routes.OverrideKind{"out": routes.OutOfService, "pin": routes.Sticky, "weight": routes.FixedWeight}

// overrides converts and checks overrides. It adds them to the routing while no problem with the file has been found.
func (c *converter) overrides(tables []override) {
	for i := range tables {
		table, path := &tables[i], fmt.Sprintf("override[%d].", i)
		kind := c.overrideKind(path, table)
		if table.ID == "" || table.By == "" || table.Why == "" {
			c.problem(path+"id", "id, by and why must be set")
		}
		if !(table.Minutes > 0) {
			c.problem(path+"minutes", "not above 0; every override expires")
		}
		if len(c.problems) > 0 {
			continue
		}
		c.routing.Overrides.Add(routes.Override{
			ID:          routes.OverrideID(table.ID),
			Kind:        kind,
			Destination: choice.DestinationID(table.Destination),
			Class:       table.Class,
			Endpoints:   endpointIDs(table.Endpoints),
			Weight:      table.Weight,
			SetBy:       table.By,
			Reason:      table.Why,
			Lifetime:    time.Duration(table.Minutes * float64(time.Minute)),
		}, time.Time{}, 0)
	}
}

// overrideKind converts an override's kind and checks the fields that depend on it.
func (c *converter) overrideKind(path string, table *override) routes.OverrideKind {
	kind, known := overrideKinds[table.Kind]
	switch {
	case !known:
		c.problem(path+"kind", "%q is not one of out, pin and weight", table.Kind)
	case len(table.Endpoints) == 0 || kind != routes.Sticky && len(table.Endpoints) != 1:
		c.problem(path+"endpoints", "there are %d; the kinds out and weight need exactly one, and pin at least one", len(table.Endpoints))
	case table.Class != "" && kind != routes.Sticky:
		c.problem(path+"workload", "allowed only with kind pin")
	}
	return kind
}

// endpoints converts and checks the endpoints of a saved list and adds them to the routing.
func (c *converter) endpoints(tables []endpoint) {
	seen := map[string]int{}
	for i := range tables {
		table, path := &tables[i], fmt.Sprintf("endpoint[%d].", i)
		if j, taken := seen[table.ID]; taken || table.ID == "" {
			c.problem(path+"id", "%q is empty or already used by endpoint[%d]", table.ID, j)
		}
		seen[table.ID] = i
		if c.problems == nil && c.routing.hasEndpoint(table.ID) {
			c.problem(path+"id", "%q is already defined in an earlier file", table.ID)
		}
		c.routing.List = append(c.routing.List, routes.Endpoint{
			ID:          choice.EndpointID(table.ID),
			Destination: choice.DestinationID(table.Destination),
			Zone:        table.Zone,
			Kind:        table.Kind,
			Labels:      table.Labels,
			Ready:       !table.Draining,
		})
	}
}

// destinationID converts an optional destination. It returns nil for nil.
func destinationID(v *int64) *choice.DestinationID {
	if v == nil {
		return nil
	}
	d := choice.DestinationID(*v)
	return &d
}

// endpointIDs converts a list of endpoint ids.
func endpointIDs(names []string) (all []choice.EndpointID) {
	for _, name := range names {
		all = append(all, choice.EndpointID(name))
	}
	return all
}
