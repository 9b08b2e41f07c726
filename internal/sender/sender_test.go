package sender

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/directory"
	"flaxcove/internal/http1"
	"flaxcove/internal/journal"
)

// rig is a sender without sockets: a clock that stands, calls that go nowhere and a platform that a test speaks for.
type rig struct {
	s     *Sender
	dir   string
	clock time.Duration
	calls []*call
	up    bool // the platform answers
}

// boot is a settings object: status is replayable, order single-use; kind one takes bundles.
const boot = `{"balancers":2,"quantum":5000000,"machineTypes":["one","many"],"zones":["z"],
"bounds":{"maxAttempts":9,"maxOpen":%d,"connIdle":10000000000,"dialTimeout":1000000000,"probing":true,"retryAfter":true,"maxRetryAfter":2000000000},
"classes":[{"name":"status","idempotency":"pure","aim":800000000,"deadline":6000000000,"worth":1},
{"name":"order","idempotency":"side_effect","aim":4000000000,"deadline":20000000000,"worth":3}],
"extra":{"bundleMax":[1,3],"callsOut":8},"rules":{"cold":1000000000,"coldFrom":0.5,"fallMultiple":2},"stats":{"fields":["x0","x1"]}}`

const known = `{"version":1,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"one","cell":1,"state":"up","weight":100},
{"id":"b","addr":"127.0.0.1:2","zone":"z","kind":"many","cell":2,"state":"up","weight":100},
{"id":"z","addr":"127.0.0.1:9","zone":"z","kind":"one","cell":9,"state":"draining","weight":100}]}`

func configure(dir string, maxOpen int) *config.Config {
	return configureAs(dir, fmt.Sprintf(boot, maxOpen), known)
}

// configureAs takes a settings object and a list.
func configureAs(dir, settings, list string) *config.Config {
	var b config.Boot
	c := &config.Config{Name: "s", State: dir, Limits: config.Limits{MemoryMB: 192, Sockets: 256, DiskMB: 0.25},
		Workloads: map[string]choice.WorkloadNo{}, Zones: map[string]choice.ZoneNo{}, Kinds: map[string]choice.KindNo{}}
	for text, to := range map[string]any{settings: &b, list: &c.Known} {
		if err := json.Unmarshal([]byte(text), to); err != nil {
			fmt.Println(err)
		}
	}
	for i, class := range b.Classes {
		c.Workloads[class.Name] = choice.WorkloadNo(i)
	}
	for i, zone := range b.Zones {
		c.Zones[zone] = choice.ZoneNo(i)
	}
	for i, kind := range b.MachineTypes {
		c.Kinds[kind] = choice.KindNo(i)
	}
	c.Settings, _ = b.Settings(true)
	return c
}

// start opens a sender on a folder; "" makes one. Starting again on the same folder is what a kill leaves.
func start(dir string, maxOpen int) *rig {
	if dir == "" {
		dir, _ = os.MkdirTemp("", "sender")
	}
	return startAs(configure(dir, maxOpen))
}

func startAs(cfg *config.Config) *rig {
	dir := cfg.State
	r := &rig{dir: dir, clock: time.Minute, up: true}
	s, err := open(cfg, zap.NewNop(), time.Unix(1e9, 0), func() time.Duration { return r.clock })
	if err != nil {
		fmt.Println(strings.ReplaceAll(err.Error(), dir, "DIR"))
		return r
	}
	s.dial = func(c *call) { r.calls = append(r.calls, c) }
	s.tell = func(_ string, body []byte) (int, error) {
		if !r.up {
			return 0, os.ErrDeadlineExceeded
		}
		fmt.Print("platform: ", string(body))
		return 204, nil
	}
	r.s = s
	return r
}

// hand gives commands in, each in words, and prints what is answered by the end of the turn.
func (r *rig) hand(commands ...string) *rig {
	c := &client{room: make(chan struct{}, window), writing: 1} // so that answers stay in out
	for _, text := range commands {
		c.room <- struct{}{}
		r.s.command(c, words(text))
	}
	r.turn(5 * time.Millisecond)
	for _, line := range strings.Split(strings.TrimSpace(string(c.out)), "\r\n") {
		fmt.Printf("client: %s\n", line)
	}
	return r
}

