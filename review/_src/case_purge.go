package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["purge-clock"] = purgeClock }

// purgeClock checks that no call begins for a message that a complete purge matched. One process is cut off while the purge is
// decided, and the leader is killed and started again. The two other processes have run longer than the leader.
func purgeClock(rec *record, tmp string, trouble bool) (verdict, error) {
	const headStart = 15 * time.Second   // how long the two others run before the leader starts
	const away = 1900 * time.Millisecond // how long a killed process is away at least; the pages have 1.8 to 7.9 s
	const key = "0000000000004711"
	names := []string{"s0", "s1", "s2"}
	opensAt, shed := time.Time{}, 0
	open := func(ids []string) answer {
		left := time.Until(opensAt)
		if left <= 0 || ids == nil {
			if left > 0 {
				return answer{status: http.StatusServiceUnavailable}
			}
			return answer{status: http.StatusOK}
		}
		if shed++; shed%3 == 0 { // two of three shed replies tell when it opens
			return answer{status: http.StatusServiceUnavailable}
		}
		return answer{status: http.StatusTooManyRequests, retryAfter: left}
	}
	dest, err := startEndpoint(rec, "p1-0", "127.0.0.1:0", open)
	if err != nil {
		return verdict{}, err
	}
	other, err := startEndpoint(rec, "p2-0", "127.0.0.1:0", func([]string) answer { return answer{status: http.StatusOK} })
	if err != nil {
		return verdict{}, err
	}
	pl, err := startPlatform(rec, []entry{{ID: "p1-0", Addr: dest.addr, Zone: "marabella", Kind: "bulk", Cell: 1, State: "up", Weight: 20},
		{ID: "p2-0", Addr: other.addr, Zone: "marabella", Kind: "small", Cell: 2, State: "up", Weight: 20}})
	if err != nil {
		return verdict{}, err
	}
	files, https, err := writeClusterFiles(tmp, names, false)
	if err != nil {
		return verdict{}, err
	}
	var all []*process
	for i, name := range names {
		p, err := newSender(rec, tmp, senderOptions{name: name, discovery: pl.addr, known: pl.wholeList(), settings: smallSettings(3, i), clusterFile: files[i]})
		if err != nil {
			return verdict{}, err
		}
		all = append(all, p)
	}
	begin := func(i int) error {
		if err := all[i].start(); err != nil {
			return err
		}
		return all[i].waitReady(10 * time.Second)
	}
	for _, i := range []int{1, 2} {
		if err := begin(i); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(headStart)
	if err := begin(0); err != nil {
		return verdict{}, err
	}
	leader, err := waitLeader(rec, https[0], 15*time.Second)
	if err != nil {
		return verdict{}, err
	}
	if leader != "s0" {
		return verdict{}, fmt.Errorf("the leader is %s, not the process that started last", leader)
	}
	// A first purge that matches nothing: complete once all three take part.
	if status, _, err := httpJSON("POST", "http://"+https[1]+"/v1/purges?wait=complete&for=10s", purgeOrder("warm-up", "00000000000000ff"), 12*time.Second); err != nil || status != http.StatusOK {
		return verdict{}, fmt.Errorf("the first purge was not complete: status %d, %v", status, err)
	}
	rec.line("cluster: a purge that matches nothing is complete")

	// The other destination gets two thirds of the traffic.
	for i := range 4 {
		m := message{"0000000000000002", fmt.Sprintf("a00000000000001%d", i), "order", 20000, 2, "a tulip"}
		if got, err := handIn(rec, "s2", all[2].listen, m); err != nil || got != "+OK" {
			return verdict{}, fmt.Errorf("a message for destination 2 was not taken on: %q %v", got, err)
		}
	}
	// The destination is shut, and says when it opens.
	opensAt = time.Now().Add(15 * time.Second)
	if got, err := handIn(rec, "s2", all[2].listen, message{"0000000000000001", "a000000000000001", "order", 20000, 1, "a rose"}); err != nil || got != "+OK" {
		return verdict{}, fmt.Errorf("the first message was not taken on: %q %v", got, err)
	}
	time.Sleep(300 * time.Millisecond)
	const id = "a000000000000002"
	if got, err := handIn(rec, "s2", all[2].listen, message{key, id, "order", 20000, 1, "two dozen roses"}); err != nil || got != "+OK" {
		return verdict{}, fmt.Errorf("the message was not taken on: %q %v", got, err)
	}
	time.Sleep(500 * time.Millisecond)
	killed2, killed0 := time.Now(), time.Time{}
	if trouble {
		all[2].signal(syscall.SIGKILL)
		if err := all[2].waitEnded(5 * time.Second); err != nil {
			return verdict{}, err
		}
	}
	status, answer, err := httpJSON("POST", "http://"+https[1]+"/v1/purges", purgeOrder("cancel-4711", key), 6*time.Second)
	rec.line("caller: POST /v1/purges cancel-4711 at s1: status %d, %v, %v", status, answer, errText(err))
	if err != nil || status != http.StatusAccepted {
		return verdict{}, errors.New("the purge was not decided")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		state, _ := purgeState(https[1], "cancel-4711")
		rec.line("purge cancel-4711: state %q", state)
		killed0 = time.Now()
		all[0].signal(syscall.SIGKILL)
		if err := all[0].waitEnded(5 * time.Second); err != nil {
			return verdict{}, err
		}
		time.Sleep(time.Until(killed2.Add(away)))
		if err := begin(2); err != nil {
			return verdict{}, err
		}
		if leader, err = waitOtherLeader(rec, https[1], "s0", 10*time.Second); err != nil {
			return verdict{}, err
		}
		time.Sleep(time.Until(killed0.Add(away)))
		if gone := time.Since(killed0); gone > 7900*time.Millisecond {
			return verdict{}, fmt.Errorf("s0 would have been away for %v", gone)
		}
		if err := begin(0); err != nil {
			return verdict{}, err
		}
	}
	state, _ := waitPurge(rec, https[1], "cancel-4711", 12*time.Second)
	closedAt := time.Now()
	if state == "" || state == "spreading" {
		return verdict{}, fmt.Errorf("the purge is not complete in time: %q", state)
	}
	if time.Now().After(opensAt) {
		return verdict{}, errors.New("the purge was complete only after the destination had opened")
	}
	time.Sleep(time.Until(opensAt) + 6*time.Second)
	calls := dest.callsWith(id)
	if n := len(calls); n > 0 && calls[n-1].at.After(closedAt) {
		last := calls[n-1]
		return verdict{true, fmt.Sprintf("a call with %s began %.1f s after the purge was %q, and was answered %d", id, last.at.Sub(closedAt).Seconds(), state, last.answered)}, nil
	}
	if n, found := pl.noticeFor(id); !found {
		return verdict{}, errors.New("no call and no notice for the message")
	} else {
		return verdict{false, fmt.Sprintf("no call with %s after the purge was %q; its notice says %s", id, state, n.Outcome)}, nil
	}
}
