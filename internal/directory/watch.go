// Package directory follows the list of endpoints at discovery.
//
// It owns one connection there and the list's form. It asks for the whole list by a watch, which stays open, and
// asks anew when that ends or falls silent. It must never give up before it is stopped, end the process over what
// discovery says, or pass on an entry that it could not read.
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

// watcher follows discovery from call to call. It belongs to the goroutine that runs it.
type watcher struct {
	addr   string
	since  int64
	waits  Waits
	ladder ladder
	heard  time.Time // the last sign of life, or when it began
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	upTo   func(time.Duration) time.Duration // a wait drawn evenly
	news   func(List)
	failed func(error)
}

// Watch follows discovery at addr, which so many senders share, from a version on until stop is closed. It hands each
// message to news, and why a connection ended to failed, both from its own goroutine.
func Watch(addr string, senders int, since int64, stop <-chan struct{}, news func(List), failed func(error)) {
	var d net.Dialer
	w := &watcher{addr: addr, since: since, waits: standing(senders), news: news, failed: failed,
		dial: func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		upTo: func(most time.Duration) time.Duration { return rand.N(most) }}
	w.run(stop)
}

func (w *watcher) run(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	w.heard, w.ladder = time.Now(), ladder{silences: 1}
	for ctx.Err() == nil {
		f := w.call(ctx)
		how, err := f.follow()
		w.failed(err)
		var wait time.Duration
		if most := w.ladder.next(&w.waits, how, f.lived, time.Since(w.heard)); most > 0 {
			wait = w.upTo(most)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}
