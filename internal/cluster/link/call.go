package link

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"flaxcove/internal/cluster/view"
)

// maxErrorText is how many bytes of a refusal's text are retained.
const maxErrorText = 512

// errNoAddress is returned for a process that Options.Reach does not know.
var errNoAddress = errors.New("no address is known")

// newClient returns the HTTP client and its connection pool. It uses no proxy, follows no redirect and does not
// compress: addresses are exactly what Options.Reach returns.
func (l *Link) newClient() (*http.Client, *http.Transport) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			// net/http goes on dialling after a call has ended, to have a connection for the next one. Close must
			// end such a dial too.
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			defer context.AfterFunc(l.base, cancel)()
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, link: l}, nil
		},
		MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConnsPerPeer, MaxConnsPerHost: maxConnsPerPeer,
		// Shorter than the server's idle timeout: a call must not use a connection that is just being closed.
		IdleConnTimeout: idleTimeout / 2, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}, transport
}

// Call posts in, encoded as JSON, to a path of another process and decodes the response into out; nil for either sends
// or decodes nothing. It ends with ctx, or after CallTimeout if ctx has no deadline, or with Close. A response other
// than 200 is a *Refused; after any other error it is unknown whether the peer handled the call.
func (l *Link) Call(ctx context.Context, to view.Name, path string, in, out any) error {
	if !l.begin() {
		return ErrClosed
	}
	defer l.finish()
	if err := l.call(ctx, to, path, in, out); err != nil {
		if l.base.Err() != nil {
			err = fmt.Errorf("%w: %w", ErrClosed, err)
		}
		return fmt.Errorf("call %s of %s: %w", path, to, err)
	}
	return nil
}

func (l *Link) call(ctx context.Context, to view.Name, path string, in, out any) error {
	addr, known := l.opts.Reach(to)
	if !known {
		return errNoAddress
	}
	body, err := l.encodeBody(in)
	if err != nil {
		return err
	}
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, l.opts.CallTimeout)
		defer cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.base, cancel)()
	l.volumes.add(path, Volume{Calls: 1, Out: uint64(len(body))})
	if l.partitionedFrom(to) {
		<-ctx.Done()
		return ctx.Err()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	l.setHeaders(request, to)
	response, err := l.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return l.decodeResponse(response, path, out)
}

// encodeBody returns in as JSON, empty for nil, or an error if it exceeds the body limit.
func (l *Link) encodeBody(in any) ([]byte, error) {
	if in == nil {
		return nil, nil
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	if len(body) > l.opts.BodyLimit {
		return nil, fmt.Errorf("a body of %d bytes; at most %d", len(body), l.opts.BodyLimit)
	}
	return body, nil
}

// setHeaders identifies the caller and the called process. Each call carries these, so they are few and short.
func (l *Link) setHeaders(request *http.Request, to view.Name) {
	request.Host = string(to)
	request.Header[headerCluster] = []string{l.opts.Cluster}
	request.Header[headerFrom] = []string{string(l.opts.Self.Name)}
	request.Header[headerLife] = []string{strconv.FormatUint(l.incarnation.Load(), 10)}
	request.Header["User-Agent"] = []string{""} // none, instead of net/http's default
}

// decodeResponse reads a response's body into out, or returns its refusal.
func (l *Link) decodeResponse(response *http.Response, path string, out any) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, int64(l.opts.BodyLimit)+1))
	l.volumes.add(path, Volume{In: uint64(len(text))})
	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		seen, _ := strconv.ParseUint(response.Header.Get(headerSeen), 10, 64) // absent or unreadable: 0
		return &StatusError{
			Status: response.StatusCode,
			Text:   strings.TrimSpace(string(text[:min(len(text), maxErrorText)])),
			Seen:   view.Incarnation(seen),
		}
	case len(text) > l.opts.BodyLimit:
		return fmt.Errorf("an answer over %d bytes", l.opts.BodyLimit)
	case out == nil || len(text) == 0:
		return nil
	}
	return json.Unmarshal(text, out)
}
