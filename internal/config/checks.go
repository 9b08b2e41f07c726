package config

// This file checks the numbers and names of the settings object.

import (
	"cmp"
	"fmt"
	"slices"
)

// maxSenders bounds the number of senders, so that products with it do not overflow.
const maxSenders = 1 << 20

// namedNumber is a number of the settings object together with its path.
type namedNumber struct {
	path  string // in the settings object, as in bounds.maxOpen
	value float64
}

// numbers returns the numbers of the settings object that must not be negative.
func (b *Boot) numbers() []namedNumber {
	all := []namedNumber{
		{"balancers", float64(b.Senders)},
		{"quantum", float64(b.TickInterval)},
		{"overShareWorth", b.OverQuotaPriorityWeight},
		{"extra.callsOut", float64(b.Extra.InFlightLimit)},
		{"extra.turnedAwayPrice", b.Extra.RejectedPrice},
		{"bounds.maxOpen", float64(b.Bounds.MaxOpen)},
		{"bounds.maxAttempts", float64(b.Bounds.MaxAttempts)},
		{"bounds.maxRetryAfter", float64(b.Bounds.MaxRetryAfter)},
		{"bounds.connIdle", float64(b.Bounds.ConnIdle)},
		{"bounds.dialTimeout", float64(b.Bounds.DialTimeout)},
		{"deductions.handshake", b.Deductions.Handshake},
		{"rules.drainGrace", float64(b.Rules.DrainGrace)},
		{"rules.keyRest", float64(b.Rules.KeyRest)},
		{"rules.cold", float64(b.Rules.SlowStart)},
		{"rules.fall", float64(b.Rules.Fall)},
		{"rules.coldFrom", b.Rules.SlowStartFrom},
		{"rules.fallMultiple", b.Rules.FallMultiple},
	}
	for i, c := range b.Classes {
		all = append(all,
			namedNumber{fmt.Sprintf("classes[%d].worth", i), c.PriorityWeight},
			namedNumber{fmt.Sprintf("classes[%d].aim", i), float64(c.LatencyObjective)},
			namedNumber{fmt.Sprintf("classes[%d].repeatWindow", i), float64(c.RepeatWindow)})
	}
	for i, a := range b.Accounts {
		all = append(all, namedNumber{fmt.Sprintf("accounts[%d].quotaRps", i), a.QuotaRps})
	}
	return all
}

// checkNumbers rejects negative numbers and more than maxSenders senders. A message with a negative priority weight
// would never be sent, and the other numbers have no meaning below 0.
func (b *Boot) checkNumbers() error {
	for _, n := range b.numbers() {
		if n.value < 0 {
			return settingError(n.path, "%v is below 0", n.value)
		}
	}
	if b.Senders > maxSenders {
		return settingError("balancers", "%d is above the maximum of %d", b.Senders, maxSenders)
	}
	return nil
}

// nameList is a list of names in the settings object. The position of a name in the list is its number.
type nameList struct {
	pathFormat string // path of an entry, with %d in place of its position
	names      []string
}

// path returns the path of the name with number i.
func (l *nameList) path(i int) string { return fmt.Sprintf(l.pathFormat, i) }

// checkNames rejects a class without a name and a name that occurs twice in its list. A name may contain any character.
func (b *Boot) checkNames() error {
	classes := nameList{"classes[%d].name", b.classNames()}
	for i, name := range classes.names {
		if name == "" {
			return settingError(classes.path(i), "missing")
		}
	}
	accounts := nameList{"accounts[%d].name", b.accountNames()}
	for i, name := range accounts.names {
		accounts.names[i] = cmp.Or(name, fmt.Sprint("without a name: ", i)) // any number of accounts may be unnamed
	}
	for _, list := range []nameList{accounts, classes, {"zones[%d]", b.Zones}, {"machineTypes[%d]", b.MachineTypes}} {
		for i, name := range list.names {
			if first := slices.Index(list.names, name); first < i {
				return settingError(list.path(i), "%q is already used by %s", name, list.path(first))
			}
		}
	}
	return nil
}

// classNames returns a new list of the class names, indexed by class number.
func (b *Boot) classNames() (names []string) {
	for _, c := range b.Classes {
		names = append(names, c.Name)
	}
	return names
}

// accountNames returns a new list of the account names, indexed by account number.
func (b *Boot) accountNames() (names []string) {
	for _, a := range b.Accounts {
		names = append(names, a.Name)
	}
	return names
}
