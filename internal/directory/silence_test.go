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

// These tests use the clock of testing/synctest and the timing of defaultTiming. The fake discovery and the watch are
// connected by a pipe, so the results do not depend on the speed of the machine. TestLoopback makes a similar test on
// sockets with a shorter timeout.

// answerHead is the head of an answer whose body is a watch.
const answerHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk encodes text as one HTTP chunk.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// list returns the JSON text of a full list with the given version, indented over several lines as some implementations
// of discovery write it.
func list(version int) string {
	return fmt.Sprintf("{\n  \"version\": %d,\n  \"full\": true,\n  \"servers\": [\n    {\n      \"id\": \"a\"\n    }\n  ]\n}\n", version)
}

// piece is one step of a script: wait for the delay, then write the text.
type piece struct {
	delay time.Duration
	text  string
}

// script describes what the fake discovery does on one connection.
type script struct {
	connectDelay time.Duration // time to connect
	pieces       []piece       // written in order
	closes       bool          // whether the connection is closed after the pieces; otherwise it stays open and silent
}

// healthy returns a script that sends a list 700 ms after the dial and then a sign of life every two seconds.
func healthy(version int) script {
	s := script{connectDelay: 700 * time.Millisecond, pieces: []piece{{0, answerHead + chunk(list(version))}}}
	for range 1000 {
		s.pieces = append(s.pieces, piece{2 * time.Second, chunk("\n")})
	}
	return s
}

// neverConnects is a script whose connection takes longer than any timeout.
var neverConnects = script{connectDelay: time.Hour}

// fakeDiscovery plays one script for each call. Calls beyond the last script get the last script.
type fakeDiscovery struct {
	mu           sync.Mutex // two calls may be open at once
	scripts      []script
	calls        []time.Duration // when each call was made, since start
	asked        []string        // the since parameter of each request received
	start        time.Time
	processPause time.Duration // how long the watch's process is paused at each message
}

// dial waits for the script's connectDelay and returns one end of a pipe on whose other end the script is played.
func (d *fakeDiscovery) dial(ctx context.Context, _ string) (net.Conn, error) {
	d.mu.Lock()
	s := d.scripts[min(len(d.calls), len(d.scripts)-1)]
	d.calls = append(d.calls, time.Since(d.start))
	d.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(s.connectDelay):
	}
	ours, theirs := net.Pipe()
	go s.play(theirs, func(since string) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.asked = append(d.asked, since)
	})
	return ours, nil
}

// play reads a request from conn, passes its since parameter to asked, and plays the script.
func (s script) play(conn net.Conn, asked func(since string)) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	asked(r.URL.Query().Get("since"))
	for _, p := range s.pieces {
		time.Sleep(p.delay)
		if _, err := io.WriteString(conn, p.text); err != nil {
			return
		}
	}
	if !s.closes {
		conn.Read(make([]byte, 1)) // waits until the watch closes the connection
	}
}

// onListOnly returns callbacks of which only OnList does something.
func onListOnly(onList func(List)) Callbacks {
	return Callbacks{OnList: onList, OnEstablished: func(Established) {}, OnStalled: func() {}, OnFailure: func(error) {}}
}

// received is the version of a list and when it was received.
type received struct {
	version int64
	at      time.Duration
}

// runWatch runs a watch against d for the time span, with the maximum length of every random wait. It returns the lists
// received and the errors reported to OnFailure.
func runWatch(senders int, span time.Duration, d *fakeDiscovery) (all []received, ends []error) {
	stop := make(chan struct{})
	d.start = time.Now()
	w := &watcher{addr: "discovery:1", timing: defaultTiming(senders), dial: d.dial,
		jitter: func(most time.Duration) time.Duration { return most },
		callbacks: onListOnly(func(l List) {
			all = append(all, received{l.Version, time.Since(d.start)})
			time.Sleep(d.processPause)
		})}
	w.callbacks.OnFailure = func(err error) { ends = append(ends, err) }
	done := make(chan struct{})
	go func() {
		w.run(stop)
		close(done)
	}()
	time.Sleep(span)
	close(stop)
	<-done
	time.Sleep(10 * time.Second) // lets the goroutines of fakeDiscovery end; a leaked goroutine of the watch fails the test
	return all, ends
}

