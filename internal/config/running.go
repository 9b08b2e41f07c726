package config

// This file decides which settings object is in force: the configuration file's own or a shared one, and what a running
// sender accepts in its place. An object that would fail at a start is rejected, and so is one that gives a name another
// number, because messages, endpoints and quotas are stored by number.

import (
	"encoding/json"
	"fmt"

	"flaxcove/choice"
	"flaxcove/internal/fielderror"
)

// settingsField is the field of the configuration file that holds the settings object.
const settingsField = "settings"

// readSettings reads a settings object and makes all checks of it that Load makes.
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

// useSettings puts a settings object in force, as read and as written.
func (c *Config) useSettings(b *Boot, raw json.RawMessage) (err error) {
	if c.Settings, err = b.Settings(true); err != nil {
		return &fielderror.Error{Field: settingsField, Err: err}
	}
	// Gossip that the settings allow is off until TurnOnNotes asks for it.
	c.gossipAllowed = c.Settings.Notes
	c.Settings.Notes = c.gossipAllowed && c.gossipWanted
	c.ClassNumbers, c.Accounts = map[string]choice.ClassNo{}, map[string]choice.AccountNo{}
	for i, class := range b.Classes {
		c.ClassNumbers[class.Name] = choice.ClassNo(i)
	}
	for i, a := range b.Accounts {
		if a.Name != "" {
			c.Accounts[a.Name] = choice.AccountNo(i)
		}
	}
	c.Zones, c.Kinds = map[string]choice.ZoneNo{}, map[string]choice.KindNo{}
	for i, zone := range b.Zones {
		c.Zones[zone] = choice.ZoneNo(i)
	}
	for i, kind := range b.MachineTypes {
		c.Kinds[kind] = choice.KindNo(i)
	}
	c.LoadReportFields, c.settingsInForce = b.Stats.Fields, raw
	return nil
}

// OwnSettings is the settings object of the file, as it stands there.
func (c *Config) OwnSettings() json.RawMessage { return c.ownSettings }

// SettingsInForce is the settings object that Settings are made from: the file's own, or the one given to WithSettings.
func (c *Config) SettingsInForce() json.RawMessage { return c.settingsInForce }

// WithSettings is the same configuration with a settings object that all senders share in place of the file's own. The
// values that belong to one process, slotNo and zone, stay as they are; the object's discovery is not read.
func (c *Config) WithSettings(raw json.RawMessage) (*Config, error) {
	b, err := readSettings(raw)
	if err != nil {
		return nil, err
	}
	b.SlotNo, b.Zone = int(c.Settings.Number), int(c.Settings.Zone)
	with := *c
	if err := with.useSettings(b, raw); err != nil {
		return nil, err
	}
	return &with, nil
}

// CheckSettings returns why the proposed settings cannot replace those in force while senders run, nil where they can. An
// empty inForce stands for none yet.
func CheckSettings(inForce, proposed json.RawMessage) error {
	next, err := readSettings(proposed)
	if err != nil || len(inForce) == 0 {
		return err
	}
	now, err := readSettings(inForce)
	if err != nil {
		return fmt.Errorf("in force: %w", err)
	}
	if err := now.checkReplacement(next); err != nil {
		return &fielderror.Error{Field: settingsField, Err: err}
	}
	return nil
}

// checkReplacement returns why a running sender cannot use next in place of b.
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

// checkNumbersUnchanged rejects a new list in which a name is missing or has moved; further names may follow at the end.
func (l *nameList) checkNumbersUnchanged(next []string) error {
	for i, name := range l.names {
		if i >= len(next) {
			return settingError(l.path(i), "%q is gone; a name can't be taken out while senders run", name)
		}
		if next[i] != name {
			return settingError(l.path(i), "%q stands where %q is in force; new names go to the end", next[i], name)
		}
	}
	return nil
}

// checkClassReplacement rejects changes of a class that messages already accepted depend on: whether a message may run
// twice and whether its order is kept is recorded with it when it is accepted.
func (b *Boot) checkClassReplacement(next *Boot) error {
	for i := range b.Classes {
		now, new := &b.Classes[i], &next.Classes[i]
		if now.Idempotency != new.Idempotency {
			return settingError(fmt.Sprintf("classes[%d].idempotency", i),
				"%q cannot become %q while senders run; add a class", now.Idempotency, new.Idempotency)
		}
		if now.ByArrival != new.ByArrival {
			return settingError(fmt.Sprintf("classes[%d].byArrival", i), "it cannot change while senders run; add a class")
		}
	}
	return nil
}

// checkKindReplacement rejects changes of a kind that known endpoints depend on: each got its route, with all that has been
// learned about it, when it was listed.
func (b *Boot) checkKindReplacement(next *Boot) error {
	now, new := b.kinds(), next.kinds()
	if len(new) < len(now) {
		return settingError("machineTypes",
			"%d kinds, and %d are in force (machineTypes, extra.bundleMax or extra.separateRoutes, the longest)", len(new), len(now))
	}
	for i := range now {
		if now[i].SeparateRoutes != new[i].SeparateRoutes {
			return settingError(fmt.Sprintf("extra.separateRoutes[%d]", i), "it cannot change while senders run; add a machine type")
		}
	}
	return nil
}
