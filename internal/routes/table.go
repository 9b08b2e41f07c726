// Package routes decides which endpoints a message may use at all, and with what weight: by rules in the order of their
// file, and by overrides that operators set for a time. Package choice decides which of the allowed ones is used, whether
// there is a retry, and what is rejected.
//
// It owns the compiled table of rules, the order in which overrides win, and the explanation why a message may go where. It
// does not look at a clock, a file or a socket, does not depend on the order of a map, and does not send a message
// elsewhere because the allowed endpoints are away.
package routes

import (
	"slices"

	"flaxcove/choice"
)

// Endpoint is what routing sees of one endpoint of the list.
type Endpoint struct {
	ID          choice.EndpointID
	Destination choice.DestinationID
	Zone, Kind  string
	Labels      map[string]string
	Ready       bool // neither draining nor gone
}

// Message is what routing sees of one message.
type Message struct {
	Destination choice.DestinationID
	Class       string
	Tenant      string
	Key         string
}

// Match is what a message must be for a rule; what is left empty matches all.
type Match struct {
	Destination *choice.DestinationID
	Class       string
	Tenant      string
	KeyPrefix   string
}

// Target names endpoints of the message's destination. What is left empty does not narrow it.
type Target struct {
	Endpoints []choice.EndpointID
	Zone      string
	Kind      string
	Labels    map[string]string
	Weight    float64 // of each endpoint it names; the first target that names one counts
}

// Set is a set of endpoints that opens while the fraction of ready endpoints in the sets before it is less than Under. The
// first of a rule is always open.
type Set struct {
	Under   float64
	Targets []Target
}

// NoEndpointPolicy is what becomes of a message whose rule leads to no endpoint that is ready.
type NoEndpointPolicy int

const (
	// Hold stores the message until an endpoint is ready or its deadline nears.
	Hold NoEndpointPolicy = iota
	// HandBack answers the client at once with a time to return.
	HandBack
)

// Rule leads what it matches to its sets.
type Rule struct {
	Name       string
	Match      Match
	Sets       []Set
	NoEndpoint NoEndpointPolicy
}

// fieldValues are the values of the fields that a rule matches exactly; the others are empty.
type fieldValues struct {
	destination   choice.DestinationID
	class, tenant string
}

// Bits of a mask that says which fields a rule matches exactly.
const (
	byDestination = 1 << iota
	byClass
	byTenant
	maskCount
)

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

// prefixIndex holds the rules that match the same fields by the same values.
type prefixIndex struct {
	lengths []int          // of key prefixes in use, in ascending order
	first   map[string]int // by key prefix, the number of the first rule
}

func (p *prefixIndex) add(prefix string, rule int) {
	if _, taken := p.first[prefix]; !taken {
		p.first[prefix] = rule
	}
	if n := len(prefix); !slices.Contains(p.lengths, n) {
		p.lengths = append(p.lengths, n)
		slices.Sort(p.lengths)
	}
}

// find returns the number of the first rule whose prefix the key has, none if there is no such rule.
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

// Table finds the first rule that matches, at a cost that does not grow with the rules that cannot: at most eight
// look-ups for each length of key prefix in use beside the matched fields.
type Table struct {
	rules   []Rule
	indexes [maskCount]map[fieldValues]*prefixIndex
}

// Compile makes a table of rules, which must have been checked. A message that matches none may use all endpoints of its
// destination alike.
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

// Rule is the first that matches, nil for none.
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

// values are the message's values of the fields in the mask.
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

// matches reports whether a target names an endpoint.
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
