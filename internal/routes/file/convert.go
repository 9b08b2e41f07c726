package file

// This file converts the tables of one file into those of package routes and collects what is wrong with them.

import (
	"fmt"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/routes"
	"flaxcove/internal/tomlfile"
)

// converter converts the tables of one file.
type converter struct {
	routing  *Routing
	problems []tomlfile.Problem
}

func (c *converter) problem(path, format string, args ...any) {
	c.problems = append(c.problems, tomlfile.Problem{Path: path, What: fmt.Sprintf(format, args...)})
}

func (c *converter) addProblems(problems []routes.Problem) {
	for _, p := range problems {
		c.problems = append(c.problems, tomlfile.Problem(p))
	}
}

// rules converts routes. They are added to the routing when the whole file has been converted.
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
			c.problem(fmt.Sprintf("route[%d].name", i), "%q stands in a file before this one", rules[i].Name)
		}
	}
	return rules
}

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

// overrideKinds are the words of an override's kind.
var overrideKinds = map[string]routes.OverrideKind{"out": routes.OutOfService, "pin": routes.Sticky, "weight": routes.FixedWeight}

// overrides converts overrides and adds them, as long as nothing is wrong with the file.
func (c *converter) overrides(tables []override) {
	for i := range tables {
		table, path := &tables[i], fmt.Sprintf("override[%d].", i)
		kind := c.overrideKind(path, table)
		if table.ID == "" || table.By == "" || table.Why == "" {
			c.problem(path+"id", "id, by and why must be given")
		}
		if !(table.Minutes > 0) {
			c.problem(path+"minutes", "missing; an override ends")
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

// overrideKind reads an override's kind and checks the fields that depend on it.
func (c *converter) overrideKind(path string, table *override) routes.OverrideKind {
	kind, known := overrideKinds[table.Kind]
	switch {
	case !known:
		c.problem(path+"kind", "%q is none of out, pin, weight", table.Kind)
	case len(table.Endpoints) == 0 || kind != routes.Sticky && len(table.Endpoints) != 1:
		c.problem(path+"endpoints", "%d named; an out or a weight takes one, a pin one or more", len(table.Endpoints))
	case table.Class != "" && kind != routes.Sticky:
		c.problem(path+"workload", "only a pin may be for one workload")
	}
	return kind
}

func (c *converter) endpoints(tables []endpoint) {
	seen := map[string]int{}
	for i := range tables {
		table, path := &tables[i], fmt.Sprintf("endpoint[%d].", i)
		if j, taken := seen[table.ID]; taken || table.ID == "" {
			c.problem(path+"id", "%q is missing or taken by endpoint[%d]", table.ID, j)
		}
		seen[table.ID] = i
		if c.problems == nil && c.routing.hasEndpoint(table.ID) {
			c.problem(path+"id", "%q stands in a file before this one", table.ID)
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

func destinationID(v *int64) *choice.DestinationID {
	if v == nil {
		return nil
	}
	d := choice.DestinationID(*v)
	return &d
}

func endpointIDs(names []string) (all []choice.EndpointID) {
	for _, name := range names {
		all = append(all, choice.EndpointID(name))
	}
	return all
}
