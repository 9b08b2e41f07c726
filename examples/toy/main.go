// Toy stands in for all that a sender talks to but its clients: discovery with a list of two endpoints, those
// endpoints, and the platform. It prints what it is told. It is for trying a sender out on one machine and must
// never be taken for any real partner's behaviour.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"time"
)

const list = `{"version":1,"full":true,"servers":[
{"id":"toy-a","addr":"%[1]s","zone":"here","kind":"single","cell":1,"state":"up","weight":20},
{"id":"toy-b","addr":"%[1]s","zone":"here","kind":"bundles","cell":2,"state":"up","weight":20}]}`

func main() {
	listen := flag.String("listen", "127.0.0.1:8500", "address for discovery, the endpoints and the platform")
	full := flag.Float64("full", 0.2, "share of calls turned away, with a wait of half a second")
	errs := flag.Float64("errors", 0.1, "share of calls answered with an error")
	flag.Parse()

	http.HandleFunc("GET /api/targets", func(w http.ResponseWriter, r *http.Request) {
		var compact any
		if err := json.Unmarshal(fmt.Appendf(nil, list, *listen), &compact); err != nil {
			log.Fatal(err)
		}
		line, _ := json.Marshal(compact)
		fmt.Fprintf(w, "%s\n", line)
		for r.URL.Query().Get("follow") == "1" {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				fmt.Fprintln(w)
			}
		}
	})
	http.HandleFunc("POST /v1/outcomes", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Printf("platform told: %s", body)
		w.WriteHeader(http.StatusNoContent)
	})
	http.HandleFunc("GET /-/healthy", func(http.ResponseWriter, *http.Request) {})
	http.HandleFunc("POST /inbox", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(100 * time.Millisecond)
		status := http.StatusOK
		switch p := rand.Float64(); {
		case p < *full:
			status = http.StatusTooManyRequests
			w.Header().Set("Retry-After", "0.5")
		case p < *full+*errs:
			status = http.StatusInternalServerError
		}
		w.WriteHeader(status)
		fmt.Printf("single: %s %q: %d\n", r.Header.Get("X-Request-Id"), body, status)
	})
	http.HandleFunc("POST /inbox/bulk", func(w http.ResponseWriter, r *http.Request) {
		var items []struct {
			ID   string `json:"id"`
			Body []byte `json:"body"`
		}
		if err := json.NewDecoder(r.Body).Decode(&items); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		time.Sleep(100 * time.Millisecond)
		type state struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		var states []state
		for _, item := range items {
			fmt.Printf("bundle: %s %q: ok, one of %d\n", item.ID, item.Body, len(items))
			states = append(states, state{item.ID, "ok"})
		}
		json.NewEncoder(w).Encode(states)
	})
	log.Fatal(http.ListenAndServe(*listen, nil))
}
