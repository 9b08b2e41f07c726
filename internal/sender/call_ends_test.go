package sender

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"flaxcove/choice"
)

// The rows of the table at the head of outcomes.go, over loopback sockets: what each end of a call tells of its message.
func TestEnds(t *testing.T) {
	const no, may, over = "has not run", "may have run", "is over"
	says := func(text string) func(*testing.T, *harness, *call, *net.TCPConn) {
		return func(t *testing.T, h *harness, c *call, peer *net.TCPConn) {
			readUntilSuffix(t, peer, "xyz")
			peer.Write([]byte(strings.ReplaceAll(text, "\n", "\r\n")))
			peer.Close()
		}
	}
	begins := func(text string, then func(*harness, *call, *net.TCPConn)) func(*testing.T, *harness, *call, *net.TCPConn) {
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
	ends := func(h *harness, c *call, _ *net.TCPConn) { h.s.expireCall(c) }
	for _, row := range []struct {
		name   string
		narrow bool // its last byte is not sent
		does   func(*testing.T, *harness, *call, *net.TCPConn)
		result choice.Result
		tells  string
	}{
		{"reset before the last byte", true, func(_ *testing.T, h *harness, c *call, peer *net.TCPConn) { resetConn(peer) }, choice.ConnectFailed, no},
		{"reset before it, behind half an answer", true, begins("HTTP/1.1 503 Full\nCont", resets), choice.ConnectFailed, no},
		{"given up before it", true, func(_ *testing.T, h *harness, c *call, _ *net.TCPConn) { h.s.expireCall(c) }, choice.ConnectFailed, no},
		{"given up before it, behind half an answer", true, begins("HTTP/1.1 503 Full\nCont", ends), choice.ConnectFailed, no},
		{"200 before it, then reset", true, begins("HTTP/1.1 200 OK\nCont", resets), choice.Done, over},
		{"reset after it", false, func(t *testing.T, _ *harness, _ *call, peer *net.TCPConn) {
			readUntilSuffix(t, peer, "xyz")
			resetConn(peer)
		}, choice.Reset, may},
		{"closed after it", false, says(""), choice.Reset, may},
		{"time over", false, func(t *testing.T, h *harness, c *call, peer *net.TCPConn) {
			readUntilSuffix(t, peer, "xyz")
			h.runUntil(t, "it is written", func() bool { return !c.link.writing })
			h.s.expireCall(c)
		}, choice.TimedOut, may},
		{"time over behind a first line with 200", false, begins("HTTP/1.1 200 OK\nContent-Length: 9\n\nok", ends), choice.Done, over},
		{"time over behind half a first line", false, begins("HTTP/1.1 2", ends), choice.Unreadable, may},
		{"half a first line", false, says("HTTP/1.1 2"), choice.Unreadable, may},
		{"a first line with 200 but for its end", false, says("HTTP/1.1 200 OK"), choice.Unreadable, may},
		{"a first line with 503, cut", false, says("HTTP/1.1 503 Full\nCont"), choice.Unreadable, may},
		{"a first line with 200, cut", false, says("HTTP/1.1 200 OK\nCont"), choice.Done, over},
		{"a first line with 200, then noise", false, says("HTTP/1.1 200 OK\nnoise\x00\n\n"), choice.Done, over},
		{"a first line with 200, two lengths", false, says("HTTP/1.1 200 OK\nContent-Length: 1\nContent-Length: 2\n\nok"), choice.Done, over},
		{"noise", false, says("\x00\xff\x01"), choice.Unreadable, may},
		{"an interim answer alone", false, says("HTTP/1.1 102 On\n\n"), choice.Reset, may},
		{"an interim answer, then half a first line", false, says("HTTP/1.1 102 On\n\nHTTP/1.1 20"), choice.Unreadable, may},
		{"an interim answer, then 200", false, says("HTTP/1.1 100 On\n\n" + answerOK), choice.Done, over},
		{"two answers at once", false, says(answerOK + answerError), choice.Done, over},
		{"two answers at once, the other way", false, says(answerError + answerOK), choice.Errored, may},
		{"200", false, says(answerOK), choice.Done, over},
		{"410", false, says("HTTP/1.1 410 Gone\nContent-Length: 0\n\n"), choice.NotRun, over},
		{"429", false, says(answerFull), choice.Rejected, no},
		{"503", false, says("HTTP/1.1 503 Full\nContent-Length: 0\n\n"), choice.Rejected, no},
		{"503, no slot", false, says("HTTP/1.1 503 Full\nX-No-Slot: 1\nContent-Length: 0\n\n"), choice.NotRun, no},
		{"504", false, says("HTTP/1.1 504 Out\nContent-Length: 0\n\n"), choice.NotRun, no},
		{"413", false, says("HTTP/1.1 413 Large\nContent-Length: 0\n\n"), choice.NotRun, no},
		{"500", false, says(answerError), choice.Errored, may},
		{"204", false, says("HTTP/1.1 204 None\n\n"), choice.Errored, may},
		{"202", false, says("HTTP/1.1 202 Later\nContent-Length: 0\n\n"), choice.Errored, may},
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
			row.does(t, h, c, peer)
			h.runUntil(t, "the write ends", func() bool { return !c.link.writing })
			if m.inFlight != nil && c.done {
				h.advance(3 * abandonSettleTime) // it was abandoned
			}
			h.runUntil(t, "the call ends", func() bool { return m.inFlight == nil })
			if row.narrow {
				if s := readToEnd(peer); strings.Count(s, "x") >= len(body) {
					t.Fatal("the row's last byte has left")
				}
			}
			if h.s.counts.outcomes[row.result] != 1 {
				t.Errorf("outcomes %v, want one %s", h.s.counts.outcomes, resultNames[row.result])
			}
			tells := no
			if m.MayRun {
				tells = may
			} else if h.s.pending["id"] == nil {
				tells = over
			}
			if tells != row.tells {
				t.Errorf("its message %s, want: %s", tells, row.tells)
			}
		})
	}
}

