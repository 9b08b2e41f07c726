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

// readyWithin is the time within which each start of the test must be ready. The target is 10 s for nine in ten starts; the
// machine that runs the test may be busy.
const readyWithin = 10 * time.Second

// writeFullJournal writes a journal as full as a process lets it become, with messages that have ended and messages that
// are pending. With inFlight each pending message has an attempt on record. It returns the number of pending messages.
func writeFullJournal(t *testing.T, dir string, limit int64, bodySize int, make func(i int) *message, inFlight bool) (pending int) {
	t.Helper()
	j, _, err := journal.Open(dir, limit, func([]byte, int64) {})
	if err != nil {
		t.Fatal(err)
	}
	body := []byte(strings.Repeat("x", bodySize))
	share := func(fraction float64) int64 { return int64(fraction * float64(limit)) }
	for i := 0; j.Size() < share(rewriteThreshold-maxLiveShare); i++ {
		m := make(-1 - i)
		m.body = body
		j.Add(m.acceptedRecord())
		j.Add(idRecord(recClosed, m.ID))
	}
	for live := int64(0); live < share(maxLiveShare) && j.Size() < share(rewriteThreshold); pending++ {
		m := make(pending)
		m.body = body
		j.Add(m.acceptedRecord())
		if live += journal.FramedSize(len(m.acceptedRecord())) + maxLaterRecordBytes; inFlight {
			j.Add(attemptRecord(m.ID, m.acceptedAt, 0, "z"))
		}
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	return pending
}

// readyCase describes the state folder and the discovery that a process finds at its start.
type readyCase struct {
	name     string
	disk     float64              // size limit of the journal in megabytes
	bodySize int                  // bytes of a message's body
	make     func(i int) *message // makes the message with number i; nil for an empty journal
	inFlight bool                 // each pending message has an attempt on record
	list     directory.List       // list of the configuration
	torn     bool                 // the journal ends in the middle of a record
	silent   bool                 // discovery never answers
}

// TestReady checks that a process answers PING in time whatever its state folder holds and whatever discovery does.
func TestReady(t *testing.T) {
	if testing.Short() {
		t.Skip("fills journals up to their size limit")
	}
	for _, c := range []readyCase{
		{name: "empty folder"},
		{name: "smallest", disk: 8, make: messagesOf("pure", "0", 1, second)},
		{name: "smallest on a large disk", disk: 64, make: messagesOf("pure", "0", 1, second)},
		{name: "largest", disk: 64, bodySize: 64 << 10, make: messagesOf("pure", "0", 1, second)},
		{name: "all in flight", disk: 64, make: messagesOf("single", "%x", 1, second), inFlight: true},
		{name: "one key", disk: 64, make: messagesOf("line", "5", 1, second)},
		{name: "one key, all in flight", disk: 64, make: messagesOf("line", "5", 1, second), inFlight: true},
		{name: "all past their deadline", disk: 64, make: messagesOf("token", "0", 1, 3601*second)},
		{name: "no endpoint", disk: 64, make: messagesOf("token", "0", 77, second)},
		{name: "torn", disk: 8, make: messagesOf("pure", "0", 1, second), torn: true},
		{name: "silent discovery", disk: 8, make: messagesOf("pure", "0", 1, second), silent: true},
		{name: "10000 endpoints of one destination", disk: 8, make: messagesOf("pure", "0", 1, second), list: tenThousand(false)},
		{name: "10000 destinations", disk: 8, make: messagesOf("pure", "0", 1, second), list: tenThousand(true), silent: true},
	} {
		t.Run(c.name, c.run)
	}
}

// messagesOf returns a function that makes messages of a class that were accepted some time ago, given by ago. key may
// contain a formatting verb for the message's number.
func messagesOf(class, key string, dest choice.DestinationID, ago choice.Time) func(i int) *message {
	return func(i int) *message {
		now := config.RoundDown(time.Now().UnixNano())
		return acceptedMessage(fmt.Sprintf("%016x", uint64(i)), fmt.Sprintf(key, i), class, dest, now-ago, 3600*second)
	}
}

// tenThousand returns a full list of 10,000 endpoints, which serve one destination together or one each.
func tenThousand(separate bool) directory.List {
	l := directory.List{Version: 5, Full: true}
	for i := range 10000 {
		l.Entries = append(l.Entries, directory.Entry{ID: fmt.Sprint("e", i), Addr: "127.0.0.1:1", Zone: "z", Kind: "one", State: "up", Weight: 1})
		if separate {
			l.Entries[i].Destination = float64(i)
		}
	}
	return l
}

// prepare fills a state folder, and returns a configuration for it and the number of pending messages.
func (c *readyCase) prepare(t *testing.T) (cfg *config.Config, pending int) {
	t.Helper()
	dir := t.TempDir()
	cfg = fourClassConfig(dir, 0)
	cfg.Limits.DiskMB, cfg.Listen, cfg.Discovery = max(1, c.disk), "127.0.0.1:0", "127.0.0.1:1" // refuses connections
	if c.make != nil {
		pending = writeFullJournal(t, dir, int64(c.disk*1e6), c.bodySize, c.make, c.inFlight)
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
		cfg.InitialList = c.list
	}
	return cfg, pending
}

// run starts a sender and measures the time until it answers PING.
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
		t.Errorf("reply to PING %q, error %v, after %v; want it within %v", answer, err, took, readyWithin)
	}
	if s.counts.replayed != int64(pending) {
		t.Errorf("%d messages pending, %d replayed", pending, s.counts.replayed)
	}
	t.Logf("%d messages pending, ready after %v", pending, took.Round(time.Millisecond))
	conn.Close()
	s.post(func() { s.ended = true })
	<-done
}
