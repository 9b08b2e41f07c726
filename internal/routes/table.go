// Package routes decides which endpoints a message may go to, and with which weights. It applies rules, in the order of
// their file, and temporary overrides set by operators. Package choice then selects one of the allowed endpoints and
// decides about retries and rejections.
//
// Package routes compiles rules into a table, defines the precedence of overrides, and reports which rule and override
// decided a route. It uses no clock, file or socket, and its results do not depend on the iteration order of maps. It
// never sends a message to another endpoint because the allowed ones are unavailable.
package routes

import (
	"slices"

	"flaxcove/choice"
)

// Endpoint holds the properties of a listed endpoint that routing uses.
type Endpoint struct {
	ID          choice.EndpointID
	Destination choice.DestinationID
	Zone, Kind  string
	Labels      map[string]string
	Ready       bool // neither draining nor gone
}

// Message holds the properties of a message that routing uses.
type Message struct {
	Destination choice.DestinationID
	Class       string
	Tenant      string
	Key         string
}

// Match is the condition of a rule. A message matches if it matches every field; an empty field matches every message.
type Match struct {
	Destination *choice.DestinationID
	Class       string
	Tenant      string
	KeyPrefix   string
}

// Target selects endpoints of the message's destination that match every field. An empty field matches every endpoint.
type Target struct {
	Endpoints []choice.EndpointID
	Zone      string
	Kind      string
	Labels    map[string]string // the endpoint must have all of them
	Weight    float64           // of each selected endpoint; the first target that selects an endpoint sets its weight
}

// Set is a set of endpoints. It is open while the fraction of ready endpoints in the open sets before it is less than
// Under, or while those sets select no endpoints. The first set of a rule is always open.
type Set struct {
	Under   float64  // above 0 and at most 1; 0 in the first set
	Targets []Target // the set holds every endpoint that one of them selects
}

// NoEndpointPolicy says what happens to a message while no endpoint is allowed for it.
type NoEndpointPolicy int

const (
	// Hold stores the message until an endpoint is allowed or its deadline is near.
	Hold NoEndpointPolicy = iota
	// HandBack answers the client immediately with a time after which to send the message again.
	HandBack
)

// Rule determines the endpoints for the messages that match it. Of several matching rules the first one applies.
type Rule struct {
	Name       string
	Match      Match
	Sets       []Set // in the order in which they open; at least one
	NoEndpoint NoEndpointPolicy
}

// fieldValues holds the values of the fields that a rule matches exactly. Fields that it does not match are empty.
type fieldValues struct {
	destination   choice.DestinationID
	class, tenant string
}

// Bits of the mask that says which fields a rule matches exactly.
const (
	byDestination = 1 << iota
	byClass
	byTenant
	maskCount // the number of masks
)

// mask returns the mask of the fields that m matches exactly.
func (m *Match) mask() (mask int) {
	if m.Destination != nil {
		mask |= byDestination
	}
	if m.Class != "" {
		mask |= byClass
	}
	if m.Tenant != "" {
		mask |= byTenant
	}
	return mask
}

// prefixIndex holds the rules that match the same values of the same fields, by their key prefix.
type prefixIndex struct {
	lengths []int          // the different lengths of key prefixes, in ascending order
	first   map[string]int // number of the first rule with a key prefix
}

// add adds the rule with the given number. Rules must be added in order.
func (p *prefixIndex) add(prefix string, rule int) {
	if _, taken := p.first[prefix]; !taken {
		p.first[prefix] = rule
	}
	if n := len(prefix); !slices.Contains(p.lengths, n) {
		p.lengths = append(p.lengths, n)
		slices.Sort(p.lengths)
	}
}

// find returns the number of the first rule whose key prefix is a prefix of key, or none if there is no such rule. none
// must be above all rule numbers.
func (p *prefixIndex) find(key string, none int) int {
	first := none
	for _, length := range p.lengths {
		if length > len(key) {
			break
		}
		if rule, found := p.first[key[:length]]; found {
			first = min(first, rule)
		}
	}
	return first
}

// Table is a compiled list of rules that finds the first match for a message. The cost depends on the number of
// different lengths of key prefixes and not on the number of rules: a search makes at most eight look-ups for each
// length.
type Table struct {
	rules   []Rule
	indexes [maskCount]map[fieldValues]*prefixIndex // by the mask of the rules and the values that they match
}

// Compile returns a table of rules for which Check reports no problems. The table refers to the slice, which must not
// change afterwards.
func Compile(rules []Rule) *Table {
	t := &Table{rules: rules}
	for i := range rules {
		m := &rules[i].Match
		values := fieldValues{class: m.Class, tenant: m.Tenant}
		if m.Destination != nil {
			values.destination = *m.Destination
		}
		mask := m.mask()
		if t.indexes[mask] == nil {
			t.indexes[mask] = map[fieldValues]*prefixIndex{}
		}
		index := t.indexes[mask][values]
		if index == nil {
			index = &prefixIndex{first: map[string]int{}}
			t.indexes[mask][values] = index
		}
		index.add(m.KeyPrefix, i)
	}
	return t
}

// Rule returns the first rule that matches a message, or nil if none does.
func (t *Table) Rule(m *Message) *Rule {
	none := len(t.rules)
	first := none
	for mask, byValues := range t.indexes {
		if byValues == nil {
			continue
		}
		if index := byValues[m.values(mask)]; index != nil {
			first = min(first, index.find(m.Key, none))
		}
	}
	if first == none {
		return nil
	}
	return &t.rules[first]
}

// values returns the message's values of the fields in the mask.
func (m *Message) values(mask int) (values fieldValues) {
	if mask&byDestination != 0 {
		values.destination = m.Destination
	}
	if mask&byClass != 0 {
		values.class = m.Class
	}
	if mask&byTenant != 0 {
		values.tenant = m.Tenant
	}
	return values
}

// matches reports whether the target selects an endpoint. It does not compare destinations.
func (t *Target) matches(e *Endpoint) bool {
	switch {
	case len(t.Endpoints) > 0 && !slices.Contains(t.Endpoints, e.ID),
		t.Zone != "" && t.Zone != e.Zone,
		t.Kind != "" && t.Kind != e.Kind:
		return false
	}
	for name, value := range t.Labels {
		if e.Labels[name] != value {
			return false
		}
	}
	return true
}
