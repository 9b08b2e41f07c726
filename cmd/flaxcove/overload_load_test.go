package main

// This file holds clients and endpoints that send as much as they can. They run in a process of their own, built without the
// race detector: in the process of the test they would share its processors with the clients whose answers are timed.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// overloadCommand is the first argument of the test binary as a process that runs a load. The address and the kinds follow, each
// with the number of clients, as in flood=100. The process runs until its standard input ends.
const overloadCommand = "overload"

// overloads holds what one client of each kind does again and again.
var overloads = map[string]func(listen string, client int){
	"flood":   flood,
	"bodies":  floodWithBodies,
	"unsound": sendUnsound,
	"leave":   sendAndLeave,
	"unread":  readNothing,
	"half":    stopHalfWay,
	"endless": answerWithoutEnd,
}

// loadFolder is the folder of buildOverload's binary, which TestMain removes; empty if none was built.
var loadFolder string

// buildOverload builds the test binary without the race detector, once.
var buildOverload = sync.OnceValues(func() (string, error) {
	var err error
	if loadFolder, err = os.MkdirTemp("", "load"); err != nil {
		return "", err
	}
	path := filepath.Join(loadFolder, "load.test")
	if out, err := exec.Command("go", "test", "-c", "-o", path, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// startOverload starts a process that runs a load against an address. stop ends it; so does the end of the test.
func startOverload(t *testing.T, addr string, kinds ...string) (stop func()) {
	t.Helper()
	binary, err := buildOverload()
	if err != nil {
		t.Fatal(err)
	}

	load := exec.Command(binary, append([]string{overloadCommand, addr}, kinds...)...)
	if _, err := load.StdinPipe(); err != nil { // it ends with this process at the latest
		t.Fatal(err)
	}
	startProgram(t, load)
	return func() {
		load.Process.Kill()
		load.Wait()
	}
}

// runOverload is the main function of a process that runs a load.
func runOverload(addr string, kinds []string) {
	for _, kind := range kinds {
		name, count, _ := strings.Cut(kind, "=")
		clients, err := strconv.Atoi(count)
		if err != nil || overloads[name] == nil {
			fmt.Fprintln(os.Stderr, "no such load:", kind)
			os.Exit(1)
		}
		for i := range clients {
			go func() {
				for {
					overloads[name](addr, i)
				}
			}()
		}
	}
	io.Copy(io.Discard, os.Stdin)
}

// answerWithoutEnd serves as an endpoint that answers each call with a body that does not end.
func answerWithoutEnd(listen string, _ int) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			continue
		}
		go func() {
			defer conn.Close()
			if _, err := conn.Read(make([]byte, 1)); err != nil { // a call has begun
				return
			}
			go io.Copy(io.Discard, conn)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for part := strings.Repeat("x", 16<<10); ; {
				if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part); err != nil {
					return
				}
			}
		}()
	}
}

// floodWithBodies sends requests with large bodies as fast as the connection takes them, and reads the answers.
func floodWithBodies(listen string, client int) {
	conn := dialLoad(listen)
	if conn == nil {
		return
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn)
	body := strings.Repeat("x", bulkBody)
	for i := 0; ; i++ {
		if _, err := io.WriteString(conn, addCommandText(fmt.Sprintf("body%d-%d", client, i), messageDeadlineMS, body)); err != nil {
			return
		}
	}
}

// dialLoad connects a client of a load; nil if that fails.
func dialLoad(listen string) net.Conn {
	conn, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return nil
	}
	return conn
}

// flood sends small requests under new ids as fast as the connection takes them, and reads the answers.
func flood(listen string, client int) {
	conn := dialLoad(listen)
	if conn == nil {
		return
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn)
	out := bufio.NewWriterSize(conn, 64<<10)
	for i := 0; ; i++ {
		if _, err := io.WriteString(out, addCommandText(fmt.Sprintf("flood%d-%d", client, i), messageDeadlineMS, "x")); err != nil {
			return
		}
	}
}

// sendUnsound connects, sends bytes that are no command, reads the answer and goes.
func sendUnsound(listen string, _ int) {
	conn, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, "\x16\x03\x01 no command\r\n\r\n")
	bufio.NewReader(conn).ReadString('\n')
}

// sendAndLeave sends 300 requests at once and resets the connection.
func sendAndLeave(listen string, client int) {
	conn, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	var text strings.Builder
	for i := range 300 {
		text.WriteString(addCommandText(fmt.Sprintf("left%d-%d-%d", client, time.Now().UnixNano(), i), messageDeadlineMS, "x"))
	}
	io.WriteString(conn, text.String())
	time.Sleep(10 * time.Millisecond)
	conn.(*net.TCPConn).SetLinger(0)
}

// readNothing sends requests with long answers and never reads.
func readNothing(listen string, client int) {
	conn := dialLoad(listen)
	if conn == nil {
		return
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	argument := strings.Repeat("x", 60_000)
	for {
		if _, err := fmt.Fprintf(conn, "*2\r\n$4\r\nPING\r\n$%d\r\n%s\r\n", len(argument), argument); err != nil {
			return
		}
	}
}

// stopHalfWay sends a part of a large request, and waits until it is closed.
func stopHalfWay(listen string, client int) {
	conn := dialLoad(listen)
	if conn == nil {
		return
	}
	defer conn.Close()
	text := addCommandText("half", messageDeadlineMS, strings.Repeat("x", 60_000))
	io.WriteString(conn, text[:30_000])
	io.Copy(io.Discard, conn)
	time.Sleep(50 * time.Millisecond)
}
