package sender

import (
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// Clients that send nothing, leave a command incomplete, hold their places or send what can't be parsed must not keep the
// others out, and each gets an error or is closed within 3 s.
func TestMisbehavingClients(t *testing.T) {
	cfg := testConfig(t.TempDir(), 100)
	cfg.Listen, cfg.Discovery, cfg.Limits.Sockets = "127.0.0.1:0", "127.0.0.1:1", 64
	s, done := startRunning(t, cfg)
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(conn, text)
		return conn
	}
	const ping, pong = "*1\r\n$4\r\nPING\r\n", "+PONG\r\n"
	served := func(conn net.Conn) bool {
		text := make([]byte, len(pong))
		_, err := io.ReadFull(conn, text)
		return err == nil && string(text) == pong
	}
	start := time.Now()
	var quiet []net.Conn
	for range 100 {
		quiet = append(quiet, dial(""))
	}
	usual := dial(ping)
	if !served(usual) {
		t.Error("silent clients keep a usual one out")
	}
	half := dial("*2\r\n$4\r\nPI")
	for _, conn := range append(quiet, half) {
		if text, err := io.ReadAll(conn); len(text) > 0 || os.IsTimeout(err) {
			t.Errorf("a silent client was told %q, %v", text, err)
		}
	}
	if took := time.Since(start); took > 3*time.Second && testing.CoverMode() == "" {
		t.Errorf("the last silent client was closed after %v", took)
	}
	huge := dial("*5\r\n$7\r\nOUT.ADD\r\n$60000000\r\n")
	if _, err := io.Copy(huge, io.LimitReader(zeros{}, 60e6)); err == nil {
		t.Error("60 MB were read to the end")
	}
	rude := dial(strings.Repeat("*1\r\n$4\r\nNONE\r\n", 300))
	if text, _ := io.ReadAll(rude); strings.Count(string(text), "-ERR") > windowSize+maxBadCommands {
		t.Errorf("%d errors for one client", strings.Count(string(text), "-ERR"))
	}
	// Those served that hold on make capacity for new ones, each of which asks on a connection of its own.
	time.Sleep(minIdleTime)
	var held []net.Conn
	for i := range 100 {
		conn := dial(ping)
		if !served(conn) {
			t.Fatalf("client %d was not served", i)
		}
		held = append(held, conn)
	}
	time.Sleep(minIdleTime + 2*sweepInterval)
	if conn := dial(ping); !served(conn) {
		t.Error("idle clients keep a usual one out")
	}
	for _, conn := range held {
		conn.Close()
	}
	s.Drain()
	<-done
	if n := s.unparsedBytes.Load(); n != 0 {
		t.Errorf("%d bytes are counted that nobody holds", n)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
