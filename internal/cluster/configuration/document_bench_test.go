package configuration

import (
	"encoding/json"
	"fmt"
	"testing"
)

// settingsOf returns settings of about this many bytes.
func settingsOf(b *testing.B, bytes int) json.RawMessage {
	b.Helper()
	var classes []map[string]any
	for size := 0; size < bytes; size += 150 {
		n := len(classes)
		classes = append(classes, map[string]any{"name": fmt.Sprintf("class-%d", n), "idempotency": "token", "aim": 800_000_000 + n*1000,
			"deadline": 4_000_000_000, "worth": float64(n%7) + 0.5, "repeatWindow": 0, "group": ""})
	}
	text, err := json.Marshal(map[string]any{"classes": classes, "quantum": 1_000_000, "zones": []string{"a", "b"}})
	if err != nil {
		b.Fatal(err)
	}
	canonical, err := Canonicalize(text)
	if err != nil {
		b.Fatal(err)
	}
	return canonical
}

// BenchmarkDocument measures the cost of a change of one field for settings of several sizes: in the process that
// creates the patch or compresses the full content (once per version, for all children), and in a process that receives
// either. It also reports the number of bytes sent.
func BenchmarkDocument(b *testing.B) {
	for _, size := range []int{2 << 10, 20 << 10, 200 << 10} {
		from := settingsOf(b, size)
		to, err := ApplyPatch(from, json.RawMessage(`{"quantum":2000000}`))
		if err != nil {
			b.Fatal(err)
		}
		patch, _ := CreatePatch(from, to)
		compressed, err := Compress(to)
		if err != nil {
			b.Fatal(err)
		}
		for name, do := range map[string]func() error{
			"make-change": func() error { CreatePatch(from, to); return nil },
			"take-change": func() error { _, err := ApplyPatch(from, patch); return err },
			"pack-whole":  func() error { _, err := Compress(to); return err },
			"take-whole": func() error {
				settings, err := Decompress(compressed)
				if err == nil {
					_, err = NewDocument(1, settings)
				}
				return err
			},
		} {
			b.Run(fmt.Sprintf("%s/%d", name, len(to)), func(b *testing.B) {
				for b.Loop() {
					if err := do(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(patch)), "change-B")
				b.ReportMetric(float64(len(compressed)), "whole-B")
			})
		}
	}
}
