package configuration_test

import (
	"os"
	"testing"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/sender/clusterapi"
)

// The content of testdata/stored/configuration.json. Commit 485f0e4 wrote the file; it must never be written again.
const (
	storedVersion  = 57
	storedSettings = `{"list":[1.0,12345678901234567890,null],"pace":41,"text":"<&>é"}`
)

// TestReadsStoredConfiguration checks that LoadCached reads the complete version that an older program stored.
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

// TestWritesStoredConfiguration checks that Store writes the same file as an older program did for the same version, so
// that the older program can read it after a downgrade.
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
		t.Errorf("Store wrote %q, the stored file is %q", got, want)
	}
}
