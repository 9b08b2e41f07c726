package live

// This file sends commands to a sender, as a client does.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"flaxcove/internal/resp"
)

// sendCommand sends a command on a new connection, and returns the connection with a reader for the answer. The exchange
// must end within 2 s. The caller closes the connection.
func sendCommand(addr string, words ...string) (*bufio.Reader, net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, nil, err
	}
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	var args [][]byte
	for _, w := range words {
		args = append(args, []byte(w))
	}
	if _, err := conn.Write(resp.AppendCommand(nil, args...)); err != nil {
		conn.Close()
		return nil, nil, err
	}
	return bufio.NewReader(conn), conn, nil
}

// ping reports nil if a sender answers PING with +PONG.
func ping(addr string) error {
	r, conn, err := sendCommand(addr, "PING")
	if err != nil {
		return err
	}
	defer conn.Close()
	line, err := r.ReadString('\n')
	if err == nil && line != "+PONG\r\n" {
		err = fmt.Errorf("PING was answered with %q, want +PONG", line)
	}
	return err
}

// info returns a sender's counters by name, as INFO reports them.
func info(addr string) (map[string]int64, error) {
	r, conn, err := sendCommand(addr, "INFO")
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	head, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	size, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(head, "$")))
	if err != nil || size < 0 || size > 1<<20 {
		return nil, fmt.Errorf("INFO was answered with %q, want a bulk string of at most 1 MiB", head)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	counters := map[string]int64{}
	for line := range strings.SplitSeq(string(body), "\r\n") {
		name, value, ok := strings.Cut(line, ":")
		if v, err := strconv.ParseInt(value, 10, 64); ok && err == nil {
			counters[name] = v
		}
	}
	return counters, nil
}
