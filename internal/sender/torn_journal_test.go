package sender

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/directory"
)

// messageHistory is what an earlier process did with a message, each step with the size of the journal's file by then.
type messageHistory struct {
	class      string
	acceptedAt int64   // its client was told
	calls      []int64 // calls
	notRun     []int64 // how many of them are proven not to have run
	endedAt    int64   // nothing more is owed
}

// twelveEndpointConfig has an endpoint for each of twelve destinations.
func twelveEndpointConfig(dir string) *config.Config {
	c := fourClassConfig(dir, 100)
	c.Known.Entries = nil
	for i := range 12 {
		c.Known.Entries = append(c.Known.Entries, directory.Entry{ID: fmt.Sprint("e", i), Addr: "127.0.0.1:1", Zone: "z", Kind: "one", Destination: float64(i), State: "up", Weight: 9})
	}
	return c
}

const never = int64(1) << 60

// stateAt is the state of the message where the file is cut.
func (h *messageHistory) stateAt(cut int64) (owed, out, over bool) {
	count := func(all []int64) (n int) {
		for _, at := range all {
			if at <= cut {
				n++
			}
		}
		return n
	}
	return h.acceptedAt <= cut && h.endedAt > cut, count(h.calls) > count(h.notRun), h.endedAt <= cut
}

// dayRecorder is a process that notes what it does with each message.
type dayRecorder struct {
	*harness
	t       *testing.T
	path    string // of the journal's file
	did     map[choice.MessageID]*messageHistory
	clients []*client // one for each message, by number
}

func messageNo(no int) choice.MessageID { return choice.MessageID(fmt.Sprint("n", no)) }

func startRecorder(t *testing.T) *dayRecorder {
	t.Helper()
	dir := t.TempDir()
	d := &dayRecorder{harness: startWith(twelveEndpointConfig(dir)), t: t, path: filepath.Join(dir, "notices.log"),
		did: map[choice.MessageID]*messageHistory{}}
	d.s.dial = func(c *call) {
		d.s.recordAttempt(c) // its connection is up at once
		d.s.commit()
		d.calls = append(d.calls, c)
		for _, m := range c.messages {
			d.did[m.ID].calls = append(d.did[m.ID].calls, d.size())
		}
	}
	d.s.postToPlatform = func(string, []byte) (int, error) { return 204, nil }
	return d
}

// size is the size of the journal's file.
func (d *dayRecorder) size() int64 {
	info, err := os.Stat(d.path)
	if err != nil {
		d.t.Fatal(err)
	}
	return info.Size()
}

// submitNo submits a message and ends the turn.
func (d *dayRecorder) submitNo(no int) {
	class, id := []string{"pure", "token", "single", "line"}[no%4], messageNo(no)
	d.did[id] = &messageHistory{class: class, acceptedAt: never, endedAt: never}
	c := newClient()
	d.clients = append(d.clients, c)
	d.handle(c, fmt.Sprintf("OUT.ADD %d %s c=%s,d=8000,dest=%d x", no%5, id, class, no%12))
	d.clock += 5 * time.Millisecond
	d.s.turn()
	for d.s.posting {
		(<-d.s.inbox)()
	}
	d.noteEnds()
	for j, c := range d.clients {
		if h := d.did[messageNo(j)]; h.acceptedAt == never && strings.Contains(string(c.output), "+OK") {
			h.acceptedAt = d.size()
		}
	}
}

// noteEnds notes which messages have ended.
func (d *dayRecorder) noteEnds() {
	d.s.journal.Flush() // the records of ends, which a turn would write
	for id, h := range d.did {
		if d.s.pending[id] == nil && len(h.calls) > 0 && h.endedAt == never {
			h.endedAt = d.size()
		}
	}
}

// answerLast ends the last call, if there is one in flight.
func (d *dayRecorder) answerLast(text string) {
	last := len(d.calls) - 1
	if last < 0 || d.calls[last].done {
		return
	}
	ids := d.calls[last].ids()
	d.endpointAnswers(text)
	d.noteEnds()
	for _, id := range ids {
		if text == answerFull || text == lastByteUnsent {
			d.did[id].notRun = append(d.did[id].notRun, d.size())
		}
	}
}

