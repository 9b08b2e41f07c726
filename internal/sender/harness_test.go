package sender

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cloudwego/netpoll"
	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/directory"
	"flaxcove/internal/http1"
	"flaxcove/internal/sender/memory"
)

// Answers of endpoints, for endpointAnswers.
const (
	answerOK    = "HTTP/1.1 200 OK\nContent-Length: 0\n\n"
	answerFull  = "HTTP/1.1 429 Wait\nRetry-After: 0.4\nContent-Length: 0\n\n"
	answerError = "HTTP/1.1 500 Error\nContent-Length: 0\n\n"

	lastByteUnsent = "its last byte was not written" // no answer: the end of a call whose last byte was not sent
)

// harness runs a sender without sockets. The test advances its clock and answers its calls, and its platform accepts all
// endings while platformUp is set.
type harness struct {
	s          *Sender
	dir        string        // state folder
	clock      time.Duration // time since the start
	calls      []*call       // calls sent that the test has not answered
	platformUp bool
}

// twoClassSettings is a settings object with a verb for maxOpen. Class status is idempotent, class order is not. Endpoints
// of kind many accept bulk calls.
const twoClassSettings = `{"balancers":2,"quantum":5000000,"machineTypes":["one","many"],"zones":["z"],
"bounds":{"maxAttempts":9,"maxOpen":%d,"connIdle":10000000000,"dialTimeout":1000000000,"probing":true,"retryAfter":true,"maxRetryAfter":2000000000},
"classes":[{"name":"status","idempotency":"pure","aim":800000000,"deadline":6000000000,"worth":1},
{"name":"order","idempotency":"side_effect","aim":4000000000,"deadline":20000000000,"worth":3}],
"extra":{"bundleMax":[1,3],"callsOut":8},"rules":{"cold":1000000000,"coldFrom":0.5,"fallMultiple":2},"stats":{"fields":["x0","x1"]}}`

// twoEndpointList is an endpoint list: a serves destination 1, b serves destination 2 with bulk calls, and z drains.
const twoEndpointList = `{"version":1,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"one","cell":1,"state":"up","weight":100},
{"id":"b","addr":"127.0.0.1:2","zone":"z","kind":"many","cell":2,"state":"up","weight":100},
{"id":"z","addr":"127.0.0.1:9","zone":"z","kind":"one","cell":9,"state":"draining","weight":100}]}`

// testConfig returns a configuration with twoClassSettings and twoEndpointList.
func testConfig(dir string, maxOpen int) *config.Config {
	return testConfigWith(dir, fmt.Sprintf(twoClassSettings, maxOpen), twoEndpointList)
}

// testConfigWith returns a configuration with a settings object and an endpoint list, both as JSON.
func testConfigWith(dir, settings, list string) *config.Config {
	var b config.Boot
	c := &config.Config{Name: "s", StateDir: dir, Limits: config.Limits{MemoryMB: 192, Sockets: 256, DiskMB: 0.25},
		ClassNumbers: map[string]choice.ClassNo{}, ZoneNumbers: map[string]choice.ZoneNo{}, KindNumbers: map[string]choice.KindNo{}}
	for text, to := range map[string]any{settings: &b, list: &c.InitialList} {
		if err := json.Unmarshal([]byte(text), to); err != nil {
			fmt.Println(err)
		}
	}
	for i, class := range b.Classes {
		c.ClassNumbers[class.Name] = choice.ClassNo(i)
	}
	c.AccountNumbers = map[string]choice.AccountNo{}
	for i, a := range b.Accounts {
		c.AccountNumbers[a.Name] = choice.AccountNo(i)
	}
	for i, zone := range b.Zones {
		c.ZoneNumbers[zone] = choice.ZoneNo(i)
	}
	for i, kind := range b.MachineTypes {
		c.KindNumbers[kind] = choice.KindNo(i)
	}
	c.Settings, _ = b.Settings(true)
	return c
}

// readyEntry returns the list entry of an endpoint that accepts calls.
func readyEntry(id, addr string, destination int) directory.Entry {
	return directory.Entry{ID: id, Addr: addr, Zone: "z", Kind: "one", Destination: float64(destination), State: "up", Weight: 100}
}

// start opens a sender on a state folder; for "" it creates a folder. Another start on the same folder acts as a start
// after a kill.
func start(dir string, maxOpen int) *harness {
	if dir == "" {
		dir, _ = os.MkdirTemp("", "sender")
	}
	return startWith(testConfig(dir, maxOpen))
}

// startWith opens a sender with a configuration.
func startWith(cfg *config.Config) *harness { return startAt(cfg, time.Minute) }

