package sender

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A process ends while clients send on every connection that stays open, some of them several commands at once. No
// connection is reset, each command that was handled has its answer, and all is over before the kill may come.
func TestProcessEndsInOrder(t *testing.T) {
	const clients, beforeKill = 24, 3700 * time.Millisecond
	program := startLimited(t, descriptorLimits{Discovery: "127.0.0.1:1", Dir: t.TempDir(), Settings: 256, System: 256})
	var wait sync.WaitGroup
	var answers, crossed atomic.Int64
	signal := make(chan struct{})
	for i := range clients {
		conn, atOnce := program.dial(t), 1+i%4*3
		wait.Go(func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			if i%6 == 5 { // this one is idle, and sends when its connection ends
				<-signal
			}
			for round := 0; ; round++ {
				var text strings.Builder
				for j := range atOnce {
					text.WriteString(addText(fmt.Sprint("c", i, "-", round, "-", j)))
				}
				if _, err := io.WriteString(conn, text.String()); err != nil {
					t.Errorf("client %d writes: %v", i, err)
					return
				}
				for j := range atOnce {
					if _, err := in.ReadString('\n'); errors.Is(err, io.EOF) {
						crossed.Add(int64(atOnce - j)) // which go elsewhere
						return
					} else if err != nil {
						t.Errorf("client %d reads: %v, reset %v", i, err, errors.Is(err, syscall.ECONNRESET))
						return
					}
					answers.Add(1)
				}
			}
		})
	}
	waitUntil(t, "all are at work", func() bool { return answers.Load() > 10*clients })
	start := time.Now()
	program.input.Close()
	close(signal)
	handed, _ := strconv.ParseInt(program.waitForLine(t, "was handed "), 10, 64)
	if took := time.Since(start); took >= beforeKill {
		t.Errorf("the end took %v", took)
	}
	wait.Wait()
	program.end(t)
	if handed != answers.Load() {
		t.Errorf("%d commands were taken, %d answered; %d went elsewhere", handed, answers.Load(), crossed.Load())
	}
}
