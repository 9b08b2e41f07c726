// Package directory follows the list of endpoints at discovery.
//
// It owns the connections there, two at most, and the list's form. It asks for the whole list by a watch, which stays
// open, and asks anew when that ends or falls silent. It must never give up before it is stopped, end the process over
// what discovery says, or pass on an entry that it could not read.
//
// Calls are begun one after another. One that stalls before it has shown life is read on for a while beside the next:
// a list that is always slow would never be heard else, and to wait for it would hold up the next call beyond NotifyWithin.
// Whichever shows life first is the watch, and the other is ended. It costs one more connection while discovery says
// nothing. It harms where a call begun long ago speaks at last, tells an old list and falls silent: the clock of
// silence starts anew from there.
//
// watch.go goes from call to call, waits.go says when the next one comes, follow.go is one call, and list.go what it
// brings.
package directory

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

// watcher follows discovery from call to call. It belongs to the goroutine that runs it; calls hand it events.
type watcher struct {
	addr   string
	since  int64
	waits  Waits
	ladder ladder
	heard  time.Time // the last sign of life, or when it began
	events chan event
	next   *time.Timer // begins the next call; runs only while newest is nil
	newest *call       // the call that the ladder counts, or the open watch
	slow   *call       // one that stalled, read on until either shows life or its patience is over
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	upTo   func(time.Duration) time.Duration // a wait drawn evenly
	onList func(List)
	failed func(error)
}

// event is what a call has to tell: life, with a message or none, that it stalled, or that it is over.
type event struct {
	call *call
	what happening
	list *List  // of life; nil for blanks
	how  ending // of over
	err  error  // of stalled and over
}

type happening int

const (
	life happening = iota
	stalled
	over
)

// Watch follows discovery at addr, which so many senders share, from a version on until stop is closed. It hands each
// message to onList, and why a call was given up to failed, both from its own goroutine.
func Watch(addr string, senders int, since int64, stop <-chan struct{}, onList func(List), failed func(error)) {
	var d net.Dialer
	w := &watcher{addr: addr, since: since, waits: standing(senders), onList: onList, failed: failed,
		dial: func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		upTo: func(most time.Duration) time.Duration { return rand.N(most) }}
	w.run(stop)
}

func (w *watcher) run(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel() // ends the calls that are out
	w.heard, w.ladder = time.Now(), ladder{silences: 1}
	w.events, w.next = make(chan event), time.NewTimer(0)
	defer w.next.Stop()
	for {
		select {
		case <-stop:
			if w.newest != nil {
				w.failed(errStopped)
			}
			return
		case <-w.next.C:
			w.newest = w.begin(ctx)
		case e := <-w.events:
			// What a call still had to tell when it was ended is not taken.
			if e.call == w.newest || e.call == w.slow {
				w.take(e)
			}
		}
	}
}

func (w *watcher) take(e event) {
	c := e.call
	switch {
	case e.what == life:
		w.heard, w.ladder, c.spoke = time.Now(), ladder{}, true
		w.settle(c)
		if e.list != nil {
			w.since = e.list.Version
			w.onList(*e.list)
		}
	case e.what == stalled && c == w.newest && !c.spoke:
		w.failed(e.err)
		w.newest = nil
		if w.slow == nil {
			w.slow = c
		} else {
			c.stop()
		}
		w.wait(silent, c)
	case e.what == over && c == w.newest:
		c.stop()
		w.failed(e.err)
		w.newest = nil
		w.wait(e.how, c)
	case e.what == over:
		c.stop()
		w.slow = nil
		if e.how == busy { // that counts, however late it is said
			w.failed(e.err)
			w.wait(busy, c)
		}
	}
}

// settle has a call be the watch, and ends the other one.
func (w *watcher) settle(c *call) {
	if w.newest != nil && w.newest != c {
		w.newest.stop()
		w.failed(errBeside)
	}
	if w.slow != nil && w.slow != c {
		w.slow.stop() // why it was given up has been told
	}
	w.newest, w.slow = c, nil
	w.next.Stop()
}

// wait has the next call begin when the ladder says, unless one is out.
func (w *watcher) wait(how ending, c *call) {
	most := w.ladder.next(&w.waits, how, time.Since(w.heard), time.Since(c.began))
	if w.newest != nil {
		return
	}
	if most > 0 {
		most = w.upTo(most)
	}
	w.next.Reset(most)
}
