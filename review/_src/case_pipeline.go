package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["pipeline"] = pipeline }

// oneSender starts a platform, an endpoint that answers 200 after 20 ms, and one sender with the given limits.
func oneSender(rec *record, tmp string, limits map[string]any) (*process, *platform, *endpoint, error) {
	dest, err := startEndpoint(rec, "p1-0", "127.0.0.1:0", func([]string) answer { return answer{status: 200, delay: 20 * time.Millisecond} })
	if err != nil {
		return nil, nil, nil, err
	}
	pl, err := startPlatform(rec, []entry{{ID: "p1-0", Addr: dest.addr, Zone: "marabella", Kind: "small", Cell: 1, State: "up", Weight: 200}})
	if err != nil {
		return nil, nil, nil, err
	}
	p, err := newSender(rec, tmp, senderOptions{name: "s0", discovery: pl.addr, known: pl.wholeList(), settings: smallSettings(1, 0), limits: limits})
	if err != nil {
		return nil, nil, nil, err
	}
	if err := p.start(); err != nil {
		return nil, nil, nil, err
	}
	return p, pl, dest, p.waitReady(10 * time.Second)
}

// pipeline checks that each message that a client has written is answered, if a client sends many commands at once.
func pipeline(rec *record, tmp string, trouble bool) (verdict, error) {
	const commands, bodyBytes, connections = 200, 60_000, 10
	p, _, _, err := oneSender(rec, tmp, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3})
	if err != nil {
		return verdict{}, err
	}
	unanswered := 0
	for n := range connections {
		var all []message
		for i := range commands {
			all = append(all, message{"0000000000000000", fmt.Sprintf("b%07d%08d", n, i), "status", 6000, 1, strings.Repeat("x", bodyBytes)})
		}
		answered, _, err := sendAll(rec, p.listen, all, trouble)
		if err != nil {
			return verdict{}, err
		}
		if left := all[answered:]; len(left) > 0 {
			// The page has the client send a request once more that the sender had not read when it closed the connection.
			rec.line("client: sends the %d unanswered messages once more on a new connection", len(left))
			again, written, err := sendAll(rec, p.listen, left, trouble)
			if err != nil {
				return verdict{}, err
			}
			unanswered += max(0, written-max(1, again)) // the first request on a connection that ends with no answer has failed and is not lost
		}
		time.Sleep(time.Second)
	}
	select {
	case <-p.ended:
		return verdict{true, "the sender has ended"}, nil
	default:
	}
	if unanswered > 0 {
		return verdict{true, fmt.Sprintf("%d of %d messages had been written completely, twice, and the sender ended their connections with no answer", unanswered,
			commands*connections)}, nil
	}
	return verdict{false, fmt.Sprintf("each of %d messages was answered", commands*connections)}, nil
}

// sendAll sends all messages on one connection, at once or one after the other, and reads the answers, which come in the order
// of the messages. It returns how many were answered until the sender ended the connection, and how many were written completely by
// then. If the sender ended it only after the time for which a client waits for an answer, all count as answered.
func sendAll(rec *record, addr string, all []message, atOnce bool) (answered, written int, err error) {
	conn, err := net.DialTimeout("tcp", addr, clientPatience)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	var mu sync.Mutex
	answers := map[string]int{}
	count, endedBy, endedAt := 0, error(nil), time.Time{}
	ended := make(chan struct{})
	arrived := make(chan struct{}, len(all))
	go func() {
		defer close(ended)
		c := client{conn: conn, in: newReader(conn)}
		for range all {
			line, err := c.in.ReadString('\n')
			mu.Lock()
			if err != nil {
				endedBy, endedAt = err, time.Now()
				mu.Unlock()
				return
			}
			answers[strings.TrimSpace(line)]++
			count++
			mu.Unlock()
			arrived <- struct{}{}
		}
	}()
	began := time.Now()
	if atOnce {
		var text strings.Builder
		var ends []int
		for _, m := range all {
			text.WriteString(command(m.args()...))
			ends = append(ends, text.Len())
		}
		_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
		n, err := io.WriteString(conn, text.String())
		for _, end := range ends {
			if end <= n {
				written++
			}
		}
		rec.line("client: %d messages with %d bytes at once on one connection: %d bytes written in %d ms, %d messages complete %v", len(all), len(all[0].body),
			n, time.Since(began).Milliseconds(), written, errText(err))
	} else {
		for _, m := range all {
			if _, err := io.WriteString(conn, command(m.args()...)); err != nil {
				break
			}
			written++
			select {
			case <-arrived:
			case <-ended:
			case <-time.After(clientPatience):
			}
		}
		rec.line("client: %d messages with %d bytes, one after the other, on one connection", written, len(all[0].body))
	}
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
	}
	mu.Lock()
	defer mu.Unlock()
	after := time.Since(began)
	if endedBy != nil {
		after = endedAt.Sub(began)
	}
	rec.line("client: %d answers %v; the connection: %v, %d ms after the first byte", count, answers, errText(endedBy), after.Milliseconds())
	if endedBy != nil && atOnce && after > clientPatience {
		rec.line("client: it would have left by then, nothing is counted")
		return len(all), written, nil
	}
	if endedBy == nil && count < len(all) {
		return 0, 0, errors.New("answers are missing though the connection is open")
	}
	return count, written, nil
}
