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

// The handshake of a connection is an HTTP/1.1 upgrade. The server that answers must have the ID that was called,
// folder included. The requests of the raft library do not name their receiver, so a process that lost its disk would
// otherwise answer and vote as the server that it was before.
const (
	upgradeProtocol  = "flaxcove-council"
	headerCluster    = "Flaxcove-Cluster"
	headerTo         = "Flaxcove-To"
	handshakeTimeout = time.Second
	maxHandshakes    = 64  // concurrent handshakes; further connections are closed
	maxConnections   = 256 // established connections; two to and two from each server, which allows for 64 servers

	acceptRetryDelay = 50 * time.Millisecond // before the next Accept after an error, for example when file descriptors ran out
)

var (
	errWrongServer        = errors.New("the process there is not the server that was called")
	errPartitioned        = errors.New("the link is partitioned by a test")
	errTooManyConnections = errors.New("too many raft connections; the new one was closed")
)

// streamLayer implements raft.StreamLayer. It listens and dials for the raft library, and makes the handshake that
// checks the cluster and the server ID at the other end.
type streamLayer struct {
	listener          net.Listener
	cluster           string
	self              raft.ServerAddress
	addressOf         func(view.Name) (string, bool)
	partitioned       func(view.Name) bool // Options.Partitioned; may be nil
	handshaken        chan net.Conn        // incoming connections after the handshake, for Accept
	handshakeSlots    chan struct{}        // holds a value for each handshake in progress
	closed            chan struct{}
	closeOnce         sync.Once
	goroutines        sync.WaitGroup
	bytesIn, bytesOut atomic.Uint64

	mu          sync.Mutex // no other code is called with it held
	connections map[*countedConn]bool
}

// listen listens on Options.Listen and starts to accept connections. Close ends both.
func listen(o Options, self raft.ServerAddress) (*streamLayer, error) {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	s := &streamLayer{
		listener:       l,
		cluster:        o.Cluster,
		self:           self,
		addressOf:      o.AddressOf,
		partitioned:    o.Partitioned,
		handshaken:     make(chan net.Conn),
		handshakeSlots: make(chan struct{}, maxHandshakes),
		closed:         make(chan struct{}),
		connections:    map[*countedConn]bool{},
	}
	s.goroutines.Add(1)
	go s.acceptLoop()
	return s, nil
}

// acceptLoop starts a goroutine for the handshake of each incoming connection. The reads and writes of a handshake end
// within handshakeTimeout.
func (s *streamLayer) acceptLoop() {
	defer s.goroutines.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			select {
			case <-s.closed:
				return
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		select {
		case s.handshakeSlots <- struct{}{}:
			s.goroutines.Add(1)
			go s.handshake(conn)
		default:
			_ = conn.Close()
		}
	}
}

// handshake answers the caller's upgrade request and passes the connection to Accept.
func (s *streamLayer) handshake(conn net.Conn) {
	defer s.goroutines.Done()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	request, err := http.ReadRequest(bufio.NewReader(conn))
	<-s.handshakeSlots
	if err != nil || request.Header.Get("Upgrade") != upgradeProtocol {
		_ = conn.Close()
		return
	}
	answer := http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: http.StatusSwitchingProtocols,
		Header: http.Header{"Upgrade": {upgradeProtocol}, "Connection": {"Upgrade"}}}
	if request.Header.Get(headerCluster) != s.cluster || request.Header.Get(headerTo) != string(s.self) {
		answer.StatusCode = http.StatusMisdirectedRequest
	}
	if answer.Write(conn) != nil || answer.StatusCode != http.StatusSwitchingProtocols {
		_ = conn.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	tracked, err := s.track(conn, "")
	if err != nil {
		return
	}
	select {
	case s.handshaken <- tracked:
	case <-s.closed:
		_ = tracked.Close()
	}
}

