package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["order"] = orderCase }

const orderKey = "00000000000a11ce"

// orderCase has a customer system answer one call with several messages late, after the deadline of one of its messages.
// Then it checks that the next message of that message's key is sent only when the call has ended.
func orderCase(r *run) (bool, error) {
	type attempt struct {
		id   string
		out  bool
		conn *call
	}
	var mu sync.Mutex
	slow, overlaps := 0, 0
	var attempts []*attempt // of the messages with the key
	state := ""             // what the customer system has applied last for the key
	a, err := newAgent(r.record, nil)
	if err != nil {
		return false, err
	}
	e, err := newEndpoint("", func(c *call) (string, bool) {
		mu.Lock()
		factor := 1.0
		var mine []*attempt
		keyed := false
		for _, i := range c.items {
			if !strings.HasPrefix(i.ID, "reply") {
				continue
			}
			keyed = true
			for _, other := range attempts {
				if other.out && isOpen(other.conn) {
					overlaps++
					r.add("endpoint: call with %s WHILE THE CALL WITH %s IS OUT on an open connection, %v after it came", i.ID, other.id, time.Since(other.conn.at).Round(time.Millisecond))
				}
			}
			at := &attempt{id: i.ID, out: true, conn: c}
			attempts, mine = append(attempts, at), append(mine, at)
		}
		if r.trouble && keyed { // "answer 5.5 to 23 times slower"
			factor = 5.5
			if slow == 0 {
				factor = 20
			}
			slow++
		}
		mu.Unlock()
		r.add("endpoint: call with %s", names(c))
		time.Sleep(time.Duration(factor * float64(400*time.Millisecond)))
		mu.Lock()
		defer mu.Unlock()
		for _, at := range mine {
			at.out = false
			state = at.id
			r.add("endpoint: %s is applied", at.id)
		}
		if !c.bulk {
			return status(200, ""), true
		}
		of := map[string]string{}
		for _, i := range c.items {
			of[i.ID] = "ok"
		}
		return states("", of), true
	})
	if err != nil {
		return false, err
	}
	a.set(entry{ID: "e1", Addr: e.addr, Zone: "hall-a", Kind: "heavy-user", Cell: 7, State: "up", Weight: 20})
	// The figures of park-main.
	set := settings()
	set["zones"], set["machineTypes"], set["weights"] = []string{"hall-a"}, []string{"heavy-user", "light-user"}, "nominal"
	report, reply := class("delivery-report", "token", 3*time.Second, 16*time.Second, 2), class("reply-action", "side_effect", 3*time.Second, 24*time.Second, 1)
	report["group"], report["repeatWindow"], reply["byArrival"] = "zone", 6*time.Second, true
	set["classes"] = []any{report, reply}
	set["extra"].(map[string]any)["bundleMax"] = []int{20, 1}
	set["bounds"].(map[string]any)["maxAttempts"] = 6
	set["rules"] = map[string]any{"drainGrace": time.Second, "cold": 11 * time.Second, "coldFrom": 0.28, "fall": 3 * time.Second, "fallMultiple": 1.5}
	s := r.sender("s0")
	if err := s.configure(configuration(s, a, set, smallLimits())); err != nil {
		return false, err
	}
	if err := s.start(); err != nil {
		return false, err
	}
	c, err := dialClient(s.listen)
	if err != nil {
		return false, err
	}
	add := func(key, id, class string, ms int) string {
		r.add("client: hands in %s, class %s, key %s, %d ms left", id, class, key, ms)
		return addCommand(key, id, class, ms, 7, "confirmed")
	}
	for i := range 8 { // usual traffic
		if _, err := c.do(add("", fmt.Sprintf("usual%d", i), "reply-action", 24000), time.Second); err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
	}
	// Two messages at once, one with little time left. What goes to one endpoint in one turn travels as one call.
	if _, err := c.conn.Write([]byte(add(orderKey, "reply1", "reply-action", 2000) + add("", "usual-with-1", "reply-action", 24000))); err != nil {
		return false, err
	}
	for range 2 {
		if answer, err := c.answer(time.Second); err != nil || answer != "+OK" {
			return false, fmt.Errorf("answer %q, %v", answer, err)
		}
	}
	time.Sleep(200 * time.Millisecond)
	if answer, err := c.do(add(orderKey, "reply2", "reply-action", 24000), time.Second); err != nil || answer != "+OK" {
		return false, fmt.Errorf("answer %q, %v", answer, err)
	}
	time.Sleep(15 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	r.add("the newest message with the key is reply2; the customer system has applied last: %s", state)
	return overlaps > 0, nil
}

// isOpen reports whether the sender has neither closed a call's connection nor ended its sending on it.
func isOpen(c *call) bool {
	c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer c.conn.SetReadDeadline(time.Time{})
	_, err := c.conn.Read(make([]byte, 1))
	return err != nil && strings.Contains(err.Error(), "timeout")
}
