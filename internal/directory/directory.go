// Package directory follows the list of endpoints at discovery.
//
// It owns one connection there and the list's form. It asks for the whole list by a watch, which stays open, and
// asks anew when that ends or falls silent. It must never give up before it is stopped, end the process over what
// discovery says, or pass on an entry that it could not read.
package directory

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/choice"
	"flaxcove/internal/http1"
)

const (
	path    = "/api/targets"
	dialFor = time.Second
	// quietFor is how long a watch may say nothing: an empty line is due every two seconds, and news counts as told
	// after six.
	quietFor = 4500 * time.Millisecond
	// A watch that ended is asked for again after a uniform wait up to firstCeiling. Once a call has brought nothing,
	// the waits of all senders spread their calls so far apart, then twice and four times as far: a discovery that so
	// many ask again and again answers none of them, and never comes out of it.
	firstCeiling = 600 * time.Millisecond
	apart        = 100 * time.Millisecond
	lastCeiling  = 30 * time.Second
	maxLine      = 4 << 20 // a whole list of some ten thousand endpoints
)

var errStopped = errors.New("stopped")

// List is one message of discovery: all entries, or those that changed.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Entry is one endpoint.
type Entry struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   float64 `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// Names turn the list's words into the module's numbers.
type Names struct {
	Zones map[string]choice.ZoneNo
	Kinds map[string]choice.KindNo
}

// Zone is a zone's number. One that the settings do not name has a number of its own, so that it is taken for no
// other: what is known in one zone alone must not be repeated in another.
func (n *Names) Zone(name string) choice.ZoneNo {
	no, known := n.Zones[name]
	if !known && name != "" && len(n.Zones) > 0 {
		return -1 - choice.ZoneNo(crc32.ChecksumIEEE([]byte(name)))
	}
	return no
}

var stages = map[string]choice.Stage{"up": choice.Ready, "draining": choice.Draining, "removed": choice.Gone}

// Entries are those of a list as the module takes them. Ones that cannot be read are left out and counted.
func (n *Names) Entries(l List) (entries []choice.Entry, unread int) {
	for _, e := range l.Servers {
		stage, known := stages[e.State]
		if !known || e.ID == "" || e.Addr == "" && stage == choice.Ready {
			unread++
			continue
		}
		entries = append(entries, choice.Entry{Endpoint: choice.EndpointID(e.ID), Stage: stage,
			Destination: choice.DestinationID(e.Cell), Kind: n.Kinds[e.Kind], Zone: n.Zone(e.Zone), Rating: e.Weight})
	}
	return entries, unread
}

// Watch follows discovery at addr, which so many senders share, from a version on until stop is closed. It hands each
// message to news, and why a connection ended to failed, both from its own goroutine.
func Watch(addr string, senders int, since int64, stop <-chan struct{}, news func(List), failed func(error)) {
	for failures := 1; ; failures++ {
		failed(follow(addr, &since, stop, func(l List) {
			failures = 0
			news(l)
		}))
		select {
		case <-stop:
			return
		case <-time.After(1 + rand.N(ceiling(failures, senders))):
		}
	}
}

// ceiling is the longest wait after so many calls in a row that brought nothing.
func ceiling(failures, senders int) time.Duration {
	if failures == 0 {
		return firstCeiling
	}
	all := time.Duration(senders) * apart
	return min(lastCeiling, max(2*firstCeiling, all<<min(failures-1, 2)))
}

func follow(addr string, since *int64, stop <-chan struct{}, news func(List)) error {
	conn, err := netpoll.DialConnection("tcp", addr, dialFor)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetReadTimeout(quietFor)
	conn.SetWriteTimeout(quietFor)
	ask := path + "?follow=1&since=" + strconv.FormatInt(*since, 10)
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", ask, addr, -1)); err != nil {
		return err
	}
	var in, line []byte
	var head http1.Head
	var chunks http1.Chunks
	reading := false
	for {
		if in, err = more(conn, in); err != nil {
			return err
		}
		select {
		case <-stop:
			return errStopped
		default:
		}
		if !reading {
			n, err := head.Parse(in)
			if err != nil {
				return err
			}
			if n == 0 {
				continue
			}
			if head.Status != 200 || !head.Chunked {
				return fmt.Errorf("status %d, chunked %v", head.Status, head.Chunked)
			}
			in, reading = in[n:], true
		}
		over := false
		for data := in; !over && len(data) > 0; {
			var took int
			if data, took, over, err = chunks.Next(in); err != nil {
				return err
			}
			in = in[took:]
			if line = append(line, data...); len(line) > maxLine {
				return errors.New("a line is too long")
			}
		}
		for {
			end := bytes.IndexByte(line, '\n')
			if end < 0 {
				break
			}
			if text := bytes.TrimSpace(line[:end]); len(text) > 0 {
				var l List
				if err := json.Unmarshal(text, &l); err != nil {
					return err
				}
				*since = l.Version
				news(l)
			}
			line = append(line[:0], line[end+1:]...)
		}
		if over {
			return errors.New("the watch was ended")
		}
	}
}

// more waits for at least one byte and adds what has come.
func more(conn netpoll.Connection, in []byte) ([]byte, error) {
	r := conn.Reader()
	if _, err := r.Peek(1); err != nil {
		return in, err
	}
	piece, err := r.Next(r.Len())
	in = append(in, piece...)
	return in, errors.Join(err, r.Release())
}
