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
	c.Known.Servers = nil
	for i := range 12 {
		c.Known.Servers = append(c.Known.Servers, directory.Entry{ID: fmt.Sprint("e", i), Addr: "127.0.0.1:1", Zone: "z", Kind: "one", Cell: float64(i), State: "up", Weight: 9})
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

// recordedDay runs a process that accepts messages of all classes and whose calls end in all ways. It returns the journal's
// file, what was done, and the clock at the end.
func recordedDay(t *testing.T) (file []byte, did map[choice.MessageID]*messageHistory, end time.Duration) {
	dir := t.TempDir()
	r := startWith(twelveEndpointConfig(dir))
	path := filepath.Join(dir, "notices.log")
	size := func() int64 {
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		return info.Size()
	}
	did = map[choice.MessageID]*messageHistory{}
	r.s.dial = func(c *call) {
		r.s.recordAttempt(c) // its connection is up at once
		r.s.commit()
		r.calls = append(r.calls, c)
		for _, n := range c.messages {
			did[n.ID].calls = append(did[n.ID].calls, size())
		}
	}
	r.s.postToPlatform = func(string, []byte) (int, error) { return 204, nil }
	ends := func() {
		r.s.journal.Flush() // the records of ends, which a turn would write
		for id, h := range did {
			if r.s.pending[id] == nil && len(h.calls) > 0 && h.endedAt == never {
				h.endedAt = size()
			}
		}
	}
	const staysOut = "stays out"
	answers := []string{answerOK, answerFull, answerError, "", lastByteUnsent, staysOut, answerOK}
	var came []*client
	for i := range 24 {
		class := []string{"pure", "token", "single", "line"}[i%4]
		id := choice.MessageID(fmt.Sprint("n", i))
		did[id] = &messageHistory{class: class, acceptedAt: never, endedAt: never}
		c := newClient()
		came = append(came, c)
		r.handle(c, fmt.Sprintf("OUT.ADD %d %s c=%s,d=8000,dest=%d x", i%5, id, class, i%12))
		r.clock += 5 * time.Millisecond
		r.s.turn()
		for r.s.posting {
			(<-r.s.inbox)()
		}
		ends()
		for j, c := range came {
			if h := did[choice.MessageID(fmt.Sprint("n", j))]; h.acceptedAt == never && strings.Contains(string(c.output), "+OK") {
				h.acceptedAt = size()
			}
		}
		text := answers[i%len(answers)]
		if last := len(r.calls) - 1; last >= 0 && text != staysOut && !r.calls[last].done {
			ids := r.calls[last].ids()
			r.endpointAnswers(text)
			ends()
			for _, id := range ids {
				if text == answerFull || text == lastByteUnsent {
					did[id].notRun = append(did[id].notRun, size())
				}
			}
		}
	}
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return file, did, r.clock
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
	tell := func(r *harness) (lines []string) {
		for _, n := range r.s.accepted {
			if n.ending.kind != endClosed {
				entry, ran := n.Message, ""
				if n.MayRun {
					ran = n.ranInZoneName
				} else { // nobody asks when and where else
					entry.RanAt, entry.RanIn = 0, 0
				}
				lines = append(lines, fmt.Sprint(entry, n.key, n.className, string(n.body), n.acceptedAt, n.attemptOnRecord, ran, n.ending))
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
