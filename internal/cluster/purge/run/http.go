package run

// This file is what callers order and ask, over the public part of the link. It decides nothing: what is wrong with
// an order is the ledger's to say.

import (
	"context"
	"net/http"
	"time"

	"flaxcove/internal/cluster/ordering"
	"flaxcove/internal/cluster/purge/ledger"
)

const (
	mostPosts = 64       // orders and questions under way here; more are told to come back
	mostBody  = 16 << 10 // an order with all its bounds is under 4 KB
	lookEach  = 100 * time.Millisecond
)

// taken answers an order: what the ledger made of it.
type taken struct {
	ID    string       `json:"id"`
	Seq   uint64       `json:"seq"`
	Known bool         `json:"known"` // it was ordered before, alike
	State ledger.State `json:"state"`
}

func (r *Runner) public(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/purges", r.posts.Limit(r.post))
	mux.HandleFunc("GET /v1/purges/{id}", r.posts.Limit(r.get))
}

// post answers 202 once the purge is decided in common, or 200 once it is closed where that was waited for.
func (r *Runner) post(w http.ResponseWriter, q *http.Request) {
	wait, ok := ordering.ParseWait(w, q, "complete", decideFor)
	if !ok {
		return
	}
	var order ledger.Open
	if !ordering.ReadOrder(w, q, mostBody, &order) {
		return
	}
	if field, why := order.Check(); field != "" {
		ordering.WriteJSON(w, http.StatusBadRequest, ordering.ErrorResponse{Error: field + " " + why, Field: field})
		return
	}
	ctx, cancel := context.WithTimeout(q.Context(), decideFor)
	defer cancel()
	var opened ledger.Opened
	if err := r.propose(ctx, ledger.KindOpen, order, &opened); err != nil {
		ordering.WriteRetryLater(w, "1", ordering.ErrorResponse{Error: err.Error() + "; order it again under the same id"})
		return
	}
	switch {
	case opened.Full:
		ordering.WriteRetryLater(w, "5", ordering.ErrorResponse{Error: opened.Refused})
		return
	case opened.Refused != "":
		ordering.WriteJSON(w, http.StatusConflict, ordering.ErrorResponse{Error: opened.Refused, Field: opened.Field})
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
	ordering.WriteJSON(w, status, t)
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
		ordering.WriteRetryLater(w, "1", ordering.ErrorResponse{Error: err.Error()})
	case !s.Known:
		ordering.WriteJSON(w, http.StatusNotFound, ordering.ErrorResponse{Field: "id",
			Error: "no purge has this id, or it was forgotten as one of the oldest"})
	default:
		ordering.WriteJSON(w, http.StatusOK, s.Shown)
	}
}
