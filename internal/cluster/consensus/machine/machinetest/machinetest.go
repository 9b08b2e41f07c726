// Package machinetest holds the parts of the consensus group's state to what an older program decided and stored.
//
// It is for tests alone. It owns the form of the two files below a part's testdata/stored, which commit 485f0e4 wrote
// and which are never written anew: commands.jsonl, a committed command with its answer a line, and snapshot.json, the
// state after all of them.
package machinetest

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"flaxcove/internal/cluster/consensus/machine"
)

const (
	commandsFile = "commands.jsonl"
	snapshotFile = "snapshot.json"
)

// storedCommand is one line of commands.jsonl.
type storedCommand struct {
	Index  uint64          `json:"index"`
	At     time.Duration   `json:"at"`
	Kind   string          `json:"kind"`
	Body   json.RawMessage `json:"body"`
	Answer json.RawMessage `json:"answer"`
}

// Replay applies the stored commands to a new part and checks each answer and the state at the end, byte for byte: two
// programs that answered one command differently would hold different states.
func Replay(t *testing.T, part machine.Part) {
	t.Helper()
	lines := bytes.Split(bytes.TrimSpace(read(t, commandsFile)), []byte("\n"))
	for no, line := range lines {
		var c storedCommand
		decoder := json.NewDecoder(bytes.NewReader(line))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&c); err != nil {
			t.Fatalf("%s:%d: %v", commandsFile, no+1, err)
		}
		answer, err := part.Apply(c.Index, c.At, c.Kind, c.Body)
		if err != nil {
			t.Fatalf("%s:%d: %v", commandsFile, no+1, err)
		}
		if !bytes.Equal(answer, c.Answer) {
			t.Errorf("%s:%d: answered\n%s, stored is\n%s", commandsFile, no+1, answer, c.Answer)
		}
	}
	checkState(t, part)
}

// Restore puts the stored snapshot in place of a new part's state and checks that all of it was read: the part's own
// snapshot is the same again, byte for byte.
func Restore(t *testing.T, part machine.Part) {
	t.Helper()
	if err := part.Restore(bytes.TrimSpace(read(t, snapshotFile))); err != nil {
		t.Fatal(err)
	}
	checkState(t, part)
}

func checkState(t *testing.T, part machine.Part) {
	t.Helper()
	state, err := part.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if stored := bytes.TrimSpace(read(t, snapshotFile)); !bytes.Equal(state, stored) {
		t.Errorf("the state is\n%s, stored is\n%s", state, stored)
	}
}

func read(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "stored", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}
