package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestReloadOfExtremes checks that a reload takes the address of discovery from the file, returns an error for an
// invalid file, and that RestartOnlyChanges names the changed fields that need a restart.
func TestReloadOfExtremes(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string {
		return map[string]string{"EDGE_CONFIG": path, "EDGE_DISCOVERY": "127.0.0.1:9", "EDGE_NAME": "other"}[name]
	}
	write := func(o jsonObject) {
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
		t.Errorf("reload of an invalid file returned %v, %v", c, err)
	}
	o = completeConfig()
	set(o, "settings.bounds.maxOpen", 7)
	set(o, "discovery", "127.0.0.1:3")
	write(o)
	c, err := Reload(env)
	if err != nil || c.Discovery != "127.0.0.1:3" || c.Name != "other" || fmt.Sprint(first.RestartOnlyChanges(c)) != "[settings]" {
		t.Errorf("%v %+v", err, c)
	}
}
