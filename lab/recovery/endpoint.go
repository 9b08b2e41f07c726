package recovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// This file holds the endpoint that fails. Each sender reaches it at an address of its own, which tells the senders apart.

// queueCapacity is the number of calls that wait at the endpoint at most; it refuses further ones.
const queueCapacity = 8

// receivedCall is a call that has reached the endpoint.
type receivedCall struct {
	at     time.Time
	sender int
}

// endpoint is the endpoint that fails and returns. It works on one call after the other.
type endpoint struct {
	plan      Plan
	listeners []*senderListener // by sender

	mu      sync.Mutex
	downAt  time.Time // zero before the outage
	upAt    time.Time // zero before the return
	calls   []receivedCall
	served  []time.Time // ends of successful calls
	freeAt  time.Time   // end of the work on all calls that wait
	waiting int
}

// senderListener is the address at which one sender reaches the endpoint.
type senderListener struct {
	address string
	server  *http.Server
}

// newEndpoint starts the endpoint.
func newEndpoint(plan Plan) (*endpoint, error) {
	e := &endpoint{plan: plan}
	for sender := range plan.Senders {
		l := &senderListener{address: fmt.Sprintf(endpointAddresses, sender+1)}
		if err := e.listen(l, sender); err != nil {
			return nil, err
		}
		e.listeners = append(e.listeners, l)
	}
	return e, nil
}

// listen begins to serve one sender, at the same address as before.
func (e *endpoint) listen(l *senderListener, sender int) error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.address = listener.Addr().String()
	l.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.handle(w, r, sender) })}
	go l.server.Serve(listener)
	return nil
}

// begin begins the outage.
func (e *endpoint) begin() {
	e.mu.Lock()
	e.downAt = time.Now()
	e.mu.Unlock()
}

// disconnect closes all connections and refuses new ones.
func (e *endpoint) disconnect() {
	for _, l := range e.listeners {
		l.server.Close()
	}
}

// reconnect accepts connections again.
func (e *endpoint) reconnect() error {
	for sender, l := range e.listeners {
		if err := e.listen(l, sender); err != nil {
			return err
		}
	}
	return nil
}

// end ends the outage.
func (e *endpoint) end() {
	e.mu.Lock()
	e.upAt = time.Now()
	e.mu.Unlock()
}

// outage returns how the endpoint fails now; it is "" while it works.
func (e *endpoint) outage() Outage {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.downAt.IsZero() || !e.upAt.IsZero() {
		return ""
	}
	part := outageTime / time.Duration(len(e.plan.Outages))
	number := min(int(time.Since(e.downAt)/part), len(e.plan.Outages)-1)
	return e.plan.Outages[number]
}

// handle handles a call or a health probe. A probe counts as a call.
func (e *endpoint) handle(w http.ResponseWriter, r *http.Request, sender int) {
	io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.calls = append(e.calls, receivedCall{time.Now(), sender})
	e.mu.Unlock()
	outage := e.outage()
	if e.plan.Reports {
		w.Header().Set("X-Load", e.report(outage))
	}
	if outage != "" {
		e.fail(w, r, outage)
		return
	}
	if !e.work() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// report returns the load report of an answer: no limit, or one that is used up during the outage and free otherwise.
func (e *endpoint) report(outage Outage) string {
	switch {
	case !e.plan.UsedUp:
		return "x0=1,x1=0"
	case outage == "":
		return fmt.Sprintf("x0=1,x1=%g", e.plan.Rating)
	default:
		return fmt.Sprintf("x0=0,x1=%g", e.plan.Rating)
	}
}

// fail answers a call, or does not, as the kind of outage says.
func (e *endpoint) fail(w http.ResponseWriter, r *http.Request, outage Outage) {
	switch outage {
	case RefuseAndClose:
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	case RefuseAndHangUp:
		hangUp(w, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case RetryAtReturn:
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", time.Until(e.downAt.Add(outageTime)).Seconds()))
		w.WriteHeader(http.StatusTooManyRequests)
	case RetryInOneSecond:
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case Silent:
		<-r.Context().Done() // also after the return, until the sender gives up
	case Unreachable, Unanswered:
		hangUp(w, "")
	case Failing:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// hangUp writes an answer and closes the connection.
func hangUp(w http.ResponseWriter, answer string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	io.WriteString(conn, answer)
	conn.Close()
}

// capacity returns the calls a second that the endpoint can work on now.
func (e *endpoint) capacity(now time.Time) float64 {
	if e.upAt.IsZero() {
		return e.plan.Rating
	}
	return e.plan.Rating * capacityShare(now.Sub(e.upAt))
}

// capacityShare returns the share of its capacity that the endpoint has at a time after its return.
func capacityShare(since time.Duration) float64 {
	return min(1, slowStartFrom+(1-slowStartFrom)*since.Seconds()/slowStartTime.Seconds())
}

// work works on a call and returns when that is done. It returns false at once if too many calls wait.
func (e *endpoint) work() bool {
	e.mu.Lock()
	now := time.Now()
	if e.freeAt.Before(now) {
		e.freeAt = now
	}
	if e.waiting >= queueCapacity {
		e.mu.Unlock()
		return false
	}
	e.freeAt = e.freeAt.Add(time.Duration(float64(time.Second) / e.capacity(now)))
	done := e.freeAt
	e.waiting++
	e.mu.Unlock()
	time.Sleep(time.Until(done))
	e.mu.Lock()
	e.waiting--
	e.served = append(e.served, time.Now())
	e.mu.Unlock()
	return true
}

// play plays the outage, and the endpoint's return.
func (e *endpoint) play(ctx context.Context) error {
	e.begin()
	part := outageTime / time.Duration(len(e.plan.Outages))
	disconnected := false
	for _, outage := range e.plan.Outages {
		var err error
		if unreachable := outage == Unreachable; unreachable && !disconnected {
			e.disconnect()
			disconnected = true
		} else if !unreachable && disconnected {
			err = e.reconnect()
			disconnected = false
		}
		if err != nil {
			return err
		}
		if err := sleep(ctx, part); err != nil {
			return err
		}
	}
	e.end()
	if disconnected {
		return e.reconnect()
	}
	return nil
}

// sleep waits for a time, or until the context ends, and then returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
