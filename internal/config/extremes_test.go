package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"flaxcove/choice"
	"flaxcove/internal/fielderror"
)

// jsonObject is a JSON object in which test cases set or delete fields.
type jsonObject = map[string]any

// completeConfig returns a complete configuration with one class for each word of the idempotency field.
func completeConfig() jsonObject {
	class := func(name, effect string) any {
		return jsonObject{"name": name, "idempotency": effect, "aim": 1e9, "deadline": 6e9, "worth": 1, "lateWorth": 0.1, "repeatWindow": 1e9}
	}
	return jsonObject{"name": "s", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "state": "state", "seed": "8c1f30d27a5be964",
		"limits": jsonObject{"memory_mb": 64, "sockets": 128, "disk_mb": 3},
		"settings": jsonObject{"classes": []any{class("note", "pure"), class("order", "side_effect"), class("offer", "token")},
			"balancers": 3, "quantum": 5e6, "overShareWorth": 0.1, "machineTypes": []any{"m"}, "zones": []any{"a", "b"},
			"accounts": []any{jsonObject{"quotaRps": 5}},
			"bounds":   jsonObject{"maxOpen": 100, "maxAttempts": 9, "connIdle": 1e10, "dialTimeout": 1e9, "maxRetryAfter": 2e9, "retryAfter": true},
			"extra":    jsonObject{"callsOut": 4, "carriage": []any{0.1, 0.2}},
			"rules":    jsonObject{"cold": 1e9, "coldFrom": 0.5, "fall": 1e9, "fallMultiple": 2, "keyRest": 3e8}}}
}

// set stores a value at a path such as settings.classes.0.aim. The value absent deletes the field.
func set(in any, path string, value any) {
	name, rest, deeper := strings.Cut(path, ".")
	switch in := in.(type) {
	case jsonObject:
		if deeper {
			set(in[name], rest, value)
		} else if in[name] = value; value == absent {
			delete(in, name)
		}
	case []any:
		var i int
		fmt.Sscan(name, &i)
		if deeper {
			set(in[i], rest, value)
		} else {
			in[i] = value
		}
	}
}

// absent is the value with which set deletes a field.
const absent = "GONE"

// read writes a configuration to a new file and loads it.
func read(t *testing.T, o jsonObject) (*Config, error) {
	t.Helper()
	text, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	return readText(t, string(text))
}

// readText writes text to a new configuration file and loads it. It checks that an error names the file.
func readText(t *testing.T, text string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Load(func(name string) string { return map[string]string{"EDGE_CONFIG": path}[name] })
	if err != nil && !strings.Contains(err.Error(), path) {
		t.Errorf("the error does not name the file: %v", err)
	}
	return c, err
}

