package recovery

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// This file holds the stand-ins of what the senders meet besides the endpoint that fails: healthy endpoints, discovery and the
// platform.

const (
	healthyDestinations = 5
	playedDestination   = healthyDestinations + 1 // number of the destination whose endpoint fails
	healthyRating       = 400                     // calls a second
	healthyCallTime     = 60 * time.Millisecond
	watchHeartbeat      = 2 * time.Second // interval of the empty lines on a watch
)

// serve serves a handler on a new loopback address.
func serve(handler http.Handler) (server *http.Server, address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server = &http.Server{Handler: handler}
	go server.Serve(listener)
	return server, listener.Addr().String(), nil
}

// serveHealthy answers a call after the usual time.
func serveHealthy(http.ResponseWriter, *http.Request) { time.Sleep(healthyCallTime) }

// listEntry is one endpoint in the list of discovery.
type listEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// endpointList is a message of discovery.
type endpointList struct {
	Version int         `json:"version"`
	Full    bool        `json:"full"`
	Servers []listEntry `json:"servers"`
}

// newDiscovery returns the handler of the discovery and the platform of one sender. The list never changes.
func newDiscovery(list endpointList) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(list)
		for r.FormValue("follow") == "1" && http.NewResponseController(w).Flush() == nil {
			if sleep(r.Context(), watchHeartbeat) != nil {
				return
			}
			w.Write([]byte("\n"))
		}
	})
	mux.HandleFunc("POST /v1/outcomes", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return mux
}
