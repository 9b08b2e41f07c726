package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["wait"] = waitCase }

const (
	slowWork = 10 * usualWork  // "answer 5.6 to 24 times slower"
	toldWait = 2 * time.Second // "a count in each span of 2 s", "to the end of the span"
)

// waitCase has a partner system of kind bulk answer one call with several messages late, after the deadline of one of its
// messages, and with a wait. Then it checks that nothing is sent until the wait is over.
func waitCase(r *run) (bool, error) {
	var mu sync.Mutex
	var slow bool
	var toldAt, until time.Time
	early, calls := 0, 0
	a, err := newAgent(r.record, nil)
	if err != nil {
		return false, err
	}
	e, err := newEndpoint("", func(c *call) (string, bool) {
		mu.Lock()
		calls++
		in := !toldAt.IsZero() && c.at.After(toldAt.Add(letIn)) && c.at.Before(until)
		if in {
			early++
		}
		isSlow := slow && c.bulk
		mu.Unlock()
		note := ""
		if in {
			note = fmt.Sprintf(" WITHIN THE WAIT, %v after it was told, %v before its end", time.Since(toldAt).Round(time.Millisecond), time.Until(until).Round(time.Millisecond))
		}
		r.add("endpoint: call with %s%s", names(c), note)
		work := usualWork
		if isSlow && r.trouble {
			work = slowWork
		}
		time.Sleep(work)
		if !c.bulk {
			r.add("endpoint: 200 for %s", names(c))
			return status(200, ""), true
		}
		of := map[string]string{}
		for _, i := range c.items {
			of[i.ID] = "ok"
		}
		if !isSlow {
			return states("", of), true
		}
		for _, i := range c.items {
			if i.ID[:5] == "short" {
				of[i.ID] = "later"
			}
		}
		mu.Lock()
		defer mu.Unlock()
		slow, toldAt = false, time.Now()
		until = toldAt.Add(toldWait)
		r.add("endpoint: 200 for the call with %s, states %v, Retry-After %v", names(c), of, toldWait)
		return states(fmt.Sprintf("Retry-After: %.1f\r\n", toldWait.Seconds()), of), true
	})
	if err != nil {
		return false, err
	}
	a.set(entry{ID: "e1", Addr: e.addr, Zone: "marabella", Kind: "bulk", Cell: 7, State: "up", Weight: 20})
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
	n := 0
	add := func(prefix, class string, ms int) string {
		n++
		id := fmt.Sprintf("%s%04d", prefix, n)
		r.add("client: hands in %s, class %s, %d ms left", id, class, ms)
		return addCommand("", id, class, ms, 7, "two dozen roses")
	}
	for range 10 { // usual traffic
		if _, err := c.do(add("usual", "order", 20000), time.Second); err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond)
	}
	for round := range 3 {
		mu.Lock()
		slow, toldAt, until = true, time.Time{}, time.Time{}
		mu.Unlock()
		// Two messages at once, one with little time left. What goes to one endpoint in one turn travels as one call.
		if _, err := c.conn.Write([]byte(add("short", "status", 1000) + add("order", "order", 20000))); err != nil {
			return false, err
		}
		for range 2 {
			answer, err := c.answer(time.Second)
			if err != nil || answer != "+OK" {
				return false, fmt.Errorf("answer %q, %v", answer, err)
			}
		}
		told := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return !toldAt.IsZero()
		}
		for end := time.Now().Add(6 * time.Second); !told() && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		if !told() {
			r.add("round %d: no call with both messages, no wait was told", round)
			continue
		}
		for range 12 { // usual traffic during the wait
			time.Sleep(200 * time.Millisecond)
			if _, err := c.do(add("usual", "order", 20000), time.Second); err != nil {
				return false, err
			}
		}
		time.Sleep(2 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	r.add("%d calls, %d of them within a wait", calls, early)
	return early > 0, nil
}
