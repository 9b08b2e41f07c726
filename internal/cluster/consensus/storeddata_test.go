package consensus_test

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"

	versions "flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/consensus"
	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/failover/plan"
	purges "flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/view"
)

// Properties of the stored data. testdata/stored/council is the folder of a single voter, with a snapshot after the
// first commands of each part and later commands in the log. testdata/stored/state.json is the state after all
// commands. Commit 485f0e4 wrote both; they must never be written again.
const (
	storedFolderID      = "00112233445566778899aabbccddeeff"
	storedTerm          = 2
	storedSnapshotIndex = 7
	storedLastIndex     = 11

	// storedWait is the maximum wait for the election of the only voter, which takes some 0.2 s.
	storedWait      = 20 * time.Second
	storedHeartbeat = 100 * time.Millisecond
)

// storedParts returns new parts, by the names under which an older program stored them.
func storedParts() map[string]machine.Part {
	return map[string]machine.Part{"failover": &plan.InForce{}, "purge": purges.New(), "configuration": versions.New()}
}

// startStored starts the only voter on a copy of the stored folder and waits until it leads and has applied the whole
// log.
func startStored(t *testing.T, parts map[string]machine.Part) *consensus.Group {
	t.Helper()
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS("testdata/stored/council")); err != nil {
		t.Fatal(err)
	}
	applied := make(chan struct{}, 1)
	group, err := consensus.Start(consensus.Options{
		Self:          view.Member{Instance: view.Instance{Name: "a", Incarnation: 6}, Zone: "z1", Region: "r1", Size: view.Large, FolderID: storedFolderID},
		Cluster:       "stored",
		Folder:        folder,
		Listen:        "127.0.0.1:0",
		InitialVoters: []view.Name{"a"},
		Parts:         parts,
		AddressOf:     func(view.Name) (string, bool) { return "", false },
		Timing:        consensus.Timing{HeartbeatTimeout: storedHeartbeat},
		Applied: func(uint64) {
			select {
			case applied <- struct{}{}:
			default:
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := group.Close(); err != nil {
			t.Error(err)
		}
	})
	timeout := time.After(storedWait)
	for !group.Leading() {
		select {
		case <-applied:
		case <-timeout:
			t.Fatalf("the only voter does not lead after %v", storedWait)
		}
	}
	return group
}

// TestReadsStoredRecords checks that a group reads the stable store, the log and the snapshot of an older program, and
// that the result is the state that the older program had.
func TestReadsStoredRecords(t *testing.T) {
	parts := storedParts()
	group := startStored(t, parts)
	if voters := group.Voters(); !slices.Equal(voters, []view.Name{"a"}) || !group.HasRecords() {
		t.Errorf("voters %v, has records: %v", voters, group.HasRecords())
	}
	if term := group.Term(); term <= storedTerm {
		t.Errorf("term %d is not above the stored term %d", term, storedTerm)
	}
	text, err := os.ReadFile("testdata/stored/state.json")
	if err != nil {
		t.Fatal(err)
	}
	stored := readState(t, text)
	if clock := group.Clock(); clock < stored.At {
		t.Errorf("the clock is %v, behind the stored clock %v", clock, stored.At)
	}
	if len(stored.Parts) != len(parts) {
		t.Fatalf("%d parts are stored, %d exist", len(stored.Parts), len(parts))
	}
	group.Read(func(index uint64) {
		if index != storedLastIndex {
			t.Errorf("applied up to index %d, the stored log ends at %d", index, storedLastIndex)
		}
		for _, want := range stored.Parts {
			if got, err := parts[want.Name].Snapshot(); err != nil || !bytes.Equal(got, want.State) {
				t.Errorf("part %q: error %v, the state is\n%s, the stored state is\n%s", want.Name, err, got, want.State)
			}
		}
	})
}

// storedState is the encoded form of a snapshot, declared independently of the code under test.
type storedState struct {
	At    time.Duration `json:"at"`
	Index uint64        `json:"index"`
	Parts []struct {
		Name  string          `json:"name"`
		State json.RawMessage `json:"state"`
	} `json:"parts"`
}

// readState decodes a snapshot.
func readState(t *testing.T, text []byte) (s storedState) {
	t.Helper()
	if err := json.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestMachineReadsStoredSnapshot checks that the state machine restores a snapshot of an older program and then writes
// the same bytes again, so that nothing was skipped.
func TestMachineReadsStoredSnapshot(t *testing.T) {
	for _, c := range []struct {
		path  string
		index uint64
	}{
		{"testdata/stored/council/snapshots/2-7-1796243312360/state.bin", storedSnapshotIndex},
		{"testdata/stored/state.json", storedLastIndex},
	} {
		text, err := os.ReadFile(c.path)
		if err != nil {
			t.Fatal(err)
		}
		text = bytes.TrimSpace(text)
		m := machine.New(storedParts())
		if err := m.Restore(text); err != nil {
			t.Fatalf("%s: %v", c.path, err)
		}
		if stored := readState(t, text); m.Index() != c.index || m.Clock() != stored.At {
			t.Errorf("%s: index %d, clock %v", c.path, m.Index(), m.Clock())
		}
		if again, err := m.Snapshot(); err != nil || !bytes.Equal(again, text) {
			t.Errorf("%s: error %v, the state is\n%s, the stored state is\n%s", c.path, err, again, text)
		}
	}
}
