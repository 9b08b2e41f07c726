package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["outage"] = outage }

// outage checks that a sender sends nothing new to an endpoint later than the grace after it was told that the endpoint is gone.
// Discovery is down; while it is down, an endpoint goes, and one of another destination starts at its address. The agent gets the
// change when discovery returns.
func outage(rec *record, tmp string, trouble bool) (verdict, error) {
	const senders, grace, slack = 20, 500 * time.Millisecond, 50 * time.Millisecond
	const downFor = 8 * time.Second
	ok := func([]string) answer { return answer{status: 200, delay: 30 * time.Millisecond} }
	old, err := startEndpoint(rec, "p1-0 (cell 1)", "127.0.0.1:0", ok)
	if err != nil {
		return verdict{}, err
	}
	other, err := startEndpoint(rec, "p1-1 (cell 1)", "127.0.0.1:0", ok)
	if err != nil {
		return verdict{}, err
	}
	was := entry{ID: "p1-0", Addr: old.addr, Zone: "marabella", Kind: "small", Cell: 1, State: "up", Weight: 200}
	servers := []entry{was, {ID: "p1-1", Addr: other.addr, Zone: "marabella", Kind: "small", Cell: 1, State: "up", Weight: 200}}
	gone := was
	gone.State = "removed"
	next := entry{ID: "p2-0", Addr: old.addr, Zone: "marabella", Kind: "small", Cell: 2, State: "up", Weight: 200, StartedMS: time.Now().UnixMilli()}

	var agents []*platform
	var all []*process
	for i := range senders {
		pl, err := startPlatform(rec, servers)
		if err != nil {
			return verdict{}, err
		}
		p, err := newSender(rec, tmp, senderOptions{name: fmt.Sprintf("s%d", i), discovery: pl.addr, known: pl.wholeList(), settings: smallSettings(senders, i)})
		if err != nil {
			return verdict{}, err
		}
		if err := p.start(); err != nil {
			return verdict{}, err
		}
		agents, all = append(agents, pl), append(all, p)
		time.Sleep(100 * time.Millisecond) // the empty lines of their watches come at different moments
	}
	for _, p := range all {
		if err := p.waitReady(10 * time.Second); err != nil {
			return verdict{}, err
		}
	}

	// Clients: some messages a second for destination 1 at each sender.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, p := range all {
		clients.Go(func() {
			c, err := dialClient(p.listen)
			if err != nil {
				return
			}
			defer c.conn.Close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				m := message{"0000000000000000", fmt.Sprintf("e%03d%012d", i, n), "status", 6000, 1, "a rose"}
				got, err := c.call(m.args()...)
				if err != nil {
					rec.line("client: %s to s%d: %v", m.id, i, err)
					return
				}
				if got != "+OK" {
					rec.line("client: %s to s%d: %q", m.id, i, got)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, pl := range agents {
			pl.setSilent(true)
		}
		time.Sleep(downFor / 2)
	}
	// The machine of p1-0 goes; another one starts at its address.
	old.stop()
	replaced, err := startEndpoint(rec, "p2-0 (cell 2)", old.addr, ok)
	if err != nil {
		return verdict{}, err
	}
	rec.line("p1-0 has gone; p2-0, of destination 2, serves at its address %s", old.addr)
	if trouble {
		time.Sleep(downFor / 2)
	}
	told := time.Now()
	for _, pl := range agents {
		pl.change(gone, next)
		if trouble {
			pl.setSilent(false)
		}
	}
	rec.line("discovery can be reached, and each agent has the change: from now on it counts as told")
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(300 * time.Millisecond)

	late, lastLate := 0, time.Duration(0)
	bySender := map[string]int{}
	replaced.mu.Lock()
	for _, c := range replaced.calls {
		if after := c.at.Sub(told); after > grace+slack+100*time.Millisecond {
			late++
			lastLate = max(lastLate, after)
			bySender["s"+c.ids[0][1:4]]++
		}
	}
	replaced.mu.Unlock()
	if late > 0 {
		return verdict{true, fmt.Sprintf("%d messages for destination 1 went to the endpoint of destination 2 more than %v after the change was told, the last one %.2f s after; by sender: %v",
			late, grace+slack, lastLate.Seconds(), bySender)}, nil
	}
	return verdict{false, "nothing went to the endpoint that is gone after the grace"}, nil
}
