package link

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"flaxcove/internal/cluster/view"
)

// Headers of a call. Their names are short, as each call carries them. The header Host has the name of the called
// process.
const (
	headerCluster     = "Fc-Cluster" // name of the caller's cluster
	headerFrom        = "Fc-From"    // name of the caller
	headerIncarnation = "Fc-Life"    // incarnation of the caller
	// headerHighestSeen is in the response that rejects an outdated incarnation. It holds the highest incarnation
	// observed of the caller's name.
	headerHighestSeen = "Fc-Seen"
)

// StatusError is the error of a call that was answered with an HTTP status other than 200. A handler returns one to
// choose the status and the text of the response.
type StatusError struct {
	Status int
	Text   string
	// HighestSeen is the highest incarnation that the peer has observed of the caller's name; set with status 409 only.
	HighestSeen view.Incarnation
}

// Error returns the status and the peer's text.
func (r *StatusError) Error() string {
	return fmt.Sprintf("rejected with status %d: %s", r.Status, r.Text)
}

// authorize returns the caller of a request, or the error that rejects the call. It rejects a caller of another cluster
// (403), a call for another process, as after a port was reassigned (421), a call without a caller's name and
// incarnation (400), and a caller of an outdated incarnation, as of a process that was suspended while its successor
// started (409).
func (l *Link) authorize(r *http.Request) (view.Instance, *StatusError) {
	if name := r.Header.Get(headerCluster); name != l.opts.Cluster {
		return view.Instance{}, &StatusError{Status: http.StatusForbidden,
			Text: fmt.Sprintf("this process belongs to cluster %q, the caller to %q", l.opts.Cluster, name)}
	}
	if r.Host != string(l.opts.Self.Name) {
		return view.Instance{}, &StatusError{Status: http.StatusMisdirectedRequest,
			Text: fmt.Sprintf("this is process %q, the call is for %q", l.opts.Self.Name, r.Host)}
	}
	no, err := strconv.ParseUint(r.Header.Get(headerIncarnation), 10, 64)
	from := view.Instance{Name: view.Name(r.Header.Get(headerFrom)), Incarnation: view.Incarnation(no)}
	if err != nil || from.Name == "" {
		return view.Instance{}, &StatusError{Status: http.StatusBadRequest, Text: "header Fc-From or Fc-Life is missing or invalid"}
	}
	if highest := l.incarnations.observe(from); highest > from.Incarnation {
		return view.Instance{}, &StatusError{Status: http.StatusConflict, HighestSeen: highest,
			Text: fmt.Sprintf("process %q has incarnation %d; the caller's %d is outdated", from.Name, highest, no)}
	}
	return from, nil
}

// incarnationTable holds the highest incarnation observed of each process name. A name beyond limit evicts the one that
// was observed longest ago; an outdated incarnation of that one would then be accepted again. It is safe for concurrent
// use.
type incarnationTable struct {
	limit int // maximum number of names

	mu     sync.Mutex // innermost; never held while waiting
	clock  uint64     // counts observations
	byName map[view.Name]*incarnationEntry
}

// incarnationEntry is the entry of one name in an incarnationTable.
type incarnationEntry struct {
	highest   view.Incarnation
	lastHeard uint64 // incarnationTable.clock at the last observation of the name
}

// observe records an incarnation of a name and returns the highest one observed of that name.
func (k *incarnationTable) observe(id view.Instance) view.Incarnation {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clock++
	known := k.byName[id.Name]
	if known == nil {
		if len(k.byName) >= k.limit {
			k.evictOldest()
		}
		known = &incarnationEntry{}
		k.byName[id.Name] = known
	}
	known.lastHeard = k.clock
	known.highest = max(known.highest, id.Incarnation)
	return known.highest
}

// evictOldest removes the name that was observed longest ago. The caller holds mu.
func (k *incarnationTable) evictOldest() {
	var oldest view.Name
	lastHeard := k.clock
	for name, known := range k.byName {
		if known.lastHeard < lastHeard {
			oldest, lastHeard = name, known.lastHeard
		}
	}
	delete(k.byName, oldest)
}
