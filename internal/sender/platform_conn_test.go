package sender

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// TestSecondAnswerOfPlatform guards against a second copy of the platform's answer that is taken for the answer to the next
// post: its endings would be forgotten although the platform has not accepted them.
func TestSecondAnswerOfPlatform(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conns := make(chan net.Conn, 2)
	go func() {
		// The first post on the first connection is accepted, all others are not.
		for status := "204 Accepted"; ; status = "400 Unreadable" {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- conn
			go func() {
				r := bufio.NewReader(conn)
				for answer := status; ; answer = "400 Unreadable" {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					conn.Write([]byte("HTTP/1.1 " + answer + "\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	p := platformConn{log: func(string, reason, error) {}}
	defer p.disconnect(notNeeded, nil)
	if status, err := p.post(ln.Addr().String(), nil); status != http.StatusNoContent || err != nil {
		t.Fatalf("first post: status %d, error %v", status, err)
	}
	first := <-conns
	first.Write([]byte("HTTP/1.1 204 Accepted\r\nContent-Length: 0\r\n\r\n"))
	if status, err := p.post(ln.Addr().String(), nil); status != http.StatusBadRequest || err != nil {
		t.Errorf("second post: status %d, error %v, want that of its own answer", status, err)
	}
}
