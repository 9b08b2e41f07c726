package sender

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"flaxcove/choice"
)

// TestCallOutcomes tests the rows of the table at the head of outcomes.go over loopback sockets: the result of each end of a
// call, and whether its message may have run.
func TestCallOutcomes(t *testing.T) {
	const notRun, mayHaveRun, closed = "has not run", "may have run", "is closed"
	answers := func(text string) func(*testing.T, *harness, *call, *net.TCPConn) {
		return func(t *testing.T, h *harness, c *call, peer *net.TCPConn) {
			readUntilSuffix(t, peer, "xyz")
			peer.Write([]byte(strings.ReplaceAll(text, "\n", "\r\n")))
			peer.Close()
		}
	}
	beginsAnswer := func(text string, then func(*harness, *call, *net.TCPConn)) func(*testing.T, *harness, *call, *net.TCPConn) {
		return func(t *testing.T, h *harness, c *call, peer *net.TCPConn) {
			if m := c.messages[0]; len(m.body) == 3 {
				readUntilSuffix(t, peer, string(m.body))
			}
			peer.Write([]byte(strings.ReplaceAll(text, "\n", "\r\n")))
			h.runUntil(t, "the answer begins", func() bool { return c.link.answeringCall == c })
			then(h, c, peer)
		}
	}
	resets := func(_ *harness, _ *call, peer *net.TCPConn) { resetConn(peer) }
	expires := func(h *harness, c *call, _ *net.TCPConn) { h.s.expireCall(c) }
	for _, row := range []struct {
		name    string
		narrow  bool // the last byte is not sent
		end     func(*testing.T, *harness, *call, *net.TCPConn)
		result  choice.Result
		message string // state of the message afterwards
	}{
		{"reset before the last byte", true, func(_ *testing.T, h *harness, c *call, peer *net.TCPConn) { resetConn(peer) }, choice.ConnectFailed, notRun},
		{"reset before the last byte, after half an answer", true, beginsAnswer("HTTP/1.1 503 Full\nCont", resets), choice.ConnectFailed, notRun},
		{"abandoned before the last byte", true, func(_ *testing.T, h *harness, c *call, _ *net.TCPConn) { h.s.expireCall(c) }, choice.ConnectFailed, notRun},
		{"abandoned before the last byte, after half an answer", true, beginsAnswer("HTTP/1.1 503 Full\nCont", expires), choice.ConnectFailed, notRun},
		{"200 before the last byte, then reset", true, beginsAnswer("HTTP/1.1 200 OK\nCont", resets), choice.Done, closed},
		{"reset after the last byte", false, func(t *testing.T, _ *harness, _ *call, peer *net.TCPConn) {
			readUntilSuffix(t, peer, "xyz")
			resetConn(peer)
		}, choice.Reset, mayHaveRun},
		{"closed after the last byte", false, answers(""), choice.Reset, mayHaveRun},
		{"timed out", false, func(t *testing.T, h *harness, c *call, peer *net.TCPConn) {
			readUntilSuffix(t, peer, "xyz")
			h.runUntil(t, "the call is written", func() bool { return !c.link.writing })
			h.s.expireCall(c)
		}, choice.TimedOut, mayHaveRun},
		{"timed out after a first line with 200", false, beginsAnswer("HTTP/1.1 200 OK\nContent-Length: 9\n\nok", expires), choice.Done, closed},
		{"timed out after half a first line", false, beginsAnswer("HTTP/1.1 2", expires), choice.Unreadable, mayHaveRun},
		{"half a first line", false, answers("HTTP/1.1 2"), choice.Unreadable, mayHaveRun},
		{"a first line with 200 without its line break", false, answers("HTTP/1.1 200 OK"), choice.Unreadable, mayHaveRun},
		{"a first line with 503, then cut off", false, answers("HTTP/1.1 503 Full\nCont"), choice.Unreadable, mayHaveRun},
		{"a first line with 200, then cut off", false, answers("HTTP/1.1 200 OK\nCont"), choice.Done, closed},
		{"a first line with 200, then noise", false, answers("HTTP/1.1 200 OK\nnoise\x00\n\n"), choice.Done, closed},
		{"a first line with 200, two lengths", false, answers("HTTP/1.1 200 OK\nContent-Length: 1\nContent-Length: 2\n\nok"), choice.Done, closed},
		{"noise", false, answers("\x00\xff\x01"), choice.Unreadable, mayHaveRun},
		{"an interim answer alone", false, answers("HTTP/1.1 102 On\n\n"), choice.Reset, mayHaveRun},
		{"an interim answer, then half a first line", false, answers("HTTP/1.1 102 On\n\nHTTP/1.1 20"), choice.Unreadable, mayHaveRun},
		{"an interim answer, then 200", false, answers("HTTP/1.1 100 On\n\n" + answerOK), choice.Done, closed},
		{"two answers in one write, 200 first", false, answers(answerOK + answerError), choice.Done, closed},
		{"two answers in one write, 500 first", false, answers(answerError + answerOK), choice.Errored, mayHaveRun},
		{"200", false, answers(answerOK), choice.Done, closed},
		{"410", false, answers("HTTP/1.1 410 Gone\nContent-Length: 0\n\n"), choice.NotRun, closed},
		{"429", false, answers(answerFull), choice.Rejected, notRun},
		{"503", false, answers("HTTP/1.1 503 Full\nContent-Length: 0\n\n"), choice.Rejected, notRun},
		{"503, no slot", false, answers("HTTP/1.1 503 Full\nX-No-Slot: 1\nContent-Length: 0\n\n"), choice.NotRun, notRun},
		{"429 without a length", false, answers("HTTP/1.1 429 Wait\nRetry-After: 9\nConnection: close\n\nshut"), choice.Rejected, notRun},
		{"503 without a length", false, answers("HTTP/1.1 503 Full\n\nshut"), choice.Rejected, notRun},
		{"503 without a length, no slot", false, answers("HTTP/1.1 503 Full\nX-No-Slot: 1\n\nshut"), choice.NotRun, notRun},
		{"410 without a length", false, answers("HTTP/1.1 410 Gone\n\ngone"), choice.NotRun, closed},
		{"500 without a length", false, answers("HTTP/1.0 500 Error\n\nfailed"), choice.Errored, mayHaveRun},
		{"503 without a length, then reset", false, beginsAnswer("HTTP/1.1 503 Full\n\nshut", resets), choice.Unreadable, mayHaveRun},
		{"503 without a length, then expired", false, beginsAnswer("HTTP/1.1 503 Full\n\nshut", expires), choice.Unreadable, mayHaveRun},
		{"503 with half its length", false, answers("HTTP/1.1 503 Full\nContent-Length: 9\n\nshut"), choice.Unreadable, mayHaveRun},
		{"504", false, answers("HTTP/1.1 504 Out\nContent-Length: 0\n\n"), choice.NotRun, notRun},
		{"413", false, answers("HTTP/1.1 413 Large\nContent-Length: 0\n\n"), choice.NotRun, notRun},
		{"500", false, answers(answerError), choice.Errored, mayHaveRun},
		{"204", false, answers("HTTP/1.1 204 None\n\n"), choice.Errored, mayHaveRun},
		{"202", false, answers("HTTP/1.1 202 Later\nContent-Length: 0\n\n"), choice.Errored, mayHaveRun},
	} {
		t.Run(row.name, func(t *testing.T) {
			conn, peer := connPair(t, row.narrow)
			h := start(t.TempDir(), 100)
			body := "xyz"
			if row.narrow {
				body = strings.Repeat("x", 60000)
			}
			h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 " + body)
			c, m := h.calls[0], h.s.pending["id"]
			h.connectionUp(c, conn)
			if row.narrow {
				if _, err := peer.Read(make([]byte, 1)); err != nil {
					t.Fatal(err)
				}
			}
			row.end(t, h, c, peer)
			h.runUntil(t, "the write ends", func() bool { return !c.link.writing })
			if m.inFlight != nil && c.done {
				h.advance(3 * abandonSettleTime) // the call was abandoned
			}
			h.runUntil(t, "the call ends", func() bool { return m.inFlight == nil })
			if row.narrow {
				if s := readToEnd(peer); strings.Count(s, "x") >= len(body) {
					t.Fatal("the request's last byte was sent, contrary to the row")
				}
			}
			if h.s.counts.outcomes[row.result] != 1 {
				t.Errorf("outcomes %v, want one %s", h.s.counts.outcomes, resultNames[row.result])
			}
			state := notRun
			if m.MayRun {
				state = mayHaveRun
			} else if h.s.pending["id"] == nil {
				state = closed
			}
			if state != row.message {
				t.Errorf("the message %s, want: %s", state, row.message)
			}
		})
	}
}

