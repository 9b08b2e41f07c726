package directory

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// These tests run on the test's own clock (testing/synctest) with the timing in service: the stand-in and the watch talk
// through a pipe, and what is measured does not depend on the machine. TestLoopback is the same on sockets, with shorter
// timeouts.

const answerHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// list of a version, indented over many lines as some agents write it.
func list(version int) string {
	return fmt.Sprintf("{\n  \"version\": %d,\n  \"full\": true,\n  \"servers\": [\n    {\n      \"id\": \"a\"\n    }\n  ]\n}\n", version)
}

// piece is what a stand-in does next on a connection: wait, then write.
type piece struct {
	after time.Duration
	text  string
}

// script is one connection: how long it takes to come up, what is written, and whether it then ends or stays silent.
type script struct {
	up     time.Duration
	pieces []piece
	ends   bool
}

// healthy answers after a while and shows life every two seconds.
func healthy(version int) script {
	s := script{up: 700 * time.Millisecond, pieces: []piece{{0, answerHead + chunk(list(version))}}}
	for range 1000 {
		s.pieces = append(s.pieces, piece{2 * time.Second, chunk("\n")})
	}
	return s
}

// dead is a discovery that is down: connections never come up.
var dead = script{up: time.Hour}

// standIn plays scripts, one for each call, the last one again and again.
type standIn struct {
	mu      sync.Mutex // two calls may be out
	scripts []script
	calls   []time.Duration // when each came
	asked   []string        // the version since which each asked, as its request came
	start   time.Time
	pause   time.Duration // for so long the watch's process stands still with each message
}

func (d *standIn) dial(ctx context.Context, _ string) (net.Conn, error) {
	d.mu.Lock()
	s := d.scripts[min(len(d.calls), len(d.scripts)-1)]
	d.calls = append(d.calls, time.Since(d.start))
	d.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(s.up):
	}
	ours, theirs := net.Pipe()
	go s.play(theirs, func(since string) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.asked = append(d.asked, since)
	})
	return ours, nil
}

func (s script) play(conn net.Conn, asked func(since string)) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	asked(r.URL.Query().Get("since"))
	for _, p := range s.pieces {
		time.Sleep(p.after)
		if _, err := io.WriteString(conn, p.text); err != nil {
			return
		}
	}
	if !s.ends {
		conn.Read(make([]byte, 1)) // until the watch ends it
	}
}

// heard is a version and when it came.
type heard struct {
	version int64
	at      time.Duration
}

// watched runs a watch over the scripts for a span, every random wait lasting as long as it may.
func watched(senders int, span time.Duration, d *standIn) (all []heard, ends []error) {
	stop := make(chan struct{})
	d.start = time.Now()
	w := &watcher{addr: "discovery:1", timing: defaultTiming(senders), dial: d.dial,
		jitter: func(most time.Duration) time.Duration { return most },
		onList: func(l List) {
			all = append(all, heard{l.Version, time.Since(d.start)})
			time.Sleep(d.pause)
		},
		onFailure: func(err error) { ends = append(ends, err) }}
	done := make(chan struct{})
	go func() {
		w.run(stop)
		close(done)
	}()
	time.Sleep(span)
	close(stop)
	<-done
	time.Sleep(10 * time.Second) // for the stand-in's goroutines; one of ours that stayed would fail the test
	return all, ends
}

// Whatever way a watch falls silent, what it misses is received within six seconds of its last sign of life.
func TestSilence(t *testing.T) {
	trickle := func(after time.Duration) (all []piece) {
		for _, letter := range strings.Split(list(2), "") {
			all = append(all, piece{after, chunk(letter)})
			after = 500 * time.Millisecond
		}
		return all
	}
	opened := []piece{{0, answerHead + chunk(list(1))}}
	stood := append(opened[:1:1], piece{2 * time.Second, chunk("\n")})
	half := chunk(list(2)[:30])
	for name, c := range map[string]struct {
		scripts []script
		life    time.Duration // when the last sign of life came
		calls   int           // up to the list
	}{
		"silence":                    {[]script{{pieces: stood}}, 2 * time.Second, 2},
		"silence from the first":     {[]script{{pieces: opened}}, 0, 2},
		"cut in the middle, silent":  {[]script{{pieces: append(stood[:2:2], piece{2700 * time.Millisecond, half})}}, 2 * time.Second, 2},
		"cut in the middle, ends":    {[]script{{pieces: append(stood[:2:2], piece{0, half}), ends: true}}, 2 * time.Second, 2},
		"cut twice in the middle":    {[]script{{pieces: stood, ends: true}, {pieces: []piece{{0, answerHead + half}}, ends: true}}, 2 * time.Second, 3},
		"a trickle":                  {[]script{{pieces: append(stood[:2:2], trickle(2700*time.Millisecond)...)}}, 2 * time.Second, 2},
		"redial hangs":               {[]script{{pieces: stood}, dead}, 2 * time.Second, 3},
		"head never comes":           {[]script{{pieces: stood}, {}}, 2 * time.Second, 3},
		"head trickles":              {[]script{{pieces: stood}, {pieces: []piece{{0, "HTTP/1.1 2"}, {time.Second, "0"}}}}, 2 * time.Second, 3},
		"head alone":                 {[]script{{pieces: stood}, {pieces: []piece{{0, answerHead}}}}, 2 * time.Second, 3},
		"head, then half a list":     {[]script{{pieces: stood}, {pieces: []piece{{0, answerHead}, {2 * time.Second, half}}}}, 2 * time.Second, 3},
		"trickle, head never comes":  {[]script{{pieces: append(stood[:2:2], trickle(2700*time.Millisecond)...)}, {}}, 2 * time.Second, 3},
		"first call hangs":           {[]script{dead}, 0, 2},
		"first call's head is amiss": {[]script{{}}, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &standIn{scripts: append(c.scripts, healthy(9))}
				all, _ := watched(300, 30*time.Second, d)
				last := all[len(all)-1]
				if within := last.at - c.life; last.version != 9 || within > defaultTiming(300).NotifyWithin {
					t.Errorf("heard %v, calls at %v", all, d.calls)
				}
				if len(d.calls) != c.calls {
					t.Errorf("%d calls at %v, want %d", len(d.calls), d.calls, c.calls)
				}
			})
		})
	}
}

