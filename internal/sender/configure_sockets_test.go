package sender

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxcove/internal/directory"
	"flaxcove/internal/sender/clusterapi"
)

// TestConfigureUnderTraffic changes the settings many times while clients submit messages over sockets without a pause. Each
// accepted message must be delivered once, or shed once if capacity became scarce. Messages of a new class must be known
// as soon as the version that adds it is in force.
func TestConfigureUnderTraffic(t *testing.T) {
	w, addr := startFakeServer(t)
	list := directory.List{Version: 1, Full: true}
	for i := range 4 {
		entry := readyEntry(fmt.Sprint("e", i), addr, i)
		entry.Weight = 1000
		list.Entries = append(list.Entries, entry)
	}
	cfg := loadedConfig(t, t.TempDir(), settingsWith(t, `"connIdle":10000000000`, `"connIdle":9000000000`), list)
	cfg.Discovery = addr
	s, done := startRunning(t, cfg)
	traffic := &traffic{sender: s}
	over := make(chan struct{})
	var clients sync.WaitGroup
	for no := range 4 {
		client := connectClient(t, s)
		clients.Go(func() { traffic.submitUntil(t, client, no, over) })
	}
	client := connectClient(t, s)
	defer client.Close()
	if answer, _ := client.submit("0", "early", "c=offer,d=15000,dest=1", deliveredBody); !strings.HasPrefix(answer, "-ERR") {
		t.Errorf("a message of a class that does not exist yet was answered %s", answer)
	}
	versions := traffic.changeSettings(t, client)
	close(over)
	clients.Wait()
	waitOnLoop(t, s, "no message is pending", func() bool { return len(s.pending) == 0 })
	traffic.check(t, w)
	if s.cfg.Version != uint64(versions) {
		t.Errorf("version %d is in force, want %d", s.cfg.Version, versions)
	}
	s.Drain()
	waitEnded(t, done)
}

// deliveredBody is the body of a message that a fakeServer answers as delivered.
const deliveredBody = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// settingsForms are lists of changes to twoClassSettings, for settingsWith.
var settingsForms = [][]string{
	{`"maxOpen":100`, `"maxOpen":20`},
	{`"worth":3}`, `"worth":30}`, `"aim":800000000`, `"aim":400000000`},
	{`"callsOut":8`, `"callsOut":1`, `"deadline":6000000000`, `"deadline":1000000000`},
	{`"connIdle":10000000000`, `"connIdle":1000000`, `"quantum":5000000`, `"quantum":1000000`},
	{`"maxAttempts":9`, `"maxAttempts":1`, `"probing":true`, `"probing":false`},
	{},
}

// traffic submits messages to a sender and records which were accepted.
type traffic struct {
	sender   *Sender
	accepted sync.Map // the ids of accepted messages
}

// submit sends a message and records it if it was accepted. The answer -BUSY is allowed.
func (f *traffic) submit(t *testing.T, client *testClient, id, class string, dest int) {
	answer, err := client.submit("0", id, fmt.Sprintf("c=%s,d=15000,dest=%d", class, dest), deliveredBody)
	switch {
	case err != nil:
		t.Error(err)
	case answer == "+OK":
		f.accepted.Store(id, true)
	case !strings.HasPrefix(answer, "-BUSY"):
		t.Errorf("message %s was answered %s", id, answer)
	}
}

// submitUntil submits messages without a pause until over is closed. no is the number of the client.
func (f *traffic) submitUntil(t *testing.T, client *testClient, no int, over <-chan struct{}) {
	defer client.Close()
	for i := 0; ; i++ {
		select {
		case <-over:
			return
		default:
			f.submit(t, client, fmt.Sprint("m", no, "-", i), []string{"status", "order"}[i%2], i%4)
		}
	}
}

// changeSettings puts many versions in force, one after the other. Each has the class offer, of which a message is submitted.
func (f *traffic) changeSettings(t *testing.T, client *testClient) (versions int) {
	t.Helper()
	versions = 4 * len(settingsForms)
	for version := range versions {
		form := append([]string{classEnd, withNew}, settingsForms[version%len(settingsForms)]...)
		if version%len(settingsForms) == 1 { // this form changes the text that classEnd would match
			form = append([]string{classEnd, `"worth":30},` + offer + `],`}, settingsForms[1][2:]...)
		}
		if err := f.order(clusterapi.Configuration{Version: uint64(version + 1), Settings: settingsWith(t, form...)}); err != nil {
			t.Fatalf("version %d: %v", version+1, err)
		}
		f.submit(t, client, fmt.Sprint("new", version), "offer", version%4)
		time.Sleep(20 * time.Millisecond) // so that the clients submit messages under this version
	}
	return versions
}

// order gives the order to put a configuration in force, and waits for the answer.
func (f *traffic) order(c clusterapi.Configuration) error {
	answer := make(chan error, 1)
	f.sender.Orders().Configure(c, func(err error) { answer <- err })
	select {
	case err := <-answer:
		return err
	case <-time.After(20 * time.Second):
		return errors.New("no answer")
	}
}

// check compares the accepted messages with what the endpoints and the platform received.
func (f *traffic) check(t *testing.T, w *fakeServer) {
	t.Helper()
	delivered, newClass := 0, 0
	f.accepted.Range(func(id, _ any) bool {
		if strings.HasPrefix(id.(string), "new") {
			newClass++
		}
		switch received := w.receivedFor(id.(string)); received {
		case deliveredBody:
			delivered++
		case "handed_back": // shed because capacity became scarce
		default:
			t.Errorf("message %v: the server received %q", id, received)
		}
		return true
	})
	if delivered < 100 || newClass == 0 {
		t.Errorf("%d messages delivered, %d accepted of the new class", delivered, newClass)
	}
}

// TestConfigureEndsIdleLinksSooner checks that a shorter connIdle also applies to links that are idle already, counted from
// when they became idle.
func TestConfigureEndsIdleLinksSooner(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) }))
	defer endpoint.Close()
	list := directory.List{Version: 1, Full: true, Entries: []directory.Entry{{ID: "e", Addr: endpoint.Listener.Addr().String(), Zone: "z",
		Kind: "one", Destination: 1, State: "up", Weight: 1000}}}
	s, conn, done := startServing(t, loadedConfig(t, t.TempDir(), settingsWith(t, `"connIdle":10000000000`, `"connIdle":600000000000`), list))
	defer conn.Close()
	conn.Write(outAdd("0", "id", "c=status,d=6000,dest=1", ""))
	idleLinks := func(want int) func() bool {
		return func() (is bool) {
			onLoop(t, s, func() { is = s.openLinks == want && len(s.endpoints["e"].idle) == want && len(s.pending) == 0 })
			return is
		}
	}
	waitUntil(t, "one link is open and idle", idleLinks(1))
	answer := make(chan error, 1)
	s.Orders().Configure(clusterapi.Configuration{Version: 1, Settings: settingsWith(t, `"connIdle":10000000000`, `"connIdle":20000000`)},
		func(err error) { answer <- err })
	if err := <-answer; err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the link is closed", idleLinks(0))
	s.Drain()
	waitEnded(t, done)
}
