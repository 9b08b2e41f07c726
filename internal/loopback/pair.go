// Package loopback opens listeners for tests and laboratories that speak TCP and UDP at one port.
//
// The caller closes both. A serving sender must not use it.
package loopback

import (
	"errors"
	"net"
	"syscall"
)

// maxBindAttempts is how many ports drawn by the system are tried before ListenPair gives up.
const maxBindAttempts = 32

// ListenPair listens at addr with TCP and UDP at the same port. With port 0 the system draws one that is free for
// TCP; where it is taken for UDP another one is drawn. An error of a port that was named is returned as it is.
func ListenPair(addr string) (*net.TCPListener, *net.UDPConn, error) {
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	return listenPair(at.Port == 0, func() (*net.TCPListener, error) { return net.ListenTCP("tcp", at) })
}

// listenPair listens with UDP at the port at which listenTCP listens. Where that port was drawn and is taken for UDP, it
// draws again: the system draws TCP ports regardless of UDP, so a busy machine hands out ports that are free for TCP only.
func listenPair(drawn bool, listenTCP func() (*net.TCPListener, error)) (*net.TCPListener, *net.UDPConn, error) {
	for draw := 1; ; draw++ {
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
		if !drawn || draw == maxBindAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, nil, err
		}
	}
}
