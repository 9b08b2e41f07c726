package sender

// These tests hold a start to the folder that commit 485f0e4 wrote (testdata/stored): a journal with each kind of record
// and a file of learned state. The folder is never written anew.

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

// storedEnding is how a message ends, by the byte in its record.
type storedEnding byte

const (
	storedOwed       storedEnding = 0
	storedHandedBack storedEnding = 1
	storedFailed     storedEnding = 2
)

// storedMessage is all that a start knows of an owed message. Times are spans of choice.Time since the rig's day began.
type storedMessage struct {
	ID, Key, IdempotencyKey, Tenant, Class, Body string

	Destination     choice.DestinationID
	Accepted        choice.Time // 0 where the record does not tell
	Deadline        choice.Time
	MayHaveRun      bool
	RanAt           choice.Time // of one that may have run; 0 for not known
	RanIn           string      // of one that may have run
	Ending          storedEnding
	RetryAfterMilli int64
}

// storedStart is all that a start reads of a folder.
type storedStart struct {
	Messages     []storedMessage
	EndingsOwed  int
	Ended        bool // the id of the message that is over is known again
	Purges       map[uint64]clusterapi.Found
	HighestPurge uint64
	Learned      choice.LearnedState // of an endpoint that is listed; its wait has run on
	Unlisted     choice.LearnedState // of one that is not
	UnlistedAt   string
	UnlistedOf   choice.DestinationID
	LearnedAt    choice.Time
}

// sinceDay is a time as a span since the rig's day began; 0 stays 0.
func sinceDay(t choice.Time) choice.Time {
	if t == 0 {
		return 0
	}
	return t - clockAt(0)
}

// readStart is the one place that names what a sender holds.
func readStart(s *Sender) storedStart {
	unlisted := s.learned["unlisted"]
	_, ended := s.admission.recentlyEnded["over"]
	start := storedStart{EndingsOwed: len(s.endings), Ended: ended, Purges: map[uint64]clusterapi.Found{}, HighestPurge: s.applied.Load(),
		Learned: s.choice.LearnedState("a"), Unlisted: unlisted.LearnedState, UnlistedAt: unlisted.Addr,
		UnlistedOf: unlisted.Destination, LearnedAt: sinceDay(s.learnedAt)}
	for _, n := range s.accepted {
		m := storedMessage{ID: string(n.ID), Key: n.key, IdempotencyKey: n.idempotencyKey, Tenant: n.tenant, Class: n.className,
			Body: string(n.body), Destination: n.Destination, Accepted: sinceDay(n.acceptedAt), Deadline: sinceDay(n.Deadline),
			MayHaveRun: n.MayRun, Ending: storedEnding(n.ending.kind), RetryAfterMilli: n.ending.retryMS}
		if n.MayRun {
			m.RanAt, m.RanIn = sinceDay(n.RanAt), n.ranInZoneName
		}
		start.Messages = append(start.Messages, m)
	}
	for _, p := range s.past {
		start.Purges[p.seq] = p.found
	}
	return start
}

// storedWant is what the folder tells. "early" was accepted before its wall clock was put back by 30 s. What may have run
// and may not run again fails at the start: "ran" and "old", as their windows for repeats are over, and "far".
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
		EndingsOwed:  5,
		Ended:        true,
		Purges:       map[uint64]clusterapi.Found{3: {NotBegun: 1, MayRun: 2, Delivered: 3, LearnedState: 4}, 9: {}},
		HighestPurge: 9,
		Learned:      choice.LearnedState{Mean: 900, Dev: 300, Past: 950, Seen: 9, Limit: 7, Wait: 4 * second},
		Unlisted:     choice.LearnedState{Mean: 1.5, Dev: 0.5, Past: 2.5, Seen: 3, Limit: 0.25, Wait: 4},
		UnlistedAt:   "127.0.0.2:2",
		UnlistedOf:   -2,
		LearnedAt:    59 * second,
	}
}

func copyStored(t *testing.T) (dir string) {
	t.Helper()
	dir = t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/stored")); err != nil {
		t.Fatal(err)
	}
	return dir
}

// startStored starts a sender on a folder, a minute after the rig's day began.
func startStored(t *testing.T, dir string) *Sender {
	t.Helper()
	r := startAt(fourClassConfig(dir, 100), time.Minute)
	if r.s == nil {
		t.Fatal("the start was refused")
	}
	t.Cleanup(func() {
		if err := r.s.journal.Close(); err != nil {
			t.Error(err)
		}
	})
	return r.s
}

// TestReadsStoredFolder: a start reads all that an older program left. Once more after the journal was written anew, the
// way this program writes it: all that a sender holds is in that, and reads the same.
func TestReadsStoredFolder(t *testing.T) {
	dir := copyStored(t)
	s := startStored(t, dir)
	want := storedWant()
	if diff := cmp.Diff(want, readStart(s)); diff != "" {
		t.Errorf("the first start (-stored +read):\n%s", diff)
	}
	if err := s.journal.Rewrite(s.records); err != nil {
		t.Fatal(err)
	}
	want.Ended = false // what is over is not kept in a journal that was written anew
	if diff := cmp.Diff(want, readStart(startStored(t, dir))); diff != "" {
		t.Errorf("after a rewriting (-stored +read):\n%s", diff)
	}
}

// TestWritesStoredRecords: records are written as an older program wrote them, byte for byte, so that it can go on from them
// after a step back.
func TestWritesStoredRecords(t *testing.T) {
	dir := copyStored(t)
	var stored [][]byte
	j, _, err := journal.Open(dir, 1<<20, func(record []byte) { stored = append(stored, bytes.Clone(record)) })
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
	if want := storedWant(); len(s.accepted) != len(want.Messages) || len(s.past) != len(want.Purges) {
		t.Errorf("%d messages and %d purges are held", len(s.accepted), len(s.past))
	}
	for _, n := range s.accepted {
		// The times of "early" are of the clock before it was put back.
		if record := n.acceptedRecord(); n.ID != "early" && !contains(record) {
			t.Errorf("%q: %q is not as it was stored", n.ID, record)
		}
	}
	for _, p := range s.past {
		if !contains(p.record()) {
			t.Errorf("purge %d: %q is not as it was stored", p.seq, p.record())
		}
	}
	for _, c := range []struct {
		what   string
		record []byte
	}{
		{"the clock", clockRecord(30 * second)},
		{"an attempt", attemptRecord("ran", clockAt(53*time.Second), 0, "z")},
		{"an attempt to a zone of other settings", attemptRecord("far", clockAt(54*time.Second), 7, "far")},
		{"proof that none ran", idRecord(recNotRun, "proven")},
		{"an end", idRecord(recClosed, "over")},
		{"handed back", endRecord("handed", ending{kind: endShed, retryMS: 250})},
		{"a failure", endRecord("failed", ending{kind: endFailed})},
	} {
		if !contains(c.record) {
			t.Errorf("%s: %q is not as it was stored", c.what, c.record)
		}
	}
}
