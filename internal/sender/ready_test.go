package sender

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/directory"
	"flaxcove/internal/journal"
)

// readyWithin is the bound of the test: nine in ten have 10 s, and the machine may be a busy one.
const readyWithin = 10 * time.Second

// writeFullJournal writes a journal as full as a process lets it get: what it owes, each with its call out if so, and what has
// ended before that. It returns how many are pending.
func writeFullJournal(t *testing.T, dir string, limit int64, body int, make func(i int) *message, out bool) (owed int) {
	t.Helper()
	j, _, err := journal.Open(dir, limit, func([]byte) {})
	if err != nil {
		t.Fatal(err)
	}
	text := []byte(strings.Repeat("x", body))
	share := func(part float64) int64 { return int64(part * float64(limit)) }
	for i := 0; j.Size() < share(rewriteThreshold-maxLiveShare); i++ {
		m := make(-1 - i)
		m.body = text
		j.Add(m.acceptedRecord())
		j.Add(idRecord(recClosed, m.ID))
	}
	for live := int64(0); live < share(maxLiveShare) && j.Size() < share(rewriteThreshold); owed++ {
		m := make(owed)
		m.body = text
		j.Add(m.acceptedRecord())
		if live += journal.Framed(len(m.acceptedRecord())) + laterRecordBytes; out {
			j.Add(attemptRecord(m.ID, m.acceptedAt, 0, "z"))
		}
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	return owed
}

// readyCase is what a process finds at its start.
type readyCase struct {
	name   string
	disk   float64 // megabytes
	body   int
	make   func(i int) *message
	out    bool // each pending message has a call in flight
	list   directory.List
	torn   bool // the journal ends in the middle of a record
	silent bool // discovery never answers
}

// A process answers PING in time, whatever its folder holds and whatever discovery does.
func TestReady(t *testing.T) {
	if testing.Short() {
		t.Skip("it fills journals")
	}
	for _, c := range []readyCase{
		{name: "nothing"},
		{name: "smallest", disk: 8, make: messagesOf("pure", "0", 1, second)},
		{name: "smallest on a large disk", disk: 64, make: messagesOf("pure", "0", 1, second)},
		{name: "largest", disk: 64, body: 64 << 10, make: messagesOf("pure", "0", 1, second)},
		{name: "all out", disk: 64, make: messagesOf("single", "%x", 1, second), out: true},
		{name: "one key", disk: 64, make: messagesOf("line", "5", 1, second)},
		{name: "one key, all out", disk: 64, make: messagesOf("line", "5", 1, second), out: true},
		{name: "all too late", disk: 64, make: messagesOf("token", "0", 1, 3601*second)},
		{name: "nobody there", disk: 64, make: messagesOf("token", "0", 77, second)},
		{name: "torn", disk: 8, make: messagesOf("pure", "0", 1, second), torn: true},
		{name: "silent agent", disk: 8, make: messagesOf("pure", "0", 1, second), silent: true},
		{name: "10000 endpoints of one destination", disk: 8, make: messagesOf("pure", "0", 1, second), list: tenThousand(false)},
		{name: "10000 destinations", disk: 8, make: messagesOf("pure", "0", 1, second), list: tenThousand(true), silent: true},
	} {
		t.Run(c.name, c.run)
	}
}

// messagesOf makes messages of a class that were accepted some time ago; key may hold a verb for their number.
func messagesOf(class, key string, dest choice.DestinationID, ago choice.Time) func(i int) *message {
	return func(i int) *message {
		now := config.RoundDown(time.Now().UnixNano())
		return acceptedMessage(fmt.Sprintf("%016x", uint64(i)), fmt.Sprintf(key, i), class, dest, now-ago, 3600*second)
	}
}

// tenThousand is a list of as many endpoints, of one destination or of one each.
func tenThousand(apart bool) directory.List {
	l := directory.List{Version: 5, Full: true}
	for i := range 10000 {
		l.Entries = append(l.Entries, directory.Entry{ID: fmt.Sprint("e", i), Addr: "127.0.0.1:1", Zone: "z", Kind: "one", State: "up", Weight: 1})
		if apart {
			l.Entries[i].Destination = float64(i)
		}
	}
	return l
}

// prepare fills the state folder, and makes a configuration for it. It returns how many messages are pending.
func (c *readyCase) prepare(t *testing.T) (cfg *config.Config, pending int) {
	t.Helper()
	dir := t.TempDir()
	cfg = fourClassConfig(dir, 0)
	cfg.Limits.DiskMB, cfg.Listen, cfg.Discovery = max(1, c.disk), "127.0.0.1:0", "127.0.0.1:1" // refused
	if c.make != nil {
		pending = writeFullJournal(t, dir, int64(c.disk*1e6), c.body, c.make, c.out)
	}
	if c.torn {
		file, err := os.OpenFile(filepath.Join(dir, "notices.log"), os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		file.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 5})
		file.Close()
	}
	if c.silent {
		silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
		t.Cleanup(func() {
			silent.CloseClientConnections()
			silent.Close()
		})
		cfg.Discovery = silent.Listener.Addr().String()
	}
	if c.list.Full {
		cfg.Known = c.list
	}
	return cfg, pending
}

func (c readyCase) run(t *testing.T) {
	cfg, pending := c.prepare(t)
	began := time.Now()
	s, conn, done := startServing(t, cfg)
	conn.SetDeadline(began.Add(readyWithin))
	io.WriteString(conn, pingText)
	var answer [len(pongText)]byte
	_, err := io.ReadFull(conn, answer[:])
	took := time.Since(began)
	if err != nil || string(answer[:]) != pongText || took > readyWithin {
		t.Errorf("%q %v after %v", answer, err, took)
	}
	if s.counts.replayed != int64(pending) {
		t.Errorf("%d owed, %d found", pending, s.counts.replayed)
	}
	t.Logf("%d owed, ready after %v", pending, took.Round(time.Millisecond))
	conn.Close()
	s.post(func() { s.ended = true })
	<-done
}