// TestSilence checks that a change that a watch misses by falling silent, in whatever way, is received within six
// seconds of the last sign of life, and with how many calls.
func TestSilence(t *testing.T) {
	singleThreaded(t)
	trickle := func(after time.Duration) (all []piece) {
		for _, letter := range strings.Split(list(2), "") {
			all = append(all, piece{after, chunk(letter)})
			after = 500 * time.Millisecond
		}
		return all
	}
	listOnly := []piece{{0, answerHead + chunk(list(1))}}
	listThenBlank := append(listOnly[:1:1], piece{2 * time.Second, chunk("\n")})
	half := chunk(list(2)[:30])
	for name, c := range map[string]struct {
		scripts []script
		life    time.Duration // when the last sign of life is received
		calls   int           // expected until the list of version 9
	}{
		"silence":                      {[]script{{pieces: listThenBlank}}, 2 * time.Second, 2},
		"silence from the start":       {[]script{{pieces: listOnly}}, 0, 2},
		"half a message, then silence": {[]script{{pieces: append(listThenBlank[:2:2], piece{2700 * time.Millisecond, half})}}, 2 * time.Second, 2},
		"half a message, then the end": {[]script{{pieces: append(listThenBlank[:2:2], piece{0, half}), closes: true}}, 2 * time.Second, 2},
		"half a message twice":         {[]script{{pieces: listThenBlank, closes: true}, {pieces: []piece{{0, answerHead + half}}, closes: true}}, 2 * time.Second, 3},
		"a trickle":                    {[]script{{pieces: append(listThenBlank[:2:2], trickle(2700*time.Millisecond)...)}}, 2 * time.Second, 2},
		"redial hangs":                 {[]script{{pieces: listThenBlank}, neverConnects}, 2 * time.Second, 3},
		"head never comes":             {[]script{{pieces: listThenBlank}, {}}, 2 * time.Second, 3},
		"head trickles":                {[]script{{pieces: listThenBlank}, {pieces: []piece{{0, "HTTP/1.1 2"}, {time.Second, "0"}}}}, 2 * time.Second, 3},
		"head alone":                   {[]script{{pieces: listThenBlank}, {pieces: []piece{{0, answerHead}}}}, 2 * time.Second, 3},
		"head, then half a list":       {[]script{{pieces: listThenBlank}, {pieces: []piece{{0, answerHead}, {2 * time.Second, half}}}}, 2 * time.Second, 3},
		"trickle, head never comes":    {[]script{{pieces: append(listThenBlank[:2:2], trickle(2700*time.Millisecond)...)}, {}}, 2 * time.Second, 3},
		"first call hangs":             {[]script{neverConnects}, 0, 2},
		"first call gets no head":      {[]script{{}}, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDiscovery{scripts: append(c.scripts, healthy(9))}
				all, _ := runWatch(300, 30*time.Second, d)
				last := all[len(all)-1]
				if within := last.at - c.life; last.version != 9 || within > defaultTiming(300).NotifyWithin {
					t.Errorf("received %v, calls at %v", all, d.calls)
				}
				if len(d.calls) != c.calls {
					t.Errorf("%d calls at %v, want %d", len(d.calls), d.calls, c.calls)
				}
			})
		})
	}
}

// TestLife checks that a watch with signs of life stays open, whether messages are indented, split, or two in one chunk.
// It also stays open if the process was paused: then the watch reads what arrived meanwhile.
func TestLife(t *testing.T) {
	singleThreaded(t)
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
			d := &fakeDiscovery{scripts: []script{s}, processPause: pause}
			all, _ := runWatch(300, time.Minute, d)
			if len(all) != 4 || all[3].version != 4 || len(d.calls) != 1 {
				t.Errorf("received %v, calls at %v", all, d.calls)
			}
		}
	})
}

// TestSpread checks that calls that are rejected with an error status keep the wait of a large fleet, and that a stalled
// call is read until its slow list is complete.
func TestSpread(t *testing.T) {
	singleThreaded(t)
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDiscovery{scripts: []script{{pieces: []piece{{0, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}}, closes: true}}}
		runWatch(300, 65*time.Second, d)
		if len(d.calls) != 3 { // at 0, 30 and 60 s
			t.Errorf("error status: calls at %v", d.calls)
		}
		slow := script{pieces: []piece{{0, answerHead}, {2 * time.Second, chunk(list(1)[:9])}, {3 * time.Second, chunk(list(1)[9:])}}}
		d = &fakeDiscovery{scripts: []script{slow}}
		all, ends := runWatch(300, 50*time.Second, d)
		if len(all) == 0 || all[0].version != 1 || !errors.Is(ends[0], errSilent) {
			t.Errorf("slow list: received %v, calls at %v, ends %v", all, d.calls, ends)
		}
	})
}

// TestPrice checks the number of calls of 300 senders. If all watches fall silent once, each sender makes one more call.
// If discovery stays down, each makes four more calls in 14 s: two immediately and two after waits of the backoff.
func TestPrice(t *testing.T) {
	singleThreaded(t)
	count := func(scripts ...script) (calls int) {
		for range 300 {
			d := &fakeDiscovery{scripts: scripts}
			runWatch(300, 14*time.Second, d)
			calls += len(d.calls) - 1
		}
		return calls
	}
	synctest.Test(t, func(t *testing.T) {
		listOnly := script{pieces: []piece{{0, answerHead + chunk(list(1))}}}
		if n := count(listOnly, healthy(2)); n != 300 {
			t.Errorf("%d calls after each watch fell silent once", n)
		}
		if n := count(listOnly, neverConnects); n != 1200 {
			t.Errorf("%d calls to a discovery that is down", n)
		}
	})
}

// TestLoopback checks on sockets, with a tenth of MaxSilence, that an indented list is received, that a silent watch is
// replaced by a new call, and that stop ends the watcher.
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
	w := &watcher{addr: listener.Addr().String(), timing: defaultTiming(1), callbacks: onListOnly(func(l List) { versions <- l.Version }),
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
		t.Error("the watcher continues after stop")
	}
}
