package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// settingsOf is the settings object of a configuration, with changes by path.
func settingsOf(t *testing.T, change func(o object)) json.RawMessage {
	t.Helper()
	o := completeConfig()
	change(o)
	text, err := json.Marshal(o["settings"])
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Each field of the settings object has its row: a change that a running sender accepts, or the field that the rejection names.
var runningRows = []struct {
	field    string // of Boot
	path     string // below settings
	value    any
	rejected string // field named by the rejection; "" if accepted
}{
	{"Accounts", "accounts.0.quotaRps", 7.5, ""},
	{"Accounts", "accounts", []any{object{"quotaRps": 5}, object{"name": "new", "quotaRps": 2}}, ""},
	{"Accounts", "accounts.0.name", "renamed", "accounts[0].name"},
	{"Accounts", "accounts", []any{}, "accounts[0].name"},
	{"Senders", "balancers", 40, ""},
	{"Bounds", "bounds", object{}, ""},
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
	{"Classes", "classes", []any{object{"name": "note", "idempotency": "pure", "deadline": 6e9}}, "classes[1].name"},
	{"Deductions", "deductions", object{"handshake": 0.1}, ""},
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
	{"Rules", "rules", object{"cold": 9e9, "coldFrom": 0.1, "fall": 5e9, "fallMultiple": 1.5, "keyRest": 1e9}, ""},
	{"Rules", "rules.cold", -1, "rules.cold"},
	{"SlotNo", "slotNo", 9, ""},
	{"Stats", "stats", object{"fields": []any{"left"}}, ""},
	{"Weights", "weights", "rough", ""},
	{"Weights", "weights", "heavy", "weights"},
	{"Zone", "zone", 1, ""},
	{"Zones", "zones", []any{"b", "a"}, "zones[0]"},
	{"Zones", "zones", []any{"a"}, "extra.carriage"}, // as at a start; names are compared later
}

func TestCheckSettings(t *testing.T) {
	t.Parallel()
	inForce := settingsOf(t, func(object) {})
	fields := map[string]bool{}
	for _, row := range runningRows {
		fields[row.field] = true
		proposed := settingsOf(t, func(o object) { set(o, "settings."+row.path, row.value) })
		err := CheckSettings(inForce, proposed)
		switch {
		case row.rejected == "" && err != nil:
			t.Errorf("%s %v: %v", row.path, row.value, err)
		case row.rejected != "" && (err == nil || !strings.Contains(err.Error(), "field settings: "+row.rejected+":") || strings.Contains(err.Error(), "\n")):
			t.Errorf("%s %v: the field %s is to be named: %v", row.path, row.value, row.rejected, err)
		}
	}
	for i := range reflect.TypeFor[Boot]().NumField() {
		if name := reflect.TypeFor[Boot]().Field(i).Name; !fields[name] {
			t.Errorf("field %s has no row", name)
		}
	}
}

// What would fail at a start is rejected with the field, and so is what is no object. Unknown fields are ignored.
func TestCheckSettingsOfMalformedObject(t *testing.T) {
	t.Parallel()
	inForce := settingsOf(t, func(object) {})
	for text, field := range map[string]string{"": "field settings: missing", "null": "field settings: missing", "5": "field settings: number does not fit",
		`{"classes":5}`: "field settings.classes: number does not fit", "{": "unexpected end", `{}`: "field settings: classes: missing"} {
		if err := CheckSettings(inForce, json.RawMessage(text)); err == nil || !strings.Contains(strings.ToLower(err.Error()), field) {
			t.Errorf("%q: %v", text, err)
		}
	}
	novel := settingsOf(t, func(o object) { set(o, "settings.novel", object{"deep": 1}) })
	if err := CheckSettings(inForce, novel); err != nil {
		t.Error(err)
	}
	if err := CheckSettings(nil, inForce); err != nil {
		t.Error(err)
	}
	if err := CheckSettings(json.RawMessage("{}"), inForce); err == nil || !strings.Contains(err.Error(), "in force: ") {
		t.Error(err)
	}
}

// A process keeps the values that belong to it; all else is as if its file had contained the shared settings.
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
	shared := settingsOf(t, func(o object) {
		set(o, "settings.slotNo", 9)
		set(o, "settings.zone", 0)
		set(o, "settings.classes.0.worth", 3)
		set(o, "settings.accounts", []any{object{"quotaRps": 5}, object{"name": "new", "quotaRps": 2}})
	})
	with, err := own.WithSettings(shared)
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprintf("%+v", own) != before {
		t.Error("the configuration itself has changed")
	}
	s := with.Settings
	if s.Number != 4 || s.Zone != 1 || s.Classes[0].Value != 3 || len(s.Quotas) != 2 || with.Accounts["new"] != 1 {
		t.Errorf("%+v", with)
	}
	if with.Name != own.Name || with.Listen != own.Listen || with.StateDir != own.StateDir || with.Limits != own.Limits || with.Seed != own.Seed {
		t.Errorf("%+v", with)
	}
	if string(with.SettingsInForce()) != string(shared) || string(own.SettingsInForce()) != string(own.OwnSettings()) ||
		string(with.OwnSettings()) != string(own.OwnSettings()) {
		t.Error("the settings objects returned")
	}
	back, err := with.WithSettings(own.OwnSettings())
	if err != nil || !reflect.DeepEqual(back.Settings, own.Settings) || !reflect.DeepEqual(back.Accounts, own.Accounts) {
		t.Errorf("back to its own: %v %+v", err, back)
	}
	if c, err := own.WithSettings(json.RawMessage(`{"classes":[]}`)); err == nil || c != nil {
		t.Error("what fails at a start is accepted")
	}
}

// Gossip continues with new settings where it is wanted, and stops where they forbid it.
func TestWithSettingsNotes(t *testing.T) {
	t.Parallel()
	peers := func(allowed bool) json.RawMessage {
		return settingsOf(t, func(o object) { set(o, "settings.bounds.peers", allowed) })
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
