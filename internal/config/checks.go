package config

// This file checks the numbers and names of the settings object.

import (
	"cmp"
	"fmt"
	"slices"
)

// maxSenders bounds products with the number of senders.
const maxSenders = 1 << 20

// namedNumber is a number of the settings object with its path.
type namedNumber struct {
	path  string
	value float64
}

// numbers are those of the settings object that must not be negative.
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

// checkNumbers rejects negative numbers: a message with a negative priority weight would never be sent, and the others
// mean nothing.
func (b *Boot) checkNumbers() error {
	for _, n := range b.numbers() {
		if n.value < 0 {
			return settingError(n.path, "%v is below 0", n.value)
		}
	}
	if b.Senders > maxSenders {
		return settingError("balancers", "%d is above %d", b.Senders, maxSenders)
	}
	return nil
}

// nameList is a list of the settings object whose names get their numbers by position.
type nameList struct {
	pathFormat string // of an entry, with %d for its position
	names      []string
}

func (l *nameList) path(i int) string { return fmt.Sprintf(l.pathFormat, i) }

// checkNames rejects a class without a name and a name that is given twice. A name may contain any character.
func (b *Boot) checkNames() error {
	classes := nameList{"classes[%d].name", b.classNames()}
	for i, name := range classes.names {
		if name == "" {
			return settingError(classes.path(i), "missing")
		}
	}
	accounts := nameList{"accounts[%d].name", b.accountNames()}
	for i, name := range accounts.names {
		accounts.names[i] = cmp.Or(name, fmt.Sprint("without a name: ", i)) // any number of accounts may have none
	}
	for _, list := range []nameList{accounts, classes, {"zones[%d]", b.Zones}, {"machineTypes[%d]", b.MachineTypes}} {
		for i, name := range list.names {
			if first := slices.Index(list.names, name); first < i {
				return settingError(list.path(i), "%q stands for %s already", name, list.path(first))
			}
		}
	}
	return nil
}

// classNames are the classes' names by class number, in a list of their own.
func (b *Boot) classNames() (names []string) {
	for _, c := range b.Classes {
		names = append(names, c.Name)
	}
	return names
}

// accountNames are the accounts' names by account number, in a list of their own.
func (b *Boot) accountNames() (names []string) {
	for _, a := range b.Accounts {
		names = append(names, a.Name)
	}
	return names
}
