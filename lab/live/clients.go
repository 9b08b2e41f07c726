package live

// This file plays the clients of one sender: their hand-ins, and the faults of the kinds hoard (idle connections) and
// rubbish (malformed commands). It must not block the world's goroutine.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"flaxcove/internal/resp"
	"flaxcove/lab/world"
)

const (
	dialTimeout  = 400 * time.Millisecond
	replyTimeout = 10 * time.Second // ends an exchange whose client has given up; the world models the clients' patience
	maxIdle      = 8                // most idle connections that a pool keeps
)

// pool holds the clients' connections to one sender. Only the world's goroutine may use its fields, except those after mu,
// which mu protects.
type pool struct {
	e      *engine
	sender world.SenderNo
	idle   []*client

	mu            sync.Mutex
	closed        bool
	open          map[net.Conn]struct{}
	heldConns     []net.Conn    // connections that a fault of the kind hoard holds open
	malformedStop chan struct{} // closed to end the malformed commands; nil if none are sent
}

// client is one client of a sender, with a goroutine and a connection. It hands in one message at a time.
type client struct {
	p    *pool
	work chan *world.HandIn
	conn net.Conn
	in   *bufio.Reader
}

func newPool(e *engine, s world.SenderNo) *pool {
	return &pool{e: e, sender: s, open: map[net.Conn]struct{}{}}
}

// close ends the faults and closes all connections, including those that are still being established.
func (p *pool) close() {
	p.releaseConnections()
	p.stopMalformed()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for conn := range p.open {
		conn.Close()
	}
}

// dial opens a connection to the sender. It fails with net.ErrClosed once the pool is closed.
func (p *pool) dial() (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", p.e.senderAddr(p.sender), dialTimeout)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		conn.Close()
		return nil, net.ErrClosed
	}
	p.open[conn] = struct{}{}
	return conn, nil
}

// drop closes a connection and forgets it.
func (p *pool) drop(conn net.Conn) {
	p.mu.Lock()
	delete(p.open, conn)
	p.mu.Unlock()
	conn.Close()
}

// handIn hands a message in with an idle client, or with a new one if none is idle.
func (p *pool) handIn(h *world.HandIn) {
	var c *client
	if k := len(p.idle); k > 0 {
		c = p.idle[k-1]
		p.idle = p.idle[:k-1]
	} else {
		c = &client{p: p, work: make(chan *world.HandIn, 1)}
		p.e.wg.Add(1)
		go func() {
			defer p.e.wg.Done()
			c.run()
		}()
	}
	c.work <- h
}

// run hands in the messages of c.work until the pool has enough idle clients or the run ends.
func (c *client) run() {
	e := c.p.e
	for {
		select {
		case h, ok := <-c.work:
			if !ok {
				c.closeConn()
				return
			}
			what, ms := c.handIn(h)
			e.post(func() {
				e.w.Answered(h, what, ms)
				if len(c.p.idle) < maxIdle {
					c.p.idle = append(c.p.idle, c)
				} else {
					close(c.work)
				}
			})
		case <-e.done:
			c.closeConn()
			return
		}
	}
}

func (c *client) closeConn() {
	if c.conn != nil {
		c.p.drop(c.conn)
		c.conn = nil
	}
}

// handIn sends one command and reads its answer. If a reused connection breaks before any byte of the answer, the command is
// sent once more on a new connection, since the sender may have closed the old one while it was idle. It returns the results
// of parseAnswer, or HandInNoSender if there is no answer.
func (c *client) handIn(h *world.HandIn) (answer world.HandInAnswer, retryAfterMS int64) {
	text := c.p.e.addCommand(h)
	for attempt := range 2 {
		fresh := c.conn == nil
		if fresh {
			conn, err := c.p.dial()
			if err != nil {
				return world.HandInNoSender, 0
			}
			c.conn, c.in = conn, bufio.NewReader(conn)
		}
		line, err := c.exchange(text)
		if err == nil {
			return parseAnswer(line)
		}
		c.closeConn()
		if attempt > 0 || fresh || line != "" || errors.Is(err, net.ErrClosed) {
			break
		}
	}
	return world.HandInNoSender, 0
}

