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

// inetPort returns the port of an IPv4 socket's address, or 0 for any other address.
func inetPort(addr syscall.Sockaddr, err error) int {
	if inet, ok := addr.(*syscall.SockaddrInet4); ok && err == nil {
		return inet.Port
	}
	return 0
}

// TestNoDelay checks that no socket delays small writes (Nagle's algorithm): neither accepted connections, nor those to
// discovery, endpoints and the platform. Bytes that the system delays are lost when the connection is reset.
func TestNoDelay(t *testing.T) {
	p := &fakePartner{}
	p.discoveryUp.Store(true)
	p.Server = httptest.NewServer(p)
	defer p.Server.Close()
	defer p.CloseClientConnections()
	cfg := testConfig(t.TempDir(), 100)
	cfg.Listen, cfg.Discovery = "127.0.0.1:0", p.Listener.Addr().String()
	cfg.InitialList.Entries = []directory.Entry{readyEntry("new", cfg.Discovery, 1),
		{ID: "leaves", Addr: "127.0.0.1:9", Zone: "z", Kind: "one", Destination: 9, State: "draining", Weight: 100}}
	s, conn, done := startServing(t, cfg)
	for id, list := range map[string]string{"sent": "c=status,d=6000,dest=1", "ends": "c=status,d=1200,dest=9"} {
		conn.Write(outAdd("0", id, list, ""))
		mustRead(t, conn, "+OK\r\n")
	}
	waitUntil(t, "one message is delivered, and the other's ending reported", func() bool { return p.callCount.Load() > 0 && p.reportCount.Load() > 0 })
	delaysWrites := func(fd int) bool {
		on, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		return err != nil || on == 0
	}
	if delaysWrites(clientOf(t, s, conn).conn.(netpoll.Conn).Fd()) {
		t.Error("an accepted connection may delay writes")
	}
	port, found := p.Listener.Addr().(*net.TCPAddr).Port, 0
	files, _ := os.ReadDir("/proc/self/fd")
	for _, f := range files {
		fd, _ := strconv.Atoi(f.Name())
		if inetPort(syscall.Getpeername(fd)) != port {
			continue
		}
		found++
		if delaysWrites(fd) {
			t.Error("a connection that the sender opened may delay writes")
		}
	}
	if found < 3 {
		t.Errorf("%d connections to discovery, an endpoint and the platform, want at least 3", found)
	}
	conn.Close()
	s.Drain()
	<-done
}
