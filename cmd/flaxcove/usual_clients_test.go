package main

// This file holds the usual clients of tests of overload, and what they got.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
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
	c := usualClient{listen: listen}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		r.sent++
		line, err := c.request(addCommandText(fmt.Sprint(prefix, r.sent), messageDeadlineMS, "usual"))
		switch {
		case err != nil:
			r.unanswered++
		case strings.HasPrefix(line, "+OK"):
			r.accepted++
		case strings.HasPrefix(line, "-BUSY"):
			r.busy++
		default:
			r.other++
		}
	}
	c.disconnect()
	return r
}

// usualClient is a client that keeps its connection.
type usualClient struct {
	listen  string
	conn    net.Conn // nil for none
	answers *bufio.Reader
}

// request sends a request and returns its answer. If a connection that was kept ends without an answer, the request is sent
// once more on a new one, as the protocol has it. All that takes answerTimeout at most.
func (c *usualClient) request(text string) (line string, err error) {
	until, kept := time.Now().Add(answerTimeout), c.conn != nil
	line, err = c.requestOnce(text, until)
	if kept && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		line, err = c.requestOnce(text, until)
	}
	return line, err
}

// requestOnce sends a request on the connection, or on a new one if there is none. It disconnects if there is no answer.
func (c *usualClient) requestOnce(text string, until time.Time) (line string, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.listen, time.Until(until)); err != nil {
			c.conn = nil
			return "", err
		}
		c.answers = bufio.NewReader(c.conn)
	}
	c.conn.SetDeadline(until)
	if _, err = io.WriteString(c.conn, text); err == nil {
		line, err = c.answers.ReadString('\n')
	}
	if err != nil {
		c.disconnect()
	}
	return line, err
}

// disconnect closes the connection, if there is one.
func (c *usualClient) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
