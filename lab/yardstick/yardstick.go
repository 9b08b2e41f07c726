// Package yardstick implements a minimal forwarder, without a journal, decisions or retries. The lab compares the cost of a
// sender with its cost. It follows none of a sender's rules and must not be deployed.
package yardstick

import (
	"bufio"
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
	"sync"
	"sync/atomic"
	"time"

	"flaxcove/internal/config"
	"flaxcove/internal/directory"
	"flaxcove/internal/http1"
	"flaxcove/internal/resp"
)

const (
	maxQueued   = 4096 // messages queued for one destination
	callTimeout = 10 * time.Second
	dialTimeout = time.Second
)

// message is an accepted message.
type message struct{ id, body []byte }

// destination is a destination with its queue.
type destination struct {
	work  chan message
	mu    sync.Mutex // guards addrs
	addrs []string   // addresses of its endpoints
}

// Forwarder accepts every message for which there is space in the queue, and forwards it once.
type Forwarder struct {
	cfg          *config.Config
	mu           sync.Mutex // guards destinations
	destinations map[int64]*destination
	workers      int // number of workers for each destination
	accepted     atomic.Int64
	sent         atomic.Int64
	failed       atomic.Int64
	rejected     atomic.Int64
}

// Run serves clients until ctx ends.
func Run(ctx context.Context, cfg *config.Config) error {
	f := &Forwarder{cfg: cfg, destinations: map[int64]*destination{}, workers: max(1, cfg.Settings.InFlightLimit/4)}
	f.updateEndpoints(cfg.InitialList)
	stop := make(chan struct{})
	options := directory.Options{Addr: cfg.Discovery, Senders: cfg.Settings.Senders, Since: cfg.InitialList.Version, DrainGrace: cfg.DrainGrace}
	go directory.Watch(options, stop, directory.Callbacks{
		OnList:        f.updateEndpoints,
		OnEstablished: func(directory.Established) {},
		OnStalled:     func() {},
		OnFailure:     func(error) {},
	})
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		close(stop)
		ln.Close()
	}()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go f.serveClient(conn)
	}
}

// updateEndpoints applies an update of the endpoint list. It starts the workers of a new destination.
func (f *Forwarder) updateEndpoints(l directory.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Full {
		for _, d := range f.destinations {
			d.mu.Lock()
			d.addrs = nil
			d.mu.Unlock()
		}
	}
	for _, e := range l.Entries {
		d := f.destinations[int64(e.Destination)]
		if d == nil {
			d = &destination{work: make(chan message, maxQueued)}
			f.destinations[int64(e.Destination)] = d
			for i := range f.workers {
				go f.worker(d, i)
			}
		}
		if e.State == "up" {
			d.mu.Lock()
			d.addrs = append(d.addrs, e.Addr)
			d.mu.Unlock()
		}
	}
}

// serveClient reads commands from a client's connection and answers them until the connection fails or a command is invalid.
func (f *Forwarder) serveClient(conn net.Conn) {
	defer conn.Close()
	var in []byte
	chunk := make([]byte, 64<<10)
	out := bufio.NewWriter(conn)
	for {
		n, err := conn.Read(chunk)
		if err != nil {
			return
		}
		in = append(in, chunk[:n]...)
		for {
			args, length, err := resp.Command(in, nil)
			if err != nil {
				return
			}
			if length == 0 {
				break
			}
			f.command(out, args)
			in = in[length:]
		}
		in = append([]byte(nil), in...)
		if out.Flush() != nil {
			return
		}
	}
}

// command executes one command and writes its answer: OUT.ADD, which is any command of five words, INFO, or PING for all
// others.
func (f *Forwarder) command(out io.Writer, args [][]byte) {
	switch {
	case len(args) == 5:
		dest := int64(-1)
		for pair := range strings.SplitSeq(string(args[3]), ",") {
			if v, ok := strings.CutPrefix(pair, "dest="); ok {
				dest, _ = strconv.ParseInt(v, 10, 64)
			}
		}
		f.mu.Lock()
		d := f.destinations[dest]
		f.mu.Unlock()
		if d == nil {
			io.WriteString(out, "-ERR dest\r\n")
			return
		}
		f.accepted.Add(1)
		select {
		case d.work <- message{bytes.Clone(args[2]), bytes.Clone(args[4])}:
			io.WriteString(out, "+OK\r\n")
		default:
			f.rejected.Add(1)
			io.WriteString(out, "-BUSY 500\r\n")
		}
	case len(args) > 0 && strings.EqualFold(string(args[0]), "INFO"):
		// Ended messages are read first, so that none of them is missing among the accepted ones.
		delivered, failed := f.sent.Load(), f.failed.Load()
		accepted := f.accepted.Load()
		out.Write(resp.AppendBulk(nil, fmt.Appendf(nil, "taken_on:%d\r\ndelivered:%d\r\ngiven_up:%d\r\n", accepted, delivered, failed)))
	default:
		io.WriteString(out, "+PONG\r\n")
	}
}

// worker forwards messages of a destination over one connection, which it opens again after a failure. It attempts each
// message once, and reports those that fail. No is the worker's number, which selects the endpoint.
func (f *Forwarder) worker(d *destination, no int) {
	var conn net.Conn
	buf := make([]byte, 16<<10)
	for m := range d.work {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", d.address(no), dialTimeout); err != nil {
				conn = nil
				f.reportFailed(m)
				continue
			}
		}
		delivered, reusable := forward(conn, m, buf)
		if delivered {
			f.sent.Add(1)
		} else {
			f.reportFailed(m)
		}
		if !reusable {
			conn.Close()
			conn = nil
		}
	}
}

// address returns the address of the endpoint that a worker sends to, or "" if the destination has no endpoint.
func (d *destination) address(worker int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.addrs) == 0 {
		return ""
	}
	return d.addrs[worker%len(d.addrs)]
}

// forward sends a message over a connection and reads the answer. It reports whether the message was delivered, and whether the
// connection can be reused. Buf is a buffer for the answer.
func forward(conn net.Conn, m message, buf []byte) (delivered, reusable bool) {
	conn.SetDeadline(time.Now().Add(callTimeout))
	call := http1.AppendRequest(nil, "POST", "/inbox", "yardstick", len(m.body), "X-Request-Id", string(m.id), "X-Deadline-Ms", "5000")
	_, err := conn.Write(append(call, m.body...))
	var a http1.Answer
	for err == nil && !a.Done {
		var k int
		if k, err = conn.Read(buf); err == nil {
			err = a.Feed(buf[:k])
		}
	}
	return err == nil && a.Status() == http.StatusOK, err == nil && !a.Close
}

// reportFailed counts a message that was not delivered, and reports it to the platform by an outcome callback. An error of the
// callback is ignored.
func (f *Forwarder) reportFailed(m message) {
	f.failed.Add(1)
	line, _ := json.Marshal(map[string]string{"message": string(m.id), "outcome": "given_up"}) // strings can always be encoded
	r, err := http.Post("http://"+f.cfg.Discovery+"/v1/outcomes", "application/json", bytes.NewReader(line))
	if err == nil {
		r.Body.Close()
	}
}
