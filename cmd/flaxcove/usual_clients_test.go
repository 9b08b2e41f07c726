package main

// This file holds the usual clients of tests of overload, and what they got.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// answerTimeout is how long a client waits for an answer before it closes the connection.
const answerTimeout = 400 * time.Millisecond

// usualResult counts what became of the requests of usual clients.
type usualResult struct{ sent, accepted, busy, other, unanswered int }

// runUsualClients runs clients that each send a request at an interval and wait answerTimeout for its answer.
func runUsualClients(listen string, clients int, interval, duration time.Duration) (total usualResult) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			time.Sleep(interval * time.Duration(i) / time.Duration(clients))
			r := runUsualClient(listen, fmt.Sprintf("usual%d-", i), interval, duration)
			mu.Lock()
			defer mu.Unlock()
			total.sent, total.accepted, total.busy = total.sent+r.sent, total.accepted+r.accepted, total.busy+r.busy
			total.other, total.unanswered = total.other+r.other, total.unanswered+r.unanswered
		})
	}
	all.Wait()
	return total
}

// runUsualClient runs one client of runUsualClients. It connects again after a request that was not answered.
func runUsualClient(listen, prefix string, interval, duration time.Duration) (r usualResult) {
	var conn net.Conn
	var answers *bufio.Reader
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		r.sent++
		begun := time.Now()
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", listen, answerTimeout); err != nil {
				r.unanswered++
				continue
			}
			answers = bufio.NewReader(conn)
		}
		conn.SetDeadline(begun.Add(answerTimeout))
		io.WriteString(conn, addCommandText(fmt.Sprint(prefix, r.sent), messageDeadlineMS, "usual"))
		line, err := answers.ReadString('\n')
		switch {
		case err != nil:
			r.unanswered++
			conn.Close()
			conn = nil
		case strings.HasPrefix(line, "+OK"):
			r.accepted++
		case strings.HasPrefix(line, "-BUSY"):
			r.busy++
		default:
			r.other++
		}
	}
	if conn != nil {
		conn.Close()
	}
	return r
}
