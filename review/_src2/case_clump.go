package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["clump"] = clumpCase }

const (
	mostBody  = 64 << 10 // "a body holds no more than 64 KiB"
	clumpBody = 12000    // bytes of a message's body
	clumpSize = 10       // messages in the clump; the most of one call of kind bulk
	usualSize = 30       // messages that come one after another: "16 to 28% of the notices come in clumps", here 25%
)

// clumpCase hands in messages for one partner system of kind bulk in a clump. The partner system reads bodies of at most
// 64 KiB, and closes on what it can't read. Then the case checks that no longer body has come.
func clumpCase(r *run) (bool, error) {
	var mu sync.Mutex
	taken, givenUp := map[string]bool{}, map[string]bool{}
	tooLong := 0
	a, err := newAgent(r.record, func(o outcome) {
		mu.Lock()
		defer mu.Unlock()
		if o.Outcome == "given_up" {
			givenUp[o.Message] = true
		}
	})
	if err != nil {
		return false, err
	}
	e, err := newEndpoint("", func(c *call) (string, bool) {
		time.Sleep(usualWork)
		mu.Lock()
		defer mu.Unlock()
		of := map[string]string{}
		for _, i := range c.items {
			taken[i.ID], of[i.ID] = true, "ok"
		}
		r.add("endpoint: call with %v, 200", names(c))
		if c.bulk {
			return states("", of), true
		}
		return status(200, ""), true
	})
	if err != nil {
		return false, err
	}
	e.maxBody, e.large = mostBody, func(req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		tooLong++
		r.add("endpoint: %s with A BODY OF %d BYTES, connection closed", req.URL.Path, req.ContentLength)
	}
	a.set(entry{ID: "e1", Addr: e.addr, Zone: "marabella", Kind: "bulk", Cell: 7, State: "up", Weight: 5})
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
	handIn := func(ids ...string) error {
		var text strings.Builder
		for _, id := range ids {
			text.WriteString(addCommand("", id, "order", 20000, 7, strings.Repeat("r", clumpBody)))
		}
		if _, err := c.conn.Write([]byte(text.String())); err != nil {
			return err
		}
		for _, id := range ids {
			answer, err := c.answer(time.Second)
			r.add("client: handed in %s with %d bytes, answer %q", id, clumpBody, answer)
			if err != nil {
				return err
			}
		}
		return nil
	}
	oneByOne := func(ids ...string) error {
		for _, id := range ids {
			if err := handIn(id); err != nil {
				return err
			}
			time.Sleep(400 * time.Millisecond)
		}
		return nil
	}
	var usual, clump []string
	for i := range usualSize {
		usual = append(usual, fmt.Sprintf("usual%02d", i))
	}
	for i := range clumpSize {
		clump = append(clump, fmt.Sprintf("order%02d", i))
	}
	if err := oneByOne(usual[:usualSize/2]...); err != nil {
		return false, err
	}
	if r.trouble {
		err = handIn(clump...)
		time.Sleep(time.Second)
	} else {
		err = oneByOne(clump...)
	}
	if err != nil {
		return false, err
	}
	if err := oneByOne(usual[usualSize/2:]...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for id := range givenUp {
		if !taken[id] {
			lost++
		}
	}
	r.add("%d bodies were too long; %d messages were taken by the partner system, %d were given up that it has never taken", tooLong, len(taken), lost)
	return tooLong > 0, nil
}