func words(text string) (args [][]byte) {
	for _, word := range strings.Split(text, " ") {
		args = append(args, []byte(word))
	}
	return args
}

// client is one that has just come by a connection.
func (r *rig) client(conn netpoll.Connection) *client {
	c := &client{conn: conn, came: r.clock, room: make(chan struct{}, window)}
	r.s.clients.all[c] = struct{}{}
	return c
}

// turn lets time go on, ends a turn, and prints which calls left.
func (r *rig) turn(after time.Duration) *rig {
	for end := r.clock + after; r.clock < end; {
		r.clock = max(r.clock+5*time.Millisecond, min(end, r.s.timers.due()))
		r.s.turn()
		for r.s.posting && r.s.endings != nil && r.up {
			(<-r.s.inbox)()
		}
	}
	for _, c := range r.calls {
		if !c.over {
			head, _ := r.s.request(c)
			fmt.Printf("call %s: %s\n", c.e.id, strings.Split(string(head), " HTTP")[0])
			for _, n := range c.notices {
				fmt.Println("  ", n.ID)
			}
		}
	}
	return r
}

// answer ends the last call that is out with what an endpoint might say.
func (r *rig) answer(text string) *rig {
	c := r.calls[len(r.calls)-1]
	r.calls = r.calls[:len(r.calls)-1]
	var a http1.Answer
	var err error
	if text != unsent {
		err = a.Feed([]byte(strings.ReplaceAll(text, "\n", "\r\n")))
	}
	c.over = true
	if err != nil || !a.Done {
		r.s.finish(c, cutOff(c, text == unsent, &partial{a.Status(), a.Began()}))
	} else {
		r.s.finish(c, readAnswer(&a))
	}
	return r
}

func (r *rig) list(text string) *rig {
	var l directory.List
	json.Unmarshal([]byte(text), &l)
	r.s.listNews(l, false)
	return r
}

func (r *rig) owed() *rig {
	fmt.Println("owed:", len(r.s.owed), "to the platform:", len(r.s.endings))
	return r
}

const (
	ok   = "HTTP/1.1 200 OK\nContent-Length: 0\n\n"
	full = "HTTP/1.1 429 Wait\nRetry-After: 0.4\nContent-Length: 0\n\n"
	lost = "HTTP/1.1 500 Error\nContent-Length: 0\n\n"

	unsent = "its last byte was not written"
)

// A killed sender owes what it had taken on: what may be repeated goes out again, and a single-use notice with a
// dispatch out, which may have run, is given up and never sent. Once ended, nothing comes back at a third start.
func Example_restart() {
	r := start("", 100).hand("OUT.ADD 00 st c=status,d=6000,dest=1 x", "OUT.ADD 00 or c=order,d=20000,dest=1 x")
	fmt.Println("killed")
	r = start(r.dir, 100).owed().turn(5 * time.Millisecond).answer(ok).owed()
	r.turn(5 * time.Millisecond)
	fmt.Println("killed")
	start(r.dir, 100).owed().turn(time.Second)
	os.RemoveAll(r.dir)
	// Output:
	// call a: POST /inbox
	//    or
	// call a: POST /inbox
	//    st
	// client: +OK
	// client: +OK
	// killed
	// owed: 2 to the platform: 1
	// platform: {"message":"or","outcome":"given_up"}
	// call a: POST /inbox
	//    st
	// owed: 0 to the platform: 0
	// killed
	// owed: 0 to the platform: 0
}

// A refusal proves that a single-use notice has not run, so after a kill it is sent again. A wait ends with a restart.
func Example_restartAfterRefusal() {
	r := start("", 100).hand("OUT.ADD 00 or c=order,d=20000,dest=1 x").answer(full).turn(5 * time.Millisecond)
	fmt.Println("killed")
	start(r.dir, 100).owed().turn(5 * time.Millisecond)
	os.RemoveAll(r.dir)
	// Output:
	// call a: POST /inbox
	//    or
	// client: +OK
	// killed
	// owed: 1 to the platform: 0
	// call a: POST /inbox
	//    or
}

