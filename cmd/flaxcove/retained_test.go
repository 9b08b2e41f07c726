package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestMemoryOfWhatStays guards against memory that stays held after a request is answered, without an account: by clients that
// stay connected after a large command, and by accepted messages whose fields, not their bodies, are large.
func TestMemoryOfWhatStays(t *testing.T) {
	binary := buildProgram(t)
	long := strings.Repeat("x", bulkBody)
	for _, row := range []struct {
		name    string
		clients int
		command func(client, i int) string
		repeat  int
	}{
		{"clients stay after a large command", 400, func(int, int) string {
			return fmt.Sprintf("*2\r\n$4\r\nPING\r\n$%d\r\n%s\r\n", len(long), long)
		}, 1},
		{"messages have large lists of fields", 20, func(client, i int) string {
			return listCommandText(fmt.Sprintf("m%d-%d", client, i), "unknown="+long)
		}, 60},
		{"messages have large lists of many short fields", 20, func(client, i int) string {
			return listCommandText(fmt.Sprintf("m%d-%d", client, i), strings.Repeat("x=1,", bulkBody/4)+"y=1")
		}, 60},
		{"messages have large tenants", 20, func(client, i int) string {
			return listCommandText(fmt.Sprintf("m%d-%d", client, i), "t="+long)
		}, 60},
	} {
		t.Run(row.name, func(t *testing.T) {
			e := startEndpoint(t, "127.0.0.1:0", 0, make(chan struct{}))
			s := limitedSender{memoryMB: memoryLimitMB, sockets: 1024, diskMB: 300, callsOut: 4, endpoint: e.addr, state: t.TempDir()}.start(t, binary)
			for client := range row.clients {
				conn, err := net.Dial("tcp", s.listen)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(20 * time.Second))
				answers := bufio.NewReader(conn)
				for i := range row.repeat {
					text := row.command(client, i)
					if _, err := io.WriteString(conn, text); err != nil {
						t.Fatal(err)
					}
					line, err := answers.ReadString('\n')
					if err != nil {
						t.Fatal(err)
					}
					if line[0] == '$' {
						if _, err := io.CopyN(io.Discard, answers, int64(bulkBody+2)); err != nil {
							t.Fatal(err)
						}
					}
				}
			}
			t.Logf("%d messages accepted", s.counter("taken_on"))
			s.expectMemoryWithin(t, memoryLimitMB)
		})
	}
}

// listCommandText returns an OUT.ADD command with more fields in its list.
func listCommandText(id, fields string) string {
	list := fmt.Sprintf("c=a,d=%d,dest=1,%s", messageDeadlineMS, fields)
	return fmt.Sprintf("*5\r\n$7\r\nOUT.ADD\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\nx\r\n", len(id), id, len(list), list)
}