// TestCallOutcomesUnconnected tests the rows without a connection: refused, never established, no address.
// TestNoCapacityForAConnection tests the row without capacity.
func TestCallOutcomesUnconnected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddr := ln.Addr().String()
	ln.Close()
	for name, setUp := range map[string]func(*harness){
		"refused":    func(h *harness) { h.s.endpoints["a"].addr = closedAddr },
		"no address": func(h *harness) { h.s.endpoints["a"].addr = "" },
	} {
		h := start(t.TempDir(), 100)
		h.s.dial = h.s.dialEndpoint
		setUp(h)
		h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 x")
		m := h.s.pending["id"]
		h.runUntil(t, name+": the call ends", func() bool { return m.inFlight == nil })
		if m.MayRun || h.s.counts.outcomes[choice.ConnectFailed] != 1 || h.s.openLinks != 0 {
			t.Errorf("%s: message may have run %v, outcomes %v, %d open links", name, m.MayRun, h.s.counts.outcomes, h.s.openLinks)
		}
	}
	h := start(t.TempDir(), 100)
	h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 x")
	h.s.expireCall(h.calls[0])
	if m := h.s.pending["id"]; m.MayRun || m.inFlight != nil || h.s.counts.outcomes[choice.ConnectFailed] != 1 {
		t.Errorf("never established: message may have run %v, in flight %v", m.MayRun, m.inFlight != nil)
	}
}

