package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

func init() { cases["order"] = orderInBulk }

// orderInBulk checks that notices of one key go one at a time. An endpoint hangs with a call that carries several messages; the
// time of one of them ends before that of the others.
func orderInBulk(rec *record, tmp string, trouble bool) (verdict, error) {
	const key, first, other, second = "00000000000000aa", "k000000000000001", "k000000000000002", "k000000000000003"
	hung := make(chan struct{}) // closed when the connection of the call with the first message has ended
	ok := func([]string) answer { return answer{status: 200, delay: 30 * time.Millisecond} }
	hang := func(ids []string) answer {
		if trouble && len(ids) > 1 {
			return answer{hang: true}
		}
		return ok(ids)
	}
	var servers []entry
	var all []*endpoint
	for _, name := range []string{"p1-0", "p1-1"} {
		e, err := startEndpoint(rec, name, "127.0.0.1:0", hang)
		if err != nil {
			return verdict{}, err
		}
		e.hungEnded = hung
		all = append(all, e)
		servers = append(servers, entry{ID: name, Addr: e.addr, Zone: "marabella", Kind: "bulk", Cell: 1, State: "up", Weight: 200})
	}
	pl, err := startPlatform(rec, servers)
	if err != nil {
		return verdict{}, err
	}
	set := smallSettings(1, 0)
	set["classes"] = append(set["classes"].([]any), map[string]any{"name": "place-change", "aim": 2500000000, "deadline": 28000000000, "group": "all",
		"idempotency": "side_effect", "lateWorth": 0.3, "repeatWindow": 5000000000, "streaming": false, "worth": 1.0, "byArrival": true})
	set["rules"].(map[string]any)["keyRest"] = 300000000
	p, err := newSender(rec, tmp, senderOptions{name: "s0", discovery: pl.addr, known: pl.wholeList(), settings: set})
	if err != nil {
		return verdict{}, err
	}
	if err := p.start(); err != nil {
		return verdict{}, err
	}
	if err := p.waitReady(10 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	// Two messages in one turn: the first with little time left, as one that was refused before.
	conn, err := net.Dial("tcp", p.listen)
	if err != nil {
		return verdict{}, err
	}
	defer conn.Close()
	text := command(message{key, first, "place-change", 1000, 1, "from A to B"}.args()...) +
		command(message{"00000000000000bb", other, "place-change", 28000, 1, "from C to D"}.args()...)
	if _, err := io.WriteString(conn, text); err != nil {
		return verdict{}, err
	}
	rec.line("client: %s (key %s, d 1000 ms) and %s (another key, d 28000 ms) at once", first, key, other)
	time.Sleep(300 * time.Millisecond)
	if got, err := handIn(rec, "s0", p.listen, message{key, second, "place-change", 28000, 1, "from B to E"}); err != nil || got != "+OK" {
		return verdict{}, fmt.Errorf("the second message of the key was not taken on: %q %v", got, err)
	}
	var began time.Time
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && began.IsZero(); time.Sleep(5 * time.Millisecond) {
		for _, e := range all {
			if c := e.callsWith(second); len(c) > 0 {
				began = c[0].at
			}
		}
	}
	if began.IsZero() {
		return verdict{}, errors.New("the second message of the key was never sent")
	}
	if !trouble {
		return verdict{false, "the second message of the key was sent after the first had been answered"}, nil
	}
	if len(all[0].callsWith(first))+len(all[1].callsWith(first)) == 0 {
		return verdict{}, errors.New("the first message of the key was never sent")
	}
	select {
	case <-hung:
		return verdict{false, "the call with the first message of the key had ended before the second was sent"}, nil
	default:
		n, found := pl.noticeFor(first)
		return verdict{true, fmt.Sprintf("%s was sent while the call with %s, of the same key, was out on an open connection (notice for %s: %v %s)", second,
			first, first, found, n.Outcome)}, nil
	}
}
