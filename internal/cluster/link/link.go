// Package link carries calls between the processes of one cluster, as JSON over HTTP with one listener per process.
//
// It owns the listener, the pool of idle connections, the check of the caller (guard.go), and the bounds on each call,
// body, connection and wait. serve.go answers calls and call.go makes them; conncount.go and volumes.go count their
// bytes. It must never interpret a call, retry one (only the caller knows whether that is safe), follow a redirect, or
// dial an address that Options.Reach did not return. Peers are not authenticated: the link is for loopback or a private
// network, and the check of the caller protects against mistakes, not against attackers.
package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/view"
)

// Fixed bounds, estimated for one machine and for networks with a latency of a few milliseconds.
const (
	defaultCallTimeout = 2 * time.Second  // bounds a call whose context has no deadline
	dialTimeout        = time.Second      // bounds connecting, which is part of a call
	handlerTimeout     = 10 * time.Second // bounds one handler; longer than any call that is meant to wait
	readTimeout        = 5 * time.Second  // bounds reading a complete request, against slow clients
	idleTimeout        = 60 * time.Second // until the server closes an idle connection; calls are half a second apart
	shutdownGrace      = time.Second      // for responses that are being written when Close is called
	// DefaultBodyLimit bounds the body of a request and of a response, in bytes. The largest reports take hundreds of
	// kilobytes.
	DefaultBodyLimit = 1 << 20
	maxHeaderBytes   = 8 << 10
	// maxIdleConnsPerPeer and maxConnsPerPeer bound the idle and the open connections to one process. Reports to a
	// parent, updates to a child and queries may be in flight at the same time. Further calls wait for a free
	// connection.
	maxIdleConnsPerPeer, maxConnsPerPeer = 2, 8
	// maxIdleConns bounds the idle connections to all processes. A parent calls a few dozen children.
	maxIdleConns = 256
	// maxInboundConns bounds the accepted connections. Further ones are closed at once.
	maxInboundConns = 2048
	// maxKnownNames bounds the names whose highest incarnation is stored. It is twice the largest cluster.
	maxKnownNames = 2048
)

// ErrClosed is the error of a call that Close canceled or that was made after Close.
var ErrClosed = errors.New("link: closed")

// Options configures a link.
type Options struct {
	Cluster string        // name of the cluster; calls of processes of another cluster are rejected
	Self    view.Instance // this process, as the caller
	Listen  string        // host:port to listen on
	// Reach returns the address at which a process is dialled, possibly that of a relay; false for an unknown process.
	// It is called for each call.
	Reach func(view.Name) (string, bool)
	Log   *zap.Logger // nil logs nothing
	// Partitioned reports whether a simulated partition separates this process from the named one: calls to that
	// process, and responses to its calls, then wait until they time out. It serves test rigs and may be nil.
	Partitioned func(view.Name) bool
	CallTimeout time.Duration // of a call whose context has no deadline; 0 stands for defaultCallTimeout
	BodyLimit   int           // in bytes, of requests and responses; 0 stands for DefaultBodyLimit
}

// Link is one process's listener and client for calls within the cluster. It is safe for concurrent use.
type Link struct {
	opts              Options
	incarnation       atomic.Uint64 // of this process; raised by RaiseIncarnation
	incarnations      *incarnationTable
	bytesIn, bytesOut atomic.Uint64
	volumes           volumes
	inboundConns      atomic.Int64 // accepted connections that are open
	listener          net.Listener
	server            *http.Server
	client            *http.Client
	transport         *http.Transport
	public            *http.ServeMux
	baseCtx           context.Context // canceled by Close; the context of every call and handler ends with it
	cancel            context.CancelFunc
	serveDone         chan struct{} // closed when the listener's goroutine has ended

	// mu is innermost: it is held for a lookup, never while waiting or calling out of the package.
	mu       sync.Mutex
	handlers map[string]handler
	closed   bool
	inFlight int           // calls being made and handlers running
	drained  chan struct{} // closed once the link is closed and inFlight is 0
}

