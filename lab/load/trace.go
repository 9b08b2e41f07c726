package load

// This file reads recorded traces. A field that is left out or wrong is an error, not a guess.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"flaxcove/choice"
)

// traceLine is one line of a recorded trace.
type traceLine struct {
	AtMS    *float64 `json:"at_ms"`
	Class   string   `json:"workload"`
	Partner int      `json:"partner"`
	Sender  int      `json:"sender"`
	Key     int      `json:"key"`
	Bytes   int      `json:"bytes"`
}

// ReadTrace reads a recorded trace: one JSON object a line with at_ms, class (by name), partner, and, where it
// matters, sender, key and bytes. An error names the line.
func ReadTrace(in io.Reader, name string, classes []string, partners, senders int) ([]Arrival, error) {
	var all []Arrival
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for no := 1; lines.Scan(); no++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var t traceLine
		if err := json.Unmarshal(lines.Bytes(), &t); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, no, err)
		}
		w := -1
		for i, known := range classes {
			if known == t.Class {
				w = i
			}
		}
		switch {
		case t.AtMS == nil || !(*t.AtMS >= 0 && *t.AtMS < 1e9):
			return nil, fmt.Errorf("%s:%d: field at_ms: missing, or not within 0 and 1e9", name, no)
		case w < 0:
			return nil, fmt.Errorf("%s:%d: field workload: no workload %q", name, no, t.Class)
		case t.Partner < 0 || t.Partner >= partners:
			return nil, fmt.Errorf("%s:%d: field partner: %d of %d", name, no, t.Partner, partners)
		case t.Sender < 0 || t.Sender >= senders:
			return nil, fmt.Errorf("%s:%d: field sender: %d of %d", name, no, t.Sender, senders)
		case t.Bytes < 0 || t.Bytes > 60000:
			return nil, fmt.Errorf("%s:%d: field bytes: %d is not within 0 and 60000", name, no, t.Bytes)
		}
		all = append(all, Arrival{At: choice.Time(*t.AtMS * float64(choice.Millisecond)), Class: w,
			Partner: t.Partner, Sender: t.Sender, Key: t.Key, Body: max(1, t.Bytes)})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return all, nil
}
