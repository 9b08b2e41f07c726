package sender

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"flaxcove/choice"
)

const (
	okAnswer       = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	rejectedAnswer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
)

// answeredLink sends an order with the body first to endpoint a, lets the endpoint answer it, and returns the link.
func answeredLink(t *testing.T, h *harness, answer string) (l *link, write func(string), read func(suffix string) string, readAll func() string) {
	t.Helper()
	conn, peer := connPair(t, false)
	h.submit("OUT.ADD 00 first c=order,d=20000,dest=1 first")
	c := h.calls[0]
	h.calls = nil
	h.connectionUp(c, conn)
	readUntilSuffix(t, peer, "first")
	peer.Write([]byte(answer))
	h.runUntil(t, "the first call ends", func() bool { return c.done && !c.link.writing })
	write = func(text string) { peer.Write([]byte(text)) }
	read = func(suffix string) string { return readUntilSuffix(t, peer, suffix) }
	return c.link, write, read, func() string { return readToEnd(peer) }
}

// advanceUntilWriting lets time pass in turns until a call is written on the link, for at most a second.
func (h *harness) advanceUntilWriting(t *testing.T, l *link) {
	t.Helper()
	for end := h.clock + time.Second; !l.writing; h.advance(5 * time.Millisecond) {
		if h.clock > end {
			t.Fatal("no call is written on the link within a second")
		}
	}
}

// TestSecondAnswerIsNotTheNextCalls guards against a second copy of an answer that is taken for the answer of the next call
// on the link: a copy of a 200 lost that call's message, a copy of a 503 had it sent twice.
func TestSecondAnswerIsNotTheNextCalls(t *testing.T) {
	for _, answer := range []string{okAnswer, rejectedAnswer} {
		h := start(t.TempDir(), 100)
		l, write, read, readAll := answeredLink(t, h, answer)
		h.submit("OUT.ADD 00 next c=status,d=6000,dest=1 next")
		sent := l.call
		if sent != nil {
			read("next")
		}
		write(answer)
		h.runUntil(t, "the link ends or a call on it", func() bool { return l.partialAnswer != nil || sent != nil && sent.done })
		if m := h.s.pending["next"]; sent != nil || m == nil || m.inFlight == nil || m.MayRun {
			t.Fatalf("copy of %q: call sent on its link %v, message delivered %v, outcomes %v; want no call sent there", answer, sent != nil, m == nil, h.s.counts.outcomes)
		}
		if text := readAll(); text != "" {
			t.Errorf("the endpoint received %q on the link of its second answer", text)
		}
		h.advance(answerSettleTime)
		if n := len(h.calls); n != 1 || h.calls[0].messages[0].ID != "next" {
			t.Errorf("%d calls on new links, want that of the next message", n)
		}
	}
}

// TestCallOnSettledLink checks that a call waits until its link has settled, is not on record before, and is sent on it.
func TestCallOnSettledLink(t *testing.T) {
	h := start(t.TempDir(), 100)
	l, _, read, _ := answeredLink(t, h, okAnswer)
	answered := h.clock
	h.submit("OUT.ADD 00 next c=order,d=20000,dest=1 next")
	h.advance(answered + answerSettleTime - 6*time.Millisecond - h.clock)
	if m := h.s.pending["next"]; l.call != nil || m == nil || m.attemptOnRecord {
		t.Fatalf("before the link has settled it carries %v, and the message is %+v", l.call, m)
	}
	h.advanceUntilWriting(t, l)
	read("next")
	if m := h.s.pending["next"]; l.call == nil || !l.call.reused || !m.attemptOnRecord || len(h.calls) != 0 {
		t.Errorf("call on the settled link: %+v; on record %v; %d calls on new links, want none", l.call, m.attemptOnRecord, len(h.calls))
	}
}

// TestCallExpiresBeforeLinkSettles checks that a call that ends while it waits for a link has not run and says nothing
// about the endpoint, and that the next call is sent on the link.
func TestCallExpiresBeforeLinkSettles(t *testing.T) {
	h := start(t.TempDir(), 100)
	l, _, read, _ := answeredLink(t, h, okAnswer)
	h.submit("OUT.ADD 00 next c=order,d=20000,dest=1 next")
	h.s.expireCall(h.s.pending["next"].inFlight)
	if n := h.s.counts.outcomes[choice.NotRun]; n != 1 {
		t.Errorf("%d outcomes %q, want 1; outcomes %v", n, resultNames[choice.NotRun], h.s.counts.outcomes)
	}
	h.advanceUntilWriting(t, l)
	read("next")
	if m := h.s.pending["next"]; m.attempts != 2 || len(h.calls) != 0 {
		t.Errorf("%d attempts, want 2; %d calls on new links, want none", m.attempts, len(h.calls))
	}
}

// TestLogOfSecondAnswer checks that the log of a link that ends says how long after its last answer more came.
func TestLogOfSecondAnswer(t *testing.T) {
	h := start(t.TempDir(), 100)
	core, logged := observer.New(zap.InfoLevel)
	h.s.log = zap.New(core)
	l, write, _, _ := answeredLink(t, h, okAnswer)
	h.clock += 12 * time.Millisecond
	write(okAnswer)
	h.runUntil(t, "the link ends", func() bool { return l.partialAnswer != nil })
	last := logged.FilterField(zap.String("reason", string(badAnswer))).All()
	if len(last) != 1 || last[0].ContextMap()["error"] != errUnsolicited.Error()+"; 12 ms after its last answer" {
		t.Errorf("logged %+v", logged.All())
	}
}

// TestFastEndpointGetsNewLinks checks that calls to an endpoint that answers at once do not wait for links to settle, as
// that would take up most of the in-flight limit.
func TestFastEndpointGetsNewLinks(t *testing.T) {
	for _, slow := range []bool{false, true} {
		h := start(t.TempDir(), 100)
		l, _, _, _ := answeredLink(t, h, okAnswer)
		l.endpoint.callTimes = callTimes{first: 3 * time.Millisecond, later: 2 * time.Millisecond}
		if slow {
			l.endpoint.callTimes = callTimes{first: 300 * time.Millisecond, later: 200 * time.Millisecond}
		}
		h.submit("OUT.ADD 00 next c=order,d=20000,dest=1 next")
		if dialled := len(h.calls) == 1; dialled == slow {
			t.Errorf("slow endpoint %v: new link %v", slow, dialled)
		}
	}
}

// TestCallTimes checks that the times of first and later calls are kept apart and follow new ones.
func TestCallTimes(t *testing.T) {
	var times callTimes
	times.add(false, 80*time.Millisecond)
	times.add(true, 8*time.Millisecond)
	times.add(true, 16*time.Millisecond)
	if want := (callTimes{first: 80 * time.Millisecond, later: 9 * time.Millisecond}); times != want {
		t.Errorf("%+v, want %+v", times, want)
	}
}
