package link

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"flaxcove/internal/cluster/view"
)

// publicPrefix is where paths for clients that are not members begin.
const publicPrefix = "/v1/"

// handler answers one path. It must return once its context ends: with the caller's connection, after handlerTimeout,
// or with Close.
type handler = func(ctx context.Context, from view.Life, body []byte) (any, error)

// Handle registers h for members' calls to a path. Its result is sent as JSON, nil as an empty body. An error that is a
// *Refused is sent with its status and text, any other as 500. A path that is under /v1/, does not begin with a slash or
// is registered already is a programming error and panics.
func (l *Link) Handle(path string, h func(ctx context.Context, from view.Life, body []byte) (any, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, publicPrefix) || l.handlers[path] != nil {
		panic("link: path " + path)
	}
	l.handlers[path] = h
}

// Public returns the mux of everything under /v1/, for clients that are not members. Patterns are complete paths.
func (l *Link) Public() *http.ServeMux { return l.public }

// serve answers one request of a member or of the public.
func (l *Link) serve(w http.ResponseWriter, r *http.Request) {
	if !l.begin() {
		http.Error(w, ErrClosed.Error(), http.StatusServiceUnavailable)
		return
	}
	defer l.finish()
	ctx, cancel := context.WithTimeout(r.Context(), handlerTimeout)
	defer cancel()
	r = r.WithContext(ctx)
	r.Body = http.MaxBytesReader(w, r.Body, int64(l.opts.BodyLimit))
	if strings.HasPrefix(r.URL.Path, publicPrefix) {
		l.public.ServeHTTP(w, r)
		return
	}
	// Members read neither header, and every response would carry both.
	w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
	text, err := l.answer(r)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Write(text)
}

// answer authorizes a member's call, runs its handler and returns the response's body.
func (l *Link) answer(r *http.Request) ([]byte, error) {
	from, refused := l.authorize(r)
	if refused != nil {
		return nil, refused
	}
	if l.partitionedFrom(from.Name) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	handle := l.handlerOf(r.URL.Path)
	switch {
	case handle == nil:
		return nil, &StatusError{Status: http.StatusNotFound, Text: fmt.Sprintf("nothing here answers %q", r.URL.Path)}
	case r.Method != http.MethodPost:
		return nil, &StatusError{Status: http.StatusMethodNotAllowed, Text: "takes POST"}
	}
	body, refused := readBody(r)
	if refused != nil {
		return nil, refused
	}
	out, err := handle(r.Context(), from, body)
	if err != nil || out == nil {
		l.volumes.add(r.URL.Path, Volume{Answers: 1, In: uint64(len(body))})
		return nil, err
	}
	text, err := json.Marshal(out)
	l.volumes.add(r.URL.Path, Volume{Answers: 1, In: uint64(len(body)), Out: uint64(len(text))})
	if err == nil && len(text) > l.opts.BodyLimit {
		err = fmt.Errorf("an answer of %d bytes; at most %d", len(text), l.opts.BodyLimit)
	}
	return text, err
}

// handlerOf returns the handler of a path, nil for none.
func (l *Link) handlerOf(path string) handler {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handlers[path]
}

// readBody reads a request's body, which serve has limited.
func readBody(r *http.Request) ([]byte, *StatusError) {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &StatusError{Status: http.StatusRequestEntityTooLarge, Text: fmt.Sprintf("over %d bytes", tooLarge.Limit)}
	case err != nil:
		return nil, &StatusError{Status: http.StatusBadRequest, Text: err.Error()}
	}
	return body, nil
}

// writeError answers with a *Refused's status and text, or with 500 for any other error.
func writeError(w http.ResponseWriter, err error) {
	refused := &StatusError{Status: http.StatusInternalServerError, Text: err.Error()}
	errors.As(err, &refused)
	if refused.Seen > 0 {
		w.Header().Set(headerSeen, strconv.FormatUint(uint64(refused.Seen), 10))
	}
	w.WriteHeader(refused.Status)
	io.WriteString(w, refused.Text)
}
