package link

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"flaxcove/internal/cluster/view"
)

// The heads of a call. Short, as each call carries them; whom it is for stands in Host.
const (
	headCluster = "Fc-Cluster"
	headFrom    = "Fc-From"
	headLife    = "Fc-Life"
	// headSeen is in a refusal of an older life: the highest incarnation seen of its name.
	headSeen = "Fc-Seen"
)

// Refused is an answer other than 200.
type Refused struct {
	Status int
	Text   string
	// Seen is with 409 the incarnation that the other has seen of the caller's name.
	Seen view.Incarnation
}

func (r *Refused) Error() string { return fmt.Sprintf("refused with %d: %s", r.Status, r.Text) }

// guard tells who calls, or why not to listen: another cluster (403), a call for another process, as when a port has
// changed hands (421), or an older life of a name, as a process that stood still while its successor began (409).
func (l *Link) guard(r *http.Request) (view.Life, *Refused) {
	if name := r.Header.Get(headCluster); name != l.o.Cluster {
		return view.Life{}, &Refused{Status: http.StatusForbidden,
			Text: fmt.Sprintf("this is cluster %q, not %q", l.o.Cluster, name)}
	}
	if r.Host != string(l.o.Self.Name) {
		return view.Life{}, &Refused{Status: http.StatusMisdirectedRequest,
			Text: fmt.Sprintf("this is process %q, not %q", l.o.Self.Name, r.Host)}
	}
	no, err := strconv.ParseUint(r.Header.Get(headLife), 10, 64)
	from := view.Life{Name: view.Name(r.Header.Get(headFrom)), Incarnation: view.Incarnation(no)}
	if err != nil || from.Name == "" {
		return view.Life{}, &Refused{Status: http.StatusBadRequest, Text: "does not tell who calls"}
	}
	if highest := l.lives.take(from); highest > from.Incarnation {
		return view.Life{}, &Refused{Status: http.StatusConflict, Seen: highest,
			Text: fmt.Sprintf("%q lives as %d; %d is an older life", from.Name, highest, no)}
	}
	return from, nil
}

// lives are the highest incarnations seen, by name. At most so many names: the one silent for longest is forgotten,
// and an older life of it would be believed once more.
type lives struct {
	most int

	mu    sync.Mutex // innermost; held over nothing that waits
	turns uint64
	seen  map[view.Name]*heard
}

type heard struct {
	highest view.Incarnation
	turn    uint64 // when it was last heard of
}

// take remembers a life and tells the highest of its name.
func (s *lives) take(life view.Life) view.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns++
	h := s.seen[life.Name]
	if h == nil {
		if len(s.seen) >= s.most {
			s.forget()
		}
		h = &heard{}
		s.seen[life.Name] = h
	}
	h.turn = s.turns
	h.highest = max(h.highest, life.Incarnation)
	return h.highest
}

func (s *lives) forget() {
	var oldest view.Name
	turn := s.turns
	for name, h := range s.seen {
		if h.turn < turn {
			oldest, turn = name, h.turn
		}
	}
	delete(s.seen, oldest)
}
