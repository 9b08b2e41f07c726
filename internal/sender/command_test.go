package sender

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// An invalid command is answered with an error that says what is wrong, and no message is accepted. An id that is submitted
// again is answered +OK.
func Example_commands() {
	h := start("", 3).submit("PING", "ping hello", "FLUSHALL", "OUT.ADD 00 a", "OUT.ADD 00 a c=nil,d=1,dest=1 x",
		"OUT.ADD 00 a c=status,d=-1,dest=1 x", "OUT.ADD 00 a c=status,d=1e99,dest=1 x", "OUT.ADD 00 a c=status,d=0x10,dest=1 x",
		"OUT.ADD 00 a c=status,d=900,dest=1.5 x", "OUT.ADD 00 \"a c=status,d=900,dest=1 x", "OUT.ADD 00 new c=status,d=900,dest=9,x=y,r=1 x")
	h.submit("OUT.ADD 00 new c=status,d=900,dest=9 x", "OUT.ADD 00 soon c=status,d=1,dest=9 x")
	h.submit("OUT.ADD 00 two c=status,d=6000,dest=9 x", "OUT.ADD 00 three c=status,d=6000,dest=9 x", "OUT.ADD 00 four c=status,d=6000,dest=9 x")
	// Until discovery has sent a list, an unknown destination may be a new one and is answered -BUSY.
	h.submit("OUT.ADD 00 five c=status,d=6000,dest=77 x").updateList(`{"version":2}`).submit("OUT.ADD 00 five c=status,d=6000,dest=77 x")
	os.RemoveAll(h.dir)
	// Output:
	// client: +PONG
	// client: $5
	// client: hello
	// client: -ERR unknown command
	// client: -ERR OUT.ADD takes a key, an id, a list and a body, not 2 arguments
	// client: -ERR c: no class "nil"
	// client: -ERR d: milliseconds, above 0 and within a day
	// client: -ERR d: milliseconds, above 0 and within a day
	// client: -ERR d: milliseconds, above 0 and within a day
	// client: -ERR dest: a whole number
	// client: -ERR key and id: up to 128 visible characters each
	// client: +OK
	// client: +OK
	// client: -BUSY 200
	// platform: {"message":"new","outcome":"handed_back","retry_in_ms":200}
	// client: +OK
	// client: +OK
	// client: -BUSY 2000
	// client: -BUSY 2000
	// client: -ERR dest: no such destination
}

// TestErrorQuotesLittle guards against answers that are several times as long as the command: an unknown class of 65,000
// control characters was quoted whole, with four characters for each.
func TestErrorQuotesLittle(t *testing.T) {
	h := startWith(loadedConfig(t, t.TempDir(), settingsWith(t), knownList(t)))
	c := newClient()
	c.count()
	class := bytes.Repeat([]byte{1}, 65000)
	h.s.handleCommand(c, [][]byte{[]byte("OUT.ADD"), []byte("0"), []byte("id"), slices.Concat([]byte("d=9,dest=1,c="), class), []byte("x")})
	const most = 512 // bytes
	if !bytes.HasPrefix(c.output, []byte("-ERR c: no class")) || len(c.output) > most {
		t.Errorf("answer of %d bytes: %.100q", len(c.output), c.output)
	}
}

// Late in a graceful shutdown no call begins and messages are rejected. Pending messages stay in the journal.
func Example_drain() {
	h := start("", 100)
	h.s.startDrain(h.clock)
	h.submit("OUT.ADD 00 early c=status,d=6000,dest=1 x").endpointAnswers(strings.Replace(answerFull, "0.4", "4", 1))
	h.advance(3 * time.Second)
	h.submit("OUT.ADD 00 late c=status,d=6000,dest=1 x").printPending()
	h.advance(400 * time.Millisecond)
	fmt.Println("ended:", h.s.ended)
	start(h.dir, 100).printPending()
	os.RemoveAll(h.dir)
	// Output:
	// call a: POST /inbox
	//    early
	// client: +OK
	// client: -BUSY 2000
	// owed: 1 to the platform: 0
	// ended: true
	// owed: 1 to the platform: 0
}

// At a graceful shutdown idle clients are closed. A client that connects after the signal may still send one command.
func Example_drainClients() {
	h := start("", 100)
	connect := func() *client {
		pair, _ := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		conn, _ := netpoll.NewFDConnection(pair[0])
		return h.client(conn)
	}
	idle, partial, asked, queued := connect(), connect(), connect(), connect()
	queued.count() // as if a command of this client waited in the inbox
	partial.partialSince.Store(int64(h.clock))
	asked.count()
	h.s.addMessage(h.s.reserveReply(asked), [][]byte{nil, []byte("0"), []byte("id"), []byte("c=status,d=6000,dest=1"), nil})
	h.clock += time.Second
	h.s.startDrain(h.clock)
	late, silent := connect(), connect()
	show := func() {
		fmt.Println(idle.closing, partial.closing, asked.closing, queued.closing, late.closing, silent.closing)
	}
	show()
	late.served = true
	h.advance(5 * time.Millisecond)
	(<-h.s.inbox)() // handles the end of the write of the answer
	h.advance(5 * time.Millisecond)
	show()
	h.advance(drainAcceptTime)
	show()
	h.clock += partialCommandTimeout
	h.s.sweepClients()
	fmt.Println("client with an incomplete command:", partial.closing, partial.writeClosed)
	os.RemoveAll(h.dir)
	// Output:
	// true false false false false false
	// call a: POST /inbox
	//    id
	// call a: POST /inbox
	//    id
	// true false true false true false
	// call a: POST /inbox
	//    id
	// true false true false true true
	// client with an incomplete command: true true
}