// track registers a connection, so that Close closes it. peer is the dialled process, or "" for an incoming connection.
// After Close, and beyond maxConnections, track closes the connection and returns an error.
func (s *streamLayer) track(conn net.Conn, peer view.Name) (*countedConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
		_ = conn.Close()
		return nil, net.ErrClosed
	default:
	}
	if len(s.connections) >= maxConnections {
		_ = conn.Close()
		return nil, errTooManyConnections
	}
	c := &countedConn{conn, s, peer}
	s.connections[c] = true
	return c, nil
}

// closeConnections closes all connections. Calls on them fail, and the raft library makes new connections.
func (s *streamLayer) closeConnections() {
	s.mu.Lock()
	connections := slices.Collect(maps.Keys(s.connections))
	s.mu.Unlock()
	for _, c := range connections {
		_ = c.Close()
	}
}

// Dial connects to a server. Its address is its ID (see raftID), so the server must have the same folder as before.
func (s *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	peer := nameOf(raft.ServerID(address))
	hostPort, found := s.addressOf(peer)
	if !found || s.isPartitioned(peer) {
		return nil, fmt.Errorf("raft connection to %s: no address is known, or the link is partitioned by a test", address)
	}
	conn, err := net.DialTimeout("tcp", hostPort, timeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(min(timeout, handshakeTimeout)))
	if err := s.requestUpgrade(conn, hostPort, address); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	tracked, err := s.track(conn, peer)
	if err != nil {
		return nil, err
	}
	return tracked, nil
}

// requestUpgrade performs the caller's side of the handshake. It returns errWrongServer if the other end has another ID
// or belongs to another cluster.
func (s *streamLayer) requestUpgrade(conn net.Conn, hostPort string, address raft.ServerAddress) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+hostPort+"/", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Upgrade", upgradeProtocol)
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set(headerCluster, s.cluster)
	request.Header.Set(headerTo, string(address))
	if err := request.Write(conn); err != nil {
		return err
	}
	// The other end sends nothing after its answer until it is called, so the reader buffers nothing beyond the answer.
	answer, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("raft connection to %s: %w", address, errWrongServer)
	}
	return nil
}

// Accept returns the next incoming connection after its handshake. After Close it returns net.ErrClosed.
func (s *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.handshaken:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and all connections. Only the first call has an effect.
func (s *streamLayer) Close() error {
	var err error
	s.closeOnce.Do(func() {
		close(s.closed)
		err = s.listener.Close()
		s.closeConnections()
	})
	return err
}

// Addr returns this server's address, which is its ID.
func (s *streamLayer) Addr() net.Addr { return streamAddr(s.self) }

// streamAddr is the ID of a server as a net.Addr.
type streamAddr string

// Network returns the name of the address type.
func (streamAddr) Network() string { return "council" }

// String returns the server's ID.
func (a streamAddr) String() string { return string(a) }

// countedConn is a connection that adds the bytes it carries to the counters of its streamLayer.
type countedConn struct {
	net.Conn
	stream *streamLayer
	peer   view.Name // the dialled process; "" for an incoming connection
}

// isPartitioned reports whether a test has cut the link to a process (Options.Partitioned).
func (s *streamLayer) isPartitioned(peer view.Name) bool {
	return s.partitioned != nil && peer != "" && s.partitioned(peer)
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stream.bytesIn.Add(uint64(max(n, 0)))
	return n, err
}

// Write writes to the connection and counts the bytes. It fails if a test has cut the link.
func (c *countedConn) Write(p []byte) (int, error) {
	if c.stream.isPartitioned(c.peer) {
		return 0, errPartitioned
	}
	n, err := c.Conn.Write(p)
	c.stream.bytesOut.Add(uint64(max(n, 0)))
	return n, err
}

// Close closes the connection and removes it from the connections of the streamLayer.
func (c *countedConn) Close() error {
	c.stream.mu.Lock()
	delete(c.stream.connections, c)
	c.stream.mu.Unlock()
	return c.Conn.Close()
}
