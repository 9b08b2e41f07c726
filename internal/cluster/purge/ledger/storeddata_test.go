package ledger_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"flaxcove/choice"
	"flaxcove/internal/cluster/consensus/machine/machinetest"
	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// storedRecords returns the purges that result from the stored commands: one for each state and subject.
func storedRecords() []ledger.Record {
	destination := new(choice.DestinationID(-7))
	return []ledger.Record{
		{Seq: 1, ID: "one", Subject: "notices", Match: clusterapi.Match{Destination: destination, Class: "pure", Key: "k"},
			RequestedBy: "ops", Reason: "a key", OpenedAt: 2 * time.Minute, State: "complete", Zones: []ledger.ZoneSum{
				{Region: "r1", Zone: "z1", Reached: 1, Found: clusterapi.PurgeResult{NotBegun: 1, MayRun: 2, Delivered: 3, LearnedState: 4}},
				{Region: "r1", Zone: "z2", Reached: 1, Found: clusterapi.PurgeResult{NotBegun: 5}},
			}, Reached: 2, Found: clusterapi.PurgeResult{NotBegun: 6, MayRun: 2, Delivered: 3, LearnedState: 4},
			Checksums: [4]uint32{1848402386, 70654881, 1526271103, 3079894117}, Compacted: true},
		{Seq: 2, ID: "two", Subject: "notices", Match: clusterapi.Match{KeyPrefix: "k-"},
			RequestedBy: "ops", Reason: "a prefix", OpenedAt: 3 * time.Minute, State: "complete with lapsed", Zones: []ledger.ZoneSum{
				{Region: "r1", Zone: "z1", Reached: 1, Found: clusterapi.PurgeResult{Delivered: 6}},
				{Region: "r1", Zone: "z2", Lapsed: 1},
			}, LapsedNames: []view.Name{"b"}, Reached: 1, Lapsed: 1, Found: clusterapi.PurgeResult{Delivered: 6},
			Checksums: [4]uint32{1848402386, 3348729753, 1526271103, 2494390781}, Compacted: true},
		{Seq: 3, ID: "three", Subject: "learnt", Match: clusterapi.Match{Destination: destination},
			RequestedBy: "ops", Reason: "learnt", OpenedAt: 4 * time.Minute, State: "complete", Zones: []ledger.ZoneSum{
				{Region: "r1", Zone: "z1", Reached: 1, Found: clusterapi.PurgeResult{LearnedState: 9}},
				{Region: "r1", Zone: "z2", Reached: 1},
			}, Reached: 2, Found: clusterapi.PurgeResult{LearnedState: 9},
			Checksums: [4]uint32{3890170347, 3617051539, 1526271103, 3890170347}},
		{Seq: 4, ID: "four", Subject: "notices", Match: clusterapi.Match{Class: "line"},
			RequestedBy: "ops", Reason: "a workload", OpenedAt: 11 * time.Minute, State: "spreading",
			Checksums: [4]uint32{1848402386, 1578569718, 1526271103, 679473289}},
	}
}

// storedParticipants returns the participants that result from the stored commands.
func storedParticipants() []ledger.Participant {
	return []ledger.Participant{
		{Instance: view.Instance{Name: "a", Incarnation: 5}, Zone: "z1", Region: "r1", Folder: "fa", LongestDeadline: time.Minute},
		{Instance: view.Instance{Name: "b", Incarnation: 6}, Zone: "z2", Region: "r1", LongestDeadline: 2 * time.Minute},
	}
}

// TestReplaysStoredPurges checks that the commands in the log of an older program have the same results as they had there.
func TestReplaysStoredPurges(t *testing.T) {
	l := ledger.New()
	machinetest.Replay(t, l)
	checkStoredPurges(t, l)
}

// TestReadsStoredPurges checks that the snapshot of an older program is restored completely.
func TestReadsStoredPurges(t *testing.T) {
	l := ledger.New()
	machinetest.Restore(t, l)
	checkStoredPurges(t, l)
}

// checkStoredPurges checks that a ledger has the content of the stored data.
func checkStoredPurges(t *testing.T, l *ledger.Ledger) {
	t.Helper()
	for _, want := range storedRecords() {
		got, found := l.Find(want.ID)
		if diff := cmp.Diff(want, got); !found || diff != "" {
			t.Errorf("purge %q, found %v (-stored +read):\n%s", want.ID, found, diff)
		}
	}
	if diff := cmp.Diff(storedParticipants(), l.Participants()); diff != "" {
		t.Errorf("participants (-stored +read):\n%s", diff)
	}
	for _, c := range []struct {
		what      string
		got, want uint64
	}{{"last Seq", l.LastSeq(), 4}, {"oldest open purge", l.OldestOpen(), 4}, {"roster version", l.RosterVersion(), 5}} {
		if c.got != c.want {
			t.Errorf("%s is %d, stored %d", c.what, c.got, c.want)
		}
	}
	var state struct {
		At time.Duration `json:"at"`
	}
	if text, err := l.Snapshot(); err != nil || json.Unmarshal(text, &state) != nil || state.At != 11*time.Minute {
		t.Errorf("snapshot: error %v, time of the newest command %v, want 11m", err, state.At)
	}
}
