package directory

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
)

// A watch continues from the version received last, whether the previous call ended normally, with an error status, or
// with malformed text. A message may take one line or several.
func ExampleWatch() {
	answers := []string{`{"version":5,"full":true,"servers":[]}` + "\n\n" + `{"version":6}` + "\n", "", "{nonsense\n", "{\n  \"version\": 7\n}\n"}
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
	callbacks := onListOnly(func(l List) {
		fmt.Println("version", l.Version)
		if l.Version == 7 {
			close(stop)
		}
	})
	callbacks.OnFailure = func(err error) {
		select {
		case <-stop:
			return // the reported error is that of the stop or of the server's end, whichever comes first
		default:
		}
		var syntax *json.SyntaxError
		fmt.Println("ended:", err, errors.As(err, &syntax))
	}
	Watch(Options{Addr: server.Listener.Addr().String(), Senders: 2, Since: 4}, stop, callbacks)
	// Output:
	// GET /api/targets?follow=1&since=4
	// version 5
	// version 6
	// ended: the server closed the connection false
	// GET /api/targets?follow=1&since=6
	// ended: unexpected answer: status 503, chunked false false
	// GET /api/targets?follow=1&since=6
	// ended: invalid character 'n' looking for beginning of object key string true
	// GET /api/targets?follow=1&since=6
	// version 7
}

// An incomplete list is not passed on, and the next call asks for the same version. A list without endpoints, or with
// unknown zones and kinds, does not end the watch.
func ExampleWatch_half() {
	answers := []string{`{"version":8,"full":true,"servers":[{"id":"a","addr":"h:1","sta`, `{"version":8,"full":true,"servers":[]}` + "\n" +
		`{"version":9,"full":true,"servers":[{"id":"a","addr":"h:1","zone":"nowhere","kind":"unheard","state":"up"}]}` + "\n"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Println("since", r.URL.Query().Get("since"))
		io.WriteString(w, answers[0])
		w.(http.Flusher).Flush()
		answers = answers[1:]
	}))
	defer server.Close()
	stop := make(chan struct{})
	names := NameNumbers{}
	callbacks := onListOnly(func(l List) {
		entries, unread := names.Entries(l)
		fmt.Println("version", l.Version, "entries", len(entries), "unread", unread)
		if l.Version == 9 {
			close(stop)
		}
	})
	callbacks.OnFailure = func(err error) {
		select {
		case <-stop:
		default:
			fmt.Println("ended:", err)
		}
	}
	Watch(Options{Addr: server.Listener.Addr().String(), Senders: 2, Since: 7}, stop, callbacks)
	// Output:
	// since 7
	// ended: the server closed the connection in the middle of a message
	// since 7
	// version 8 entries 0 unread 0
	// version 9 entries 1 unread 0
}
