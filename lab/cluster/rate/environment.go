package rate

// This file serves what senders call: endpoints that accept every message, discovery without updates, and the platform. It
// must be fast enough not to be the bottleneck.

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
	// outsideHosts is the number of loopback addresses over which endpoints are spread.
	outsideHosts = 16
	destinations = 610
	// endpointsEach is how many endpoints a destination has.
	endpointsEach = 2
	// aliveEvery is how often discovery sends an empty line on a watch.
	aliveEvery = time.Second
)

// environment serves everything that senders call.
type environment struct {
	addresses []string
	servers   []*http.Server
	stop      chan struct{}
	serving   sync.WaitGroup

	delivered, refused, ended atomic.Int64
}

// counts are the numbers of messages by how they ended.
type counts struct{ delivered, refused, ended int64 }

func (o *environment) counts() counts {
	return counts{o.delivered.Load(), o.refused.Load(), o.ended.Load()}
}

// over is how many messages have ended.
func (c counts) over() int64 { return c.delivered + c.refused + c.ended }

// awaitFirst waits for the first delivery: a sender that joins a cluster sends nothing until it knows the newest settings.
func (o *environment) awaitFirst(ctx context.Context) error {
	for o.delivered.Load() == 0 {
		if err := sleep(ctx, pollEvery); err != nil {
			return err
		}
	}
	return nil
}

func openEnvironment() (*environment, error) {
	o := &environment{stop: make(chan struct{})}
	for i := range outsideHosts {
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

func (o *environment) close() {
	close(o.stop)
	for _, server := range o.servers {
		server.Close()
	}
	o.serving.Wait()
}

func (o *environment) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/inbox", func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		o.delivered.Add(1)
	})
	mux.HandleFunc("/v1/outcomes", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		o.ended.Add(int64(bytes.Count(body, []byte("\n"))))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/api/targets", o.follow)
	return mux
}

// follow serves a watch on discovery. Senders know the full list from their start, and nothing changes.
func (o *environment) follow(w http.ResponseWriter, r *http.Request) {
	alive := time.NewTicker(aliveEvery)
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

// list is the endpoint list: all destinations, in the only zone.
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
