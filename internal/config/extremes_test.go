package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"flaxcove/choice"
)

// object is a JSON object whose fields a case sets or takes away.
type object = map[string]any

// completeConfig is a complete configuration with one class of each effect.
func completeConfig() object {
	class := func(name, effect string) any {
		return object{"name": name, "idempotency": effect, "aim": 1e9, "deadline": 6e9, "worth": 1, "lateWorth": 0.1, "repeatWindow": 1e9}
	}
	return object{"name": "s", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "state": "state", "seed": "8c1f30d27a5be964",
		"limits": object{"memory_mb": 64, "sockets": 128, "disk_mb": 3},
		"settings": object{"classes": []any{class("note", "pure"), class("order", "side_effect"), class("offer", "token")},
			"balancers": 3, "quantum": 5e6, "overShareWorth": 0.1, "machineTypes": []any{"m"}, "zones": []any{"a", "b"},
			"accounts": []any{object{"quotaRps": 5}},
			"bounds":   object{"maxOpen": 100, "maxAttempts": 9, "connIdle": 1e10, "dialTimeout": 1e9, "maxRetryAfter": 2e9, "retryAfter": true},
			"extra":    object{"callsOut": 4, "carriage": []any{0.1, 0.2}},
			"rules":    object{"cold": 1e9, "coldFrom": 0.5, "fall": 1e9, "fallMultiple": 2, "keyRest": 3e8}}}
}

