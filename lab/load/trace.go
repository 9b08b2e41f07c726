package load

// This file reads recorded traces. A field that is left out or wrong is an error, not a guess.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"flaxcove/choice"
)

// maxTraceBytes is the largest body of a message in a trace.
const maxTraceBytes = 60000

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
		class := classNo(classes, t.Class)
		if err := t.check(class, partners, senders); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, no, err)
		}
		all = append(all, Arrival{At: choice.Time(*t.AtMS * float64(choice.Millisecond)), Class: class,
			Partner: t.Partner, Sender: t.Sender, Key: t.Key, Body: max(1, t.Bytes)})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return all, nil
}

// classNo is the number of the class of a name, the last one if several have it; -1 for none.
func classNo(classes []string, name string) int {
	no := -1
	for i, known := range classes {
		if known == name {
			no = i
		}
	}
	return no
}

// check returns an error that names the first invalid field. Class is the number of the line's class, -1 for none.
func (t *traceLine) check(class, partners, senders int) error {
	switch {
	case t.AtMS == nil || !(*t.AtMS >= 0 && *t.AtMS < 1e9):
		return errors.New("field at_ms: missing, or not within 0 and 1e9")
	case class < 0:
		return fmt.Errorf("field workload: no workload %q", t.Class)
	case t.Partner < 0 || t.Partner >= partners:
		return fmt.Errorf("field partner: %d of %d", t.Partner, partners)
	case t.Sender < 0 || t.Sender >= senders:
		return fmt.Errorf("field sender: %d of %d", t.Sender, senders)
	case t.Bytes < 0 || t.Bytes > maxTraceBytes:
		return fmt.Errorf("field bytes: %d is not within 0 and %d", t.Bytes, maxTraceBytes)
	}
	return nil
}
