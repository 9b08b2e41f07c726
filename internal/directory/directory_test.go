package directory

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	"flaxcove/choice"
)

// An entry with an unknown state or no address is left out, and the others hold.
func ExampleNames_Entries() {
	var l List
	json.Unmarshal([]byte(`{"servers":[{"id":"a","addr":"h:1","zone":"z","kind":"k","cell":3,"state":"up","weight":2.5},
		{"id":"b","state":"draining"},{"id":"c","state":"removed"},{"id":"d","state":"odd"},{"id":"e","state":"up"},{"state":"up"}]}`), &l)
	n := Names{Zones: map[string]choice.ZoneNo{"z": 1}, Kinds: map[string]choice.KindNo{"k": 2}}
	entries, unread := n.Entries(l)
	fmt.Printf("%+v\n%d unread\n", entries, unread)
	// Output:
	// [{Endpoint:a Destination:3 Kind:2 Zone:1 Rating:2.5 Stage:0} {Endpoint:b Destination:0 Kind:0 Zone:0 Rating:0 Stage:1} {Endpoint:c Destination:0 Kind:0 Zone:0 Rating:0 Stage:2}]
	// 3 unread
}

// A watch goes on from the version it has heard, whatever ended the one before: its end, an error, or nonsense.
func ExampleWatch() {
	answers := []string{`{"version":5,"full":true,"servers":[]}` + "\n\n" + `{"version":6}` + "\n", "", "{nonsense\n", `{"version":7}` + "\n"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Println(r.Method, r.URL)
		if len(answers) == 0 {
			return
		}
		if text := answers[0]; text == "" {
			w.WriteHeader(503)
		} else {
			for _, piece := range strings.SplitAfter(text, ",") {
				io.WriteString(w, piece)
				w.(http.Flusher).Flush()
			}
		}
		answers = answers[1:]
	}))
	defer server.Close()
	stop := make(chan struct{})
	Watch(server.Listener.Addr().String(), 4, stop,
		func(l List) {
			fmt.Println("version", l.Version)
			if l.Version == 7 {
				close(stop)
			}
		},
		func(err error) {
			select {
			case <-stop:
				return // stopped, or ended by the server, whichever is seen first
			default:
			}
			var syntax *json.SyntaxError
			fmt.Println("ended:", err, errors.As(err, &syntax))
		})
	// Output:
	// GET /api/targets?follow=1&since=4
	// version 5
	// version 6
	// ended: the watch was ended false
	// GET /api/targets?follow=1&since=6
	// ended: status 503, chunked false false
	// GET /api/targets?follow=1&since=6
	// ended: invalid character 'n' looking for beginning of object key string true
	// GET /api/targets?follow=1&since=6
	// version 7
}
