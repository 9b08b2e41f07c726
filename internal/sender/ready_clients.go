package sender

// This file passes clients with queued commands from their readers to the loop, which serves them in turn. A reader never
// waits for the loop, because the goroutine that reads all sockets waits for the reader. However many commands a client
// queues, each pass handles the same number of each client.

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// commandsPerVisit is the maximum number of commands of one client that the loop handles before it goes on to the next.
	commandsPerVisit = 16
	// maxServingTime is the time after which the loop does something else although clients wait.
	maxServingTime = time.Millisecond
	// maxReadingTime is the time after which the goroutine that reads all sockets lets others run.
	maxReadingTime = 4 * time.Millisecond
)

// readingTurn makes the goroutine that reads all sockets let others run from time to time. The scheduler would let it run on
// for 10 ms with the readers that it wakes, and the loop for as long; while clients send all the time, a command of another
// client would wait for many of these turns.
type readingTurn struct {
	clock func() time.Duration // returns the time since the start
	began atomic.Int64         // when the present turn began, in nanoseconds since the start
}

// yieldIfDue lets others run if the turn has taken maxReadingTime.
func (r *readingTurn) yieldIfDue() {
	if int64(r.clock())-r.began.Load() < int64(maxReadingTime) {
		return
	}
	runtime.Gosched()
	r.began.Store(int64(r.clock()))
}

// readyClients holds the clients whose queue has commands that the loop may handle, each at most once. Readers and the loop
// share it.
type readyClients struct {
	mu      sync.Mutex
	waiting []*client
	wake    chan struct{} // has an element if clients wait
}

// init makes the channel.
func (r *readyClients) init() { r.wake = make(chan struct{}, 1) }

// add appends clients to the list and wakes the loop.
func (r *readyClients) add(clients ...*client) {
	if len(clients) == 0 {
		return
	}
	r.mu.Lock()
	for _, c := range clients {
		if !c.waiting {
			c.waiting = true
			r.waiting = append(r.waiting, c)
		}
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// take removes and returns all clients.
func (r *readyClients) take() []*client {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.waiting
	r.waiting = nil
	for _, c := range all {
		c.waiting = false
	}
	return all
}

// serveReady handles some commands of each client in the list, for at most maxServingTime. Clients that were not visited go
// before clients that have more commands.
func (s *Sender) serveReady() {
	s.eventsPending = true
	until := s.sinceStart() + maxServingTime
	waiting := s.ready.take()
	var unfinished []*client
	for i, c := range waiting {
		if s.handleQueue(c) {
			unfinished = append(unfinished, c)
		}
		if s.sinceStart() >= until {
			s.ready.add(waiting[i+1:]...)
			break
		}
	}
	s.ready.add(unfinished...)
	if len(s.ready.wake) > 0 {
		runtime.Gosched() // clients wait, and their commands would keep the loop from waiting for anything else
	}
}
