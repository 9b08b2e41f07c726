package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["shed"] = shedCase }

const (
	shutFor      = 10 * time.Second // "shut and refuse all, for 6.8 to 23 s"
	betweenCalls = 250 * time.Millisecond
	usualCalls   = 20 // before it shuts
	allCalls     = 80
	shareOfFive  = 2 // of five messages, so many are for the partner system that shuts: "up to 42% of the traffic"
)

// shedCase has a partner system shut for a while. It turns all calls away with 429 and tells the wait until it opens. Its
// answer says `Connection: close`, and the end of the connection is the end of the answer. Then the case checks that nothing
// is sent until the wait is over.
func shedCase(r *run) (bool, error) {
	var mu sync.Mutex
	var toldAt, opensAt time.Time
	early, shed, failed := 0, 0, 0
	turnedAway := map[string]bool{}
	a, err := newAgent(r.record, func(o outcome) {
		mu.Lock()
		defer mu.Unlock()
		if o.Outcome == "given_up" && turnedAway[o.Message] {
			failed++
		}
	})
	if err != nil {
		return false, err
	}
	e, err := newEndpoint("", func(c *call) (string, bool) {
		mu.Lock()
		defer mu.Unlock()
		wait := time.Until(opensAt)
		if wait <= 0 {
			r.add("endpoint: call with %s, 200", names(c))
			mu.Unlock()
			time.Sleep(usualWork)
			mu.Lock()
			return status(200, ""), true
		}
		shed++
		note := ""
		if !toldAt.IsZero() && c.at.After(toldAt.Add(letIn)) {
			early++
			note = fmt.Sprintf(" WITHIN THE WAIT, %v after it was told", c.at.Sub(toldAt).Round(time.Millisecond))
		}
		if toldAt.IsZero() {
			toldAt = time.Now()
		}
		for _, i := range c.items {
			turnedAway[i.ID] = true
		}
		if shed%2 == 0 { // "17 to 58% of its shed replies ... tell how long to wait", here half
			r.add("endpoint: call with %s, 503, Connection: close%s", names(c), note)
			return "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\nshut\n", false
		}
		r.add("endpoint: call with %s, 429, Retry-After %.3f, Connection: close%s", names(c), wait.Seconds(), note)
		return fmt.Sprintf("HTTP/1.1 429 Too Many Requests\r\nRetry-After: %.3f\r\nConnection: close\r\n\r\nshut\n", wait.Seconds()), false
	})
	if err != nil {
		return false, err
	}
	healthy, err := newEndpoint("", func(c *call) (string, bool) {
		time.Sleep(usualWork)
		return status(200, ""), true
	})
	if err != nil {
		return false, err
	}
	a.set(entry{ID: "e1", Addr: e.addr, Zone: "marabella", Kind: "small", Cell: 7, State: "up", Weight: 8},
		entry{ID: "e2", Addr: healthy.addr, Zone: "marabella", Kind: "small", Cell: 8, State: "up", Weight: 8})
	s := r.sender("s0")
	if err := s.configure(configuration(s, a, settings(), smallLimits())); err != nil {
		return false, err
	}
	if err := s.start(); err != nil {
		return false, err
	}
	c, err := dialClient(s.listen)
	if err != nil {
		return false, err
	}
	for i := range allCalls {
		if i == usualCalls && r.trouble {
			mu.Lock()
			opensAt = time.Now().Add(shutFor)
			mu.Unlock()
			r.add("endpoint: shut for %v", shutFor)
		}
		id := fmt.Sprintf("order%04d", i)
		dest := 8
		if i%5 < shareOfFive {
			dest = 7
		}
		answer, err := c.do(addCommand("", id, "order", 20000, dest, "two dozen roses"), time.Second)
		if err != nil {
			return false, err
		}
		r.add("client: hands in %s for partner %d, answer %s", id, dest, answer)
		time.Sleep(betweenCalls)
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	r.add("%d calls turned away, %d of them within the wait; %d messages that were turned away are given up", shed, early, failed)
	return early > 0, nil
}
