// Package machinetest tests that a machine.Part still reads, and answers in the same way, what an older program
// committed and stored.
//
// The stored data of a part is in two files of its folder testdata/stored. Each line of commands.jsonl is a committed
// command with the answer to it, and snapshot.json is the state after all these commands. Commit 485f0e4 wrote the
// files; they must never be written again.
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

// Replay applies the stored commands to a new part and compares each answer, and the state at the end, with the stored
// bytes. Two programs that answered a command differently would have different states in one group.
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
			t.Errorf("%s:%d: the answer is\n%s, the stored answer is\n%s", commandsFile, no+1, answer, c.Answer)
		}
	}
	checkState(t, part)
}

// Restore restores a new part from the stored snapshot and checks that the part's own snapshot then has the same bytes,
// so that nothing in the stored snapshot was skipped.
func Restore(t *testing.T, part machine.Part) {
	t.Helper()
	if err := part.Restore(bytes.TrimSpace(read(t, snapshotFile))); err != nil {
		t.Fatal(err)
	}
	checkState(t, part)
}

// checkState compares the part's snapshot with the stored one.
func checkState(t *testing.T, part machine.Part) {
	t.Helper()
	state, err := part.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if stored := bytes.TrimSpace(read(t, snapshotFile)); !bytes.Equal(state, stored) {
		t.Errorf("the state is\n%s, the stored state is\n%s", state, stored)
	}
}

// read returns the content of a stored file.
func read(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "stored", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}
