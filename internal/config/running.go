package config

// This file puts a settings object in force, either the configuration file's own or one that all senders share, and
// checks whether another one may replace it while senders run. A replacement that would fail at the start is rejected,
// and so is one that changes the number of a name, because messages, endpoints and quotas are stored by number.

import (
	"encoding/json"
	"fmt"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/fielderror"
)

// settingsField is the field of the configuration file that holds the settings object.
const settingsField = "settings"

// readSettings decodes a settings object and makes the same checks of it as Load.
func readSettings(raw json.RawMessage) (*Boot, error) {
	var b *Boot
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &b); err != nil {
			return nil, jsonError(err, settingsField+".")
		}
	}
	if b == nil {
		return nil, fielderror.New(settingsField, "missing")
	}
	if _, err := b.Settings(true); err != nil {
		return nil, &fielderror.Error{Field: settingsField, Err: err}
	}
	if err := b.checkNames(); err != nil {
		return nil, &fielderror.Error{Field: settingsField, Err: err}
	}
	if b.Extra.InFlightLimit == 0 {
		return nil, &fielderror.Error{Field: settingsField, Err: settingError("extra.callsOut", "missing")}
	}
	return b, nil
}

// applySettings puts the settings object b in force; raw is the JSON text that b was decoded from.
func (c *Config) applySettings(b *Boot, raw json.RawMessage) (err error) {
	if c.Settings, err = b.Settings(true); err != nil {
		return &fielderror.Error{Field: settingsField, Err: err}
	}
	// Gossip is off until EnableGossip requests it, even if the settings allow it.
	c.gossipAllowed = c.Settings.Notes
	c.Settings.Notes = c.gossipAllowed && c.gossipRequested
	c.ClassNumbers, c.AccountNumbers = map[string]choice.ClassNo{}, map[string]choice.AccountNo{}
	for i, class := range b.Classes {
		c.ClassNumbers[class.Name] = choice.ClassNo(i)
	}
	for i, a := range b.Accounts {
		if a.Name != "" {
			c.AccountNumbers[a.Name] = choice.AccountNo(i)
		}
	}
	c.ZoneNumbers, c.KindNumbers = map[string]choice.ZoneNo{}, map[string]choice.KindNo{}
	for i, zone := range b.Zones {
		c.ZoneNumbers[zone] = choice.ZoneNo(i)
	}
	for i, kind := range b.MachineTypes {
		c.KindNumbers[kind] = choice.KindNo(i)
	}
	c.LoadReportFields, c.settingsInForce = b.Stats.Fields, raw
	c.DrainGrace = time.Duration(b.Rules.DrainGrace)
	return nil
}

// OwnSettings returns the settings object of the file, byte for byte.
func (c *Config) OwnSettings() json.RawMessage { return c.ownSettings }

// SettingsInForce returns the settings object that c.Settings was converted from: the file's own, or the one given to
// WithSettings.
func (c *Config) SettingsInForce() json.RawMessage { return c.settingsInForce }

// WithSettings returns a copy of c with raw, a settings object that all senders share, in force in place of the file's
// own. The copy keeps slotNo and zone of c, which belong to one process, and ignores the discovery field of raw.
func (c *Config) WithSettings(raw json.RawMessage) (*Config, error) {
	b, err := readSettings(raw)
	if err != nil {
		return nil, err
	}
	b.SlotNo, b.Zone = int(c.Settings.Number), int(c.Settings.Zone)
	with := *c
	if err := with.applySettings(b, raw); err != nil {
		return nil, err
	}
	return &with, nil
}

// CheckSettings checks whether the proposed settings object can replace the one in force while senders run. The error
// says why it cannot. If inForce is empty, CheckSettings makes only the checks of a start.
func CheckSettings(inForce, proposed json.RawMessage) error {
	next, err := readSettings(proposed)
	if err != nil || len(inForce) == 0 {
		return err
	}
	now, err := readSettings(inForce)
	if err != nil {
		return fmt.Errorf("settings in force: %w", err)
	}
	if err := now.checkReplacement(next); err != nil {
		return &fielderror.Error{Field: settingsField, Err: err}
	}
	return nil
}

// checkReplacement checks whether a running sender can use next in place of b. The error says why it cannot.
func (b *Boot) checkReplacement(next *Boot) error {
	for _, list := range []struct {
		now  nameList
		next []string
	}{
		{nameList{"classes[%d].name", b.classNames()}, next.classNames()},
		{nameList{"accounts[%d].name", b.accountNames()}, next.accountNames()},
		{nameList{"zones[%d]", b.Zones}, next.Zones},
		{nameList{"machineTypes[%d]", b.MachineTypes}, next.MachineTypes},
	} {
		if err := list.now.checkNumbersUnchanged(list.next); err != nil {
			return err
		}
	}
	if err := b.checkClassReplacement(next); err != nil {
		return err
	}
	return b.checkKindReplacement(next)
}

// checkNumbersUnchanged checks that every name has the same number in the list next. Names may be added only at the end.
func (l *nameList) checkNumbersUnchanged(next []string) error {
	for i, name := range l.names {
		if i >= len(next) {
			return settingError(l.path(i), "%q is missing: names cannot be removed while senders run", name)
		}
		if next[i] != name {
			return settingError(l.path(i), "%q stands in the place of %q: new names must be added at the end", next[i], name)
		}
	}
	return nil
}

// checkClassReplacement rejects a change of a class's idempotency or byArrival field. Whether a message may run twice
// and whether its order is kept are recorded with the message when it is accepted.
func (b *Boot) checkClassReplacement(next *Boot) error {
	for i := range b.Classes {
		oldClass, newClass := &b.Classes[i], &next.Classes[i]
		if oldClass.Idempotency != newClass.Idempotency {
			return settingError(fmt.Sprintf("classes[%d].idempotency", i),
				"%q cannot become %q while senders run; add a class", oldClass.Idempotency, newClass.Idempotency)
		}
		if oldClass.ByArrival != newClass.ByArrival {
			return settingError(fmt.Sprintf("classes[%d].byArrival", i), "the value cannot change while senders run; add a class")
		}
	}
	return nil
}

// checkKindReplacement rejects a removed kind and a change of a kind's separateRoutes. An endpoint gets its route, with
// everything that has been learned about it, when it is first listed.
func (b *Boot) checkKindReplacement(next *Boot) error {
	oldKinds, newKinds := b.kinds(), next.kinds()
	if len(newKinds) < len(oldKinds) {
		return settingError("machineTypes",
			"%d kinds, fewer than the %d in force (the longest of machineTypes, extra.bundleMax and extra.separateRoutes counts)", len(newKinds), len(oldKinds))
	}
	for i := range oldKinds {
		if oldKinds[i].SeparateRoutes != newKinds[i].SeparateRoutes {
			return settingError(fmt.Sprintf("extra.separateRoutes[%d]", i), "the value cannot change while senders run; add a machine type")
		}
	}
	return nil
}
