package configuration_test

import (
	"os"
	"testing"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/sender/clusterapi"
)

// What testdata/stored/configuration.json holds. Commit 485f0e4 wrote the file; it is never written anew.
const (
	storedVersion  = 57
	storedSettings = `{"list":[1.0,12345678901234567890,null],"pace":41,"text":"<&>é"}`
)

// TestReadsStoredConfiguration: the version that an older program cached is read whole.
func TestReadsStoredConfiguration(t *testing.T) {
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS("testdata/stored")); err != nil {
		t.Fatal(err)
	}
	got, err := configuration.LoadCached(folder)
	if err != nil || got.Version != storedVersion || string(got.Settings) != storedSettings {
		t.Errorf("version %d, settings %s, error %v", got.Version, got.Settings, err)
	}
}

// TestWritesStoredConfiguration: the same version gives the same file, which an older program can read after a step back.
func TestWritesStoredConfiguration(t *testing.T) {
	folder := t.TempDir()
	if err := configuration.Store(folder, clusterapi.Configuration{Version: storedVersion, Settings: []byte(storedSettings)}); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(folder + "/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/stored/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("written %q, stored %q", got, want)
	}
}
