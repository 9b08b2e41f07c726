package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryLimit }

// residentKB returns the resident memory of a process in kilobytes: now, and at its highest.
func residentKB(pid int) (now, highest int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, ":")
		n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		switch name {
		case "VmRSS":
			now = n
		case "VmHWM":
			highest = n
		}
	}
	return now, highest
}

// memoryLimit checks that a sender stays within its memory limit while a few clients send hundreds of commands at once.
func memoryLimit(rec *record, tmp string, trouble bool) (verdict, error) {
	const limitMB, badClients, commands, bodyBytes = 64, 5, 200, 60_000
	p, _, _, err := oneSender(rec, tmp, map[string]any{"cores": 1.0, "memory_mb": limitMB, "sockets": 512, "disk_mb": 3})
	if err != nil {
		return verdict{}, err
	}
	rss, _ := residentKB(p.cmd.Process.Pid)
	rec.line("s0: %d kB resident at the start, the limit is %d kB", rss, limitMB<<10)

	// Usual clients, one message at a time.
	var usual sync.WaitGroup
	end := time.Now().Add(8 * time.Second)
	answered := make([]map[string]int, 4)
	for n := range answered {
		answered[n] = map[string]int{}
		usual.Go(func() {
			c, err := dialClient(p.listen)
			for i := 0; time.Now().Before(end); i++ {
				if err != nil {
					c, err = dialClient(p.listen)
					time.Sleep(50 * time.Millisecond)
					continue
				}
				var got string
				got, err = c.call(message{"0000000000000000", fmt.Sprintf("c%07d%08d", n, i), "status", 6000, 1, "a rose"}.args()...)
				answered[n][got+errText(err)]++
				if err != nil {
					c.conn.Close()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		for n := range badClients {
			go func() {
				conn, err := net.DialTimeout("tcp", p.listen, time.Second)
				if err != nil {
					return
				}
				defer conn.Close()
				got := make(chan int64, 1)
				go func() { // it reads whatever is sent to it
					text, _ := io.ReadAll(conn)
					got <- int64(len(text))
				}()
				var text strings.Builder
				for i := range commands {
					text.WriteString(command(message{"0000000000000000", fmt.Sprintf("d%07d%08d", n, i), "status", 6000, 1, strings.Repeat("x", bodyBytes)}.args()...))
				}
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				written, err := io.WriteString(conn, text.String())
				rec.line("bad client %d: %d commands at once: %d of %d bytes written %v", n, commands, written, text.Len(), errText(err))
				rec.line("bad client %d: %d bytes of answers", n, <-got)
			}()
		}
	}
	over := 0
	for time.Now().Before(end) {
		select {
		case <-p.ended:
			return verdict{true, fmt.Sprintf("the sender has ended: %v", p.err)}, nil
		case <-time.After(5 * time.Millisecond):
		}
		now, highest := residentKB(p.cmd.Process.Pid)
		if max(now, highest) > limitMB<<10 && over == 0 {
			over = max(now, highest)
			rec.line("platform: s0 holds %d kB (%d kB at its highest), over its limit of %d kB: it is killed", now, highest, limitMB<<10)
			p.signal(syscall.SIGKILL)
			break
		}
	}
	if over == 0 {
		usual.Wait()
		_, highest := residentKB(p.cmd.Process.Pid)
		rec.line("usual clients: %v", answered)
		return verdict{false, fmt.Sprintf("the sender held %d kB at its highest, its limit is %d kB", highest, limitMB<<10)}, nil
	}
	return verdict{true, fmt.Sprintf("the sender held %d kB or more, its limit is %d kB: it is killed for memory", over, limitMB<<10)}, nil
}
