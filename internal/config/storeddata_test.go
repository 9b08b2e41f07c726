package config_test

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/directory"
)

// storedConfig is a configuration file with every field that commit 485f0e4 read. It must never be regenerated, because
// then a field that the program no longer reads would go unnoticed.
const storedConfig = "testdata/stored/config.json"

// loadStored loads the stored configuration file.
func loadStored(t *testing.T) *config.Config {
	t.Helper()
	c, err := config.Load(func(variable string) string {
		if variable == "EDGE_CONFIG" {
			return storedConfig
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// storedSettings returns the settings that follow from the settings object of the file.
func storedSettings() choice.Settings {
	const tenthOfSecond = 100 * choice.Millisecond
	return choice.Settings{
		Senders:       3,
		Number:        1,
		Zone:          1,
		InFlightLimit: 21,
		MaxOpen:       5,
		MaxAttempts:   4,
		Classes: []choice.Class{
			{Repeat: choice.Idempotent, ZoneGroup: true, LatencyObjective: 7 * tenthOfSecond, Deadline: 8 * tenthOfSecond, Value: 10, LateValue: 0.9},
			{Repeat: choice.Keyed, ZoneGroup: true, RepeatWindow: 13 * tenthOfSecond, LatencyObjective: 11 * tenthOfSecond,
				Deadline: 12 * tenthOfSecond, Value: 14},
			{Repeat: choice.NonIdempotent, LatencyObjective: 15 * tenthOfSecond, Deadline: 16 * tenthOfSecond, Value: 17, Ordered: true},
		},
		Kinds:                []choice.Kind{{BulkMax: 19, SeparateRoutes: true}, {BulkMax: 20}},
		Quotas:               []float64{1.5, 2.5},
		OverQuotaValue:       0.25,
		Halving:              true,
		Probing:              true,
		Notes:                false, // allowed by bounds.peers, but off until EnableGossip
		Cancelling:           true,
		MaxRetryAfter:        6 * tenthOfSecond,
		DialTimeout:          2 * tenthOfSecond,
		ConnIdle:             1 * tenthOfSecond,
		AnswersWhenTableFull: true,
		TurnInterval:         26 * choice.Millisecond,
		Rating:               choice.RatingExact,
		OverloadMultiple:     30,
		OverloadWindow:       29 * tenthOfSecond,
		SlowStartFrom:        0.28,
		SlowStart:            27 * tenthOfSecond,
		KeyPause:             31 * tenthOfSecond,
		RouteFees:            []float64{0.22, 0.23},
		RejectedPrice:        0.24,
		HandshakePrice:       0.18,
	}
}

// TestReadsStoredConfig checks that each field of a file for an older program is read.
func TestReadsStoredConfig(t *testing.T) {
	c := loadStored(t)
	for _, field := range []struct {
		name      string
		got, want any
	}{
		{"name", c.Name, "s1"},
		{"listen", c.Listen, "127.0.0.1:1"},
		{"discovery", c.Discovery, "127.0.0.1:2"},
		{"state", c.StateDir, "state"},
		{"seed", c.Seed, int64(0x1f)},
		{"limits", c.Limits, config.Limits{MemoryMB: 64, Sockets: 128, DiskMB: 3.5}},
		{"known", c.InitialList, directory.List{Version: 5, Full: true, Entries: []directory.Entry{
			{ID: "a", Addr: "127.0.0.1:3", Zone: "z1", Kind: "many", Destination: 7, State: "draining", Weight: 100}}}},
		{"peer_listen", c.PeerListen, "127.0.0.1:4"},
		{"peers", c.Peers, []string{"127.0.0.1:4", "127.0.0.1:5"}},
		{"peers_all", c.PeersAll, "127.0.0.1:6"},
		{"classes", c.ClassNumbers, map[string]choice.ClassNo{"pure": 0, "token": 1, "line": 2}},
		{"accounts", c.AccountNumbers, map[string]choice.AccountNo{"acme": 0, "umbrella": 1}},
		{"zones", c.ZoneNumbers, map[string]choice.ZoneNo{"z1": 0, "z2": 1}},
		{"machineTypes", c.KindNumbers, map[string]choice.KindNo{"one": 0, "many": 1}},
		{"stats.fields", c.LoadReportFields, []string{"x0", "x1"}},
		{"settings", c.Settings, storedSettings()},
	} {
		if diff := cmp.Diff(field.want, field.got); diff != "" {
			t.Errorf("%s (-stored +read):\n%s", field.name, diff)
		}
	}
	if err := c.EnableGossip(); err != nil {
		t.Errorf("bounds.peers: %v", err)
	}
}

// TestReadsStoredSettings checks that a stored settings object can be put in force in place of itself. That happens at
// the start of a process that has cached the settings object shared by all senders.
func TestReadsStoredSettings(t *testing.T) {
	c := loadStored(t)
	shared, err := c.WithSettings(c.OwnSettings())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(storedSettings(), shared.Settings); diff != "" {
		t.Errorf("the settings in force (-stored +read):\n%s", diff)
	}
	text, err := os.ReadFile(storedConfig)
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	if err := config.CheckSettings(file.Settings, c.OwnSettings()); err != nil {
		t.Error(err)
	}
}
