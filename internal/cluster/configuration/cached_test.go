package configuration

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"flaxcove/internal/sender/clusterapi"
)

// TestStoreAndLoadCached checks that LoadCached returns what Store has stored, and version 0 before that.
func TestStoreAndLoadCached(t *testing.T) {
	folder := t.TempDir()
	if c, err := LoadCached(folder); err != nil || c.Version != 0 {
		t.Fatal(c, err)
	}
	for version := range uint64(3) {
		settings, err := Canonicalize(json.RawMessage(`{"b": "<&>", "a": [1.0, 12345678901234567890, null]}`))
		if err != nil {
			t.Fatal(err)
		}
		want := clusterapi.Configuration{Version: version + 1, Settings: settings}
		if err := Store(folder, want); err != nil {
			t.Fatal(err)
		}
		got, err := LoadCached(folder)
		if err != nil || got.Version != want.Version || string(got.Settings) != string(want.Settings) {
			t.Fatalf("%s %v", got.Settings, err)
		}
	}
}

// TestDamagedCacheIsRejected checks that a file that is damaged or truncated anywhere is reported with its path and not
// used.
func TestDamagedCacheIsRejected(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, cachedFile)
	if err := Store(folder, clusterapi.Configuration{Version: 7, Settings: json.RawMessage(`{"pace":41}`)}); err != nil {
		t.Fatal(err)
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	damaged := []string{strings.Replace(string(stored), "41", "42", 1), `{"version":0}`, `{"version":3}`, strings.Repeat(" ", maxFileBytes+1)}
	for cut := range len(stored) - 1 { // without its final newline the file is still valid
		damaged = append(damaged, string(stored[:cut]))
	}
	for _, text := range damaged {
		if err := os.WriteFile(path, []byte(text), 0o640); err != nil {
			t.Fatal(err)
		}
		if c, err := LoadCached(folder); err == nil || c.Version != 0 || !strings.Contains(err.Error(), path) {
			t.Fatalf("%.80q: %v %v", text, c, err)
		}
	}
}

func TestCanonicalize(t *testing.T) {
	a, err := Canonicalize(json.RawMessage(` {"z": {"b":1e3,"a":"é<"}, "a": [ ]} `))
	if err != nil || string(a) != `{"a":[],"z":{"a":"é<","b":1e3}}` {
		t.Fatalf("%s %v", a, err)
	}
	for _, bad := range []string{``, `null`, `[]`, `3`, `{"a":1} x`, `{"a":1}{}`, `{"a":1}}`, `{"a":"` + strings.Repeat("x", MaxBytes) + `"}`} {
		if got, err := Canonicalize(json.RawMessage(bad)); err == nil {
			t.Errorf("%.40q: %.40s", bad, got)
		}
	}
}
