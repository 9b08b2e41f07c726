package sender

// These tests check that the state folder written by commit 485f0e4 (testdata/stored) can still be read. It has a journal
// with each kind of record and a file of learned state. The folder must never be regenerated.

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"flaxcove/choice"
	"flaxcove/internal/journal"
	"flaxcove/internal/sender/clusterapi"
)

// storedEnding is the byte in an ending record that says how the message ended.
type storedEnding byte

const (
	storedPending    storedEnding = 0
	storedHandedBack storedEnding = 1
	storedFailed     storedEnding = 2
)

// storedMessage is the state of a pending message that a start restores. Times count from clockAt(0).
type storedMessage struct {
	ID, Key, IdempotencyKey, Tenant, Class, Body string

	Destination     choice.DestinationID
	Accepted        choice.Time // 0 if the record does not contain it
	Deadline        choice.Time
	MayHaveRun      bool
	RanAt           choice.Time // if MayHaveRun: the time of the attempt; 0 if not known
	RanIn           string      // if MayHaveRun: the zone of the attempt
	Ending          storedEnding
	RetryAfterMilli int64
}

// storedStart is all that a start reads from a state folder.
type storedStart struct {
	Messages            []storedMessage
	EndingsToPost       int
	Ended               bool // the id of the ended message "over" is remembered
	Purges              map[uint64]clusterapi.PurgeResult
	HighestPurge        uint64
	Learned             choice.LearnedState // of a listed endpoint, with its wait reduced by the time since it was written
	Unlisted            choice.LearnedState // of an endpoint that is not listed
	UnlistedAddr        string
	UnlistedDestination choice.DestinationID
	LearnedAt           choice.Time
}

// sinceClockStart returns t as the time since clockAt(0); 0 stays 0.
func sinceClockStart(t choice.Time) choice.Time {
	if t == 0 {
		return 0
	}
	return t - clockAt(0)
}

// readStart collects the restored state from a sender. Only this function uses the sender's fields, so that the tests stay
// the same when fields are renamed.
func readStart(s *Sender) storedStart {
	unlisted := s.learned["unlisted"]
	ended := s.admission.recentlyEnded.has("over")
	start := storedStart{EndingsToPost: len(s.endings), Ended: ended, Purges: map[uint64]clusterapi.PurgeResult{}, HighestPurge: s.durableSeq.Load(),
		Learned: s.choice.LearnedState("a"), Unlisted: unlisted.LearnedState, UnlistedAddr: unlisted.Addr,
		UnlistedDestination: unlisted.Destination, LearnedAt: sinceClockStart(s.learnedAt)}
	for _, n := range s.accepted {
		n.body, _ = s.loadBody(n)
		m := storedMessage{ID: string(n.ID), Key: n.key, IdempotencyKey: n.idempotencyKey, Tenant: n.tenant, Class: n.className,
			Body: string(n.body), Destination: n.Destination, Accepted: sinceClockStart(n.acceptedAt), Deadline: sinceClockStart(n.Deadline),
			MayHaveRun: n.MayRun, Ending: storedEnding(n.ending.kind), RetryAfterMilli: n.ending.retryMS}
		if n.MayRun {
			m.RanAt, m.RanIn = sinceClockStart(n.RanAt), n.ranInZoneName
		}
		start.Messages = append(start.Messages, m)
	}
	for _, p := range s.lastApplied {
		start.Purges[p.seq] = p.found
	}
	return start
}

