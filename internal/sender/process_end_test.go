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

// TestProcessEndsWithoutReset ends a process while clients send commands on all connections, some of them several at once. No
// connection may be reset, each command that was handled must be answered, and the process must end before the kill comes.
func TestProcessEndsWithoutReset(t *testing.T) {
	const clients, beforeKill = 24, 3700 * time.Millisecond
	program := startLimited(t, descriptorLimits{Discovery: "127.0.0.1:1", Dir: t.TempDir(), SettingsLimit: 256, SystemLimit: 256})
	var wait sync.WaitGroup
	var answers, unanswered atomic.Int64
	signal := make(chan struct{})
	for i := range clients {
		conn, atOnce := program.dial(t), 1+i%4*3
		wait.Go(func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			if i%6 == 5 { // this client is idle until the signal
				<-signal
			}
			for round := 0; ; round++ {
				var text strings.Builder
				for j := range atOnce {
					text.WriteString(addText(fmt.Sprint("c", i, "-", round, "-", j)))
				}
				if _, err := io.WriteString(conn, text.String()); err != nil {
					t.Errorf("client %d: write: %v", i, err)
					return
				}
				for j := range atOnce {
					if _, err := in.ReadString('\n'); errors.Is(err, io.EOF) {
						unanswered.Add(int64(atOnce - j)) // commands without an answer, which a client submits elsewhere
						return
					} else if err != nil {
						t.Errorf("client %d: read: %v, connection reset: %v", i, err, errors.Is(err, syscall.ECONNRESET))
						return
					}
					answers.Add(1)
				}
			}
		})
	}
	waitUntil(t, "more than 10 commands per client are answered", func() bool { return answers.Load() > 10*clients })
	start := time.Now()
	program.input.Close()
	close(signal)
	handled, _ := strconv.ParseInt(program.waitForLine(t, "submitted "), 10, 64)
	if took := time.Since(start); took >= beforeKill {
		t.Errorf("the graceful shutdown took %v, want less than %v", took, beforeKill)
	}
	wait.Wait()
	program.end(t)
	if handled != answers.Load() {
		t.Errorf("%d commands were handled and %d answered; %d had no answer", handled, answers.Load(), unanswered.Load())
	}
}
