package main

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

const (
	memoryLimitMB = 64
	bulkBody      = 60_000 // bytes
)

// TestMemoryOfClientInput guards against senders that are killed for memory because clients send faster than their commands
// are handled: however many clients do so, the process stays below its memory limit and answers another client.
func TestMemoryOfClientInput(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "flaxcove") // without the race detector, which takes memory itself
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
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
			listen, pid := startSmallSender(t, binary)
			peak := watchMemory(t, pid)
			var clients sync.WaitGroup
			for i := range row.clients {
				clients.Go(func() { sendCommands(listen, i, row.commands, row.complete) })
			}
			for range 20 {
				if text, err := sendCommand(listen, "PING"); err != nil || text != "PONG" {
					t.Errorf("another client is answered %q, %v", text, err)
				}
			}
			clients.Wait()
			if mb := peak(); mb > memoryLimitMB || mb == 0 {
				t.Errorf("the process took %.0f MB, its limit is %d MB", mb, memoryLimitMB)
			}
		})
	}
}

// startSmallSender starts the program with memoryLimitMB and returns its address and process id.
func startSmallSender(t *testing.T, binary string) (listen string, pid int) {
	t.Helper()
	listen = freeAddr(t)
	configFile := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, configFile, fmt.Sprintf(`{"name":"s","listen":%q,"discovery":"127.0.0.1:1","state":%q,
"limits":{"memory_mb":%d,"sockets":512,"disk_mb":3},
"known":{"version":1,"full":true,"servers":[{"id":"e","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":1,"state":"up","weight":1}]},
"settings":{"machineTypes":["k"],"zones":["z"],"classes":[{"name":"a","idempotency":"pure","deadline":6000000000}],
"extra":{"callsOut":4}}}`, listen, t.TempDir(), memoryLimitMB))
	program := exec.Command(binary, "serve")
	program.Env = append(os.Environ(), "EDGE_CONFIG="+configFile)
	startProgram(t, program)
	eventually(t, "the sender answers PING", func() bool {
		text, err := sendCommand(listen, "PING")
		return err == nil && text == "PONG"
	})
	return listen, program.Process.Pid
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
		text := fmt.Sprintf("*5\r\n$7\r\nOUT.ADD\r\n$1\r\n0\r\n$12\r\nid%04d%06d\r\n$17\r\nc=a,d=6000,dest=1\r\n$%d\r\n%s\r\n", client, i, bulkBody, body)
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
