package configuration

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// anyObject draws a settings object with nested objects, lists, nulls, large numbers, and texts that JSON escapes.
func anyObject(depth int) *rapid.Generator[map[string]any] {
	leaf := rapid.OneOf(
		rapid.Just[any](nil),
		rapid.Map(rapid.Int64(), func(n int64) any { return n }),
		rapid.Map(rapid.SampledFrom([]string{"", "<&>", "é", "\u2028", "x"}), func(s string) any { return s }),
		rapid.Map(rapid.SliceOfN(rapid.Int(), 0, 3), func(l []int) any { return l }),
		rapid.Map(rapid.Bool(), func(b bool) any { return b }),
	)
	value := leaf
	if depth > 0 {
		value = rapid.OneOf(leaf, rapid.Map(anyObject(depth-1), func(o map[string]any) any { return o }))
	}
	return rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c", "d<"}), value, 0, 4)
}

// drawSettings draws settings in canonical form.
func drawSettings(t *rapid.T, name string) json.RawMessage {
	text, err := json.Marshal(anyObject(3).Draw(t, name))
	if err != nil {
		t.Fatal(err)
	}
	canonical, err := Canonicalize(text)
	if err != nil {
		t.Fatal(err)
	}
	return canonical
}

// TestPatchAndCompression checks that a patch, if there is one, gives exactly the other version, and that compression
// preserves settings.
func TestPatchAndCompression(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawSettings(t, "from"), drawSettings(t, "to")
		if patch, ok := CreatePatch(from, to); ok {
			escaped, err := json.Marshal(patch) // as in a message
			if err != nil {
				t.Fatal(err)
			}
			if got, err := ApplyPatch(from, escaped); err != nil || string(got) != string(to) {
				t.Fatalf("%s patched with %s is %s, not %s: %v", from, patch, got, to, err)
			}
		}
		compressed, err := Compress(to)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decompress(compressed); err != nil || string(got) != string(to) {
			t.Fatalf("%s %v", got, err)
		}
	})
}

// TestPatchOfOneField checks that a patch has the changed field only, that there is no patch that sets a field to null,
// and that ApplyPatch rejects anything but a JSON object.
func TestPatchOfOneField(t *testing.T) {
	from := json.RawMessage(`{"a":1,"b":{"c":2,"d":3}}`)
	patch, ok := CreatePatch(from, json.RawMessage(`{"a":1,"b":{"c":2,"d":4}}`))
	if !ok || string(patch) != `{"b":{"d":4}}` {
		t.Fatalf("%s %v", patch, ok)
	}
	if _, ok := CreatePatch(from, json.RawMessage(`{"a":null,"b":{"c":2,"d":3}}`)); ok {
		t.Fatal("there is a merge patch that sets a field to null")
	}
	for _, bad := range []string{`[]`, `7`, ``, `{"a"`} {
		if got, err := ApplyPatch(from, json.RawMessage(bad)); err == nil {
			t.Errorf("%q: %s", bad, got)
		}
	}
}

// TestDecompressRejects checks that damaged input and too large settings are rejected.
func TestDecompressRejects(t *testing.T) {
	large, err := Compress(json.RawMessage(`"` + strings.Repeat("x", MaxBytes) + `"`))
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range [][]byte{nil, []byte("{}"), large, large[:len(large)/2]} {
		if _, err := Decompress(bad); err == nil {
			t.Errorf("invalid input of %d bytes was accepted", len(bad))
		}
	}
}
