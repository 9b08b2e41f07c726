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

// maxErrorText bounds the bytes that are kept of the text of a response with an error status.
const maxErrorText = 512

// errNoAddress is the error of a call to a process for which Options.Reach returns no address.
var errNoAddress = errors.New("no address is known for this process")

// newClient returns the HTTP client and its connection pool. The client uses no proxy, follows no redirect and does not
// compress: it dials exactly the addresses that Options.Reach returns.
func (l *Link) newClient() (*http.Client, *http.Transport) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			// net/http keeps dialling after a call has ended, to have a connection for the next one. Close must cancel
			// that dial too.
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			defer context.AfterFunc(l.baseCtx, cancel)()
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, link: l}, nil
		},
		MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConnsPerPeer, MaxConnsPerHost: maxConnsPerPeer,
		// Shorter than the server's idle timeout, so that no call uses a connection that the server is closing.
		IdleConnTimeout: idleTimeout / 2, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}, transport
}

// Call posts in, encoded as JSON, to a path of another process, and decodes the response into out. If in is nil it
// sends an empty body; if out is nil it ignores the response's body. It ends with ctx, or after Options.CallTimeout if
// ctx has no deadline. Close cancels it with ErrClosed. If the peer responds with a status other than 200 the error is
// a *StatusError; after any other error it is unknown whether the peer handled the call.
func (l *Link) Call(ctx context.Context, to view.Name, path string, in, out any) error {
	if !l.begin() {
		return ErrClosed
	}
	defer l.finish()
	if err := l.call(ctx, to, path, in, out); err != nil {
		if l.baseCtx.Err() != nil {
			err = fmt.Errorf("%w: %w", ErrClosed, err)
		}
		return fmt.Errorf("call %s at process %s: %w", path, to, err)
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
	defer context.AfterFunc(l.baseCtx, cancel)()
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

// encodeBody returns in encoded as JSON, or nothing for nil. It returns an error if the result exceeds the body limit.
func (l *Link) encodeBody(in any) ([]byte, error) {
	if in == nil {
		return nil, nil
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	if len(body) > l.opts.BodyLimit {
		return nil, fmt.Errorf("request body has %d bytes, limit is %d", len(body), l.opts.BodyLimit)
	}
	return body, nil
}

// setHeaders sets the headers that identify the caller and the called process. They are few and short, as each call
// carries them.
func (l *Link) setHeaders(request *http.Request, to view.Name) {
	request.Host = string(to)
	request.Header[headerCluster] = []string{l.opts.Cluster}
	request.Header[headerFrom] = []string{string(l.opts.Self.Name)}
	request.Header[headerIncarnation] = []string{strconv.FormatUint(l.incarnation.Load(), 10)}
	request.Header["User-Agent"] = []string{""} // suppresses net/http's default
}

// decodeResponse decodes a response's body into out, or returns a *StatusError if the status is not 200.
func (l *Link) decodeResponse(response *http.Response, path string, out any) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, int64(l.opts.BodyLimit)+1))
	l.volumes.add(path, Volume{In: uint64(len(text))})
	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		seen, _ := strconv.ParseUint(response.Header.Get(headerHighestSeen), 10, 64) // 0 if missing or invalid
		return &StatusError{
			Status:      response.StatusCode,
			Text:        strings.TrimSpace(string(text[:min(len(text), maxErrorText)])),
			HighestSeen: view.Incarnation(seen),
		}
	case len(text) > l.opts.BodyLimit:
		return fmt.Errorf("response body exceeds the limit of %d bytes", l.opts.BodyLimit)
	case out == nil || len(text) == 0:
		return nil
	}
	return json.Unmarshal(text, out)
}
