package sender

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// TestRequestsOfLeftClientsAreDiscarded guards against requests that are sent to endpoints after their client has closed its
// connection with them unread or unanswered. The client may have submitted them elsewhere.
func TestRequestsOfLeftClientsAreDiscarded(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	const commands = 100
	blocked := make(chan struct{})
	s.post(func() { <-blocked }) // the loop handles no command meanwhile
	var text strings.Builder
	for i := range commands {
		text.WriteString(addText(fmt.Sprint("left", i)))
	}
	conn := dial(text.String())
	c := clientOf(t, s, conn)
	waitUntil(t, "all commands are read", func() bool { return c.unanswered.Load() == commands })
	conn.(*net.TCPConn).SetLinger(0) // the end is a reset
	conn.Close()
	waitUntil(t, "the end of the connection is noticed", c.left.Load)
	close(blocked)
	waitOnLoop(t, s, "the commands are discarded", func() bool { return c.unanswered.Load() == 0 })
	onLoop(t, s, func() {
		if s.counts.submitted != 0 || s.counts.abandoned != commands || s.holders.input.Held() != 0 {
			t.Errorf("%d commands handled, %d discarded, %d bytes of input held; want 0, %d and 0",
				s.counts.submitted, s.counts.abandoned, s.holders.input.Held(), commands)
		}
	})
	s.Drain()
	<-done
}

// TestMessageOfLeftClientIsNotAccepted guards against a message that runs although its client left before it was accepted, and
// against one that is accepted twice when it comes again in the same turn: the client that waits is answered, and it runs once.
func TestMessageOfLeftClientIsNotAccepted(t *testing.T) {
	const text = "OUT.ADD 0 m c=status,d=6000,dest=1 x"
	for _, again := range []bool{false, true} {
		h := start("", 100)
		defer os.RemoveAll(h.dir)
		gone, waiting := newClient(), newClient()
		h.handle(gone, text)
		gone.left.Store(true)
		if again {
			h.handle(waiting, text)
		}
		h.advance(5 * time.Millisecond)
		want := int64(0)
		if again {
			want = 1
		}
		if h.s.counts.accepted != want || int64(len(h.s.pending)) != want || int64(len(h.calls)) != want || (h.s.holders.messages.Held() > 0) != again {
			t.Errorf("it comes again: %v; %d accepted, %d pending, %d calls, want %d each", again, h.s.counts.accepted, len(h.s.pending), len(h.calls), want)
		}
		if got := string(waiting.output); again && got != "+OK\r\n" {
			t.Errorf("the client that waits got %q", got)
		}
	}
}