// storedWant returns the state that a start has to restore from the stored folder. "early" was accepted before the wall clock
// was put back by 30 s. Messages that may have run and must not run again fail at the start: "ran" and "old", whose windows
// for repeats have passed, and "far".
func storedWant() storedStart {
	return storedStart{
		Messages: []storedMessage{
			{ID: "early", Class: "pure", Body: "early", Destination: 7, Accepted: 50 * second, Deadline: 150 * second, MayHaveRun: true, RanIn: "z"},
			{ID: "plain", Class: "pure", Body: "\x00\xff body\r\n", Destination: 1, Accepted: 50 * second, Deadline: 150 * second},
			{ID: "keyed", Key: "1f", IdempotencyKey: "idem-1", Tenant: "acme", Class: "token", Destination: -3,
				Accepted: 51 * second, Deadline: 151 * second},
			{ID: "ran", IdempotencyKey: "idem-2", Class: "token", Body: "ran", Destination: 1, Accepted: 52 * second, Deadline: 152 * second,
				MayHaveRun: true, RanAt: 53 * second, RanIn: "z", Ending: storedFailed},
			{ID: "far", Class: "single", Body: "far", Destination: 1, Accepted: 52 * second, Deadline: 152 * second,
				MayHaveRun: true, RanAt: 54 * second, RanIn: "far", Ending: storedFailed},
			{ID: "proven", Key: "2e", Class: "line", Body: "proven", Destination: 1, Accepted: 52 * second, Deadline: 152 * second},
			{ID: "handed", Class: "pure", Body: "handed", Destination: 1, Accepted: 52 * second, Deadline: 152 * second,
				Ending: storedHandedBack, RetryAfterMilli: 250},
			{ID: "failed", Class: "single", Body: "failed", Destination: 1, Accepted: 52 * second, Deadline: 152 * second,
				MayHaveRun: true, RanAt: 55 * second, RanIn: "z", Ending: storedFailed},
			{ID: "old", Class: "token", Body: "old", Destination: 1, Deadline: 150 * second,
				MayHaveRun: true, RanAt: 56 * second, RanIn: "z", Ending: storedFailed},
		},
		EndingsToPost:       5,
		Ended:               true,
		Purges:              map[uint64]clusterapi.PurgeResult{3: {NotBegun: 1, MayRun: 2, Delivered: 3, LearnedState: 4}, 9: {}},
		HighestPurge:        9,
		Learned:             choice.LearnedState{Mean: 900, Dev: 300, Past: 950, Seen: 9, Limit: 7, Wait: 4 * second},
		Unlisted:            choice.LearnedState{Mean: 1.5, Dev: 0.5, Past: 2.5, Seen: 3, Limit: 0.25, Wait: 4},
		UnlistedAddr:        "127.0.0.2:2",
		UnlistedDestination: -2,
		LearnedAt:           59 * second,
	}
}

// copyStored copies the stored folder to a temporary one.
func copyStored(t *testing.T) (dir string) {
	t.Helper()
	dir = t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/stored")); err != nil {
		t.Fatal(err)
	}
	return dir
}

// startStored starts a sender on a copy of the stored folder, at clockAt(time.Minute).
func startStored(t *testing.T, dir string) *Sender {
	t.Helper()
	r := startAt(fourClassConfig(dir, 100), time.Minute)
	if r.s == nil {
		t.Fatal("the sender has not started")
	}
	t.Cleanup(func() {
		if err := r.s.journal.Close(); err != nil {
			t.Error(err)
		}
	})
	return r.s
}

// TestReadsStoredFolder checks that a start reads everything that the older version stored, and that it reads the same again
// after the journal was rewritten by the present version.
func TestReadsStoredFolder(t *testing.T) {
	dir := copyStored(t)
	s := startStored(t, dir)
	want := storedWant()
	if diff := cmp.Diff(want, readStart(s)); diff != "" {
		t.Errorf("the first start (-stored +read):\n%s", diff)
	}
	if err := s.rewriteJournal(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, readStart(startStored(t, dir))); diff != "" {
		t.Errorf("after a rewrite (-stored +read):\n%s", diff)
	}
}

// TestWritesStoredRecords checks that records are written byte for byte as by the older version, so that it can read them
// after a downgrade.
func TestWritesStoredRecords(t *testing.T) {
	dir := copyStored(t)
	var stored [][]byte
	j, _, err := journal.Open(dir, 1<<20, func(record []byte, _ int64) { stored = append(stored, bytes.Clone(record)) })
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	contains := func(record []byte) bool {
		for _, r := range stored {
			if bytes.Equal(r, record) {
				return true
			}
		}
		return false
	}
	s := startStored(t, dir)
	if want := storedWant(); len(s.accepted) != len(want.Messages) || len(s.lastApplied) != len(want.Purges) {
		t.Errorf("%d messages and %d purges are restored, want %d and %d", len(s.accepted), len(s.lastApplied), len(want.Messages), len(want.Purges))
	}
	for _, n := range s.accepted {
		n.body, _ = s.loadBody(n)
		// The stored times of "early" are on the clock before it was put back.
		if record := n.acceptedRecord(); n.ID != "early" && !contains(record) {
			t.Errorf("message %q: the record %q is not in the stored journal", n.ID, record)
		}
	}
	for _, p := range s.lastApplied {
		if !contains(p.record()) {
			t.Errorf("purge %d: the record %q is not in the stored journal", p.seq, p.record())
		}
	}
	for _, c := range []struct {
		what   string
		record []byte
	}{
		{"the clock", clockRecord(30 * second)},
		{"an attempt", attemptRecord("ran", clockAt(53*time.Second), 0, "z")},
		{"an attempt in a zone that the settings do not name", attemptRecord("far", clockAt(54*time.Second), 7, "far")},
		{"proof that no attempt ran", idRecord(recNotRun, "proven")},
		{"a closed message", idRecord(recClosed, "over")},
		{"a shed message", endRecord("handed", ending{kind: endShed, retryMS: 250})},
		{"a failed message", endRecord("failed", ending{kind: endFailed})},
	} {
		if !contains(c.record) {
			t.Errorf("%s: the record %q is not in the stored journal", c.what, c.record)
		}
	}
}
