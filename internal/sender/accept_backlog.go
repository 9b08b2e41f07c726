package sender

// This file accepts several connections in each round of the goroutine that reads all sockets. netpoll accepts one for each
// event of a listener, and a listener has one event in a round. While many clients send, a round takes tens of milliseconds,
// and clients that connect would wait for as many rounds as there are connections before theirs.
//
// While the listener has a backlog, further event sources (eventfds) make netpoll call Accept again in the same round.

import (
	"encoding/binary"
	"net"
	"sync"

	"github.com/cloudwego/netpoll"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// acceptSources is the number of event sources besides the listener, and so of further connections in a round.
const acceptSources = 15

// backlogListener is a listener that has further event sources while connections wait. Its methods may be called from any
// goroutine.
type backlogListener struct {
	netpoll.Listener
	log   *zap.Logger
	serve func(netpoll.Listener) // serves connections of a listener until the process ends

	create  sync.Once
	sources []*acceptSource // none before the first backlog
}

// acceptSource is one of the event sources. netpoll serves it as a listener.
type acceptSource struct {
	*backlogListener
	fd int // an eventfd, which is readable while the source is to accept a connection
}

// Accept implements netpoll.Listener. It returns nil without an error if no connection waits.
func (l *backlogListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if waiting := l.backlog(); err == nil && conn != nil && waiting > 0 {
		l.create.Do(l.createSources)
		for _, source := range l.sources[:min(waiting, len(l.sources))] {
			source.signal()
		}
	}
	return conn, err
}

// backlog returns the number of connections that wait to be accepted; 0 if it is unknown.
func (l *backlogListener) backlog() int {
	info, err := unix.GetsockoptTCPInfo(l.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return int(info.Unacked) // which is the length of the queue for a listening socket
}

// createSources creates the sources, or fewer if descriptors are short.
func (l *backlogListener) createSources() {
	for range acceptSources {
		fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
		if err != nil {
			l.log.Warn("cannot create an event source to accept connections; they are accepted more slowly", zap.Error(err))
			return
		}
		source := &acceptSource{l, fd}
		l.sources = append(l.sources, source)
		go l.serve(source)
	}
}

// Fd returns the descriptor on which netpoll waits.
func (s *acceptSource) Fd() int { return s.fd }

// signal makes the source accept a connection in this round or the next.
func (s *acceptSource) signal() {
	_, _ = unix.Write(s.fd, binary.NativeEndian.AppendUint64(nil, 1)) // an error means that it is signalled already
}

// Accept implements netpoll.Listener.
func (s *acceptSource) Accept() (net.Conn, error) {
	var count [8]byte
	_, _ = unix.Read(s.fd, count[:]) // ends the signal
	return s.backlogListener.Accept()
}
