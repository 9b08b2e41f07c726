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

// messageHistory is what an earlier process did with a message. Each step is given as the size of the journal's file in bytes
// at that moment; never stands for a step that was not made.
type messageHistory struct {
	class      string
	acceptedAt int64   // when +OK was answered
	calls      []int64 // when each call began
	notRun     []int64 // when calls were proven not to have run
	endedAt    int64   // when the message was closed
}

// twelveEndpointConfig returns a configuration with one endpoint for each of twelve destinations.
func twelveEndpointConfig(dir string) *config.Config {
	c := fourClassConfig(dir, 100)
	c.InitialList.Entries = nil
	for i := range 12 {
		c.InitialList.Entries = append(c.InitialList.Entries, directory.Entry{ID: fmt.Sprint("e", i), Addr: "127.0.0.1:1", Zone: "z", Kind: "one", Destination: float64(i), State: "up", Weight: 9})
	}
	return c
}

// never is a size that the journal's file does not reach.
const never = int64(1) << 60

// stateAt returns the state of the message if the file is cut off after cut bytes: whether it is accepted and not closed
// (pending), whether a call of it may have run (mayRun), and whether it is closed (closed).
func (h *messageHistory) stateAt(cut int64) (pending, mayRun, closed bool) {
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

// historyRecorder is a process that records the history of each message.
type historyRecorder struct {
	*harness
	t       *testing.T
	path    string // path of the journal's file
	history map[choice.MessageID]*messageHistory
	clients []*client // one for each message, by number
}

// messageNo returns the id of the message with a number.
func messageNo(no int) choice.MessageID { return choice.MessageID(fmt.Sprint("n", no)) }

// startRecorder starts a process without messages.
func startRecorder(t *testing.T) *historyRecorder {
	t.Helper()
	dir := t.TempDir()
	d := &historyRecorder{harness: startWith(twelveEndpointConfig(dir)), t: t, path: filepath.Join(dir, "notices.log"),
		history: map[choice.MessageID]*messageHistory{}}
	d.s.dial = func(c *call) {
		d.s.recordAttempt(c) // as if the connection were established at once
		d.s.commit()
		d.calls = append(d.calls, c)
		for _, m := range c.messages {
			d.history[m.ID].calls = append(d.history[m.ID].calls, d.size())
		}
	}
	d.s.postToPlatform = func(string, []byte) (int, error) { return 204, nil }
	return d
}

// size returns the size of the journal's file in bytes.
func (d *historyRecorder) size() int64 {
	info, err := os.Stat(d.path)
	if err != nil {
		d.t.Fatal(err)
	}
	return info.Size()
}

// submitNo submits a message and ends the turn.
func (d *historyRecorder) submitNo(no int) {
	class, id := []string{"pure", "token", "single", "line"}[no%4], messageNo(no)
	d.history[id] = &messageHistory{class: class, acceptedAt: never, endedAt: never}
	c := newClient()
	d.clients = append(d.clients, c)
	d.handle(c, fmt.Sprintf("OUT.ADD %d %s c=%s,d=8000,dest=%d x", no%5, id, class, no%12))
	d.clock += 5 * time.Millisecond
	d.s.turn()
	for d.s.posting {
		(<-d.s.inbox)()
	}
	d.recordEnds()
	for j, c := range d.clients {
		if h := d.history[messageNo(j)]; h.acceptedAt == never && strings.Contains(string(c.output), "+OK") {
			h.acceptedAt = d.size()
		}
	}
}

// recordEnds records which messages have been closed.
func (d *historyRecorder) recordEnds() {
	d.s.journal.Flush() // writes the records of ends before the next turn does
	for id, h := range d.history {
		if d.s.pending[id] == nil && len(h.calls) > 0 && h.endedAt == never {
			h.endedAt = d.size()
		}
	}
}

// answerLast ends the last call with an answer, if it is in flight.
func (d *historyRecorder) answerLast(text string) {
	last := len(d.calls) - 1
	if last < 0 || d.calls[last].done {
		return
	}
	ids := d.calls[last].ids()
	d.endpointAnswers(text)
	d.recordEnds()
	for _, id := range ids {
		if text == answerFull || text == lastByteUnsent {
			d.history[id].notRun = append(d.history[id].notRun, d.size())
		}
	}
}

// recordRun runs a process that accepts messages of all classes and whose calls end in all ways. It returns the content of
// the journal's file, the history of the messages, and the harness clock at the end.
func recordRun(t *testing.T) (file []byte, history map[choice.MessageID]*messageHistory, end time.Duration) {
	t.Helper()
	d := startRecorder(t)
	const noAnswer = "no answer"
	answers := []string{answerOK, answerFull, answerError, "", lastByteUnsent, noAnswer, answerOK}
	for no := range 24 {
		d.submitNo(no)
		if text := answers[no%len(answers)]; text != noAnswer {
			d.answerLast(text)
		}
	}
	file, err := os.ReadFile(d.path)
	if err != nil {
		t.Fatal(err)
	}
	return file, d.history, d.clock
}

// TestCutAtEveryByte checks the start after a kill that cuts the journal's file off at any byte. Every message that was
// answered +OK and not closed by then must be pending. Each message is called at most once, and a non-idempotent message that
// may have run is not called. At the start after that, no message is pending.
func TestCutAtEveryByte(t *testing.T) {
	t.Parallel()
	file, histories, end := recordRun(t)
	calls, closes, notRun := 0, 0, 0
	for _, h := range histories {
		calls, notRun = calls+len(h.calls), notRun+len(h.notRun)
		if h.endedAt != never {
			closes++
		}
	}
	if calls < 10 || closes < 2 || notRun < 2 {
		t.Fatalf("the recorded run covers too little: %d calls, %d closed messages, %d calls proven not to have run", calls, closes, notRun)
	}
	dir := t.TempDir()
	for cut := range len(file) + 1 {
		if err := os.WriteFile(filepath.Join(dir, "notices.log"), file[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		// The file of a rewrite that the kill interrupted: incomplete, or complete and not renamed yet.
		if err := os.WriteFile(filepath.Join(dir, "notices.new"), file[:len(file)-cut], 0o600); err != nil {
			t.Fatal(err)
		}
		l := recordCalls(t, startAt(twelveEndpointConfig(dir), end+100*time.Millisecond))
		for _, id := range slices.Sorted(maps.Keys(histories)) {
			if pending, _, closed := histories[id].stateAt(int64(cut)); pending && l.s.pending[id] == nil || closed && l.s.pending[id] != nil {
				t.Errorf("cut at %d: message %s is pending: %v; before the kill it was pending: %v, closed: %v", cut, id, l.s.pending[id] != nil, pending, closed)
			}
		}
		l.advanceAnswering(1500*time.Millisecond, 5*time.Millisecond)
		for id, h := range histories {
			pending, mayRun, closed := h.stateAt(int64(cut))
			nonIdempotent := h.class == "single" || h.class == "line"
			switch calls := l.calls[id]; {
			case calls > 1, calls > 0 && closed, calls > 0 && nonIdempotent && mayRun:
				t.Errorf("cut at %d: message %s (%s) was called %d times; before the kill it may have run: %v, closed: %v", cut, id, h.class, calls, mayRun, closed)
			case pending && !(nonIdempotent && mayRun) && calls == 0:
				t.Errorf("cut at %d: message %s (%s) was not called; its reported outcome is %q", cut, id, h.class, l.endings[string(id)])
			}
		}
		if len(l.s.pending) > 0 {
			t.Errorf("cut at %d: %d messages are still pending", cut, len(l.s.pending))
		}
		l.s.journal.Flush()
		if again := startAt(twelveEndpointConfig(dir), l.clock); len(again.s.pending) > 0 {
			t.Errorf("cut at %d: %d messages are pending at the next start", cut, len(again.s.pending))
		}
		if t.Failed() {
			return
		}
	}
}

// TestRewriteKeepsPendingMessages checks that a rewritten journal restores the same pending messages, with everything
// that forbids or limits another call.
func TestRewriteKeepsPendingMessages(t *testing.T) {
	t.Parallel()
	file, _, end := recordRun(t)
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "notices.log"), file, 0o600); err != nil {
		t.Fatal(err)
	}
	describe := func(h *harness) (lines []string) {
		for _, m := range h.s.accepted {
			if m.ending.kind != endClosed {
				entry, ran := m.Message, ""
				if m.MayRun {
					ran = m.ranInZoneName
				} else { // the time and the zone are not used
					entry.RanAt, entry.RanIn = 0, 0
				}
				lines = append(lines, fmt.Sprint(entry, m.key, m.className, string(m.body), m.acceptedAt, m.attemptOnRecord, ran, m.ending))
			}
		}
		return lines
	}
	first := startAt(twelveEndpointConfig(dir), end)
	want := describe(first)
	if err := first.s.rewriteJournal(); err != nil {
		t.Fatal(err)
	}
	if got := describe(startAt(twelveEndpointConfig(dir), end)); len(want) == 0 || !slices.Equal(got, want) {
		t.Errorf("%d pending messages, %d after a rewrite:\n%s\n%s", len(want), len(got), strings.Join(want, "\n"), strings.Join(got, "\n"))
	}
}
