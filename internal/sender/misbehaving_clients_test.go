package sender

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// TestMisbehavingClients checks that other clients are still served while some clients send nothing, leave a command
// incomplete, stay idle, or send input that cannot be parsed. Each of these clients gets an error or is closed within 3 s.
func TestMisbehavingClients(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	t.Run("silent", func(t *testing.T) { checkSilentClients(t, dial) })
	t.Run("excessive", func(t *testing.T) { checkExcessiveClients(t, dial) })
	t.Run("idle", func(t *testing.T) { checkIdleClients(t, dial) })
	s.Drain()
	<-done
	if n := s.holders.input.Held(); n != 0 {
		t.Errorf("the input budget holds %d bytes after all clients have gone", n)
	}
}

// isServed reports whether a client that has sent a PING gets its answer.
func isServed(conn net.Conn) bool {
	text := make([]byte, len(pongText))
	_, err := io.ReadFull(conn, text)
	return err == nil && string(text) == pongText
}

// checkSilentClients checks that clients that send nothing or an incomplete command are closed without an answer.
func checkSilentClients(t *testing.T, dial func(string) net.Conn) {
	start := time.Now()
	var silent []net.Conn
	for range 100 {
		silent = append(silent, dial(""))
	}
	if !isServed(dial(pingText)) {
		t.Error("a client was not served while 100 silent clients were connected")
	}
	partial := dial("*2\r\n$4\r\nPI")
	for _, conn := range append(silent, partial) {
		if text, err := io.ReadAll(conn); len(text) > 0 || os.IsTimeout(err) {
			t.Errorf("a silent client read %q, %v, want an end without an answer", text, err)
		}
	}
	if took := time.Since(start); took > 3*time.Second && testing.CoverMode() == "" {
		t.Errorf("the last silent client was closed after %v", took)
	}
}

// checkExcessiveClients checks that a client that announces too large an argument, or sends many invalid commands, is closed.
func checkExcessiveClients(t *testing.T, dial func(string) net.Conn) {
	huge := dial("*5\r\n$7\r\nOUT.ADD\r\n$60000000\r\n")
	if _, err := io.Copy(huge, io.LimitReader(zeros{}, 60e6)); err == nil {
		t.Error("the sender has read all 60 MB")
	}
	invalid := dial(strings.Repeat("*1\r\n$4\r\nNONE\r\n", 300))
	if text, _ := io.ReadAll(invalid); strings.Count(string(text), "-ERR") > windowSize+maxBadCommands {
		t.Errorf("%d errors were answered to one client", strings.Count(string(text), "-ERR"))
	}
}

// checkIdleClients checks that idle clients that have been served are displaced by new clients.
func checkIdleClients(t *testing.T, dial func(string) net.Conn) {
	time.Sleep(minIdleTime)
	var idle []net.Conn
	for i := range 100 {
		conn := dial(pingText)
		if !isServed(conn) {
			t.Fatalf("client %d was not served", i)
		}
		idle = append(idle, conn)
	}
	time.Sleep(minIdleTime + 2*sweepInterval)
	if !isServed(dial(pingText)) {
		t.Error("a client was not served while 100 idle clients were connected")
	}
	for _, conn := range idle {
		conn.Close()
	}
}

// zeros is an io.Reader without an end. Read leaves p as it is.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestPipelinedCommandsAreAnswered guards against commands that are read and never answered because their client sends many
// at once: each is answered, in order, whether it is handled or rejected, and the connection stays open.
func TestPipelinedCommandsAreAnswered(t *testing.T) {
	s, dial, done := startServingClients(t, 64)
	const commands, bodyBytes = 200, 60_000
	conn := dial("")
	go func() {
		body := strings.Repeat("x", bodyBytes)
		for i := range commands {
			conn.Write(outAdd("0", fmt.Sprint("pipelined", i), "c=status,d=6000,dest=1", body))
		}
		io.WriteString(conn, pingText)
	}()
	answers := bufio.NewReader(conn)
	for i := range commands {
		if line, err := answers.ReadString('\n'); line != "+OK\r\n" && line != busyAnswer || err != nil {
			t.Fatalf("answer %d of %d: %q, %v", i, commands, line, err)
		}
	}
	if line, err := answers.ReadString('\n'); line != pongText {
		t.Errorf("the command after the burst: %q, %v", line, err)
	}
	conn.Close()
	s.Drain()
	<-done
}
