package recovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// This file holds the clients: each sender has one, which hands in messages at random times.

const (
	statusClass    = "status"
	statusDeadline = 6 * time.Second
	orderClass     = "order"
	orderDeadline  = 20 * time.Second
	orderShare     = 0.25 // of the messages

	clientPatience = 400 * time.Millisecond // for the answer to a command
	redialPause    = 50 * time.Millisecond  // after a connection has failed
)

// client hands messages in to one sender.
type client struct {
	sender int
	addr   string
	rate   float64 // messages a second, for each destination
	random *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
	number int // of messages so far
}

// newClients returns a client for each sender. Their rates differ by the skew of the plan.
func newClients(plan Plan, senders []*sender) []*client {
	sum := 0.0
	for i := range senders {
		sum += math.Pow(float64(i+1), -plan.Skew)
	}
	clients := make([]*client, len(senders))
	for i, s := range senders {
		rate := plan.Rate * math.Pow(float64(i+1), -plan.Skew) / sum
		clients[i] = &client{sender: i, addr: s.address, rate: rate, random: rand.New(rand.NewPCG(plan.Seed, uint64(i)))}
	}
	return clients
}

// run hands in messages until the context ends.
func (c *client) run(ctx context.Context) {
	all := c.rate * (healthyDestinations + 1)
	for next := time.Now(); ; {
		next = next.Add(time.Duration(c.random.ExpFloat64() / all * float64(time.Second)))
		if sleep(ctx, time.Until(next)) != nil {
			break
		}
		c.handIn(1 + c.random.IntN(playedDestination))
	}
	if c.conn != nil {
		c.conn.Close()
	}
}

// handIn hands in one message. A message that gets no answer is not handed in again.
func (c *client) handIn(destination int) {
	class, deadline := statusClass, statusDeadline
	if c.random.Float64() < orderShare {
		class, deadline = orderClass, orderDeadline
	}
	c.number++
	id := fmt.Sprintf("s%d-%d", c.sender, c.number)
	attributes := fmt.Sprintf("c=%s,d=%d,dest=%d", class, deadline.Milliseconds(), destination)
	if err := c.send("OUT.ADD", "0000000000000000", id, attributes, "x"); err != nil {
		if c.conn != nil {
			c.conn.Close()
			c.conn = nil
		}
		time.Sleep(redialPause)
	}
}

// send sends a command and waits for its answer.
func (c *client) send(args ...string) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, clientPatience)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(arg), arg)
	}
	c.conn.SetDeadline(time.Now().Add(clientPatience))
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		return err
	}
	_, err := c.reader.ReadString('\n')
	return err
}
