package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"time"
)

// badClient behaves once like one of the bad clients of the pages.
func badClient(addr string, rng *rand.Rand, openID func() string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn)
	conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
	id := fmt.Sprintf("x%d", rng.Int63())
	good := addCommand("", id, "once", 3000, rng.Intn(6), "bad")
	switch rng.Intn(16) {
	case 0:
		b := make([]byte, rng.Intn(5000))
		rng.Read(b)
		conn.Write(b)
	case 1:
		io.WriteString(conn, "*5\r\n$7\r\nOUT.ADD\r\n$60000000\r\n"+strings.Repeat("q", 1<<20))
	case 2:
		io.WriteString(conn, good[:rng.Intn(len(good))])
		time.Sleep(time.Duration(rng.Intn(3500)) * time.Millisecond)
	case 3:
		io.WriteString(conn, good[:rng.Intn(len(good))])
	case 4:
		io.WriteString(conn, addCommand("", openID(), "pure", 3000, 0, "other"))
		time.Sleep(50 * time.Millisecond)
	case 5:
		io.WriteString(conn, strings.Repeat(command("PING"), 800))
		time.Sleep(100 * time.Millisecond)
	case 6:
		io.WriteString(conn, addCommand("", "", "once", 3000, 0, "x")+addCommand("", id, "nope", 3000, 0, "x")+addCommand("", id, "once", -5, 0, "x"))
		time.Sleep(100 * time.Millisecond)
	case 7:
		io.WriteString(conn, "*-1\r\n*0\r\n*3\r\n$-1\r\n")
		time.Sleep(50 * time.Millisecond)
	case 8:
		time.Sleep(3500 * time.Millisecond)
	case 9:
		io.WriteString(conn, good)
		conn.(*net.TCPConn).SetLinger(0)
	case 10:
		io.WriteString(conn, good)
		conn.(*net.TCPConn).CloseWrite()
		time.Sleep(100 * time.Millisecond)
	case 11:
		for i := range good {
			if _, err := io.WriteString(conn, good[i:i+1]); err != nil {
				return
			}
			time.Sleep(time.Duration(rng.Intn(20)) * time.Millisecond)
		}
	case 12:
		io.WriteString(conn, "*0\r\n*1\r\n$0\r\n\r\n"+command("INFO")+command("INFO", "x")+command("PING", strings.Repeat("p", 60000)))
		time.Sleep(50 * time.Millisecond)
	case 13:
		io.WriteString(conn, command("OUT.ADD", "0", id, "c=once,d=1e3,dest=0", "b")+command("OUT.ADD", "0", id, "c=once,d=99999999999999999999,dest=0", "b")+command("OUT.ADD", "0", id, "c=once,d=NaN,dest=99999999999999999999999", "b"))
		time.Sleep(50 * time.Millisecond)
	case 14:
		var b strings.Builder
		for i := range 300 {
			b.WriteString(addCommand("", fmt.Sprintf("%s-%d", id, i), "nope", 3000, 1, "x"))
		}
		io.WriteString(conn, b.String())
	case 15:
		io.WriteString(conn, strings.Repeat("a", 200000))
	}
}