// TestCallOutcomesBulk tests the rows of bulk calls, of which only a complete answer counts.
func TestCallOutcomesBulk(t *testing.T) {
	const states = `[{"id":"o1","state":"ok"},{"id":"o2","state":"later"}]`
	for _, row := range []struct {
		name, text string
		o1, o2     choice.Result
	}{
		{"whole", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(states), states), choice.Done, choice.Rejected},
		{"cut", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(states), states[:len(states)-1]), choice.Unreadable, choice.Unreadable},
		{"length too short", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(states)-1, states), choice.Unreadable, choice.Unreadable},
		{"first line alone", "HTTP/1.1 200 OK\r\n", choice.Unreadable, choice.Unreadable},
		{"full", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", choice.Rejected, choice.Rejected},
		{"nothing", "", choice.Reset, choice.Reset},
	} {
		conn, peer := connPair(t, false)
		h := start(t.TempDir(), 100)
		h.submit("OUT.ADD 0 o1 c=order,d=20000,dest=2 xyz", "OUT.ADD 0 o2 c=order,d=20000,dest=2 xyz")
		c, m1, m2 := h.calls[0], h.s.pending["o1"], h.s.pending["o2"]
		h.connectionUp(c, conn)
		readUntilSuffix(t, peer, "]")
		peer.Write([]byte(row.text))
		peer.Close()
		h.runUntil(t, row.name+": the call ends", func() bool { return m1.inFlight == nil && m2.inFlight == nil })
		var want [choice.Unreadable + 1]int64
		want[row.o1]++
		want[row.o2]++
		if h.s.counts.outcomes != want {
			t.Errorf("%s: outcomes %v, want %v", row.name, h.s.counts.outcomes, want)
		}
	}
}

// TestAnswerBeforeRequestEnds checks a call that is answered before its request is written completely. Its link carries no
// other call until the write ends, or the bytes of both calls would mix, and is closed if the endpoint does not read the
// rest within answerRestTimeout.
func TestAnswerBeforeRequestEnds(t *testing.T) {
	for _, reads := range []bool{true, false} {
		conn, peer := connPair(t, true)
		h := start(t.TempDir(), 100)
		body := strings.Repeat("x", 60000)
		h.submit("OUT.ADD 00 first c=order,d=20000,dest=1 " + body)
		c, e := h.calls[0], h.s.endpoints["a"]
		h.connectionUp(c, conn)
		l := c.link
		if _, err := peer.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		peer.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		h.runUntil(t, "the call ends", func() bool { return c.done })
		if len(e.idle) != 0 || h.s.pending["first"] != nil {
			t.Errorf("%d idle links while a request is written, want none; delivered %v, want true", len(e.idle), h.s.pending["first"] == nil)
		}
		if reads {
			if text := readUntilSuffix(t, peer, body); !strings.HasPrefix(text, "OST /inbox") {
				t.Errorf("received a request that begins with %.20q", text)
			}
			h.runUntil(t, "the write ends", func() bool { return !l.writing })
		} else {
			l.bufferLock.Lock()
			h.clock += 2 * answerRestTimeout
			l.bufferLock.Unlock()
			h.s.turn()
			h.runUntil(t, "the link ends", func() bool { return h.s.openLinks == 0 && !l.writing })
		}
		if idle := len(e.idle) == 1; idle != reads || l.closing == reads {
			t.Errorf("rest of the request read %v: link idle %v, closing %v", reads, idle, l.closing)
		}
	}
}