// recordedDay runs a process that accepts messages of all classes and whose calls end in all ways. It returns the journal's
// file, what was done, and the clock at the end.
func recordedDay(t *testing.T) (file []byte, did map[choice.MessageID]*messageHistory, end time.Duration) {
	t.Helper()
	d := startRecorder(t)
	const staysOut = "stays out"
	answers := []string{answerOK, answerFull, answerError, "", lastByteUnsent, staysOut, answerOK}
	for no := range 24 {
		d.submitNo(no)
		if text := answers[no%len(answers)]; text != staysOut {
			d.answerLast(text)
		}
	}
	file, err := os.ReadFile(d.path)
	if err != nil {
		t.Fatal(err)
	}
	return file, d.did, d.clock
}

// A process may be killed at any byte of its journal. Wherever that is, the next one starts, owes all that clients were
// told of and that had no end, calls each at most once, and none that is non-idempotent and may have run; and the process
// after that owes nothing.
func TestCutAtEveryByte(t *testing.T) {
	t.Parallel()
	file, did, end := recordedDay(t)
	outs, overs, backs := 0, 0, 0
	for _, h := range did {
		outs, backs = outs+len(h.calls), backs+len(h.notRun)
		if h.endedAt != never {
			overs++
		}
	}
	if outs < 10 || overs < 2 || backs < 2 {
		t.Fatalf("a poor day: %d calls, %d ends, %d proven not to have run", outs, overs, backs)
	}
	dir := t.TempDir()
	for cut := range len(file) + 1 {
		if err := os.WriteFile(filepath.Join(dir, "notices.log"), file[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		// A rewriting that the kill cut off lies beside it: half written, or whole and not renamed yet.
		if err := os.WriteFile(filepath.Join(dir, "notices.new"), file[:len(file)-cut], 0o600); err != nil {
			t.Fatal(err)
		}
		l := recordCalls(t, startAt(twelveEndpointConfig(dir), end+100*time.Millisecond))
		for _, id := range slices.Sorted(maps.Keys(did)) {
			if owed, _, over := did[id].stateAt(int64(cut)); owed && l.s.pending[id] == nil || over && l.s.pending[id] != nil {
				t.Errorf("cut at %d: %s: should be owed %v, is over %v, is owed %v", cut, id, owed, over, l.s.pending[id] != nil)
			}
		}
		l.advanceAnswering(1500*time.Millisecond, 5*time.Millisecond)
		for id, h := range did {
			owed, out, over := h.stateAt(int64(cut))
			once := h.class == "single" || h.class == "line"
			switch calls := l.calls[id]; {
			case calls > 1, calls > 0 && over, calls > 0 && once && out:
				t.Errorf("cut at %d: %s (%s) was called %d times; out before %v, over before %v", cut, id, h.class, calls, out, over)
			case owed && !(once && out) && calls == 0:
				t.Errorf("cut at %d: %s (%s) was not called; the platform was told %q", cut, id, h.class, l.endings[string(id)])
			}
		}
		if len(l.s.pending) > 0 {
			t.Errorf("cut at %d: %d still owed", cut, len(l.s.pending))
		}
		l.s.journal.Flush()
		if again := startAt(twelveEndpointConfig(dir), l.clock); len(again.s.pending) > 0 {
			t.Errorf("cut at %d: %d owed at the start after", cut, len(again.s.pending))
		}
		if t.Failed() {
			return
		}
	}
}

// What a rewriting keeps is what was pending, with all that forbids or limits another call.
func TestRewriteKeepsTheSame(t *testing.T) {
	t.Parallel()
	file, _, end := recordedDay(t)
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "notices.log"), file, 0o600); err != nil {
		t.Fatal(err)
	}
	tell := func(h *harness) (lines []string) {
		for _, m := range h.s.accepted {
			if m.ending.kind != endClosed {
				entry, ran := m.Message, ""
				if m.MayRun {
					ran = m.ranInZoneName
				} else { // nobody asks when and where else
					entry.RanAt, entry.RanIn = 0, 0
				}
				lines = append(lines, fmt.Sprint(entry, m.key, m.className, string(m.body), m.acceptedAt, m.attemptOnRecord, ran, m.ending))
			}
		}
		return lines
	}
	first := startAt(twelveEndpointConfig(dir), end)
	want := tell(first)
	if err := first.s.journal.Rewrite(first.s.records); err != nil {
		t.Fatal(err)
	}
	if got := tell(startAt(twelveEndpointConfig(dir), end)); len(want) == 0 || !slices.Equal(got, want) {
		t.Errorf("%d owed, after a rewriting %d:\n%s\n%s", len(want), len(got), strings.Join(want, "\n"), strings.Join(got, "\n"))
	}
}
