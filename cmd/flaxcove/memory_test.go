package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	memoryLimitMB = 64
	bulkBody      = 60_000 // bytes
)

// TestMemoryOfClientInput guards against senders that are killed for memory because clients send faster than their commands
// are handled: however many clients do so, the process stays below its memory limit and answers another client.
func TestMemoryOfClientInput(t *testing.T) {
	binary := buildProgram(t)
	for _, row := range []struct {
		name              string
		clients, commands int
		complete          bool
	}{
		{"a few clients send many commands at once", 5, 300, true},
		{"many clients send many commands at once", 100, 60, true},
		{"many clients leave a long command incomplete", 200, 1, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := limitedSender{memoryMB: memoryLimitMB, sockets: 512, diskMB: 3, callsOut: 4, endpoint: "127.0.0.1:1", state: t.TempDir()}.start(t, binary)
			var clients sync.WaitGroup
			for i := range row.clients {
				clients.Go(func() { sendCommands(s.listen, i, row.commands, row.complete) })
			}
			for range 20 {
				if text, err := sendCommand(s.listen, "PING"); err != nil || text != "PONG" {
					t.Errorf("another client is answered %q, %v", text, err)
				}
			}
			clients.Wait()
			s.expectMemoryWithin(t, memoryLimitMB)
		})
	}
}

// watchMemory reads the anonymous memory of a process again and again. peak ends this and returns the highest value, in MB.
func watchMemory(t *testing.T, pid int) (peak func() float64) {
	t.Helper()
	stop, highest := make(chan struct{}), make(chan float64)
	go func() {
		most := 0.0
		for {
			most = max(most, anonymousMB(pid))
			select {
			case <-stop:
				highest <- most
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() float64 {
		close(stop)
		return <-highest
	}
}

// anonymousMB returns the resident memory of a process in MB, without the pages of files; 0 if it has ended.
func anonymousMB(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// sendCommands sends commands with long bodies at once and reads the answers. If the last command is not to be complete, it
// lacks its last byte.
func sendCommands(addr string, client, commands int, complete bool) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	body, out := strings.Repeat("x", bulkBody), bufio.NewWriterSize(conn, 1<<20)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		in := bufio.NewReader(conn)
		for range commands {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
		}
	}()
	for i := range commands {
		text := addCommandText(fmt.Sprintf("id%04d%06d", client, i), messageDeadlineMS, body)
		if !complete && i == commands-1 {
			text = text[:len(text)-1]
		}
		if _, err := io.WriteString(out, text); err != nil {
			return
		}
	}
	out.Flush()
	<-answered
}

// TestMemoryOfAcceptedMessages guards against senders that are killed for memory because they have accepted more than memory
// holds, and again at each start after that: the process stays below its limit while endpoints hang, at a start on the full
// folder with a lower limit, and while it delivers. No accepted message is lost or altered.
func TestMemoryOfAcceptedMessages(t *testing.T) {
	binary := buildProgram(t)
	const clients, commands, lowerLimitMB = 100, 40, 32
	hang := make(chan struct{})
	e := startEndpoint(t, "127.0.0.1:0", 0, hang)
	l := limitedSender{memoryMB: memoryLimitMB, sockets: 512, diskMB: 300, callsOut: 15, endpoint: e.addr, state: t.TempDir()}
	s := l.start(t, binary)
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() { sendCommands(s.listen, i, commands, true) })
	}
	all.Wait()
	accepted := s.counter("taken_on")
	s.expectMemoryWithin(t, memoryLimitMB)
	s.kill()
	t.Logf("%d messages of %d bytes accepted", accepted, bulkBody)
	if accepted < 100 {
		t.Fatalf("only %d messages accepted", accepted)
	}
	l.memoryMB = lowerLimitMB
	s = l.start(t, binary)
	if owed := s.counter("owed"); owed != accepted {
		t.Errorf("%d messages owed after a start, %d were accepted", owed, accepted)
	}
	close(hang)
	eventually(t, "all messages are delivered", func() bool { return s.counter("owed") == 0 })
	s.expectMemoryWithin(t, lowerLimitMB)
	want := strings.Repeat("x", bulkBody)
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, body := range e.bodies {
		if body != want {
			t.Fatalf("message %s was delivered with %d bytes, not as it was accepted", id, len(body))
		}
	}
	if len(e.bodies) < accepted {
		t.Errorf("%d messages were delivered, %d were accepted", len(e.bodies), accepted)
	}
}