// TestInterimAnswer checks that interim answers do not start the time limit for the rest of an answer.
func TestInterimAnswer(t *testing.T) {
	conn, peer := connPair(t, false) // read by the test alone
	l := &link{conn: conn}
	l.awaitingAnswer.Store(true)
	conn.SetReadTimeout(connTestTimeout)
	for _, piece := range []struct {
		text  string
		event bool
	}{{"HTTP/1.1 102 On\r\n\r\n", false}, {"HTTP/1.1 100 On\r\n\r\nHTTP/1.1 103 On\r\nLink: x\r\n\r\n", false}, {"HTTP/1.1 2", true}, {"00 OK\r\n", false}} {
		peer.Write([]byte(piece.text))
		if _, err := conn.Reader().Peek(len(piece.text)); err != nil {
			t.Fatal(err)
		}
		if event, err := l.read(conn); (event != nil) != piece.event || err != nil {
			t.Errorf("%q: event %v, want %v; error %v", piece.text, event != nil, piece.event, err)
		}
	}
	if l.answer.Status() != 200 {
		t.Errorf("status of the answer %d, want 200", l.answer.Status())
	}
}

// TestWaitInAnswerWithoutLength guards against a Retry-After that is ignored because the end of the connection ends its answer:
// no call goes to the endpoint until the wait is over.
func TestWaitInAnswerWithoutLength(t *testing.T) {
	conn, peer := connPair(t, false)
	h := start(t.TempDir(), 100)
	h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 xyz")
	h.connectionUp(h.calls[0], conn)
	h.calls = nil
	readUntilSuffix(t, peer, "xyz")
	peer.Write([]byte("HTTP/1.1 429 Wait\r\nRetry-After: 9\r\nConnection: close\r\n\r\nshut"))
	peer.Close()
	h.runUntil(t, "the call ends", func() bool { return h.s.pending["id"] == nil || h.s.pending["id"].inFlight == nil })
	h.submit("OUT.ADD 00 next c=order,d=20000,dest=1 xyz").advance(8 * time.Second)
	if h.s.pending["id"] == nil || len(h.calls) != 0 {
		t.Fatalf("within the wait: the message is pending %v, %d calls", h.s.pending["id"] != nil, len(h.calls))
	}
	if h.advance(2 * time.Second); len(h.calls) == 0 {
		t.Error("no call after the wait")
	}
}

// TestBulkAnswerWithoutLength checks that the states in the answer to a bulk call count if the end of the connection ends it.
func TestBulkAnswerWithoutLength(t *testing.T) {
	conn, peer := connPair(t, false)
	h := start(t.TempDir(), 100)
	h.submit("OUT.ADD 00 s1 c=order,d=20000,dest=2 xyz", "OUT.ADD 00 s2 c=order,d=20000,dest=2 xyz")
	first, second := h.s.pending["s1"], h.s.pending["s2"]
	h.connectionUp(h.calls[0], conn)
	readUntilSuffix(t, peer, "]")
	peer.Write([]byte("HTTP/1.1 200 OK\r\n\r\n" + `[{"id":"s1","state":"ok"},{"id":"s2","state":"later"}]`))
	peer.Close()
	h.runUntil(t, "the call ends", func() bool { return first.inFlight == nil && second.inFlight == nil })
	if h.s.pending["s1"] != nil || h.s.pending["s2"] == nil || second.MayRun {
		t.Errorf("s1 is pending %v; s2 is pending %v and may have run %v", h.s.pending["s1"] != nil, h.s.pending["s2"] != nil, second.MayRun)
	}
}
