package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart"] = restartCase }

const (
	drainGrace   = 500 * time.Millisecond // of the settings
	socketSlack  = 50 * time.Millisecond  // "every time limit is 50 ms longer"
	outageOfList = 8 * time.Second        // "discovery is down for 8 s"
)

// restartCase kills a sender, and replaces an endpoint while it is dead: another partner's endpoint takes over the address.
// Discovery's agent has the change, and is silent for a while when the sender starts again. Then the case checks what
// reaches the other partner.
func restartCase(r *run) (bool, error) {
	var mu sync.Mutex
	dest := map[string]int{} // of each message
	var firstMoment time.Time
	moved := false
	foreign := 0
	a, err := newAgent(r.record, nil)
	if err != nil {
		return false, err
	}
	// The machine at this address is an endpoint of partner 1, and of partner 2 after the replacement.
	shared, err := newEndpoint("", func(c *call) (string, bool) {
		mu.Lock()
		owner, late := 1, false
		if moved {
			owner, late = 2, c.at.After(firstMoment.Add(drainGrace+socketSlack))
		}
		for _, i := range c.items {
			note := ""
			if dest[i.ID] != owner {
				note = ", WHICH IS FOR ANOTHER PARTNER"
				if late {
					foreign++
				}
			}
			r.add("endpoint of partner %d at the address that both had: %s, for partner %d%s", owner, i.ID, dest[i.ID], note)
		}
		mu.Unlock()
		time.Sleep(usualWork)
		return status(200, ""), true
	})
	if err != nil {
		return false, err
	}
	fresh, err := newEndpoint("", func(c *call) (string, bool) {
		for _, i := range c.items {
			r.add("new endpoint of partner 1: %s", i.ID)
		}
		time.Sleep(usualWork)
		return status(200, ""), true
	})
	if err != nil {
		return false, err
	}
	at := func(id string, e *endpoint, cell int, state string) entry {
		return entry{ID: id, Addr: e.addr, Zone: "marabella", Kind: "small", Cell: cell, State: state, Weight: 20}
	}
	a.set(at("s-1", shared, 1, "up"))
	for cell := 3; cell <= 9; cell++ { // endpoints of other partners, which stay
		a.set(at(fmt.Sprint("s-", cell+10), fresh, cell, "up"))
	}
	s, other := r.sender("s0"), r.sender("s1") // one of the two is killed
	for i, each := range []*sender{s, other} {
		set := settings()
		set["balancers"], set["slotNo"] = 2, i
		if err := each.configure(configuration(each, a, set, smallLimits())); err != nil { // with the list that the sender holds
			return false, err
		}
		if err := each.start(); err != nil {
			return false, err
		}
	}
	n := 0
	add := func() error {
		n++
		id := fmt.Sprintf("order%04d", n)
		mu.Lock()
		dest[id] = 1
		mu.Unlock()
		c, err := dialClient(s.listen)
		if err != nil {
			return err
		}
		defer c.conn.Close()
		answer, err := c.do(addCommand("", id, "order", 20000, 1, "two dozen roses"), 400*time.Millisecond)
		r.add("client: hands in %s for partner 1, answer %q %v", id, answer, err)
		return err
	}
	for range 5 {
		if err := add(); err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(time.Second)
	s.signal(syscall.SIGKILL)
	<-s.ended
	mu.Lock()
	moved = true
	mu.Unlock()
	shared.closeAll()
	a.set(at("s-1", shared, 1, "removed"), at("s-2", shared, 2, "up"), at("s-3", fresh, 1, "up"))
	r.add("discovery: s-1 of partner 1 is removed, s-2 of partner 2 is up at its address, s-3 of partner 1 is up at a new one")
	time.Sleep(600 * time.Millisecond) // "0.6 s after SIGKILL"
	if r.trouble {
		a.setDown(true)
		r.add("discovery is down: its agent is silent")
		time.AfterFunc(outageOfList, func() {
			a.setDown(false)
			r.add("discovery is back")
		})
	}
	mu.Lock()
	firstMoment = time.Now()
	mu.Unlock()
	if err := s.start(); err != nil {
		return false, err
	}
	for range 24 {
		if err := add(); err != nil {
			r.add("client: %v", err)
		}
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	r.add("%d calls with a message of partner 1 reached partner 2 later than %v after the start", foreign, drainGrace+socketSlack)
	return foreign > 0, nil
}