// An ending is owed until the platform has answered, through a kill too, and so is one whose time ran out meanwhile.
func Example_platformSilent() {
	r := start("", 100)
	r.up = false
	r.hand("OUT.ADD 00 or c=order,d=20000,dest=1 x", "OUT.ADD 00 late c=status,d=6000,dest=9 x").answer("HTTP/1.1 200")
	r.turn(7 * time.Second).owed()
	fmt.Println("killed")
	start(r.dir, 100).owed().turn(5 * time.Millisecond).owed()
	os.RemoveAll(r.dir)
	// Output:
	// call a: POST /inbox
	//    or
	// client: +OK
	// client: +OK
	// call a: GET /-/healthy
	// owed: 2 to the platform: 2
	// killed
	// owed: 2 to the platform: 2
	// platform: {"message":"or","outcome":"given_up"}
	// {"message":"late","outcome":"handed_back","retry_in_ms":200}
	// owed: 0 to the platform: 0
}

// What ends while the turn's calls begin is not told to the platform before the next turn has written it down: a kill in
// between would have it sent again, though its client was told to come back.
func Example_endedAsItsCallBegins() {
	r := start("", 100)
	r.hand("OUT.ADD 00 or c=order,d=20000,dest=9 x") // nobody serves 9 yet
	r.s.dial = func(c *call) { r.s.end(c.notices[0], ending{what: endHandedBack}) }
	r.list(`{"version":2,"servers":[{"id":"new","addr":"127.0.0.1:3","zone":"z","kind":"one","cell":9,"state":"up"}]}`)
	for range 2 {
		r.clock += 5 * time.Millisecond
		r.s.turn()
		fmt.Println("to the platform:", len(r.s.endings), "posting:", r.s.posting)
	}
	(<-r.s.inbox)()
	os.RemoveAll(r.dir)
	// Output:
	// client: +OK
	// to the platform: 1 posting: false
	// to the platform: 1 posting: true
	// platform: {"message":"or","outcome":"handed_back"}
}

