package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	memoryLimitMB = 64    // of smallLimits; the pages give a sender 32 to 192 MB
	badClients    = 5     // "some bad clients"; far below a third of the 512 descriptors
	badCommands   = 300   // "hundreds of commands at once"
	badBody       = 60000 // bytes; the pages allow 64 KiB
	badWaves      = 5
	wavePause     = 3 * time.Second
)

// memoryMB returns the memory that a process itself has in use, without the pages of its program file.
func memoryMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	total := 0.0
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) > 1 && (f[0] == "RssAnon:" || f[0] == "RssShmem:") {
			kb, _ := strconv.ParseFloat(f[1], 64)
			total += kb / 1024
		}
	}
	return total
}

// memoryCase lets bad clients send hundreds of commands at once, and kills the sender, as the platform does, when it takes
// more memory than its configuration gives it.
func memoryCase(r *run) (bool, error) {
	a, err := newAgent(r.record, nil)
	if err != nil {
		return false, err
	}
	e, err := newEndpoint("", func(c *call) (string, bool) {
		time.Sleep(100 * time.Millisecond)
		return status(200, ""), true
	})
	if err != nil {
		return false, err
	}
	a.set(entry{ID: "e1", Addr: e.addr, Zone: "marabella", Kind: "small", Cell: 7, State: "up", Weight: 50})
	s := r.sender("s0")
	if err := s.configure(configuration(s, a, settings(), smallLimits())); err != nil {
		return false, err
	}
	if err := s.start(); err != nil {
		return false, err
	}
	r.add("memory of the sender after its start: %.0f MB; memory_mb is %d", memoryMB(s.cmd.Process.Pid), memoryLimitMB)

	var killed atomic.Bool
	stop := make(chan struct{})
	var platform sync.WaitGroup
	platform.Add(1)
	go func() { // the platform
		defer platform.Done()
		most := 0.0
		for {
			now := memoryMB(s.cmd.Process.Pid)
			if now > most+20 {
				most = now
				r.add("memory of the sender: %.0f MB", now)
			}
			if now > memoryLimitMB {
				killed.Store(true)
				r.add("platform: over memory_mb, the sender is killed")
				s.signal(syscall.SIGKILL)
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()

	usual := make(chan struct{})
	go func() { // a usual client
		defer close(usual)
		for n := 0; !killed.Load(); n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			c, err := dialClient(s.listen)
			if err != nil {
				continue
			}
			id := fmt.Sprintf("usual%08d", n)
			answer, err := c.do(addCommand("", id, "order", 20000, 7, "two dozen roses"), 400*time.Millisecond)
			r.add("client: handed in %s, answer %q %v", id, answer, err)
			c.conn.Close()
		}
	}()

	time.Sleep(time.Second)
	for wave := 0; wave < badWaves && !killed.Load(); wave++ {
		var wg sync.WaitGroup
		var bytes atomic.Int64
		for i := range badClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				bytes.Add(sendAtOnce(s.listen, fmt.Sprintf("bad%02d%03d", wave, i), r.trouble))
			}()
		}
		wg.Wait()
		r.add("bad clients: wave %d, %d clients have sent %.0f MB in all", wave, badClients, float64(bytes.Load())/1e6)
		time.Sleep(wavePause)
	}
	close(stop)
	<-usual
	platform.Wait()
	return killed.Load(), nil
}

// sendAtOnce sends badCommands commands at full speed on one connection while it reads the answers, and returns the number
// of bytes sent. Without trouble it sends one command.
func sendAtOnce(addr, name string, trouble bool) (sent int64) {
	c, err := dialClient(addr)
	if err != nil {
		return 0
	}
	defer c.conn.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		io.Copy(io.Discard, c.conn)
	}()
	commands := 1
	if trouble {
		commands = badCommands
	}
	body := strings.Repeat("x", badBody)
	w := bufio.NewWriterSize(c.conn, 4<<20)
	for i := range commands {
		n, err := w.WriteString(addCommand("", fmt.Sprintf("%s%06d", name, i), "status", 6000, 7, body))
		sent += int64(n)
		if err != nil {
			return sent
		}
	}
	w.Flush()
	select {
	case <-done:
	case <-time.After(time.Second):
	}
	return sent
}
