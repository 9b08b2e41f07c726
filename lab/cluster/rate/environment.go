package rate

// This file serves the peers of the senders: endpoints that accept every message, service discovery without updates, and the
// platform that receives outcome callbacks. It must be fast enough not to be the bottleneck.

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"flaxcove/internal/directory"
)

const (
	// endpointHosts is the number of loopback addresses over which the endpoints are spread.
	endpointHosts = 16
	destinations  = 610
	// endpointsEach is the number of endpoints of a destination.
	endpointsEach = 2
	// keepAliveInterval is the time between the empty lines that discovery sends on a watch.
	keepAliveInterval = time.Second
)

// environment holds the servers and counts the messages by how they ended.
type environment struct {
	addresses []string // of the servers; each serves all paths
	servers   []*http.Server
	stop      chan struct{}
	serving   sync.WaitGroup

	delivered, refused, undelivered atomic.Int64
}

// counts holds the numbers of messages by how they ended.
type counts struct{ delivered, refused, undelivered int64 }

// counts returns the current numbers.
func (o *environment) counts() counts {
	return counts{o.delivered.Load(), o.refused.Load(), o.undelivered.Load()}
}

// total returns the number of messages that have ended.
func (c counts) total() int64 { return c.delivered + c.refused + c.undelivered }

// awaitFirstDelivery waits for the first delivery. A sender that joins a cluster sends no message before it has the newest
// settings.
func (o *environment) awaitFirstDelivery(ctx context.Context) error {
	for o.delivered.Load() == 0 {
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// openEnvironment starts a server on each loopback address.
func openEnvironment() (*environment, error) {
	o := &environment{stop: make(chan struct{})}
	for i := range endpointHosts {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", i+1))
		if err != nil {
			o.close()
			return nil, err
		}
		server := &http.Server{Handler: o.handler()}
		o.addresses = append(o.addresses, listener.Addr().String())
		o.servers = append(o.servers, server)
		o.serving.Go(func() { server.Serve(listener) })
	}
	return o, nil
}

// close closes the servers and waits for them.
func (o *environment) close() {
	close(o.stop)
	for _, server := range o.servers {
		server.Close()
	}
	o.serving.Wait()
}

// handler returns the handler of all paths that senders call.
func (o *environment) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/inbox", func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		o.delivered.Add(1)
	})
	mux.HandleFunc("/v1/outcomes", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		o.undelivered.Add(int64(bytes.Count(body, []byte("\n"))))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/api/targets", o.serveWatch)
	return mux
}

// serveWatch serves a watch on discovery. It sends keep-alive lines only, since senders are configured with the full list.
func (o *environment) serveWatch(w http.ResponseWriter, r *http.Request) {
	alive := time.NewTicker(keepAliveInterval)
	defer alive.Stop()
	out := http.NewResponseController(w)
	for {
		if _, err := w.Write([]byte("\n")); err != nil || out.Flush() != nil {
			return
		}
		select {
		case <-alive.C:
		case <-r.Context().Done():
			return
		case <-o.stop:
			return
		}
	}
}

// list returns the endpoint list of all destinations, in the only zone.
func (o *environment) list() directory.List {
	list := directory.List{Version: 1, Full: true}
	for destination := range destinations {
		for i := range endpointsEach {
			no := endpointsEach*destination + i
			list.Entries = append(list.Entries, directory.Entry{ID: fmt.Sprintf("endpoint-%d", no),
				Addr: o.addresses[no%len(o.addresses)], Zone: zone, Kind: kind, Destination: float64(destination), State: "up", Weight: 1e6})
		}
	}
	return list
}
