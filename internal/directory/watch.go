// Package directory follows the list of endpoints at discovery.
//
// It owns the connections there, two at most, and the form of the list. It asks for the full list by a watch, which stays
// open, and calls again when that ends or falls silent. It does not give up before it is stopped, does not end the process
// whatever discovery sends, and does not pass on an entry that it could not read.
//
// Calls are begun one after another. One that stalls before its first sign of life is read on for a while beside the
// next: otherwise a list that is always slow would never be received, and waiting for it would delay the next call beyond
// NotifyWithin. Whichever call shows life first is the watch, and the other is ended. The price is one more connection
// while discovery sends nothing. The drawback: where a call begun long ago sends at last, brings an old list and falls
// silent, the time allowed for silence starts again from there.
//
// watch.go goes from call to call, timing.go says when the next one begins, call.go is one call, and list.go what it
// brings.
package directory

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

// watcher follows discovery from call to call. It belongs to the goroutine that runs it; calls send it events.
type watcher struct {
	addr      string
	version   int64 // received last; the next call asks for what came since
	timing    timing
	backoff   backoff
	lastSign  time.Time // the last sign of life, or when the watcher began
	events    chan event
	nextCall  *time.Timer // begins the next call; runs only while newest is nil
	newest    *call       // the call that the backoff counts, or the open watch
	stalled   *call       // one that stalled, read on until either shows life or its time is over
	dial      func(ctx context.Context, addr string) (net.Conn, error)
	jitter    func(time.Duration) time.Duration // a wait drawn evenly from 0 to the given one
	onList    func(List)
	onFailure func(error)
}

// event is what a call reports to the watcher.
type event struct {
	call *call
	kind eventKind
	list *List  // of signOfLife; nil for blanks
	how  ending // of ended
	err  error  // of stalled and ended
}

type eventKind int

const (
	signOfLife eventKind = iota
	stalled
	ended
)

// Watch follows discovery at addr, which so many senders share, from a version on until stop is closed. It hands each
// message to onList, and why a call was given up to onFailure, both from its own goroutine.
func Watch(addr string, senders int, since int64, stop <-chan struct{}, onList func(List), onFailure func(error)) {
	var d net.Dialer
	w := &watcher{
		addr:      addr,
		version:   since,
		timing:    defaultTiming(senders),
		dial:      func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		jitter:    func(most time.Duration) time.Duration { return rand.N(most) },
		onList:    onList,
		onFailure: onFailure,
	}
	w.run(stop)
}

func (w *watcher) run(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel() // ends the calls that are open
	w.lastSign = time.Now()
	w.backoff = backoff{silences: 1} // the first call may be followed by one immediate retry
	w.events = make(chan event)
	w.nextCall = time.NewTimer(0)
	defer w.nextCall.Stop()
	for {
		select {
		case <-stop:
			if w.newest != nil {
				w.onFailure(errStopped)
			}
			return
		case <-w.nextCall.C:
			w.newest = w.begin(ctx)
		case e := <-w.events:
			// Events that a call still had to send when it was ended are ignored.
			if e.call == w.newest || e.call == w.stalled {
				w.handle(e)
			}
		}
	}
}

func (w *watcher) handle(e event) {
	c := e.call
	switch {
	case e.kind == signOfLife:
		w.lastSign, w.backoff = time.Now(), backoff{}
		c.established = true
		w.establish(c)
		if e.list != nil {
			w.version = e.list.Version
			w.onList(*e.list)
		}
	case e.kind == stalled && c == w.newest && !c.established:
		w.onFailure(e.err)
		w.newest = nil
		if w.stalled == nil {
			w.stalled = c
		} else {
			c.stop()
		}
		w.scheduleNext(silent, c)
	case e.kind == ended && c == w.newest:
		c.stop()
		w.onFailure(e.err)
		w.newest = nil
		w.scheduleNext(e.how, c)
	case e.kind == ended:
		c.stop()
		w.stalled = nil
		if e.how == errorStatus { // counts however late it comes
			w.onFailure(e.err)
			w.scheduleNext(errorStatus, c)
		}
	}
}

// establish makes a call the watch, and ends the other one.
func (w *watcher) establish(c *call) {
	if w.newest != nil && w.newest != c {
		w.newest.stop()
		w.onFailure(errSuperseded)
	}
	if w.stalled != nil && w.stalled != c {
		w.stalled.stop() // why it was given up has been reported
	}
	w.newest, w.stalled = c, nil
	w.nextCall.Stop()
}

// scheduleNext has the next call begin when the backoff says, unless one is open.
func (w *watcher) scheduleNext(how ending, c *call) {
	most := w.backoff.next(&w.timing, how, time.Since(w.lastSign), time.Since(c.began))
	if w.newest != nil {
		return
	}
	if most > 0 {
		most = w.jitter(most)
	}
	w.nextCall.Reset(most)
}