// The rows without a connection: refused, never up, no address. TestNoCapacityForAConnection has the one without capacity.
func TestEndsUnconnected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	ln.Close()
	for name, sets := range map[string]func(*harness){
		"refused":    func(h *harness) { h.s.endpoints["a"].addr = closed },
		"no address": func(h *harness) { h.s.endpoints["a"].addr = "" },
	} {
		h := start(t.TempDir(), 100)
		h.s.dial = h.s.dialEndpoint
		sets(h)
		h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 x")
		m := h.s.pending["id"]
		h.runUntil(t, name, func() bool { return m.inFlight == nil })
		if m.MayRun || h.s.counts.outcomes[choice.ConnectFailed] != 1 || h.s.openLinks != 0 {
			t.Errorf("%s: may run %v, outcomes %v, open %d", name, m.MayRun, h.s.counts.outcomes, h.s.openLinks)
		}
	}
	h := start(t.TempDir(), 100)
	h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 x")
	h.s.expireCall(h.calls[0])
	if m := h.s.pending["id"]; m.MayRun || m.inFlight != nil || h.s.counts.outcomes[choice.ConnectFailed] != 1 {
		t.Errorf("never up: may run %v, out %v", m.MayRun, m.inFlight != nil)
	}
}

// The rows of a bulk call: only its complete answer counts.
func TestEndsBundle(t *testing.T) {
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
		c, n1, n2 := h.calls[0], h.s.pending["o1"], h.s.pending["o2"]
		h.connectionUp(c, conn)
		readUntilSuffix(t, peer, "]")
		peer.Write([]byte(row.text))
		peer.Close()
		h.runUntil(t, row.name, func() bool { return n1.inFlight == nil && n2.inFlight == nil })
		var want [choice.Unreadable + 1]int64
		want[row.o1]++
		want[row.o2]++
		if h.s.counts.outcomes != want {
			t.Errorf("%s: outcomes %v, want %v", row.name, h.s.counts.outcomes, want)
		}
	}
}

// An answer may come before the request's end. Its link carries no other call until then, or the bytes of both would mix, and
// is closed if the endpoint does not read the rest soon.
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
			t.Errorf("idle %d while a request is written, delivered %v", len(e.idle), h.s.pending["first"] == nil)
		}
		if reads {
			if text := readUntilSuffix(t, peer, body); !strings.HasPrefix(text, "OST /inbox") {
				t.Errorf("heard %.20q", text)
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
			t.Errorf("rest read %v: idle %v, closing %v", reads, idle, l.closing)
		}
	}
}

// Interim answers do not start the time within which the rest of an answer is due.
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
		if tell, err := l.read(conn); (tell != nil) != piece.event || err != nil {
			t.Errorf("%q: event %v, %v", piece.text, tell != nil, err)
		}
	}
	if l.answer.Status() != 200 {
		t.Errorf("status %d", l.answer.Status())
	}
}
