package run

// This file is what callers order and ask, over the public part of the link. It decides nothing: what is wrong with
// an order is the ledger's to say.

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"flaxcove/internal/cluster/purge/ledger"
)

const (
	mostPosts = 64               // orders and questions under way here; more are told to come back
	mostBody  = 16 << 10         // an order with all its bounds is under 4 KB
	mostWait  = 60 * time.Second // for=
	lookEach  = 100 * time.Millisecond
)

type refusal struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
}

// taken answers an order: what the ledger made of it.
type taken struct {
	ID    string       `json:"id"`
	Seq   uint64       `json:"seq"`
	Known bool         `json:"known"` // it was ordered before, alike
	State ledger.State `json:"state"`
}

func (r *Runner) public(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/purges", r.bounded(r.post))
	mux.HandleFunc("GET /v1/purges/{id}", r.bounded(r.get))
}

func (r *Runner) bounded(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		select {
		case r.posts <- struct{}{}:
			defer func() { <-r.posts }()
			h(w, q)
		default:
			w.Header().Set("Retry-After", "1")
			tell(w, http.StatusServiceUnavailable, refusal{Error: "too many orders at once; come back"})
		}
	}
}

func tell(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that is gone hears nothing
}

// post answers 202 once the purge is decided in common, or 200 once it is closed where that was waited for.
func (r *Runner) post(w http.ResponseWriter, q *http.Request) {
	wait, why := waitOf(q)
	if why.Error != "" {
		tell(w, http.StatusBadRequest, why)
		return
	}
	var order ledger.Open
	read := json.NewDecoder(http.MaxBytesReader(w, q.Body, mostBody))
	read.DisallowUnknownFields()
	if err := read.Decode(&order); err != nil {
		var kind *json.UnmarshalTypeError
		field := ""
		if errors.As(err, &kind) {
			field = kind.Field
		}
		tell(w, http.StatusBadRequest, refusal{Error: "order: " + err.Error(), Field: field})
		return
	}
	if field, why := order.Check(); field != "" {
		tell(w, http.StatusBadRequest, refusal{Error: field + " " + why, Field: field})
		return
	}
	ctx, cancel := context.WithTimeout(q.Context(), decideFor)
	defer cancel()
	var opened ledger.Opened
	if err := r.propose(ctx, ledger.KindOpen, order, &opened); err != nil {
		w.Header().Set("Retry-After", "1")
		tell(w, http.StatusServiceUnavailable, refusal{Error: err.Error() + "; order it again under the same id"})
		return
	}
	switch {
	case opened.Full:
		w.Header().Set("Retry-After", "5")
		tell(w, http.StatusServiceUnavailable, refusal{Error: opened.Refused})
		return
	case opened.Refused != "":
		tell(w, http.StatusConflict, refusal{Error: opened.Refused, Field: opened.Field})
		return
	}
	t := taken{ID: order.ID, Seq: opened.Seq, Known: opened.Known, State: opened.State}
	if wait > 0 {
		t.State = r.await(q.Context(), order.ID, t.State, wait)
	}
	status := http.StatusAccepted
	if wait > 0 && t.State != ledger.Spreading {
		status = http.StatusOK
	}
	tell(w, status, t)
}

// waitOf reads wait=complete and for=.
func waitOf(q *http.Request) (time.Duration, refusal) {
	values := q.URL.Query()
	switch values.Get("wait") {
	case "":
		return 0, refusal{}
	case "complete":
	default:
		return 0, refusal{Error: `wait must be "complete"`, Field: "wait"}
	}
	if values.Get("for") == "" {
		return decideFor, refusal{}
	}
	d, err := time.ParseDuration(values.Get("for"))
	if err != nil || d <= 0 || d > mostWait {
		return 0, refusal{Error: "for must be a span up to " + mostWait.String() + ", as 5s", Field: "for"}
	}
	return d, refusal{}
}

// await looks until a purge is closed, or the time is over.
func (r *Runner) await(ctx context.Context, id string, state ledger.State, wait time.Duration) ledger.State {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for state == ledger.Spreading {
		select {
		case <-time.After(lookEach):
		case <-ctx.Done():
			return state
		case <-r.ctx.Done():
			return state
		}
		if s, err := r.show(ctx, id); err == nil && s.Known {
			state = s.Shown.State
		}
	}
	return state
}

func (r *Runner) get(w http.ResponseWriter, q *http.Request) {
	ctx, cancel := context.WithTimeout(q.Context(), decideFor)
	defer cancel()
	s, err := r.show(ctx, q.PathValue("id"))
	switch {
	case err != nil:
		w.Header().Set("Retry-After", "1")
		tell(w, http.StatusServiceUnavailable, refusal{Error: err.Error()})
	case !s.Known:
		tell(w, http.StatusNotFound, refusal{Field: "id",
			Error: "no purge has this id, or it was forgotten as one of the oldest"})
	default:
		tell(w, http.StatusOK, s.Shown)
	}
}
