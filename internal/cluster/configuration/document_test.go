package configuration

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// anyObject draws a settings object: objects in objects, lists, nulls, large numbers, texts that JSON escapes.
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

// A patch gives exactly the other version or there is none, and compression preserves settings.
func TestPatchAndCompression(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawSettings(t, "from"), drawSettings(t, "to")
		if patch, is := CreatePatch(from, to); is {
			escaped, err := json.Marshal(patch) // as it travels
			if err != nil {
				t.Fatal(err)
			}
			if got, err := ApplyPatch(from, escaped); err != nil || string(got) != string(to) {
				t.Fatalf("%s with %s is %s, not %s: %v", from, patch, got, to, err)
			}
		}
		packed, err := Compress(to)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decompress(packed); err != nil || string(got) != string(to) {
			t.Fatalf("%s %v", got, err)
		}
	})
}

func TestPatchOfOneField(t *testing.T) {
	from := json.RawMessage(`{"a":1,"b":{"c":2,"d":3}}`)
	patch, is := CreatePatch(from, json.RawMessage(`{"a":1,"b":{"c":2,"d":4}}`))
	if !is || string(patch) != `{"b":{"d":4}}` {
		t.Fatalf("%s %v", patch, is)
	}
	if _, is := CreatePatch(from, json.RawMessage(`{"a":null,"b":{"c":2,"d":3}}`)); is {
		t.Fatal("a merge patch that sets null")
	}
	for _, bad := range []string{`[]`, `7`, ``, `{"a"`} {
		if got, err := ApplyPatch(from, json.RawMessage(bad)); err == nil {
			t.Errorf("%q: %s", bad, got)
		}
	}
}

func TestDecompressRejects(t *testing.T) {
	large, err := Compress(json.RawMessage(`"` + strings.Repeat("x", MaxBytes) + `"`))
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range [][]byte{nil, []byte("{}"), large, large[:len(large)/2]} {
		if _, err := Decompress(bad); err == nil {
			t.Errorf("%d bytes taken", len(bad))
		}
	}
}
