// Package directory receives the list of endpoints from service discovery.
//
// It defines the JSON format of the list and has at most three connections to discovery. It gets the full list and its
// changes through a watch, a call whose answer stays open, and calls again when the watch ends or falls silent. It
// continues until it is stopped, no answer of discovery makes it panic, and it leaves out invalid entries.
//
// Calls start one after another. A call that stalls before its first sign of life is read for a while in parallel with
// the next ones. The call with the first sign of life becomes the watch, and the others are stopped. Two stalled calls
// are read at most:
//   - the oldest, for StalledTimeout. Otherwise a list that is always slow would never be received, or waiting for it
//     would delay the next call beyond NotifyWithin.
//   - the newest, until the next call has stalled. A discovery that is silent answers its open calls when it returns, and
//     a pushed list counts as notified at that moment. So a call is open at any time while calls are accepted.
//
// The cost is two more connections while discovery sends nothing. The drawback: if a stalled call at last receives an old
// list and then falls silent, MaxSilence starts again from that list.
//
// watch.go starts the calls, timing.go computes when the next one starts, call.go implements one call, and list.go
// defines the list.
package directory

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

// maxStalled is the maximum number of stalled calls that are read.
const maxStalled = 2

// watcher calls discovery again and again. The goroutine in run owns it; calls send it events.
type watcher struct {
	addr      string
	maxList   int   // see Options; 0 for the default
	version   int64 // of the last message received; the next call asks for changes after it
	timing    timing
	backoff   backoff
	lastSign  time.Time // when the last sign of life was received; before the first, when the watcher started
	events    chan event
	nextCall  *time.Timer // starts the next call; runs only while newest is nil
	newest    *call       // the last call started, or the open watch; nil while the watcher waits to start the next call
	stalled   []*call     // the oldest and the newest stalled call, read until a call has a sign of life or their timeout expires
	dial      func(ctx context.Context, addr string) (net.Conn, error)
	jitter    func(time.Duration) time.Duration // draws a wait evenly between 0 and its argument
	callbacks Callbacks
}

// Callbacks receive what happens to a watch. They are called on the goroutine that called Watch, and none may be nil.
type Callbacks struct {
	OnList        func(List)        // called with each message
	OnEstablished func(Established) // called when a call becomes the watch, before OnList
	OnStalled     func()            // called when a call got no sign of life in time, before OnFailure
	OnFailure     func(error)       // called with the reason when a call stalls or ends
}

// Established describes the call that became the watch by its first sign of life.
type Established struct {
	CallAge time.Duration // since the start of the call
	Silence time.Duration // since the last sign of life of any call; for the first watch, since the start of the watcher
	// Unchanged says that the first sign of life is white space: nothing has changed after the version asked for.
	Unchanged bool
}

// event is a report of a call to the watcher.
type event struct {
	call *call
	kind eventKind
	list *List  // set with signOfLife; nil for white space between messages
	how  ending // set with ended
	err  error  // set with stalled and ended
}

// eventKind says what a call reports.
type eventKind int

const (
	signOfLife eventKind = iota // the call received a message or white space between messages
	stalled                     // a timeout expired before the first sign of life; the call continues
	ended                       // the call has ended
)

// Options says what a watch asks for, and of whom.
type Options struct {
	Addr       string        // host:port of discovery
	Senders    int           // number of senders that call the same discovery
	Since      int64         // version after which changes are asked for
	DrainGrace time.Duration // within which calls to an endpoint end after it is drained or removed; 0 if unknown
	MaxList    int           // maximum size in bytes of one message of discovery, at most and by default 4 MiB
}

// listLimit returns the maximum size in bytes of one message.
func (w *watcher) listLimit() int { return min(cmp.Or(w.maxList, maxList), maxList) }

// Watch receives the list from discovery until stop is closed.
func Watch(options Options, stop <-chan struct{}, callbacks Callbacks) {
	var d net.Dialer
	w := &watcher{
		addr:      options.Addr,
		version:   options.Since,
		maxList:   options.MaxList,
		timing:    defaultTiming(options.Senders).withDrainGrace(options.DrainGrace),
		dial:      func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		jitter:    func(most time.Duration) time.Duration { return rand.N(most) },
		callbacks: callbacks,
	}
	w.run(stop)
}

// run starts calls and handles their events until stop is closed.
func (w *watcher) run(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel() // stops all open calls
	w.lastSign = time.Now()
	w.backoff = backoff{silences: 1} // the first call may be followed by one immediate retry
	w.events = make(chan event)
	w.nextCall = time.NewTimer(0)
	defer w.nextCall.Stop()
	for {
		select {
		case <-stop:
			if w.newest != nil {
				w.callbacks.OnFailure(errStopped)
			}
			return
		case <-w.nextCall.C:
			w.newest = w.startCall(ctx)
		case e := <-w.events:
			// Events of calls that have been stopped are ignored.
			if e.call == w.newest || slices.Contains(w.stalled, e.call) {
				w.handle(e)
			}
		}
	}
}

// handle handles an event of one of the current calls.
func (w *watcher) handle(e event) {
	c := e.call
	switch {
	case e.kind == signOfLife:
		if !c.established {
			w.establish(c, e.list == nil)
		}
		w.lastSign, w.backoff = time.Now(), backoff{}
		if e.list != nil {
			w.version = e.list.Version
			w.callbacks.OnList(*e.list)
		}
	case e.kind == stalled && c == w.newest && !c.established:
		w.callbacks.OnStalled()
		w.callbacks.OnFailure(e.err)
		w.newest = nil
		w.keepStalled(c)
		w.scheduleNext(silent, c)
	case e.kind == ended && c == w.newest:
		c.stop()
		w.callbacks.OnFailure(e.err)
		w.newest = nil
		w.scheduleNext(e.how, c)
	case e.kind == ended:
		c.stop()
		w.stalled = slices.DeleteFunc(w.stalled, func(other *call) bool { return other == c })
		if e.how == errorStatus { // an error status affects the backoff however late it arrives
			w.callbacks.OnFailure(e.err)
			w.scheduleNext(errorStatus, c)
		}
	}
}

// keepStalled adds a call to the stalled ones. If there are too many, it stops the one before, and keeps the oldest.
func (w *watcher) keepStalled(c *call) {
	if len(w.stalled) == maxStalled {
		w.stalled[maxStalled-1].stop()
		w.stalled = w.stalled[:maxStalled-1]
	}
	w.stalled = append(w.stalled, c)
}

// establish makes c the watch, which says as its first sign of life whether nothing has changed, stops the other calls, and stops the timer of the next one.
func (w *watcher) establish(c *call, unchanged bool) {
	c.established = true
	w.callbacks.OnEstablished(Established{CallAge: time.Since(c.startedAt), Silence: time.Since(w.lastSign), Unchanged: unchanged})
	if w.newest != nil && w.newest != c {
		w.newest.stop()
		w.callbacks.OnFailure(errSuperseded)
	}
	for _, other := range w.stalled {
		if other != c {
			other.stop() // its stall has been reported to OnFailure
		}
	}
	w.newest, w.stalled = c, nil
	w.nextCall.Stop()
}

// scheduleNext updates the backoff after a call ended or stalled, and sets the timer of the next call unless one is
// open.
func (w *watcher) scheduleNext(how ending, c *call) {
	most := w.backoff.next(&w.timing, how, time.Since(w.lastSign), time.Since(c.startedAt))
	if w.newest != nil {
		return
	}
	if most > 0 {
		most = w.jitter(most)
	}
	w.nextCall.Reset(most)
}
