package sender

import (
	"net"
	"net/http/httptest"
	"os"
	"strconv"
	"syscall"
	"testing"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/directory"
)

// inetPort is the port of an IPv4 socket's address, 0 for any other.
func inetPort(addr syscall.Sockaddr, err error) int {
	if inet, is := addr.(*syscall.SockaddrInet4); is && err == nil {
		return inet.Port
	}
	return 0
}

// No socket delays small writes (Nagle): neither accepted ones, nor those to discovery, endpoints and the platform. What the
// system delays is lost with a connection that is reset.
func TestNoDelay(t *testing.T) {
	p := &fakePartner{}
	p.up.Store(true)
	p.Server = httptest.NewServer(p)
	defer p.Server.Close()
	defer p.CloseClientConnections()
	cfg := testConfig(t.TempDir(), 100)
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", p.Listener.Addr().String()
	cfg.Known.Entries = []directory.Entry{readyEntry("new", cfg.Discovery, 1),
		{ID: "leaves", Addr: "127.0.0.1:9", Zone: "z", Kind: "one", Destination: 9, State: "draining", Weight: 100}}
	s, conn, done := startServing(t, cfg)
	for id, list := range map[string]string{"sent": "c=status,d=6000,dest=1", "ends": "c=status,d=1200,dest=9"} {
		conn.Write(outAdd("0", id, list, ""))
		mustRead(t, conn, "+OK\r\n")
	}
	waitUntil(t, "one is delivered, and the other's end told", func() bool { return p.inbox.Load() > 0 && p.outcome.Load() > 0 })
	off := func(fd int) bool {
		on, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		return err != nil || on == 0
	}
	if off(clientOf(t, s, conn).conn.(netpoll.Conn).Fd()) {
		t.Error("an accepted connection may hold writes back")
	}
	port, found := p.Listener.Addr().(*net.TCPAddr).Port, 0
	files, _ := os.ReadDir("/proc/self/fd")
	for _, f := range files {
		fd, _ := strconv.Atoi(f.Name())
		if inetPort(syscall.Getpeername(fd)) != port {
			continue
		}
		found++
		if off(fd) {
			t.Error("a connection of ours may hold writes back")
		}
	}
	if found < 3 {
		t.Errorf("%d connections to discovery, an endpoint and the platform", found)
	}
	conn.Close()
	s.Drain()
	<-done
}
