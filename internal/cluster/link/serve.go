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

// publicPrefix is the prefix of the paths for clients that are not members.
const publicPrefix = "/v1/"

// handler answers the calls of one path. It must return when its context ends, which happens when the caller's
// connection ends, after handlerTimeout, or on Close.
type handler = func(ctx context.Context, from view.Instance, body []byte) (any, error)

// Handle registers h for members' calls of a path. The result of h is sent as JSON; a nil result is sent as an empty
// body. If h returns a *StatusError, that sets the status and the text of the response; any other error is sent with
// status 500. Handle panics if the path is under /v1/, does not begin with a slash, or has a handler already.
func (l *Link) Handle(path string, h func(ctx context.Context, from view.Instance, body []byte) (any, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, publicPrefix) || l.handlers[path] != nil {
		panic("link: invalid or duplicate path " + path)
	}
	l.handlers[path] = h
}

// Public returns the mux for all paths under /v1/, which serve clients that are not members. Patterns have the complete
// path, including /v1/.
func (l *Link) Public() *http.ServeMux { return l.public }

// serve answers one request, which is a member's call or, under publicPrefix, a public request.
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
	// Members read neither header, and net/http would add both to every response.
	w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
	text, err := l.answer(r)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Write(text)
}

// answer authorizes a member's call, runs the handler of its path and returns the response's body.
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
		return nil, &StatusError{Status: http.StatusNotFound, Text: fmt.Sprintf("no handler for path %q", r.URL.Path)}
	case r.Method != http.MethodPost:
		return nil, &StatusError{Status: http.StatusMethodNotAllowed, Text: "method must be POST"}
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
		err = fmt.Errorf("response body has %d bytes, limit is %d", len(text), l.opts.BodyLimit)
	}
	return text, err
}

// handlerOf returns the handler of a path; nil if there is none.
func (l *Link) handlerOf(path string) handler {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handlers[path]
}

// readBody reads the body of a request, to which serve has applied Options.BodyLimit.
func readBody(r *http.Request) ([]byte, *StatusError) {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &StatusError{Status: http.StatusRequestEntityTooLarge, Text: fmt.Sprintf("request body exceeds the limit of %d bytes", tooLarge.Limit)}
	case err != nil:
		return nil, &StatusError{Status: http.StatusBadRequest, Text: err.Error()}
	}
	return body, nil
}

// writeError answers with the status and text of a *StatusError, or with status 500 and the text of any other error.
func writeError(w http.ResponseWriter, err error) {
	refused := &StatusError{Status: http.StatusInternalServerError, Text: err.Error()}
	errors.As(err, &refused)
	if refused.HighestSeen > 0 {
		w.Header().Set(headerHighestSeen, strconv.FormatUint(uint64(refused.HighestSeen), 10))
	}
	w.WriteHeader(refused.Status)
	io.WriteString(w, refused.Text)
}