// A watch that shows life stays open, with messages that are indented, come in pieces, or two in one piece; so does one
// whose process stood still, which reads what came meanwhile.
func TestLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := script{pieces: []piece{{0, answerHead + chunk("\n")}}}
		for _, line := range strings.SplitAfter(strings.TrimSpace(list(1)), "\n") {
			s.pieces = append(s.pieces, piece{100 * time.Millisecond, chunk(line)})
		}
		s.pieces = append(s.pieces, piece{2700 * time.Millisecond, chunk(list(2)+"\r\n"+list(3)+list(4)[:9]) + chunk(list(4)[9:]+"\n")})
		for range 20 {
			s.pieces = append(s.pieces, piece{2700 * time.Millisecond, chunk("\n")})
		}
		for _, pause := range []time.Duration{0, 3500 * time.Millisecond} {
			d := &standIn{scripts: []script{s}, pause: pause}
			all, _ := watched(300, time.Minute, d)
			if len(all) != 4 || all[3].version != 4 || len(d.calls) != 1 {
				t.Errorf("heard %v, calls at %v", all, d.calls)
			}
		}
	})
}

// Calls that fail at once or are refused keep their spread, and so do calls to a discovery that stays silent: two come at
// once, and then not more than the spread allows. A list that is slow to come is then waited for.
func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &standIn{scripts: []script{{pieces: []piece{{0, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}}, ends: true}}}
		watched(300, 65*time.Second, d)
		if len(d.calls) != 3 { // at 0, 30 and 60 s
			t.Errorf("refused: calls at %v", d.calls)
		}
		slow := script{pieces: []piece{{0, answerHead}, {2 * time.Second, chunk(list(1)[:9])}, {3 * time.Second, chunk(list(1)[9:])}}}
		d = &standIn{scripts: []script{slow}}
		all, ends := watched(300, 50*time.Second, d)
		if len(all) == 0 || all[0].version != 1 || !errors.Is(ends[0], errSilent) {
			t.Errorf("slow: heard %v, calls at %v, ends %v", all, d.calls, ends)
		}
	})
}

// The number of calls of a fleet of 300. Watches that all fall silent once cause a call each; a discovery that stays down
// causes four each in 14 s, two at once and two within the bound.
func TestPrice(t *testing.T) {
	count := func(scripts ...script) (calls int) {
		for range 300 {
			d := &standIn{scripts: scripts}
			watched(300, 14*time.Second, d)
			calls += len(d.calls) - 1
		}
		return calls
	}
	synctest.Test(t, func(t *testing.T) {
		stood := script{pieces: []piece{{0, answerHead + chunk(list(1))}}}
		if n := count(stood, healthy(2)); n != 300 {
			t.Errorf("%d calls after one silence of each", n)
		}
		if n := count(stood, dead); n != 1200 {
			t.Errorf("%d calls into a discovery that is down", n)
		}
	})
}

// On sockets, in a tenth of the time: an indented list is heard, a silent watch is called for again, and a stop ends all.
func TestLoopback(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for version := 1; ; version++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go script{pieces: []piece{{0, answerHead + chunk(list(version))}}}.play(conn, func(string) {})
		}
	}()
	var d net.Dialer
	versions, stop, done := make(chan int64, 100), make(chan struct{}), make(chan struct{})
	w := &watcher{addr: listener.Addr().String(), timing: defaultTiming(1), onList: func(l List) { versions <- l.Version }, onFailure: func(error) {},
		dial:   func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		jitter: func(most time.Duration) time.Duration { return most }}
	w.timing.MaxSilence /= 10
	go func() {
		w.run(stop)
		close(done)
	}()
	for want := int64(1); want <= 3; want++ {
		if got := <-versions; got != want {
			t.Errorf("version %d, want %d", got, want)
		}
	}
	close(stop)
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Error("a stopped watch goes on")
	}
}