// What is wrong with a command is said and takes nothing on; an id handed in once more is taken on already.
func Example_commands() {
	r := start("", 3).hand("PING", "ping hello", "FLUSHALL", "OUT.ADD 00 a", "OUT.ADD 00 a c=nil,d=1,dest=1 x",
		"OUT.ADD 00 a c=status,d=-1,dest=1 x", "OUT.ADD 00 a c=status,d=1e99,dest=1 x", "OUT.ADD 00 a c=status,d=0x10,dest=1 x",
		"OUT.ADD 00 a c=status,d=900,dest=1.5 x", "OUT.ADD 00 \"a c=status,d=900,dest=1 x", "OUT.ADD 00 new c=status,d=900,dest=9,x=y,r=1 x")
	r.hand("OUT.ADD 00 new c=status,d=900,dest=9 x", "OUT.ADD 00 soon c=status,d=1,dest=9 x")
	r.hand("OUT.ADD 00 two c=status,d=6000,dest=9 x", "OUT.ADD 00 three c=status,d=6000,dest=9 x", "OUT.ADD 00 four c=status,d=6000,dest=9 x")
	// Where the list is from before the start, an unknown destination may be a new one.
	r.hand("OUT.ADD 00 five c=status,d=6000,dest=77 x").list(`{"version":2}`).hand("OUT.ADD 00 five c=status,d=6000,dest=77 x")
	os.RemoveAll(r.dir)
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

// The journal keeps within its part of the disk, refuses what does not fit, and comes back whole.
func Example_journalFull() {
	r := start("", 1000)
	body := strings.Repeat("x", 20000)
	for i := range 4 {
		for j := range 3 {
			r.hand(fmt.Sprintf("OUT.ADD 00 n%d-%d c=order,d=900000,dest=9 %s", i, j, body))
		}
		for id, n := range r.s.owed {
			if i < 3 && id != "n0-0" {
				r.s.over(n)
			}
		}
	}
	info, _ := os.Stat(r.dir + "/notices.log")
	fmt.Println("under the limit:", info.Size() < 250000, "rewritten:", r.s.counts.rewritings > 0)
	start(r.dir, 1000).owed()
	os.RemoveAll(r.dir)
	// Output:
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// under the limit: true rewritten: true
	// owed: 4 to the platform: 0
}

// Notices of one turn to one endpoint share a call, up to what its kind takes, and each fares as its own state
// says; one that the answer leaves out may have run.
func Example_bundle() {
	r := start("", 100).hand("OUT.ADD 0a o1 c=order,d=20000,dest=2 x", "OUT.ADD 0b o2 c=order,d=20000,dest=2 x",
		"OUT.ADD 0c o3 c=order,d=20000,dest=2 x")
	_, body := r.s.request(r.calls[0])
	fmt.Println(string(body))
	r.answer("HTTP/1.1 200 OK\nContent-Length: 58\n\n" + `[{"id":"o1","state":"ok"},  {"id":"o2","state":"later"}]   `)
	r.turn(5 * time.Millisecond).owed()
	os.RemoveAll(r.dir)
	// Output:
	// call b: POST /inbox/bulk
	//    o3
	//    o2
	//    o1
	// client: +OK
	// client: +OK
	// client: +OK
	// [{"id":"o3","key":"0c","body":"eA=="},{"id":"o2","key":"0b","body":"eA=="},{"id":"o1","key":"0a","body":"eA=="}]
	// platform: {"message":"o3","outcome":"given_up"}
	// owed: 1 to the platform: 0
}

// A notice of a bundle whose time is over ends alone: one that was not sent yet is handed back and does not leave any
// more, one that was may have run. The call goes on for the order, and ends nothing a second time.
func Example_bundleOutlivesOne() {
	for _, written := range []bool{false, true} {
		r := start("", 100).hand("OUT.ADD 0 order c=order,d=20000,dest=2 x", "OUT.ADD 0 late c=status,d=500,dest=2 x")
		c := r.calls[0]
		text := ok
		if written {
			c.link = &link{s: r.s, e: c.e}
			text = "HTTP/1.1 200 OK\nContent-Length: 61\n\n" + `[{"id":"order","state":"ok"},{"id":"late","state":"ok"}]     `
		}
		r.turn(600 * time.Millisecond).answer(text).turn(5 * time.Millisecond).owed()
		fmt.Println("delivered:", r.s.counts.delivered)
		os.RemoveAll(r.dir)
	}
	// Output:
	// call b: POST /inbox/bulk
	//    order
	//    late
	// client: +OK
	// client: +OK
	// platform: {"message":"late","outcome":"handed_back","retry_in_ms":200}
	// call b: POST /inbox
	//    order
	// owed: 0 to the platform: 0
	// delivered: 1
	// call b: POST /inbox/bulk
	//    order
	//    late
	// client: +OK
	// client: +OK
	// platform: {"message":"late","outcome":"given_up"}
	// call b: POST /inbox/bulk
	//    order
	//    late
	// owed: 0 to the platform: 0
	// delivered: 1
}

// A wait in the answer to a bundle binds whatever became of its notices.
func Example_bundleWait() {
	r := start("", 100).hand("OUT.ADD 0 s1 c=status,d=6000,dest=2 x", "OUT.ADD 0 s2 c=status,d=6000,dest=2 x")
	r.answer("HTTP/1.1 200 OK\nRetry-After: 0.7\nContent-Length: 54\n\n" + `[{"id":"s1","state":"ok"},{"id":"s2","state":"error"}]`)
	r.turn(690 * time.Millisecond)
	fmt.Println("the wait is over")
	r.turn(300 * time.Millisecond)
	os.RemoveAll(r.dir)
	// Output:
	// call b: POST /inbox/bulk
	//    s2
	//    s1
	// client: +OK
	// client: +OK
	// the wait is over
	// call b: GET /-/healthy
}

// A report counts where it is whole and makes sense; half a one would say that there is no limit.
func Example_reports() {
	for _, text := range []string{"x0=0.4,x1=25", "x1=0, x0=1", "x0=0.4", "x0=0.4,x1=", "x0=7,x1=25", "x0=0.4,x1=-1", "x0=NaN,x1=1", ";;\xff"} {
		a := answer{}
		a.fields, a.report = readReport([]byte(text))
		fmt.Printf("%q %+v\n", text, a.told())
	}
	// Output:
	// "x0=0.4,x1=25" {Known:true Left:0.4 Limit:25}
	// "x1=0, x0=1" {Known:true Left:1 Limit:0}
	// "x0=0.4" {Known:false Left:0 Limit:0}
	// "x0=0.4,x1=" {Known:false Left:0 Limit:0}
	// "x0=7,x1=25" {Known:false Left:0 Limit:0}
	// "x0=0.4,x1=-1" {Known:false Left:0 Limit:0}
	// "x0=NaN,x1=1" {Known:false Left:0 Limit:0}
	// ";;\xff" {Known:false Left:0 Limit:0}
}

// A new link that an endpoint refuses and ends found no place there: the notices go on trying, where refusals of a
// limit on links that stay have the route pause.
func Example_fullTable() {
	for _, head := range []string{"Connection: close\n", ""} {
		r := start("", 100)
		for _, id := range []string{"s1", "s2"} {
			r.hand("OUT.ADD 0 " + id + " c=status,d=6000,dest=1 x").turn(10 * time.Millisecond)
			r.answer("HTTP/1.1 503 Full\n" + head + "Content-Length: 0\n\n")
		}
		r.turn(140 * time.Millisecond)
	}
	// Output:
	// call a: POST /inbox
	//    s1
	// client: +OK
	// call a: POST /inbox
	//    s1
	// call a: POST /inbox
	//    s2
	// client: +OK
	// call a: POST /inbox
	//    s2
	// call a: POST /inbox
	//    s2
	// call a: POST /inbox
	//    s1
	// client: +OK
	// call a: POST /inbox
	//    s1
	// call a: POST /inbox
	//    s2
	// client: +OK
	// call a: POST /inbox
	//    s2
}

// A bundle whose answer cannot be made out may have run, and its link is of no further use.
func Example_spoiltBundle() {
	for _, body := range []string{`[{"id":"o1","state":"ok"},{"id":"o2","sta`, "nothing", `[{"id":"o1","state":"ok"}]`} {
		r := start("", 100).hand("OUT.ADD 0 o1 c=order,d=20000,dest=2 x", "OUT.ADD 0 o2 c=order,d=20000,dest=2 x")
		var a http1.Answer
		a.Feed(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		told := readAnswer(&a)
		fmt.Println("spoilt:", told.spoilt(r.calls[0]))
		r.calls[0].over = true
		r.s.finish(r.calls[0], told)
		r.turn(5 * time.Millisecond)
		os.RemoveAll(r.dir)
	}
	// Output:
	// call b: POST /inbox/bulk
	//    o2
	//    o1
	// client: +OK
	// client: +OK
	// spoilt: true
	// platform: {"message":"o2","outcome":"given_up"}
	// {"message":"o1","outcome":"given_up"}
	// call b: POST /inbox/bulk
	//    o2
	//    o1
	// client: +OK
	// client: +OK
	// spoilt: true
	// platform: {"message":"o2","outcome":"given_up"}
	// {"message":"o1","outcome":"given_up"}
	// call b: POST /inbox/bulk
	//    o2
	//    o1
	// client: +OK
	// client: +OK
	// spoilt: false
	// platform: {"message":"o2","outcome":"given_up"}
}

// How a call of a single-use notice ended decides whether it may be sent again.
func Example_outcomes() {
	for _, text := range []string{ok, lost, full, "HTTP/1.1 503 Full\nContent-Length: 0\n\n", "HTTP/1.1 503 Full\nX-No-Slot: 1\nContent-Length: 0\n\n",
		"HTTP/1.1 410 Gone\nContent-Length: 0\n\n", "HTTP/1.1 504 Out\nContent-Length: 0\n\n", "HTTP/1.1 200 OK\nContent-", "HTTP/1.1 429 Wait\nCont", "HTTP/1.", "", unsent, "nonsense\n"} {
		r := start("", 100)
		c := &client{room: make(chan struct{}, 1), gone: true}
		c.room <- struct{}{}
		r.s.command(c, [][]byte{[]byte("OUT.ADD"), []byte("0"), []byte("id"), []byte("c=order,d=20000,dest=1"), nil})
		r.s.turn()
		n := r.s.owed["id"]
		r.answer(text)
		fmt.Printf("%-20.20q may have run: %-5v owed: %v\n", text, n.MayRun, r.s.owed["id"] != nil && n.ending.what == endNone)
		os.RemoveAll(r.dir)
	}
	// Output:
	// "HTTP/1.1 200 OK\nCont" may have run: false owed: false
	// "HTTP/1.1 500 Error\nC" may have run: true  owed: false
	// "HTTP/1.1 429 Wait\nRe" may have run: false owed: true
	// "HTTP/1.1 503 Full\nCo" may have run: false owed: true
	// "HTTP/1.1 503 Full\nX-" may have run: false owed: true
	// "HTTP/1.1 410 Gone\nCo" may have run: false owed: false
	// "HTTP/1.1 504 Out\nCon" may have run: false owed: true
	// "HTTP/1.1 200 OK\nCont" may have run: false owed: false
	// "HTTP/1.1 429 Wait\nCo" may have run: true  owed: false
	// "HTTP/1."            may have run: true  owed: false
	// ""                   may have run: true  owed: false
	// "its last byte was no" may have run: false owed: true
	// "nonsense\n"         may have run: true  owed: false
}

// A planned end: no new call leaves late, what is owed stays in the journal, and what comes late is refused.
func Example_drain() {
	r := start("", 100)
	r.s.drain()
	r.hand("OUT.ADD 00 early c=status,d=6000,dest=1 x").answer(strings.Replace(full, "0.4", "4", 1))
	r.turn(3 * time.Second)
	r.hand("OUT.ADD 00 late c=status,d=6000,dest=1 x").owed()
	r.turn(400 * time.Millisecond)
	fmt.Println("ended:", r.s.ended)
	start(r.dir, 100).owed()
	os.RemoveAll(r.dir)
	// Output:
	// call a: POST /inbox
	//    early
	// client: +OK
	// client: -BUSY 2000
	// owed: 1 to the platform: 0
	// ended: true
	// owed: 1 to the platform: 0
}

// At a planned end, clients with nothing on its way go; one that comes after the signal may hand in one command.
func Example_drainClients() {
	r := start("", 100)
	connect := func() *client {
		pair, _ := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		conn, _ := netpoll.NewFDConnection(pair[0])
		return r.client(conn)
	}
	idle, half, asked, queued := connect(), connect(), connect(), connect()
	queued.room <- struct{}{} // its command waits in the inbox
	half.half.Store(int64(r.clock))
	asked.room <- struct{}{}
	r.s.add(r.s.expect(asked), [][]byte{nil, []byte("0"), []byte("id"), []byte("c=status,d=6000,dest=1"), nil})
	r.clock += time.Second
	r.s.drain()
	late, silent := connect(), connect()
	show := func() {
		fmt.Println(idle.closing, half.closing, asked.closing, queued.closing, late.closing, silent.closing)
	}
	show()
	late.served = true
	r.turn(5 * time.Millisecond)
	(<-r.s.inbox)() // the answer is written
	r.turn(5 * time.Millisecond)
	show()
	r.turn(lingerFor)
	show()
	r.clock += halfFor
	r.s.sweep()
	fmt.Println("half a command:", half.closing, half.gone)
	os.RemoveAll(r.dir)
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
	// half a command: true true
}

// An id that comes again after its end is taken on already, through a kill too: a single-use one never runs again.
func Example_endedID() {
	const text = "OUT.ADD 00 or c=order,d=20000,dest=1 x"
	r := start("", 100).hand(text).answer(ok).hand(text).owed()
	fmt.Println("killed")
	start(r.dir, 100).hand(text).owed()
	os.RemoveAll(r.dir)
	for i := range 3 * mostEnded {
		r.s.remember(choice.NoticeID(fmt.Sprint(i)))
	}
	_, oldest := r.s.admission.ended[choice.NoticeID(fmt.Sprint(2*mostEnded))]
	fmt.Println(len(r.s.admission.ended) == mostEnded, oldest)
	// Output:
	// call a: POST /inbox
	//    or
	// client: +OK
	// client: +OK
	// owed: 0 to the platform: 0
	// killed
	// client: +OK
	// owed: 0 to the platform: 0
	// true true
}

// A list that drops an endpoint, or moves it, takes its connections along; unreadable entries are left out.
func Example_list() {
	r := start("", 100)
	r.list(`{"version":2,"full":false,"servers":[{"id":"a","addr":"","cell":1,"state":"removed"},{"id":"b","cell":2,"state":"odd"},
		{"id":"c","addr":"127.0.0.1:3","zone":"z","kind":"one","cell":1,"state":"up","weight":1}]}`)
	r.hand("OUT.ADD 00 x c=status,d=6000,dest=1 x")
	fmt.Println(len(r.s.endpoints), r.s.endpoints["a"] == nil)
	os.RemoveAll(r.dir)
	// Output:
	// call c: POST /inbox
	//    x
	// client: +OK
	// 3 true
}

// FuzzReplay: no record crashes a start, and what is owed after it can be written and read again.
func FuzzReplay(f *testing.F) {
	n := &notice{key: "0", workload: "order"}
	n.ID, n.HardStop = "id", 9e13
	f.Add(n.record(), outRecord("id", 5, 0, "z"))
	f.Add(n.record(), endingRecord(&notice{Notice: n.Notice, ending: ending{what: endGivenUp}}))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		dir := t.TempDir()
		j, _, err := journal.Open(dir, 1<<20, func([]byte) {})
		if err != nil || len(first) == 0 || len(second) == 0 || len(first)+len(second) > 1<<16 {
			return
		}
		j.Add(first)
		j.Add(second)
		j.Close()
		a := start(dir, 100)
		if a.s == nil {
			return // of a workload that the settings do not name
		}
		owed := len(a.s.owed)
		a.s.journal.Rewrite(func(add func([]byte)) {
			for _, n := range a.s.order {
				n.records(add)
			}
		})
		if b := start(dir, 100); len(b.s.owed) != owed {
			t.Fatalf("%d owed, then %d", owed, len(b.s.owed))
		}
	})
}

// FuzzEndpoint: whatever an endpoint says to a bundle, each notice has one outcome and none is lost.
func FuzzEndpoint(f *testing.F) {
	f.Add(ok)
	f.Add("HTTP/1.1 200 OK\nRetry-After: 1e9\nX-Load: x0=NaN,x1=-1,=,\nContent-Length: 29\n\n" + `[{"id":"s1","state":"later"}]`)
	f.Fuzz(func(t *testing.T, text string) {
		r := start(t.TempDir(), 100)
		c := &client{room: make(chan struct{}, window), gone: true}
		for _, id := range []string{"s1", "s2"} {
			c.room <- struct{}{}
			r.s.command(c, [][]byte{[]byte("OUT.ADD"), []byte("0"), []byte(id), []byte("c=status,d=6000,dest=2"), nil})
		}
		r.s.turn()
		r.answer(text)
		for _, n := range []choice.NoticeID{"s1", "s2"} {
			if n := r.s.owed[n]; n != nil && n.out != nil {
				t.Fatalf("%s: still out", n.ID)
			}
		}
	})
}
