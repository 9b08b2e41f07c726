package consensus

import (
	"bufio"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"flaxcove/internal/cluster/view"
)

// Words of the first exchange on a connection, which is an upgrade of HTTP/1.1. The one that is called must be the very
// server meant, its folder included: the library's requests do not say whom they are for, and one that lost its disk
// would otherwise answer, and vote, as what it was before.
const (
	upgradeTo     = "flaxcove-council"
	headerCluster = "Flaxcove-Cluster"
	headerTo      = "Flaxcove-To"
	headFor       = time.Second // for the first exchange
	maxGreeting   = 64          // connections in their first exchange at once; more are closed
	maxOpen       = 256         // connections past it: two to and from each of far more than ever call
)

var (
	errElsewhere = errors.New("not the server that was called")
	errCut       = errors.New("cut off")
	errMany      = errors.New("too many connections")
)

// stream carries the library's calls over connections whose first exchange told both ends apart. It is the library's
// StreamLayer.
type stream struct {
	listener net.Listener
	cluster  string
	self     raft.ServerAddress
	reach    func(view.Name) (string, bool)
	cut      func(view.Name) bool // Options.Cut; may be nil
	greeted  chan net.Conn
	greeting chan struct{}
	ended    chan struct{}
	end      sync.Once
	running  sync.WaitGroup
	in, out  atomic.Uint64 // bytes carried

	mu   sync.Mutex // of its own; nothing is called under it
	open map[*counted]bool
}

func listen(o Options, self raft.ServerAddress) (*stream, error) {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	s := &stream{listener: l, cluster: o.Cluster, self: self, reach: o.Reach, cut: o.Cut, greeted: make(chan net.Conn),
		greeting: make(chan struct{}, maxGreeting), ended: make(chan struct{}), open: map[*counted]bool{}}
	s.running.Add(1)
	go s.accept()
	return s, nil
}

func (s *stream) accept() {
	defer s.running.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			select {
			case <-s.ended:
				return
			case <-time.After(50 * time.Millisecond): // out of descriptors, or the like
			}
			continue
		}
		select {
		case s.greeting <- struct{}{}:
			s.running.Add(1)
			go s.greet(conn)
		default:
			_ = conn.Close()
		}
	}
}

// greet answers the first exchange and hands the connection on.
func (s *stream) greet(conn net.Conn) {
	defer s.running.Done()
	_ = conn.SetDeadline(time.Now().Add(headFor))
	request, err := http.ReadRequest(bufio.NewReader(conn))
	<-s.greeting
	if err != nil || request.Header.Get("Upgrade") != upgradeTo {
		_ = conn.Close()
		return
	}
	answer := http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: http.StatusSwitchingProtocols,
		Header: http.Header{"Upgrade": {upgradeTo}, "Connection": {"Upgrade"}}}
	if request.Header.Get(headerCluster) != s.cluster || request.Header.Get(headerTo) != string(s.self) {
		answer.StatusCode = http.StatusMisdirectedRequest
	}
	if answer.Write(conn) != nil || answer.StatusCode != http.StatusSwitchingProtocols {
		_ = conn.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	kept, err := s.keep(conn, "")
	if err != nil {
		return
	}
	select {
	case s.greeted <- kept:
	case <-s.ended:
		_ = kept.Close()
	}
}

// keep counts a connection in, which ends with the stream at the latest.
func (s *stream) keep(conn net.Conn, peer view.Name) (*counted, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended:
		_ = conn.Close()
		return nil, net.ErrClosed
	default:
	}
	if len(s.open) >= maxOpen {
		_ = conn.Close()
		return nil, errMany
	}
	c := &counted{conn, s, peer}
	s.open[c] = true
	return c, nil
}

// drop closes all connections; calls on them fail, and are made anew.
func (s *stream) drop() {
	s.mu.Lock()
	open := slices.Collect(maps.Keys(s.open))
	s.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// Dial calls the server at an address, which is its ID: a name and the folder that it must still have.
func (s *stream) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	peer := nameOf(raft.ServerID(address))
	to, found := s.reach(peer)
	if !found || s.lost(peer) {
		return nil, fmt.Errorf("%s: no way there", address)
	}
	conn, err := net.DialTimeout("tcp", to, timeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(min(timeout, headFor)))
	request, err := http.NewRequest(http.MethodGet, "http://"+to+"/", nil)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	request.Header.Set("Upgrade", upgradeTo)
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set(headerCluster, s.cluster)
	request.Header.Set(headerTo, string(address))
	if err = request.Write(conn); err == nil {
		// The other end says nothing past its answer before it is called: the reader holds back nothing of what follows.
		var answer *http.Response
		if answer, err = http.ReadResponse(bufio.NewReader(conn), request); err == nil &&
			answer.StatusCode != http.StatusSwitchingProtocols {
			err = fmt.Errorf("%s: %w", address, errElsewhere)
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	kept, err := s.keep(conn, peer)
	if err != nil {
		return nil, err
	}
	return kept, nil
}

// Accept is the next connection whose first exchange is done.
func (s *stream) Accept() (net.Conn, error) {
	select {
	case conn := <-s.greeted:
		return conn, nil
	case <-s.ended:
		return nil, net.ErrClosed
	}
}

func (s *stream) Close() error {
	var err error
	s.end.Do(func() {
		close(s.ended)
		err = s.listener.Close()
		s.drop()
	})
	return err
}

func (s *stream) Addr() net.Addr { return address(s.self) }

// address is a server's, which is its ID.
type address string

func (address) Network() string  { return "council" }
func (a address) String() string { return string(a) }

// counted counts what a connection carries.
type counted struct {
	net.Conn
	of   *stream
	peer view.Name // whom it was dialled to; "" where the other end dialled
}

// lost tells whether a laboratory has cut a process off.
func (s *stream) lost(peer view.Name) bool { return s.cut != nil && peer != "" && s.cut(peer) }

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.of.in.Add(uint64(max(n, 0)))
	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	if c.of.lost(c.peer) {
		return 0, errCut
	}
	n, err := c.Conn.Write(p)
	c.of.out.Add(uint64(max(n, 0)))
	return n, err
}

func (c *counted) Close() error {
	c.of.mu.Lock()
	delete(c.of.open, c)
	c.of.mu.Unlock()
	return c.Conn.Close()
}
