package settings_test

import (
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/cluster/view"
)

// storedSettings returns the settings of testdata/stored/cluster.toml, which has each field that commit 485f0e4 read.
// The file must never be regenerated.
func storedSettings(t *testing.T) *settings.Settings {
	t.Helper()
	folder, err := filepath.Abs("state/a")
	if err != nil {
		t.Fatal(err)
	}
	return &settings.Settings{
		Cluster: "fleet",
		Self: settings.Self{Name: "a", Zone: "z1", Region: "r1", Size: view.Small, Folder: folder,
			Listen: settings.Addresses{Gossip: "10.0.0.1:7101", Consensus: "10.0.0.1:7102", HTTP: "10.0.0.1:7103"}},
		Members: []settings.Member{{Name: "b", Zone: "z2", Region: "r2",
			Reach: settings.Addresses{Gossip: "10.0.0.2:7201", Consensus: "10.0.0.2:7202", HTTP: "10.0.0.2:7203"}}},
		Zones:         map[view.Zone]view.Region{"z1": "r1", "z2": "r2"},
		InitialVoters: []view.Name{"b"},
		Features:      settings.Features{Failover: true, Purges: true, Popularity: true, Configuration: true},
		Bounds:        settings.Bounds{Destinations: 17, SmallDestinations: 18, SmallBytes: 19000, Purges: 20},
	}
}

// TestReadsStoredClusterFile checks that each field of a cluster file for an older version is read.
func TestReadsStoredClusterFile(t *testing.T) {
	got, err := settings.Load("testdata/stored/cluster.toml")
	if err != nil {
		t.Fatal(err)
	}
	got.Warnings = nil // texts for the log, not fields of the file
	if diff := cmp.Diff(storedSettings(t), got); diff != "" {
		t.Errorf("the cluster file (-stored +read):\n%s", diff)
	}
}