// addCommand returns the command that hands a message in.
func (e *engine) addCommand(h *world.HandIn) []byte {
	body := e.bodyText[:min(len(e.bodyText), max(1, h.Request.Body))]
	key := "0000000000000000"
	if h.Request.Class.Ordered {
		key = fmt.Sprintf("%016x", uint64(h.Request.Destination*1_000_000+h.Request.Key+1))
	}
	// The command holds the time until the request's deadline, from which the time of earlier hand-ins is already deducted.
	return resp.AppendCommand(nil, []byte("OUT.ADD"), []byte(key), []byte(h.ID),
		fmt.Appendf(nil, "c=%s,d=%d,dest=%d", h.Request.Class.Name, max(1, h.RemainingMS()), h.Request.Destination), body)
}

// exchange writes a command and reads the line of its answer.
func (c *client) exchange(text []byte) (string, error) {
	c.conn.SetDeadline(time.Now().Add(replyTimeout))
	if _, err := c.conn.Write(text); err != nil {
		return "", err
	}
	return c.in.ReadString('\n')
}

// parseAnswer parses a sender's answer to a hand-in. retryAfterMS is the wait of a -BUSY answer in milliseconds, or 0.
func parseAnswer(line string) (answer world.HandInAnswer, retryAfterMS int64) {
	line = strings.TrimRight(line, "\r\n")
	if strings.HasPrefix(line, "+") {
		return world.HandInAccepted, 0
	}
	if wait, busy := strings.CutPrefix(line, "-BUSY"); busy {
		ms, _ := strconv.ParseInt(strings.TrimSpace(wait), 10, 64)
		return world.HandInBusy, ms
	}
	return world.HandInError, 0
}

// holdConnections opens a number of connections and sends nothing on them.
func (p *pool) holdConnections(amount float64) {
	for range int(amount) {
		p.e.wg.Add(1)
		go func() {
			defer p.e.wg.Done()
			conn, err := p.dial()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.heldConns = append(p.heldConns, conn)
			p.mu.Unlock()
		}()
	}
}

// releaseConnections closes the connections that holdConnections opened.
func (p *pool) releaseConnections() {
	p.mu.Lock()
	all := p.heldConns
	p.heldConns = nil
	p.mu.Unlock()
	for _, conn := range all {
		p.drop(conn)
	}
}

// malformedInput lists the inputs that sendMalformed sends in turn.
var malformedInput = []string{"GET / HTTP/1.1\r\n\r\n", "*5\r\n$99999999999\r\n", "*-7\r\n", "*2\r\n$4\r\nPING", "*1\r\n$3\r\nNOT\r\n",
	"*5\r\n$7\r\nOUT.ADD\r\n$1\r\n0\r\n$1\r\nx\r\n$9\r\nc=nothing\r\n$1\r\nb\r\n", "\x00\x01\x02\x03\r\n"}

// sendMalformed sends malformed commands at a rate, each on a connection of its own, until stopMalformed is called. It does
// nothing if it is active already.
func (p *pool) sendMalformed(perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.malformedStop != nil || p.closed {
		return
	}
	stop := make(chan struct{})
	p.malformedStop = stop
	p.e.wg.Add(1)
	go func() {
		defer p.e.wg.Done()
		every := time.NewTicker(time.Duration(math.Max(1e6, 1e9/perSecond)))
		defer every.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-p.e.done:
				return
			case <-every.C:
			}
			conn, err := p.dial()
			if err != nil {
				continue
			}
			conn.SetDeadline(time.Now().Add(100 * time.Millisecond))
			conn.Write([]byte(malformedInput[i%len(malformedInput)]))
			io.Copy(io.Discard, io.LimitReader(conn, 4096))
			p.drop(conn)
		}
	}()
}

// stopMalformed ends what sendMalformed began.
func (p *pool) stopMalformed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.malformedStop != nil {
		close(p.malformedStop)
		p.malformedStop = nil
	}
}
