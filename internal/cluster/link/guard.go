package link

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"flaxcove/internal/cluster/view"
)

// Headers of a call. Short, as each call carries them; the called process's name is in Host.
const (
	headerCluster = "Fc-Cluster"
	headerFrom    = "Fc-From"
	headerLife    = "Fc-Life"
	// headerSeen is in the refusal of an outdated incarnation: the highest incarnation observed of the caller's name.
	headerSeen = "Fc-Seen"
)

// StatusError is the error of a call that was answered with an HTTP status other than 200.
type StatusError struct {
	Status int
	Text   string
	// Seen is, with status 409, the highest incarnation that the peer has observed of the caller's name.
	Seen view.Incarnation
}

// Error returns the status and the peer's text.
func (r *StatusError) Error() string { return fmt.Sprintf("refused with %d: %s", r.Status, r.Text) }

// authorize returns who calls, or why the call is refused: the caller belongs to another cluster (403), the call is for
// another process, as when a port was reassigned (421), or the caller's incarnation is outdated, as of a process that
// was suspended while its successor started (409).
func (l *Link) authorize(r *http.Request) (view.Life, *StatusError) {
	if name := r.Header.Get(headerCluster); name != l.opts.Cluster {
		return view.Life{}, &StatusError{Status: http.StatusForbidden,
			Text: fmt.Sprintf("this is cluster %q, not %q", l.opts.Cluster, name)}
	}
	if r.Host != string(l.opts.Self.Name) {
		return view.Life{}, &StatusError{Status: http.StatusMisdirectedRequest,
			Text: fmt.Sprintf("this is process %q, not %q", l.opts.Self.Name, r.Host)}
	}
	no, err := strconv.ParseUint(r.Header.Get(headerLife), 10, 64)
	from := view.Life{Name: view.Name(r.Header.Get(headerFrom)), Incarnation: view.Incarnation(no)}
	if err != nil || from.Name == "" {
		return view.Life{}, &StatusError{Status: http.StatusBadRequest, Text: "does not tell who calls"}
	}
	if highest := l.lives.observe(from); highest > from.Incarnation {
		return view.Life{}, &StatusError{Status: http.StatusConflict, Seen: highest,
			Text: fmt.Sprintf("%q lives as %d; %d is an older life", from.Name, highest, no)}
	}
	return from, nil
}

// knownLives holds the highest incarnation observed of each process name. Of more than limit names the one heard of
// longest ago is evicted; an outdated incarnation of it would then be accepted again.
type knownLives struct {
	limit int

	mu     sync.Mutex // innermost; never held while waiting
	clock  uint64     // counts observations
	byName map[view.Name]*knownLife
}

type knownLife struct {
	highest   view.Incarnation
	lastHeard uint64 // knownLives.clock at its last observation
}

// observe records a life and returns the highest incarnation of its name.
func (k *knownLives) observe(life view.Life) view.Incarnation {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clock++
	known := k.byName[life.Name]
	if known == nil {
		if len(k.byName) >= k.limit {
			k.evictOldest()
		}
		known = &knownLife{}
		k.byName[life.Name] = known
	}
	known.lastHeard = k.clock
	known.highest = max(known.highest, life.Incarnation)
	return known.highest
}

// evictOldest forgets the name heard of longest ago; under mu.
func (k *knownLives) evictOldest() {
	var oldest view.Name
	lastHeard := k.clock
	for name, known := range k.byName {
		if known.lastHeard < lastHeard {
			oldest, lastHeard = name, known.lastHeard
		}
	}
	delete(k.byName, oldest)
}