// startAt opens a sender with a configuration and a clock that begins at the time at. If that fails it prints the error, and
// the harness has no sender.
func startAt(cfg *config.Config, at time.Duration) *harness {
	dir := cfg.StateDir
	h := &harness{dir: dir, clock: at, platformUp: true}
	s, err := openSender(cfg, zap.NewNop(), time.Unix(1e9, 0), func() time.Duration { return h.clock })
	if err != nil {
		fmt.Println(strings.ReplaceAll(err.Error(), dir, "DIR"))
		return h
	}
	s.dial = func(c *call) { // the call counts as connected and sent at once
		s.recordAttempt(c)
		s.commit()
		h.calls = append(h.calls, c)
	}
	s.postToPlatform = func(_ string, body []byte) (int, error) {
		if !h.platformUp {
			return 0, os.ErrDeadlineExceeded
		}
		fmt.Print("platform: ", string(body))
		return 204, nil
	}
	h.s = s
	return h
}

// newClient returns a client whose replies stay in its output.
func newClient() *client {
	return &client{writingReplies: 1, inputAccount: ampleAccount(), outputAccount: ampleAccount()}
}

// newUnreadClient returns a client whose replies are never written.
func newUnreadClient() *client { return newClient() }

// ampleAccount returns an account with room for everything.
func ampleAccount() *memory.Account {
	const ample = 1 << 40
	return memory.NewBudget(ample).NewHolder(ample).NewAccount()
}

// count counts a command that a test handles without a reader.
func (c *client) count() {
	c.unanswered.Add(1)
	c.handled++
}

// handle handles a command of a client. Its arguments are separated by spaces.
func (h *harness) handle(c *client, command string) {
	c.count()
	h.s.handleCommand(c, splitArgs(command))
}

// submit handles commands of a new client, ends the turn, and prints the replies.
func (h *harness) submit(commands ...string) *harness {
	c := newClient()
	for _, text := range commands {
		h.handle(c, text)
	}
	h.advance(5 * time.Millisecond)
	for _, line := range strings.Split(strings.TrimSpace(string(c.output)), "\r\n") {
		fmt.Printf("client: %s\n", line)
	}
	return h
}

// splitArgs splits a command at its spaces.
func splitArgs(text string) (args [][]byte) {
	for _, word := range strings.Split(text, " ") {
		args = append(args, []byte(word))
	}
	return args
}

// connectionUp establishes the connection that a call waits for, and ends the turn.
func (h *harness) connectionUp(c *call, conn netpoll.Connection) {
	h.s.onDialed(c, conn, nil)
	h.s.commit()
	h.s.sendConnected()
}

// client returns a client that has just connected.
func (h *harness) client(conn netpoll.Connection) *client {
	c := &client{conn: conn, connectedAt: h.clock, inputAccount: ampleAccount(), outputAccount: ampleAccount()}
	h.s.clients.all[c] = struct{}{}
	h.s.clients.served++
	return c
}

// advance lets time pass in turns, and prints the calls that are in flight at the end.
func (h *harness) advance(after time.Duration) *harness {
	h.advanceQuietly(after)
	return h.printCalls()
}

// advanceQuietly lets time pass in turns.
func (h *harness) advanceQuietly(after time.Duration) {
	for end := h.clock + after; h.clock < end; {
		h.clock = max(h.clock+5*time.Millisecond, min(end, h.s.timers.next()))
		h.s.turn()
		for h.s.posting && h.s.endings != nil && h.platformUp {
			(<-h.s.inbox)()
		}
	}
}

// printCalls prints the calls that are in flight.
func (h *harness) printCalls() *harness {
	for _, c := range h.calls {
		if !c.done {
			head, _, _ := h.s.request(c)
			fmt.Printf("call %s: %s\n", c.endpoint.id, strings.Split(string(head), " HTTP")[0])
			for _, m := range c.messages {
				fmt.Println("  ", m.ID)
			}
		}
	}
	return h
}

// endpointAnswers ends the last of calls with an answer, which may be cut off, or with lastByteUnsent.
func (h *harness) endpointAnswers(text string) *harness {
	c := h.calls[len(h.calls)-1]
	h.calls = h.calls[:len(h.calls)-1]
	var a http1.Answer
	var err error
	if text != lastByteUnsent {
		err = a.Feed([]byte(strings.ReplaceAll(text, "\n", "\r\n")))
	}
	c.done = true
	if err != nil || !a.Done {
		h.s.finishCall(c, cutOffAnswer(c, text == lastByteUnsent, &partialAnswer{status: a.Status(), begun: a.Started()}))
	} else {
		h.s.finishCall(c, readAnswer(&a))
	}
	return h
}

// updateList applies a list, given as JSON, as if discovery had sent it.
func (h *harness) updateList(text string) *harness {
	var l directory.List
	json.Unmarshal([]byte(text), &l)
	h.s.updateEndpoints(l, false)
	return h
}

// printPending prints the number of pending messages and of endings to be reported.
func (h *harness) printPending() *harness {
	fmt.Println("owed:", len(h.s.pending), "to the platform:", len(h.s.endings))
	return h
}
