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

// The handshake of a connection is an upgrade of HTTP/1.1. The server that answers must be the very one that was
// called, its folder included: the library's requests do not name their addressee, and a process that lost its disk
// would otherwise answer, and vote, as the server it was before.
const (
	upgradeProtocol  = "flaxcove-council"
	headerCluster    = "Flaxcove-Cluster"
	headerTo         = "Flaxcove-To"
	handshakeTimeout = time.Second
	maxHandshakes    = 64  // handshakes in progress at once; further connections are closed
	maxConnections   = 256 // established ones: two to and two from each of more servers than there ever are

	acceptRetryDelay = 50 * time.Millisecond // after the listener failed, as when file descriptors ran out
)

var (
	errWrongServer        = errors.New("not the server that was called")
	errPartitioned        = errors.New("cut off")
	errTooManyConnections = errors.New("too many connections")
)

// streamLayer carries the library's calls over connections whose handshake identified both ends. It implements
// raft.StreamLayer.
type streamLayer struct {
	listener          net.Listener
	cluster           string
	self              raft.ServerAddress
	addressOf         func(view.Name) (string, bool)
	partitioned       func(view.Name) bool // Options.Cut; may be nil
	handshaken        chan net.Conn        // incoming connections for Accept
	handshakeSlots    chan struct{}
	closed            chan struct{}
	closeOnce         sync.Once
	goroutines        sync.WaitGroup
	bytesIn, bytesOut atomic.Uint64

	mu          sync.Mutex // nothing is called with it held
	connections map[*countedConn]bool
}

// listen opens the port and starts to accept connections, until Close.
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

// acceptLoop starts a handshake for each incoming connection, in a goroutine that ends within handshakeTimeout.
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

// handshake answers the caller's upgrade request and passes the connection on to Accept.
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

// track registers a connection, which Close ends at the latest. It closes one that is not taken.
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

// closeConnections closes all connections; calls on them fail, and the library makes new ones.
func (s *streamLayer) closeConnections() {
	s.mu.Lock()
	connections := slices.Collect(maps.Keys(s.connections))
	s.mu.Unlock()
	for _, c := range connections {
		_ = c.Close()
	}
}

// Dial connects to the server at an address, which is its ID: its name and the folder that it must still have.
func (s *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	peer := nameOf(raft.ServerID(address))
	hostPort, found := s.addressOf(peer)
	if !found || s.isPartitioned(peer) {
		return nil, fmt.Errorf("%s: no way there", address)
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

// requestUpgrade makes the caller's side of the handshake.
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
	// The other end sends nothing after its answer until it is called, so the reader buffers nothing that follows.
	answer, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("%s: %w", address, errWrongServer)
	}
	return nil
}

// Accept returns the next incoming connection whose handshake is done.
func (s *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.handshaken:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and all connections.
func (s *streamLayer) Close() error {
	var err error
	s.closeOnce.Do(func() {
		close(s.closed)
		err = s.listener.Close()
		s.closeConnections()
	})
	return err
}

// Addr is this server's address: its ID.
func (s *streamLayer) Addr() net.Addr { return streamAddr(s.self) }

// streamAddr is the address of a server: its ID.
type streamAddr string

// Network names the kind of address.
func (streamAddr) Network() string { return "council" }

// String is the server's ID.
func (a streamAddr) String() string { return string(a) }

// countedConn counts the bytes that a connection carries.
type countedConn struct {
	net.Conn
	stream *streamLayer
	peer   view.Name // who was dialled; "" for an incoming connection
}

// isPartitioned reports whether a test has cut the link to a process (Options.Cut).
func (s *streamLayer) isPartitioned(peer view.Name) bool {
	return s.partitioned != nil && peer != "" && s.partitioned(peer)
}

// Read reads and counts.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stream.bytesIn.Add(uint64(max(n, 0)))
	return n, err
}

// Write writes and counts. It fails where the link is cut.
func (c *countedConn) Write(p []byte) (int, error) {
	if c.stream.isPartitioned(c.peer) {
		return 0, errPartitioned
	}
	n, err := c.Conn.Write(p)
	c.stream.bytesOut.Add(uint64(max(n, 0)))
	return n, err
}

// Close closes the connection and unregisters it.
func (c *countedConn) Close() error {
	c.stream.mu.Lock()
	delete(c.stream.connections, c)
	c.stream.mu.Unlock()
	return c.Conn.Close()
}
