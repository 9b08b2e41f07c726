package jsonsize

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// TestPrefixIsExact checks that the items returned fit, and that one more does not, with texts that grow in JSON.
func TestPrefixIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := rapid.SliceOf(rapid.StringMatching(`[a<"\x01]{0,20}`)).Draw(t, "items")
		maxBytes := rapid.IntRange(0, 400).Draw(t, "bytes")
		sizeOf := func(n int) int {
			text, err := json.Marshal(items[:n])
			if err != nil {
				t.Fatalf("%v", err)
			}
			return len(text)
		}
		n := Prefix(items, maxBytes)
		if n > 1 && sizeOf(n) > maxBytes || n == 0 && len(items) > 0 {
			t.Fatalf("%d items take %d bytes, limit %d", n, sizeOf(n), maxBytes)
		}
		if n < len(items) && sizeOf(n+1) <= maxBytes {
			t.Fatalf("%d items fit, not only %d", n+1, n)
		}
	})
}
