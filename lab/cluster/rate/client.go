package rate

// This file implements the client. It keeps a fixed number of messages in progress, so that the sender determines the rate.

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
	window    = 500 // number of messages in progress
	bodyBytes = 200
	// windowPollInterval is the time for which the client waits if the window is full.
	windowPollInterval = 500 * time.Microsecond
)

// client is one connection that submits messages until it is closed.
type client struct {
	connection net.Conn
	env        *environment
	stop       chan struct{}
	running    sync.WaitGroup
}

// startClient connects to a sender and starts to submit messages.
func startClient(address string, env *environment) (*client, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &client{connection: connection, env: env, stop: make(chan struct{})}
	c.running.Go(c.read)
	c.running.Go(c.write)
	return c, nil
}

// close closes the connection and waits for the goroutines.
func (c *client) close() {
	close(c.stop)
	c.connection.Close()
	c.running.Wait()
}

// read counts the messages that the sender did not accept, by its error replies.
func (c *client) read() {
	for lines := bufio.NewScanner(c.connection); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "-") {
			c.env.refused.Add(1)
		}
	}
}

// write submits messages until the client is closed.
func (c *client) write() {
	body := []byte(strings.Repeat("x", bodyBytes))
	for sent := int64(0); ; {
		// A message that is delivered twice counts as two ended messages, so that the difference alone may exceed the window.
		available := min(window, window-(sent-c.env.counts().total()))
		if available <= 0 {
			select {
			case <-time.After(windowPollInterval):
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
