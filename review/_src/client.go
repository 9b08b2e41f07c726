package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

const clientPatience = 400 * time.Millisecond // how long a client waits for an answer

// command returns a RESP2 command.
func command(args ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(args))
	for _, a := range args {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
	}
	return text
}

// client is one connection to a sender.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, clientPatience)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

// call sends a command and returns the first line of the answer.
func (c *client) call(args ...string) (string, error) {
	_ = c.conn.SetDeadline(time.Now().Add(clientPatience))
	if _, err := c.conn.Write([]byte(command(args...))); err != nil {
		return "", err
	}
	line, err := c.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// message is what one OUT.ADD hands in.
type message struct {
	key, id, class string
	deadlineMS     int
	dest           int
	body           string
}

func (m message) args() []string {
	return []string{"OUT.ADD", m.key, m.id, fmt.Sprintf("c=%s,d=%d,dest=%d", m.class, m.deadlineMS, m.dest), m.body}
}

// handIn hands a message in on a new connection, and records the answer.
func handIn(rec *record, to string, addr string, m message) (string, error) {
	c, err := dialClient(addr)
	if err != nil {
		rec.line("client: %s to %s: no connection: %v", m.id, to, err)
		return "", err
	}
	defer c.conn.Close()
	got, err := c.call(m.args()...)
	rec.line("client: %s (class %s, key %s, dest %d, d %d ms) to %s: %q %v", m.id, m.class, m.key, m.dest, m.deadlineMS, to, got, errText(err))
	return got, err
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func newReader(conn net.Conn) *bufio.Reader { return bufio.NewReader(conn) }
