package sender

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/config"
)

// This file tests posts of endings that the platform does not take.

// unreadableID is the id of a message whose ending the platform does not take.
const unreadableID = "unreadable"

// strictPlatform does not take posts that are longer than the protocol allows, or that report the ending of unreadableID. It
// refuses them, or closes the connection on them.
type strictPlatform struct {
	sync.Mutex
	closes   bool // it closes the connection on a post that it does not take
	lenient  bool // it takes the ending of unreadableID
	longest  int  // bytes of the longest post
	posts    int
	reported map[string]bool // by message id
	changed  chan struct{}   // receives after each post that was taken
}

func (p *strictPlatform) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != outcomesPath {
		<-r.Context().Done()
		return
	}
	body, _ := io.ReadAll(r.Body)
	if p.take(body) {
		out.WriteHeader(http.StatusNoContent)
		return
	}
	if p.closes {
		panic(http.ErrAbortHandler)
	}
	out.WriteHeader(http.StatusBadRequest)
}

// take stores the endings of a post, and reports whether it takes the post.
func (p *strictPlatform) take(body []byte) bool {
	p.Lock()
	defer p.Unlock()
	p.posts++
	p.longest = max(p.longest, len(body))
	if len(body) > mostBody || !p.lenient && strings.Contains(string(body), unreadableID) {
		return false
	}
	for _, e := range parseEndings(body) {
		p.reported[e.Message] = true
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
	return true
}

// await waits until so many endings are reported.
func (p *strictPlatform) await(t *testing.T, endings int) {
	t.Helper()
	for deadline := time.After(20 * time.Second); ; {
		p.Lock()
		got := len(p.reported)
		p.Unlock()
		if got >= endings {
			return
		}
		select {
		case <-p.changed:
		case <-deadline:
			t.Fatalf("%d of %d endings are reported after 20 s, in %d posts", got, endings, p.posts)
		}
	}
}

// TestUnreadableEndingHoldsUpNoOther guards against posts that are repeated unchanged although the platform can't take them:
// 256 endings of messages whose ids grow in JSON were one post of 211,000 bytes, and an ending on which the platform closed
// the connection held up all others. Once the platform takes that ending, it is reported too.
func TestUnreadableEndingHoldsUpNoOther(t *testing.T) {
	const others = 600
	for _, closes := range []bool{false, true} {
		platform := &strictPlatform{closes: closes, reported: map[string]bool{}, changed: make(chan struct{}, 1)}
		server := httptest.NewServer(platform)
		now := config.RoundDown(time.Now().UnixNano())
		var records [][]byte
		for i := range others + 1 {
			id := unreadableID
			if i > 0 {
				id = fmt.Sprint(i, strings.Repeat("<", maxID-3))
			}
			m := acceptedMessage(id, "0", "single", 1, now-second, 8*second)
			records = append(records, m.acceptedRecord(), endRecord(m.ID, ending{kind: endShed, retryMS: 50}))
		}
		dir := t.TempDir()
		writeJournal(t, dir, records...)
		cfg := fourClassConfig(dir, 100)
		cfg.Listen, cfg.Discovery, cfg.Limits.DiskMB = "127.0.0.1:0", server.Listener.Addr().String(), 8
		s, conn, done := startServing(t, cfg)
		platform.await(t, others)
		platform.Lock()
		if most := others/maxEndingsPerPost + 21; platform.posts > most {
			t.Errorf("closes %v: %d posts until all others were reported, want at most %d", closes, platform.posts, most)
		}
		platform.lenient = true
		platform.Unlock()
		platform.await(t, others+1)
		conn.Close()
		s.Drain()
		<-done
		server.CloseClientConnections()
		server.Close()
	}
}

// TestPostBodies checks that a post has as many endings as fit into the longest body, and not one more.
func TestPostBodies(t *testing.T) {
	for _, spare := range []int{0, 1} {
		r := outcomeReporter{}
		r.init()
		for size, left := len((ending{kind: endFailed}).line("")), mostBody-spare; left > 0; {
			line := min(left, 16<<10)
			r.endings = append(r.endings, &message{ending: ending{kind: endFailed}})
			r.endings[len(r.endings)-1].ID = choice.MessageID(strings.Repeat("i", line-size))
			left -= line
		}
		full := len(r.endings)
		r.endings = append(r.endings, &message{ending: ending{kind: endFailed}})
		if post := r.nextPost(); len(post.messages) != full || len(post.body) != mostBody-spare {
			t.Errorf("post of %d of %d endings with %d bytes, want %d bytes", len(post.messages), full+1, len(post.body), mostBody-spare)
		}
	}
}
