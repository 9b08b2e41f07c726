package load

// This file reads recorded traces. An invalid line is an error; it is neither skipped nor corrected.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"flaxcove/choice"
)

// maxTraceBytes is the maximum size of a message's body in a trace, in bytes.
const maxTraceBytes = 60000

// traceLine is one line of a recorded trace. Destination and Sender are numbers that count from 0.
type traceLine struct {
	AtMS        *float64 `json:"at_ms"`    // from the start of the run; nil if it is missing
	Class       string   `json:"workload"` // name of the class
	Destination int      `json:"partner"`
	Sender      int      `json:"sender"`
	Key         int      `json:"key"`
	Bytes       int      `json:"bytes"` // size of the body; 0 counts as 1
}

// ReadTrace reads a recorded trace, which holds one JSON object on each line. The fields at_ms and workload (the name of a
// class) are mandatory; partner (the number of a destination), sender, key and bytes are 0 if left out. Empty lines are
// ignored. Name is the name of the trace in errors, which also give the line. Destinations and senders are the
// numbers of destinations and senders in the scenario.
func ReadTrace(in io.Reader, name string, classes []string, destinations, senders int) ([]Arrival, error) {
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
		if err := t.check(class, destinations, senders); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, no, err)
		}
		all = append(all, Arrival{At: choice.Time(*t.AtMS * float64(choice.Millisecond)), Class: class,
			Destination: t.Destination, Sender: t.Sender, Key: t.Key, Body: max(1, t.Bytes)})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return all, nil
}

// classNo returns the number of the class with a name, or -1 if there is none. If several classes have the name, it returns
// the last one.
func classNo(classes []string, name string) int {
	no := -1
	for i, known := range classes {
		if known == name {
			no = i
		}
	}
	return no
}

// check returns an error for the first invalid field of the line. Class is the number of the line's class, -1 if it is unknown.
func (t *traceLine) check(class, destinations, senders int) error {
	switch {
	case t.AtMS == nil || !(*t.AtMS >= 0 && *t.AtMS < 1e9):
		return errors.New("field at_ms: missing, or not within 0 and 1e9")
	case class < 0:
		return fmt.Errorf("field workload: there is no class %q", t.Class)
	case t.Destination < 0 || t.Destination >= destinations:
		return fmt.Errorf("field partner: there is no destination %d: the scenario has %d, counted from 0", t.Destination, destinations)
	case t.Sender < 0 || t.Sender >= senders:
		return fmt.Errorf("field sender: there is no sender %d: the scenario has %d, counted from 0", t.Sender, senders)
	case t.Bytes < 0 || t.Bytes > maxTraceBytes:
		return fmt.Errorf("field bytes: %d is not within 0 and %d", t.Bytes, maxTraceBytes)
	}
	return nil
}
