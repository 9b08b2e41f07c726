// Package link carries calls between the processes of one cluster: JSON over HTTP, with one listener per process.
//
// It owns the listener, the pool of idle connections, the check of who may call (guard.go), and the bounds: each call,
// body, connection and wait has one. serve.go answers calls, call.go makes them, conncount.go and volumes.go count
// them. It must never interpret a call, retry one (whether that is safe only the caller knows), follow a redirect, or
// dial an address other than what Options.Reach returns. Peers are not authenticated: the link is for loopback or a
// private network, and the guard protects against mistakes, not against attackers.
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

// Fixed bounds, estimated for one machine and for networks of a few milliseconds.
const (
	defaultCallTimeout = 2 * time.Second  // a call whose context has no end
	dialTimeout        = time.Second      // the part of a call spent on connecting
	handlerTimeout     = 10 * time.Second // one handler; longer than any call that is asked to wait
	readTimeout        = 5 * time.Second  // reading a complete request, against slow clients
	idleTimeout        = 60 * time.Second // an idle connection; calls are half a second apart
	shutdownGrace      = time.Second      // for responses being written when Close is called
	// defaultBodyLimit bounds the body of a request and of a response. The largest reports take hundreds of kilobytes.
	defaultBodyLimit = 1 << 20
	maxHeaderBytes   = 8 << 10
	// maxIdleConnsPerPeer and maxConnsPerPeer bound the idle and the open connections to one process: reports to a
	// parent, updates to a child and queries may be in flight at once. Further calls wait for a free connection.
	maxIdleConnsPerPeer, maxConnsPerPeer = 2, 8
	// maxIdleConns bounds the idle connections to all processes; parents talk to a few dozen children.
	maxIdleConns = 256
	// maxInboundConns bounds the accepted connections; further ones are closed at once.
	maxInboundConns = 2048
	// maxKnownNames bounds the names whose incarnations are remembered; twice the largest fleet.
	maxKnownNames = 2048
)

// ErrClosed is the error of calls once Close was called.
var ErrClosed = errors.New("link: closed")

// Options configure a link.
type Options struct {
	Cluster string    // the cluster's name; calls of another cluster are refused
	Self    view.Life // this process, as the caller
	Listen  string    // host:port
	// Reach returns the address at which a process is dialled, possibly a relay's; false for an unknown process. It is
	// asked for each call.
	Reach func(view.Name) (string, bool)
	Log   *zap.Logger
	// Partitioned reports processes from which this one is partitioned: calls to them, and responses to their calls, wait until
	// their timeout. For test rigs; may be nil.
	Partitioned func(view.Name) bool
	// CallTimeout and BodyLimit have defaults for zero.
	CallTimeout time.Duration
	BodyLimit   int
}

// Link is one process's listener and client for calls within the cluster.
type Link struct {
	opts              Options
	incarnation       atomic.Uint64 // raised by RaiseIncarnation
	lives             *knownLives
	bytesIn, bytesOut atomic.Uint64
	volumes           volumes
	inboundConns      atomic.Int64
	listener          net.Listener
	server            *http.Server
	client            *http.Client
	transport         *http.Transport
	public            *http.ServeMux
	base              context.Context // canceled by Close; every call and handler ends with it
	cancel            context.CancelFunc
	serveDone         chan struct{} // closed when the listener's goroutine is done

	// mu is innermost: it is held for a look-up, never while waiting or calling out of the package.
	mu       sync.Mutex
	handlers map[string]handler
	closed   bool
	inFlight int           // calls made and handlers running
	drained  chan struct{} // closed once the link is closed and inFlight is 0
}

// Start listens and serves. Handlers may be added later; a path without one is answered with 404.
func Start(opts Options) (*Link, error) {
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	if opts.BodyLimit <= 0 {
		opts.BodyLimit = defaultBodyLimit
	}
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, err
	}
	l := &Link{
		opts:      opts,
		lives:     &knownLives{limit: maxKnownNames, byName: map[view.Name]*knownLife{}},
		public:    http.NewServeMux(),
		handlers:  map[string]handler{},
		serveDone: make(chan struct{}),
		drained:   make(chan struct{}),
	}
	l.RaiseIncarnation(opts.Self.Incarnation)
	l.base, l.cancel = context.WithCancel(context.Background())
	l.listener = &countingListener{Listener: listener, link: l}
	l.client, l.transport = l.newClient()
	l.server = l.newServer()
	go func() {
		defer close(l.serveDone)
		if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
			opts.Log.Error("the cluster's listener ended", zap.String("addr", l.Addr()), zap.Error(err))
		}
	}()
	return l, nil
}

// newServer returns the HTTP server that answers members and the public.
func (l *Link) newServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(l.serve),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      handlerTimeout + readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(l.opts.Log.Named("http")),
		BaseContext:       func(net.Listener) context.Context { return l.base },
	}
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Traffic returns the bytes received and sent over all connections since Start, headers included.
func (l *Link) Traffic() (in, out uint64) { return l.bytesIn.Load(), l.bytesOut.Load() }

// RaiseIncarnation raises the incarnation that later calls carry, as after a peer refused this process's incarnation as outdated
// at its start (settings/folder, Raise). A lower incarnation than the present one changes nothing.
func (l *Link) RaiseIncarnation(to view.Incarnation) {
	for was := l.incarnation.Load(); was < uint64(to) && !l.incarnation.CompareAndSwap(was, uint64(to)); was = l.incarnation.Load() {
	}
	// Another process that was started under this name is outdated as well.
	l.lives.observe(view.Life{Name: l.opts.Self.Name, Incarnation: to})
}

// ObserveLife records a life that was observed by other means, as by the membership.
func (l *Link) ObserveLife(life view.Life) { l.lives.observe(life) }

// begin counts a call or a handler as in flight and returns true, unless the link is closed.
func (l *Link) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.inFlight++
	return true
}

// finish ends what begin counted.
func (l *Link) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight--; l.inFlight == 0 && l.closed {
		close(l.drained)
	}
}

// Close cancels calls and handlers, waits up to shutdownGrace for responses being written and closes all connections.
// It returns when nothing of the link runs any more, or an error when ctx ends before that: a handler has then ignored
// its context. A second Close waits in the same way.
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
			// What is left are new or stalled connections, on which no response is due.
			l.server.Close()
		}
		cancel()
		l.transport.CloseIdleConnections()
	}
	select {
	case <-l.drained:
	case <-ctx.Done():
		return errors.Join(errors.New("link: still under way at the end of Close"), ctx.Err())
	}
	<-l.serveDone
	return nil
}