// TestInvalidSettingIsRejected checks that an invalid number, and a name that is empty or occurs twice, is rejected with
// an error on one line that has the file, the field and the reason.
func TestInvalidSettingIsRejected(t *testing.T) {
	t.Parallel()
	class := "settings.classes.0."
	for _, c := range []struct {
		path  string
		value any
		field string
	}{
		{"settings.balancers", -1, "balancers"}, {"settings.balancers", 1 << 40, "balancers"},
		{"settings.quantum", -1, "quantum"}, {"settings.overShareWorth", -0.5, "overShareWorth"},
		{"settings.accounts.0.quotaRps", -1, "accounts[0].quotaRps"},
		{"settings.bounds.maxOpen", -1, "bounds.maxOpen"}, {"settings.bounds.maxAttempts", -1, "bounds.maxAttempts"},
		{"settings.bounds.connIdle", -1, "bounds.connIdle"}, {"settings.bounds.dialTimeout", -1, "bounds.dialTimeout"},
		{"settings.bounds.maxRetryAfter", -1, "bounds.maxRetryAfter"},
		{"settings.extra.callsOut", -1, "extra.callsOut"}, {"settings.extra.callsOut", 0, "extra.callsOut"},
		{"settings.extra.callsOut", absent, "extra.callsOut"},
		{"settings.extra.carriage", []any{0.1}, "extra.carriage"}, {"settings.extra.carriage", []any{0.1, 2}, "extra.carriage[1]"},
		{"settings.rules.cold", -1, "rules.cold"}, {"settings.rules.fall", -1, "rules.fall"}, {"settings.rules.keyRest", -1, "rules.keyRest"},
		{"settings.rules.coldFrom", -0.1, "rules.coldFrom"}, {"settings.rules.fallMultiple", -2, "rules.fallMultiple"},
		{class + "aim", -1, "classes[0].aim"}, {class + "deadline", 0, "classes[0].deadline"}, {class + "deadline", -6, "classes[0].deadline"},
		{class + "deadline", absent, "classes[0].deadline"}, {class + "worth", -1, "classes[0].worth"},
		{class + "repeatWindow", -1, "classes[0].repeatWindow"}, {class + "idempotency", "PURE", "classes[0].idempotency"},
		{class + "idempotency", absent, "classes[0].idempotency"}, {class + "name", "order", "classes[1].name"},
		{class + "name", "", "classes[0].name"}, {class + "name", absent, "classes[0].name"},
		{"settings.classes", []any{}, "classes"}, {"settings.classes", absent, "classes"},
		{"settings.zones", []any{"a", "a"}, "zones[1]"}, {"settings.machineTypes", []any{"m", "n", "m"}, "machineTypes[2]"},
		{"settings.weights", "heavy", "weights"}, {"settings", absent, "settings"},
		{"limits.memory_mb", 0, "limits.memory_mb"}, {"limits.memory_mb", -64, "limits.memory_mb"}, {"limits.memory_mb", 1 << 50, "limits.memory_mb"},
		{"limits.sockets", 0, "limits.sockets"}, {"limits.disk_mb", 0, "limits.disk_mb"}, {"limits.disk_mb", -1, "limits.disk_mb"},
		{"limits.disk_mb", 1e300, "limits.disk_mb"}, {"listen", "nowhere", "listen"}, {"discovery", absent, "discovery"}, {"state", "", "state"},
		// Values that JSON cannot decode into the field's type.
		{class + "deadline", 1e30, "settings.classes.deadline"}, {class + "worth", "much", "settings.classes.worth"},
		{"settings.bounds.maxOpen", 2.5, "settings.bounds.maxOpen"}, {class + "byArrival", "yes", "settings.classes.byArrival"},
	} {
		o := completeConfig()
		set(o, c.path, c.value)
		if _, err := read(t, o); err == nil {
			t.Errorf("%s: %v is accepted", c.path, c.value)
		} else if text := err.Error(); !strings.Contains(strings.ToLower(text), strings.ToLower(c.field)+":") || strings.Contains(text, "\n") {
			t.Errorf("%s: %v: the error is %q", c.path, c.value, text)
		}
	}
	for _, text := range []string{"", "{", "[]", `{"settings":{"classes":[{"worth":NaN}]}}`, `{"settings":{"classes":[{"worth":1e999}]}}`} {
		if _, err := readText(t, text); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// highest is the highest integer that JSON can decode into a field of the settings.
const highest = 1<<63 - 1

// numberPaths are the paths of fields that hold numbers. Each may be absent, 0 or the highest number, with the
// exceptions in accepts.
var numberPaths = []string{"settings.quantum", "settings.bounds.connIdle", "settings.bounds.dialTimeout",
	"settings.bounds.maxRetryAfter", "settings.rules.cold", "settings.rules.fall", "settings.rules.keyRest", "settings.classes.0.aim",
	"settings.classes.0.deadline", "settings.classes.0.repeatWindow", "settings.bounds.maxOpen", "settings.bounds.maxAttempts",
	"settings.balancers", "settings.overShareWorth", "settings.classes.0.worth", "settings.classes.0.lateWorth",
	"settings.accounts.0.quotaRps", "settings.rules.coldFrom", "settings.rules.fallMultiple"}

// objectPaths are the paths of fields that hold objects or lists. Each may be absent.
var objectPaths = []string{"settings.bounds", "settings.rules", "settings.accounts", "settings.zones", "settings.machineTypes",
	"settings.extra.carriage", "limits"}

// accepts reports whether the number field at path may have an extreme value. Two fields have exceptions: a class must
// have a deadline, and the number of senders is bounded.
func accepts(path string, value any) bool {
	switch path {
	case "settings.classes.0.deadline":
		return value == highest
	case "settings.balancers":
		return value != highest
	}
	return true
}

// TestExtremeSettingIsAccepted checks that a field may be absent, zero or the highest number, and that no duration in
// the resulting settings is so long that a sum with it overflows.
func TestExtremeSettingIsAccepted(t *testing.T) {
	t.Parallel()
	for _, path := range numberPaths {
		for _, value := range []any{absent, 0, highest} {
			if accepts(path, value) {
				checkExtreme(t, path, value)
			}
		}
	}
	for _, path := range objectPaths {
		checkExtreme(t, path, absent)
	}
}

// checkExtreme loads a configuration with one changed field and checks the durations and bounds in the settings.
func checkExtreme(t *testing.T, path string, value any) {
	t.Helper()
	o := completeConfig()
	if path == "settings.zones" {
		set(o, "settings.extra.carriage", absent)
	}
	set(o, path, value)
	c, err := read(t, o)
	if err != nil {
		t.Errorf("%s %v: %v", path, value, err)
		return
	}
	s := &c.Settings
	spans := []choice.Time{s.TurnInterval, s.ConnIdle, s.DialTimeout, s.MaxRetryAfter, s.SlowStart, s.OverloadWindow, s.KeyPause}
	for _, class := range s.Classes {
		spans = append(spans, class.LatencyObjective, class.Deadline, class.RepeatWindow)
		if class.LatencyObjective == 0 {
			t.Errorf("%s %v: a latency objective of 0, from which timeouts are computed", path, value)
		}
	}
	for i, span := range spans {
		if ns := Nanoseconds(2 * span); span < 0 || ns < 0 || ns/2 != Nanoseconds(span) || ns > highest-1<<61 {
			t.Errorf("%s %v: duration %d is %d, and a sum with it can overflow", path, value, i, span)
		}
	}
	if s.MaxOpen <= 0 || s.MaxAttempts <= 0 || s.Senders <= 0 {
		t.Errorf("%s %v: %d open, %d attempts, %d senders", path, value, s.MaxOpen, s.MaxAttempts, s.Senders)
	}
}

// unusualNames are valid names with unusual characters or an unusual length.
var unusualNames = []any{"a b", "täglich", "x=y", `q"u\o`, "日本", strings.Repeat("n", 500), "-", "%s", "../up", "0", "\t"}

// TestUnusualNameIsAccepted checks that zones and machine types may have the names in unusualNames.
func TestUnusualNameIsAccepted(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"settings.zones", "settings.machineTypes"} {
		o := completeConfig()
		set(o, "settings.extra.carriage", absent)
		set(o, path, unusualNames)
		if c, err := read(t, o); err != nil || max(len(c.ZoneNumbers), len(c.KindNumbers)) != len(unusualNames) {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// TestAnyMixOfClassesIsAccepted checks that classes are accepted in any number, with any mix of idempotency words and
// any names.
func TestAnyMixOfClassesIsAccepted(t *testing.T) {
	t.Parallel()
	for _, classes := range [][]string{{"pure"}, {"side_effect"}, {"token"}, {"pure", "token"}, {"side_effect", "side_effect"},
		strings.Split(strings.TrimSpace(strings.Repeat("pure token side_effect pure ", 5)), " ")} {
		o := completeConfig()
		var list []any
		for i, effect := range classes {
			name := fmt.Sprint(unusualNames[i%len(unusualNames)])
			if i >= len(unusualNames) {
				name += "2"
			}
			list = append(list, jsonObject{"name": name, "idempotency": effect, "deadline": 6e9, "worth": 1})
		}
		set(o, "settings.classes", list)
		c, err := read(t, o)
		if err != nil || len(c.ClassNumbers) != len(classes) || len(c.Settings.Classes) != len(classes) {
			t.Errorf("%d classes: %v", len(classes), err)
			continue
		}
		for i, effect := range classes {
			if c.Settings.Classes[i].Repeat != repeatByWord[effect] {
				t.Errorf("class %d is not %s", i, effect)
			}
		}
	}
}

// TestErrorsAreTyped checks that callers can get the invalid field and the path of the invalid setting from the error's
// type.
func TestErrorsAreTyped(t *testing.T) {
	t.Parallel()
	o := completeConfig()
	set(o, "settings.classes.0.deadline", -6)
	_, err := read(t, o)
	var field *fielderror.Error
	var setting *SettingError
	if !errors.As(err, &field) || field.Field != "settings" || !errors.As(err, &setting) || setting.Path != "classes[0].deadline" {
		t.Errorf("%#v", err)
	}
	o = completeConfig()
	set(o, "limits.sockets", 0)
	if _, err = read(t, o); !errors.As(err, &field) || field.Field != "limits.sockets" || errors.As(err, &setting) {
		t.Errorf("%#v", err)
	}
}
