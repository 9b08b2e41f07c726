package sender

import (
	"testing"

	"flaxcove/choice"
)

// TestCallAfterWaitForCapacity guards against an order that is sent twice: a call that had to wait until this process could
// open a connection, and was then sent on a link that became idle, ended at its timeout as one that was never sent.
func TestCallAfterWaitForCapacity(t *testing.T) {
	conn, peer := connPair(t, false)
	h := start(t.TempDir(), 100)
	l := h.idleLink(t, "a", conn)
	h.s.maxLinks = 1
	h.submit("OUT.ADD 00 one c=order,d=20000,dest=1 body", "OUT.ADD 00 two c=order,d=20000,dest=1 body")
	readUntilSuffix(t, peer, "body")
	sent, waiting := l.call, h.s.pending["one"].inFlight
	if sent == waiting {
		waiting = h.s.pending["two"].inFlight
	}
	if !waiting.awaitingCapacity {
		t.Fatal("the other call does not wait for a connection")
	}
	peer.Write([]byte(okAnswer))
	h.runUntil(t, "the first call ends", func() bool { return sent.done && !l.writing })
	h.advanceUntilWriting(t, l)
	readUntilSuffix(t, peer, "body")
	h.runUntil(t, "the call that waited is written", func() bool { return !l.writing })
	h.s.expireCall(waiting)
	h.advance(3 * abandonSettleTime)
	if n := h.s.counts.outcomes; n[choice.TimedOut] != 1 || n[choice.NotRun] != 0 {
		t.Errorf("outcomes %v; want the call that waited to have timed out, as it may have run", n)
	}
}
