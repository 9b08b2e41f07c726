package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// settingsOf returns the settings object of completeConfig after a change.
func settingsOf(t *testing.T, change func(o jsonObject)) json.RawMessage {
	t.Helper()
	o := completeConfig()
	change(o)
	text, err := json.Marshal(o["settings"])
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// runningRows has at least one row for each field of the settings object: a change that a running sender accepts, or one
// that it rejects.
var runningRows = []struct {
	field    string // of Boot
	path     string // below settings
	value    any
	rejected string // the path that the error names; "" if the change is accepted
}{
	{"Accounts", "accounts.0.quotaRps", 7.5, ""},
	{"Accounts", "accounts", []any{jsonObject{"quotaRps": 5}, jsonObject{"name": "new", "quotaRps": 2}}, ""},
	{"Accounts", "accounts.0.name", "renamed", "accounts[0].name"},
	{"Accounts", "accounts", []any{}, "accounts[0].name"},
	{"Senders", "balancers", 40, ""},
	{"Bounds", "bounds", jsonObject{}, ""},
	{"Bounds", "bounds.maxOpen", 5, ""},
	{"Bounds", "bounds.maxOpen", -5, "bounds.maxOpen"},
	{"Classes", "classes.0.name", "renamed", "classes[0].name"},
	{"Classes", "classes.0.aim", 5e8, ""},
	{"Classes", "classes.0.deadline", 9e9, ""},
	{"Classes", "classes.0.deadline", 0, "classes[0].deadline"},
	{"Classes", "classes.0.group", "zone", ""},
	{"Classes", "classes.0.idempotency", "token", "classes[0].idempotency"},
	{"Classes", "classes.2.byArrival", true, "classes[2].byArrival"},
	{"Classes", "classes.0.lateWorth", 0.9, ""},
	{"Classes", "classes.0.repeatWindow", 3e9, ""},
	{"Classes", "classes.0.worth", 12, ""},
	{"Classes", "classes", []any{jsonObject{"name": "note", "idempotency": "pure", "deadline": 6e9}}, "classes[1].name"},
	{"Deductions", "deductions", jsonObject{"handshake": 0.1}, ""},
	{"Discovery", "discovery", "127.0.0.1:77", ""},
	{"Extra", "extra.bundleMax", []any{4}, ""},
	{"Extra", "extra.callsOut", 40, ""},
	{"Extra", "extra.callsOut", 0, "extra.callsOut"},
	{"Extra", "extra.carriage", []any{0.5, 0}, ""},
	{"Extra", "extra.carriage", []any{0.5}, "extra.carriage"},
	{"Extra", "extra.fades", "halving", ""},
	{"Extra", "extra.separateRoutes", []any{true}, "extra.separateRoutes[0]"},
	{"Extra", "extra.separateRoutes", []any{false, true}, ""},
	{"Extra", "extra.turnedAwayPrice", 0.2, ""},
	{"MachineTypes", "machineTypes", []any{"m", "n"}, ""},
	{"MachineTypes", "machineTypes", []any{"n", "m"}, "machineTypes[0]"},
	{"MachineTypes", "machineTypes", []any{}, "machineTypes[0]"},
	{"OverQuotaPriorityWeight", "overShareWorth", 0.9, ""},
	{"TickInterval", "quantum", 1e7, ""},
	{"Rules", "rules", jsonObject{"cold": 9e9, "coldFrom": 0.1, "fall": 5e9, "fallMultiple": 1.5, "keyRest": 1e9}, ""},
	{"Rules", "rules.cold", -1, "rules.cold"},
	{"Rules", "rules.drainGrace", 2e8, ""},
	{"Rules", "rules.drainGrace", -1, "rules.drainGrace"},
	{"SlotNo", "slotNo", 9, ""},
	{"Stats", "stats", jsonObject{"fields": []any{"left"}}, ""},
	{"Weights", "weights", "rough", ""},
	{"Weights", "weights", "heavy", "weights"},
	{"Zone", "zone", 1, ""},
	{"Zones", "zones", []any{"b", "a"}, "zones[0]"},
	{"Zones", "zones", []any{"a"}, "extra.carriage"}, // the checks of a start come before the comparison of names
}

// TestCheckSettings checks each row of runningRows, and that each field of Boot has a row.
func TestCheckSettings(t *testing.T) {
	t.Parallel()
	inForce := settingsOf(t, func(jsonObject) {})
	fields := map[string]bool{}
	for _, row := range runningRows {
		fields[row.field] = true
		proposed := settingsOf(t, func(o jsonObject) { set(o, "settings."+row.path, row.value) })
		err := CheckSettings(inForce, proposed)
		switch {
		case row.rejected == "" && err != nil:
			t.Errorf("%s %v: %v", row.path, row.value, err)
		case row.rejected != "" && (err == nil || !strings.Contains(err.Error(), "field settings: "+row.rejected+":") || strings.Contains(err.Error(), "\n")):
			t.Errorf("%s %v: the error does not name the field %s: %v", row.path, row.value, row.rejected, err)
		}
	}
	for i := range reflect.TypeFor[Boot]().NumField() {
		if name := reflect.TypeFor[Boot]().Field(i).Name; !fields[name] {
			t.Errorf("field %s has no row", name)
		}
	}
}

// TestCheckSettingsOfMalformedObject checks that settings that would fail at a start, and JSON that is not an object,
// are rejected with the field named. Unknown fields are ignored.
func TestCheckSettingsOfMalformedObject(t *testing.T) {
	t.Parallel()
	inForce := settingsOf(t, func(jsonObject) {})
	for text, field := range map[string]string{"": "field settings: missing", "null": "field settings: missing", "5": "field settings: json number does not fit",
		`{"classes":5}`: "field settings.classes: json number does not fit", "{": "unexpected end", `{}`: "field settings: classes: missing"} {
		if err := CheckSettings(inForce, json.RawMessage(text)); err == nil || !strings.Contains(strings.ToLower(err.Error()), field) {
			t.Errorf("%q: %v", text, err)
		}
	}
	novel := settingsOf(t, func(o jsonObject) { set(o, "settings.novel", jsonObject{"deep": 1}) })
	if err := CheckSettings(inForce, novel); err != nil {
		t.Error(err)
	}
	if err := CheckSettings(nil, inForce); err != nil {
		t.Error(err)
	}
	if err := CheckSettings(json.RawMessage("{}"), inForce); err == nil || !strings.Contains(err.Error(), "settings in force: ") {
		t.Error(err)
	}
}

// TestWithSettings checks that WithSettings keeps the values that belong to one process. Everything else is as if the
// file had contained the shared settings.
func TestWithSettings(t *testing.T) {
	t.Parallel()
	o := completeConfig()
	set(o, "settings.slotNo", 4)
	set(o, "settings.zone", 1)
	own, err := read(t, o)
	if err != nil {
		t.Fatal(err)
	}
	before := fmt.Sprintf("%+v", own)
	shared := settingsOf(t, func(o jsonObject) {
		set(o, "settings.slotNo", 9)
		set(o, "settings.zone", 0)
		set(o, "settings.classes.0.worth", 3)
		set(o, "settings.accounts", []any{jsonObject{"quotaRps": 5}, jsonObject{"name": "new", "quotaRps": 2}})
	})
	with, err := own.WithSettings(shared)
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprintf("%+v", own) != before {
		t.Error("WithSettings changed its receiver")
	}
	s := with.Settings
	if s.Number != 4 || s.Zone != 1 || s.Classes[0].Value != 3 || len(s.Quotas) != 2 || with.AccountNumbers["new"] != 1 {
		t.Errorf("%+v", with)
	}
	if with.Name != own.Name || with.Listen != own.Listen || with.StateDir != own.StateDir || with.Limits != own.Limits || with.Seed != own.Seed {
		t.Errorf("%+v", with)
	}
	if string(with.SettingsInForce()) != string(shared) || string(own.SettingsInForce()) != string(own.OwnSettings()) ||
		string(with.OwnSettings()) != string(own.OwnSettings()) {
		t.Error("OwnSettings or SettingsInForce returned a wrong settings object")
	}
	back, err := with.WithSettings(own.OwnSettings())
	if err != nil || !reflect.DeepEqual(back.Settings, own.Settings) || !reflect.DeepEqual(back.AccountNumbers, own.AccountNumbers) {
		t.Errorf("WithSettings with the file's own settings: %v %+v", err, back)
	}
	if c, err := own.WithSettings(json.RawMessage(`{"classes":[]}`)); err == nil || c != nil {
		t.Error("settings without classes, which fail at a start, are accepted")
	}
}

// TestWithSettingsNotes checks that gossip, once enabled, continues with new settings unless they forbid it.
func TestWithSettingsNotes(t *testing.T) {
	t.Parallel()
	peers := func(allowed bool) json.RawMessage {
		return settingsOf(t, func(o jsonObject) { set(o, "settings.bounds.peers", allowed) })
	}
	o := completeConfig()
	set(o, "peer_listen", "127.0.0.1:3")
	set(o, "peers", []any{"127.0.0.1:3"})
	set(o, "settings.bounds.peers", true)
	wanted, err := read(t, o)
	if err != nil {
		t.Fatal(err)
	}
	for _, on := range []bool{false, true} {
		if on {
			if err := wanted.EnableGossip(); err != nil {
				t.Fatal(err)
			}
		}
		for _, allowed := range []bool{true, false, true} {
			c, err := wanted.WithSettings(peers(allowed))
			if err != nil || c.Settings.Notes != (on && allowed) {
				t.Errorf("wanted %v, allowed %v: %v %v", on, allowed, err, c.Settings.Notes)
			}
		}
	}
}
