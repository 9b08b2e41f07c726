package rate

// This file plays the client: it hands the next message in once an earlier one has ended, so that the sender sets the rate.

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"flaxcove/internal/resp"
)

const (
	window    = 500 // messages in progress
	bodyBytes = 200
	// windowWait is how long the client waits if the window is full.
	windowWait = 500 * time.Microsecond
)

// client is one connection that hands messages in until it is closed.
type client struct {
	connection net.Conn
	out        *environment
	stop       chan struct{}
	running    sync.WaitGroup
}

func handIn(address string, out *environment) (*client, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &client{connection: connection, out: out, stop: make(chan struct{})}
	c.running.Go(c.read)
	c.running.Go(c.write)
	return c, nil
}

func (c *client) close() {
	close(c.stop)
	c.connection.Close()
	c.running.Wait()
}

// read counts the messages that the sender did not accept.
func (c *client) read() {
	for lines := bufio.NewScanner(c.connection); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "-") {
			c.out.refused.Add(1)
		}
	}
}

func (c *client) write() {
	body := []byte(strings.Repeat("x", bodyBytes))
	for sent := int64(0); ; {
		// A message that is delivered twice counts as two that have ended; hence the bound of one window at a time.
		available := min(window, window-(sent-c.out.counts().over()))
		if available <= 0 {
			select {
			case <-time.After(windowWait):
				continue
			case <-c.stop:
				return
			}
		}
		var commands []byte
		for range available {
			commands = resp.AppendCommand(commands, []byte("OUT.ADD"), []byte("0"), fmt.Appendf(nil, "message-%012d", sent),
				fmt.Appendf(nil, "c=%s,d=60000,dest=%d", class, sent%destinations), body)
			sent++
		}
		if _, err := c.connection.Write(commands); err != nil {
			return
		}
	}
}
