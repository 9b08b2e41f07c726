package machine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// adder is a part that adds numbers. It rejects negative numbers and panics at 13.
type adder struct {
	Total int           `json:"total"`
	Last  time.Duration `json:"last"`
}

func (a *adder) Apply(_ uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error) {
	n, err := strconv.Atoi(string(body))
	switch {
	case err != nil || kind != "add" || n < 0:
		return nil, errors.New("the body is not a number of at least 0")
	case n == 13:
		panic(n)
	}
	a.Total, a.Last = a.Total+n, at
	return json.Marshal(a.Total)
}

func (a *adder) Snapshot() (json.RawMessage, error) { return json.Marshal(a) }

func (a *adder) Restore(state json.RawMessage) error {
	var next adder
	if err := json.Unmarshal(state, &next); err != nil || next.Total < 0 {
		return fmt.Errorf("invalid state %s", state)
	}
	*a = next
	return nil
}

// newTestMachine returns a machine with two adders.
func newTestMachine() *Machine { return New(map[string]Part{"b": &adder{}, "a": &adder{}}) }

// snapshotOf returns the snapshot of a machine.
func snapshotOf(t rapid.TB, m *Machine) string {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestReplicasStayIdentical applies the same valid and invalid commands to two machines, one of which is restored from
// its snapshot from time to time. It checks that their answers and states are equal, that the clock never goes back,
// and that a rejected command changes no part.
func TestReplicasStayIdentical(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := newTestMachine(), newTestMachine()
		total := map[string]int{}
		for i := range rapid.IntRange(1, 30).Draw(t, "commands") {
			part := rapid.SampledFrom([]string{"a", "b", "none"}).Draw(t, "part")
			n := rapid.IntRange(-2, 13).Draw(t, "n")
			at := time.Duration(rapid.IntRange(0, 100).Draw(t, "at"))
			data, err := Encode(Command{part, "add", at, json.RawMessage(strconv.Itoa(n))})
			if err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 9).Draw(t, "truncated") == 0 {
				data, n = data[:len(data)/2], -1
			}
			before := one.Clock()
			first, firstErr := one.Apply(uint64(i+1), data)
			second, secondErr := other.Apply(uint64(i+1), data)
			if one.Clock() < before {
				t.Fatalf("the clock went from %v to %v", before, one.Clock())
			}
			if diff := cmp.Diff(fmt.Sprint(string(first), firstErr), fmt.Sprint(string(second), secondErr)); diff != "" {
				t.Fatal(diff)
			}
			var rejected *RejectedError
			if invalid := n < 0 || n == 13 || part == "none"; invalid != errors.As(firstErr, &rejected) {
				t.Fatalf("%s add %d: %v", part, n, firstErr)
			} else if !invalid {
				total[part] += n
			}
			if rapid.IntRange(0, 4).Draw(t, "restored") == 0 {
				fresh := newTestMachine()
				if err := fresh.Restore([]byte(snapshotOf(t, other))); err != nil {
					t.Fatal(err)
				}
				other = fresh
			}
			if diff := cmp.Diff(snapshotOf(t, one), snapshotOf(t, other)); diff != "" {
				t.Fatal(diff)
			}
		}
		for name, want := range total {
			if got := one.parts[name].(*adder).Total; got != want {
				t.Fatalf("part %s has the total %d, want %d", name, got, want)
			}
		}
	})
}

// TestRestoreAllOrNothing checks that Restore changes nothing if any part of the snapshot is invalid.
func TestRestoreAllOrNothing(t *testing.T) {
	m := newTestMachine()
	if _, err := m.Apply(4, []byte(`{"part":"a","kind":"add","at":7,"body":5}`)); err != nil {
		t.Fatal(err)
	}
	before := snapshotOf(t, m)
	for name, bad := range map[string]string{
		"truncated":    before[:9],
		"unknown part": `{"parts":[{"name":"a","state":null},{"name":"c","state":null}]}`,
		"bad second":   `{"at":9,"index":9,"parts":[{"name":"a","state":{"total":1}},{"name":"b","state":{"total":-1}}]}`,
	} {
		if err := m.Restore([]byte(bad)); err == nil {
			t.Errorf("%s: restored without an error", name)
		}
		if diff := cmp.Diff(before, snapshotOf(t, m)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	if err := m.Restore([]byte(`{"at":9,"index":9}`)); err != nil || m.Clock() != 9 || m.parts["a"].(*adder).Total != 0 {
		t.Errorf("a part that is not in the snapshot was not reset: %v, %v", m.parts["a"], err)
	}
	if _, err := Encode(Command{Body: make([]byte, MaxBodyBytes+1)}); !errors.Is(err, ErrTooLong) {
		t.Error(err)
	}
}

// unusedPart is a part that has applied no command: its snapshot is null.
type unusedPart struct{ adder }

func (*unusedPart) Snapshot() (json.RawMessage, error) { return json.RawMessage("null"), nil }

// TestUnusedPartIsOmittedFromSnapshot checks that a program without a part can restore the snapshot of a program that
// has it, as long as the part was never used.
func TestUnusedPartIsOmittedFromSnapshot(t *testing.T) {
	later := New(map[string]Part{"a": &adder{Total: 3}, "later": &unusedPart{}})
	earlier := New(map[string]Part{"a": &adder{}})
	if err := earlier.Restore([]byte(snapshotOf(t, later))); err != nil {
		t.Fatal(err)
	}
	if one, other := snapshotOf(t, earlier), snapshotOf(t, later); one != other {
		t.Fatalf("%s\n%s", one, other)
	}
}