// Start listens on Options.Listen and serves in the background. Handlers may be registered later; a path without a
// handler is answered with status 404.
func Start(opts Options) (*Link, error) {
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	if opts.BodyLimit <= 0 {
		opts.BodyLimit = DefaultBodyLimit
	}
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, err
	}
	l := &Link{
		opts:         opts,
		incarnations: &incarnationTable{limit: maxKnownNames, byName: map[view.Name]*incarnationEntry{}},
		public:       http.NewServeMux(),
		handlers:     map[string]handler{},
		serveDone:    make(chan struct{}),
		drained:      make(chan struct{}),
	}
	l.RaiseIncarnation(opts.Self.Incarnation)
	l.baseCtx, l.cancel = context.WithCancel(context.Background())
	l.listener = &countingListener{Listener: listener, link: l}
	l.client, l.transport = l.newClient()
	l.server = l.newServer()
	go func() {
		defer close(l.serveDone)
		if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
			opts.Log.Error("listener for calls between processes failed; this process receives no further calls",
				zap.String("addr", l.Addr()), zap.Error(err))
		}
	}()
	return l, nil
}

// newServer returns the HTTP server that answers calls of members and public requests.
func (l *Link) newServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(l.serve),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      handlerTimeout + readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(l.opts.Log.Named("http")),
		BaseContext:       func(net.Listener) context.Context { return l.baseCtx },
	}
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Traffic returns the bytes received and sent over all connections since Start, headers included.
func (l *Link) Traffic() (in, out uint64) { return l.bytesIn.Load(), l.bytesOut.Load() }

// RaiseIncarnation raises the incarnation that later calls carry, as after other processes rejected this process's
// incarnation as outdated (folder.Folder.Raise). An incarnation that is not higher than the current one changes
// nothing.
func (l *Link) RaiseIncarnation(to view.Incarnation) {
	for was := l.incarnation.Load(); was < uint64(to) && !l.incarnation.CompareAndSwap(was, uint64(to)); was = l.incarnation.Load() {
	}
	// Calls of another process with this name and a lower incarnation are rejected from now on.
	l.incarnations.observe(view.Instance{Name: l.opts.Self.Name, Incarnation: to})
}

// ObserveIncarnation records the incarnation of a process that was learned in another way than by a call, as from the
// membership.
func (l *Link) ObserveIncarnation(id view.Instance) { l.incarnations.observe(id) }

// begin counts a call or a handler as in flight and returns true, or returns false if the link is closed. Each begin
// that returns true must be followed by finish.
func (l *Link) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.inFlight++
	return true
}

// finish ends a call or a handler that begin counted.
func (l *Link) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight--; l.inFlight == 0 && l.closed {
		close(l.drained)
	}
}

// Close cancels calls and handlers, waits up to shutdownGrace for responses that are being written, and closes all
// connections. It returns nil when all calls, handlers and goroutines of the link have ended. If ctx ends earlier it
// returns an error; a handler then has ignored the end of its context. A second Close waits in the same way.
func (l *Link) Close(ctx context.Context) error {
	l.mu.Lock()
	first := !l.closed
	l.closed = true
	if first && l.inFlight == 0 {
		close(l.drained)
	}
	l.mu.Unlock()
	if first {
		l.cancel()
		shutdownCtx, cancel := context.WithTimeout(ctx, shutdownGrace)
		if err := l.server.Shutdown(shutdownCtx); err != nil {
			// The remaining connections are new or stalled, and no response is due on them.
			l.server.Close()
		}
		cancel()
		l.transport.CloseIdleConnections()
	}
	select {
	case <-l.drained:
	case <-ctx.Done():
		return errors.Join(errors.New("link: calls or handlers are still running at the end of Close"), ctx.Err())
	}
	<-l.serveDone
	return nil
}
