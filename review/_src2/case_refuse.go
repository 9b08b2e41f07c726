package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["refuse"] = refuseCase }

const (
	refuseSenders = 30              // "twenty to thirty senders"
	refuseTime    = 8 * time.Second // "discovery is down for 8 s"
	toldLatest    = 6 * time.Second // "a change counts as told at the latest 6 s after discovery had it and could be reached"
)

// refuseCase has discovery refuse all calls for a while. Meanwhile an endpoint is replaced, and another partner's endpoint
// takes over its address. Then the case checks what reaches the other partner later than 6 s after discovery can be reached.
func refuseCase(r *run) (bool, error) {
	var mu sync.Mutex
	dest := map[string]int{} // of each message
	moved := false
	var reachable time.Time // when discovery had the change and could be reached
	excused, late := 0, 0
	last := time.Duration(0)
	shared, err := newEndpoint("", func(c *call) (string, bool) {
		mu.Lock()
		for _, i := range c.items {
			if !moved || dest[i.ID] != 1 {
				continue
			}
			after := c.at.Sub(reachable)
			if reachable.IsZero() || after <= toldLatest+drainGrace+socketSlack {
				excused++
				continue
			}
			late++
			last = max(last, after)
			r.add("endpoint of partner 2: %s, WHICH IS FOR PARTNER 1, %v after discovery had the change and could be reached", i.ID, after.Round(time.Millisecond))
		}
		mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		return status(200, ""), true
	})
	if err != nil {
		return false, err
	}
	fresh, err := newEndpoint("", func(c *call) (string, bool) {
		time.Sleep(50 * time.Millisecond)
		return status(200, ""), true
	})
	if err != nil {
		return false, err
	}
	at := func(id string, e *endpoint, cell int, state string) entry {
		return entry{ID: id, Addr: e.addr, Zone: "marabella", Kind: "small", Cell: cell, State: state, Weight: 100}
	}
	var agents []*agent
	var senders []*sender
	for i := range refuseSenders {
		a, err := newAgent(r.record, nil)
		if err != nil {
			return false, err
		}
		a.set(at("s-1", shared, 1, "up"))
		s := r.sender(fmt.Sprint("s", i))
		set := settings()
		set["balancers"], set["slotNo"] = refuseSenders, i
		if err := s.configure(configuration(s, a, set, smallLimits())); err != nil {
			return false, err
		}
		if err := s.start(); err != nil {
			return false, err
		}
		agents, senders = append(agents, a), append(senders, s)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, s := range senders {
		clients.Add(1)
		go func() {
			defer clients.Done()
			var c *client
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				if c == nil {
					if c, _ = dialClient(s.listen); c == nil {
						continue
					}
				}
				id := fmt.Sprintf("m%02d-%04d", i, n)
				mu.Lock()
				dest[id] = 1
				mu.Unlock()
				if _, err := c.do(addCommand("", id, "order", 20000, 1, "two dozen roses"), 400*time.Millisecond); err != nil {
					c.conn.Close()
					c = nil
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		for _, a := range agents {
			a.setRefuses(true)
		}
		r.add("discovery: all watches are ended, calls are refused with 503 for %v", refuseTime)
	}
	time.Sleep(refuseTime / 2)
	mu.Lock()
	moved = true
	mu.Unlock()
	for _, a := range agents {
		a.set(at("s-1", shared, 1, "removed"), at("s-2", shared, 2, "up"), at("s-3", fresh, 1, "up"))
	}
	r.add("discovery: s-1 of partner 1 is removed, s-2 of partner 2 is up at its address, s-3 of partner 1 is up at a new one")
	if r.trouble {
		time.Sleep(refuseTime / 2)
	}
	mu.Lock()
	reachable = time.Now()
	mu.Unlock()
	for _, a := range agents {
		a.setRefuses(false)
	}
	r.add("discovery: has the change and can be reached")
	time.Sleep(20 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.add("messages of partner 1 at partner 2: %d that are excused, %d later than %v, the last %v after discovery could be reached",
		excused, late, toldLatest+drainGrace+socketSlack, last.Round(time.Millisecond))
	return late > 0, nil
}
