package routes_test

import (
	"encoding/json"
	"testing"

	"flaxcove/internal/routes"
)

// TestWritesStoredAllowed checks that `routes explain --json` prints an allowed endpoint in the same form as commit
// 485f0e4.
func TestWritesStoredAllowed(t *testing.T) {
	const stored = `{"Endpoint":"a","Weight":2.5}`
	text, err := json.Marshal(routes.Allowed{Endpoint: "a", Weight: 2.5})
	if err != nil || string(text) != stored {
		t.Errorf("written %s, error %v", text, err)
	}
}
