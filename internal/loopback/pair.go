// Package loopback opens a TCP and a UDP socket on the same port, for tests and laboratories. A production sender must
// not use it.
package loopback

import (
	"errors"
	"net"
	"syscall"
)

// maxBindAttempts is the number of ephemeral ports that ListenPair tries before it gives up.
const maxBindAttempts = 32

// ListenPair listens on addr with TCP and with UDP on the same port. If the port is 0, it chooses an ephemeral port that
// is free for both. If another port is in use, ListenPair returns the error and tries no other port. The caller must
// close both sockets.
func ListenPair(addr string) (*net.TCPListener, *net.UDPConn, error) {
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	return listenPair(at.Port == 0, func() (*net.TCPListener, error) { return net.ListenTCP("tcp", at) })
}

// listenPair calls listenTCP and listens with UDP on the same port. If that port is ephemeral and in use for UDP, it
// closes the TCP listener and calls listenTCP again: the system chooses an ephemeral TCP port without regard to UDP, so
// on a busy machine it may be free for TCP only.
func listenPair(ephemeral bool, listenTCP func() (*net.TCPListener, error)) (*net.TCPListener, *net.UDPConn, error) {
	for attempt := 1; ; attempt++ {
		tcp, err := listenTCP()
		if err != nil {
			return nil, nil, err
		}
		at := tcp.Addr().(*net.TCPAddr)
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
		if err == nil {
			return tcp, udp, nil
		}
		err = errors.Join(err, tcp.Close())
		if !ephemeral || attempt == maxBindAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, nil, err
		}
	}
}