// set puts a value at a path such as settings.classes.0.aim; gone takes the field away.
func set(in any, path string, value any) {
	name, rest, deeper := strings.Cut(path, ".")
	switch in := in.(type) {
	case object:
		if deeper {
			set(in[name], rest, value)
		} else if in[name] = value; value == gone {
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

const gone = "GONE"

// read loads a configuration from a file of its own.
func read(t *testing.T, o object) (*Config, error) {
	t.Helper()
	text, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	return readText(t, string(text))
}

func readText(t *testing.T, text string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Load(func(name string) string { return map[string]string{"EDGE_CONFIG": path}[name] })
	if err != nil && !strings.Contains(err.Error(), path) {
		t.Errorf("the message does not name the file: %v", err)
	}
	return c, err
}

// A number that means nothing, and a name that stands for nothing or for two things, is refused by one line with the
// file, the field and the reason.
func TestWrongSettingIsRefused(t *testing.T) {
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
		{"settings.extra.callsOut", gone, "extra.callsOut"},
		{"settings.extra.carriage", []any{0.1}, "extra.carriage"}, {"settings.extra.carriage", []any{0.1, 2}, "extra.carriage[1]"},
		{"settings.rules.cold", -1, "rules.cold"}, {"settings.rules.fall", -1, "rules.fall"}, {"settings.rules.keyRest", -1, "rules.keyRest"},
		{"settings.rules.coldFrom", -0.1, "rules.coldFrom"}, {"settings.rules.fallMultiple", -2, "rules.fallMultiple"},
		{class + "aim", -1, "classes[0].aim"}, {class + "deadline", 0, "classes[0].deadline"}, {class + "deadline", -6, "classes[0].deadline"},
		{class + "deadline", gone, "classes[0].deadline"}, {class + "worth", -1, "classes[0].worth"},
		{class + "repeatWindow", -1, "classes[0].repeatWindow"}, {class + "idempotency", "PURE", "classes[0].idempotency"},
		{class + "idempotency", gone, "classes[0].idempotency"}, {class + "name", "order", "classes[1].name"},
		{class + "name", "", "classes[0].name"}, {class + "name", gone, "classes[0].name"},
		{"settings.classes", []any{}, "classes"}, {"settings.classes", gone, "classes"},
		{"settings.zones", []any{"a", "a"}, "zones[1]"}, {"settings.machineTypes", []any{"m", "n", "m"}, "machineTypes[2]"},
		{"settings.weights", "heavy", "weights"}, {"settings", gone, "settings"},
		{"limits.memory_mb", 0, "limits.memory_mb"}, {"limits.memory_mb", -64, "limits.memory_mb"}, {"limits.memory_mb", 1 << 50, "limits.memory_mb"},
		{"limits.sockets", 0, "limits.sockets"}, {"limits.disk_mb", 0, "limits.disk_mb"}, {"limits.disk_mb", -1, "limits.disk_mb"},
		{"limits.disk_mb", 1e300, "limits.disk_mb"}, {"listen", "nowhere", "listen"}, {"discovery", gone, "discovery"}, {"state", "", "state"},
		// What JSON cannot bring into the field's type.
		{class + "deadline", 1e30, "settings.classes.deadline"}, {class + "worth", "much", "settings.classes.worth"},
		{"settings.bounds.maxOpen", 2.5, "settings.bounds.maxOpen"}, {class + "byArrival", "yes", "settings.classes.byArrival"},
	} {
		o := completeConfig()
		set(o, c.path, c.value)
		if _, err := read(t, o); err == nil {
			t.Errorf("%s: %v is taken", c.path, c.value)
		} else if text := err.Error(); !strings.Contains(strings.ToLower(text), strings.ToLower(c.field)+":") || strings.Contains(text, "\n") {
			t.Errorf("%s: %v: the message is %q", c.path, c.value, text)
		}
	}
	for _, text := range []string{"", "{", "[]", `{"settings":{"classes":[{"worth":NaN}]}}`, `{"settings":{"classes":[{"worth":1e999}]}}`} {
		if _, err := readText(t, text); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// What is absent, zero, the highest there is, or oddly named is taken, and no span in it passes what can be added to.
func TestOddSettingIsTaken(t *testing.T) {
	t.Parallel()
	const highest = 1<<63 - 1
	class := "settings.classes.0."
	for _, path := range []string{"settings.quantum", "settings.bounds.connIdle", "settings.bounds.dialTimeout", "settings.bounds.maxRetryAfter",
		"settings.rules.cold", "settings.rules.fall", "settings.rules.keyRest", class + "aim", class + "deadline", class + "repeatWindow",
		"settings.bounds.maxOpen", "settings.bounds.maxAttempts", "settings.balancers", "settings.overShareWorth", class + "worth",
		class + "lateWorth", "settings.accounts.0.quotaRps", "settings.rules.coldFrom", "settings.rules.fallMultiple",
		"settings.bounds", "settings.rules", "settings.accounts", "settings.zones", "settings.machineTypes", "settings.extra.carriage", "limits"} {
		for _, value := range []any{gone, 0, highest} {
			o := completeConfig()
			last := path[strings.LastIndex(path, ".")+1:]
			isList := strings.Contains(" bounds rules accounts zones machineTypes carriage limits ", " "+last+" ")
			if value != gone && (isList || last == "deadline" && value == 0 || last == "balancers" && value == highest) {
				continue
			}
			if path == "settings.zones" {
				set(o, "settings.extra.carriage", gone)
			}
			if last == "deadline" && value == gone {
				continue
			}
			set(o, path, value)
			c, err := read(t, o)
			if err != nil {
				t.Errorf("%s %v: %v", path, value, err)
				continue
			}
			s := &c.Settings
			spans := []choice.Time{s.Turn, s.ConnIdle, s.DialTimeout, s.LongestReturn, s.SlowStart, s.Fall, s.KeyRest}
			for _, w := range s.Classes {
				spans = append(spans, w.LatencyObjective, w.Deadline, w.RepeatWindow)
				if w.LatencyObjective == 0 {
					t.Errorf("%s %v: a contract time of 0, from which time-outs are made", path, value)
				}
			}
			for i, span := range spans {
				if ns := Nanoseconds(2 * span); span < 0 || ns < 0 || ns/2 != Nanoseconds(span) || ns > highest-1<<61 {
					t.Errorf("%s %v: span %d is %d, which cannot be added to", path, value, i, span)
				}
			}
			if s.MaxOpen <= 0 || s.MaxAttempts <= 0 || s.Senders <= 0 {
				t.Errorf("%s %v: %d open, %d tries, %d senders", path, value, s.MaxOpen, s.MaxAttempts, s.Senders)
			}
		}
	}
	odd := []any{"a b", "täglich", "x=y", `q"u\o`, "日本", strings.Repeat("n", 500), "-", "%s", "../up", "0", "\t"}
	for _, path := range []string{"settings.zones", "settings.machineTypes"} {
		o := completeConfig()
		set(o, "settings.extra.carriage", gone)
		set(o, path, odd)
		if c, err := read(t, o); err != nil || max(len(c.Zones), len(c.Kinds)) != len(odd) {
			t.Errorf("%s: %v", path, err)
		}
	}
	for _, classes := range [][]string{{"pure"}, {"side_effect"}, {"token"}, {"pure", "token"}, {"side_effect", "side_effect"},
		strings.Split(strings.TrimSpace(strings.Repeat("pure token side_effect pure ", 5)), " ")} {
		o := completeConfig()
		var list []any
		for i, effect := range classes {
			name := fmt.Sprint(odd[i%len(odd)])
			if i >= len(odd) {
				name += "2"
			}
			list = append(list, object{"name": name, "idempotency": effect, "deadline": 6e9, "worth": 1})
		}
		set(o, "settings.classes", list)
		c, err := read(t, o)
		if err != nil || len(c.ClassNumbers) != len(classes) || len(c.Settings.Classes) != len(classes) {
			t.Errorf("%d classes: %v", len(classes), err)
			continue
		}
		for i, effect := range classes {
			if c.Settings.Classes[i].Repeat != repeats[effect] {
				t.Errorf("class %d is not %s", i, effect)
			}
		}
	}
}

// A configuration read anew takes discovery from the file, says which fields wait for the next start, and brings nothing
// where it is wrong.
func TestReloadOfExtremes(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string {
		return map[string]string{"EDGE_CONFIG": path, "EDGE_DISCOVERY": "127.0.0.1:9", "EDGE_NAME": "other"}[name]
	}
	write := func(o object) {
		text, err := json.Marshal(o)
		if err == nil {
			err = os.WriteFile(path, text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	write(completeConfig())
	first, err := Load(env)
	if err != nil || first.Discovery != "127.0.0.1:9" {
		t.Fatalf("%v %+v", err, first)
	}
	o := completeConfig()
	set(o, "settings.classes.0.worth", -1)
	set(o, "discovery", "127.0.0.1:3")
	write(o)
	if c, err := Reload(env); err == nil || c != nil || !strings.Contains(err.Error(), "classes[0].worth") {
		t.Errorf("what is wrong brings %v, %v", c, err)
	}
	o = completeConfig()
	set(o, "settings.bounds.maxOpen", 7)
	set(o, "discovery", "127.0.0.1:3")
	write(o)
	c, err := Reload(env)
	if err != nil || c.Discovery != "127.0.0.1:3" || c.Name != "other" || fmt.Sprint(first.Fixed(c)) != "[settings]" {
		t.Errorf("%v %+v", err, c)
	}
}
