package main

import (
	"testing"
	"time"
)

// Bounds of what usual clients get while others send as much as they can: nearly every request is answered in time, and
// nearly every one is accepted.
const (
	answeredShare = 0.95
	acceptedShare = 0.9
)

// allLoads is a load of clients of every kind.
var allLoads = []string{"flood=20", "bodies=20", "unsound=10", "leave=10", "unread=40", "half=100"}

// Load of the usual clients of a test, and how long it lasts.
const (
	usualClients  = 16
	usualInterval = 400 * time.Millisecond
	usualDuration = 6 * time.Second
)

// TestUsualClientsBesideOthers guards against clients that take more than their share of the loop, of memory and of places,
// so that other clients are answered late, or -BUSY, or the process passes its memory limit.
func TestUsualClientsBesideOthers(t *testing.T) {
	binary := buildProgram(t)
	for _, row := range []struct {
		name string
		load string
	}{
		{"one client sends small requests at full speed", "flood=1"},
		{"a hundred clients send small requests at full speed", "flood=100"},
		{"clients that send unsound bytes come again and again", "unsound=30"},
		{"clients send many requests and leave with a reset", "leave=30"},
		{"clients read no answers", "unread=100"},
		{"clients stop half way", "half=300"},
		{"as many clients as there are descriptors stop half way", "half=900"},
	} {
		t.Run(row.name, func(t *testing.T) {
			open := make(chan struct{})
			close(open)
			e := startEndpoint(t, "127.0.0.1:0", 5*time.Millisecond, open)
			s := limitedSender{memoryMB: memoryLimitMB, sockets: 1024, diskMB: 3, callsOut: 15, endpoint: e.addr, state: t.TempDir()}.start(t, binary)
			stop := startOverload(t, s.listen, row.load)
			r := runUsualClients(s.listen, usualClients, usualInterval, usualDuration)
			stop()
			t.Logf("usual clients: %+v", r)
			if answered := r.sent - r.unanswered; float64(answered) < answeredShare*float64(r.sent) {
				t.Errorf("%d of %d usual requests were answered in time", answered, r.sent)
			}
			if float64(r.accepted) < acceptedShare*float64(r.sent) {
				t.Errorf("%d of %d usual requests were accepted", r.accepted, r.sent)
			}
			s.expectMemoryWithin(t, memoryLimitMB)
		})
	}
}

// TestMemoryOfAllHoldersAtOnce guards against limits that hold for each kind of use alone: clients and endpoints that send as
// much as they can in every way at once do not take the process over its memory limit, also not at a start on the folder
// that a kill left, and usual clients are answered meanwhile.
func TestMemoryOfAllHoldersAtOnce(t *testing.T) {
	binary := buildProgram(t)
	endpoint := freeAddr(t)
	startOverload(t, endpoint, "endless=1")
	l := limitedSender{memoryMB: memoryLimitMB, sockets: 1024, diskMB: 300, callsOut: 200, endpoint: endpoint, state: t.TempDir()}
	for _, process := range []string{"the first process", "the process after a kill"} {
		s := l.start(t, binary)
		t.Logf("%s owes %d messages", process, s.counter("owed"))
		usual := make(chan usualResult, 1)
		go func() { usual <- runUsualClients(s.listen, usualClients, usualInterval, usualDuration) }()
		time.Sleep(usualInterval) // until all of them are connected
		stop := startOverload(t, s.listen, allLoads...)
		r := <-usual
		t.Logf("usual clients of %s: %+v", process, r)
		if answered := r.sent - r.unanswered; float64(answered) < answeredShare*float64(r.sent) {
			t.Errorf("%s answered %d of %d usual requests in time", process, answered, r.sent)
		}
		s.kill()
		stop()
		s.expectMemoryWithin(t, memoryLimitMB)
	}
}

// TestClientsConnectBesideAllLoads guards against clients that are not answered because they connect while others send as
// much as they can in every way at once.
func TestClientsConnectBesideAllLoads(t *testing.T) {
	open := make(chan struct{})
	close(open)
	e := startEndpoint(t, "127.0.0.1:0", 5*time.Millisecond, open)
	s := limitedSender{memoryMB: memoryLimitMB, sockets: 1024, diskMB: 300, callsOut: 15, endpoint: e.addr, state: t.TempDir()}.start(t, buildProgram(t))
	stop := startOverload(t, s.listen, allLoads...)
	time.Sleep(usualInterval) // until the others send
	r := runUsualClients(s.listen, usualClients, usualInterval, usualDuration)
	stop()
	if answered := r.sent - r.unanswered; float64(answered) < answeredShare*float64(r.sent) {
		t.Errorf("%d of %d usual requests were answered in time", answered, r.sent)
	}
	s.expectMemoryWithin(t, memoryLimitMB)
}
