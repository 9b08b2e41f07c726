package run

// This file implements the HTTP interface for callers. An order, which is the body of a POST /v1/purges, is an Open command
// of the ledger, and the ledger validates it.

import (
	"context"
	"net/http"
	"time"

	"flaxcove/internal/cluster/leadercall"
	"flaxcove/internal/cluster/purge/ledger"
)

const (
	maxRequests  = 64                     // concurrent requests; further ones are answered with 503
	maxBodyBytes = 16 << 10               // a valid order is smaller than 4 KB
	pollInterval = 100 * time.Millisecond // between two status queries while a caller waits for a purge to be closed

	retryWhenFull = "5" // Retry-After in seconds while the ledger is full
)

// orderResponse is the body of the answer to an order that was accepted.
type orderResponse struct {
	ID        string       `json:"id"`
	Seq       uint64       `json:"seq"`
	Duplicate bool         `json:"known"` // the same order was committed earlier
	State     ledger.State `json:"state"`
}

// registerPublic registers the handlers of HTTP requests.
func (r *Runner) registerPublic(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/purges", r.limiter.Limit(r.postPurge))
	mux.HandleFunc("GET /v1/purges/{id}", r.limiter.Limit(r.getPurge))
}

// postPurge opens a purge. It answers with 202 once the purge is committed, or with 200 if the caller waits for the purge to be
// closed and that happens in time.
func (r *Runner) postPurge(w http.ResponseWriter, request *http.Request) {
	wait, ok := leadercall.ParseWait(w, request, "complete", proposeTimeout)
	if !ok {
		return
	}
	var order ledger.Open
	if !leadercall.ReadOrder(w, request, maxBodyBytes, &order) {
		return
	}
	if field, problem := order.Validate(); field != "" {
		leadercall.WriteJSON(w, http.StatusBadRequest, leadercall.ErrorResponse{Error: field + " " + problem, Field: field})
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), proposeTimeout)
	defer cancel()
	var opened ledger.OpenResult
	if err := r.propose(ctx, ledger.KindOpen, order, &opened); err != nil {
		leadercall.WriteRetryLater(w, leadercall.RetrySoon, leadercall.ErrorResponse{Error: err.Error() + "; repeat the request with the same id"})
		return
	}
	switch {
	case opened.Full:
		leadercall.WriteRetryLater(w, retryWhenFull, leadercall.ErrorResponse{Error: opened.Rejected})
		return
	case opened.Rejected != "":
		leadercall.WriteJSON(w, http.StatusConflict, leadercall.ErrorResponse{Error: opened.Rejected, Field: opened.Field})
		return
	}
	response := orderResponse{ID: order.ID, Seq: opened.Seq, Duplicate: opened.Duplicate, State: opened.State}
	if wait > 0 {
		response.State = r.awaitClosed(request.Context(), order.ID, response.State, wait)
	}
	status := http.StatusAccepted
	if wait > 0 && response.State != ledger.Spreading {
		status = http.StatusOK
	}
	leadercall.WriteJSON(w, status, response)
}

// awaitClosed polls the leader until a purge is closed, the wait has passed or ctx ends, and returns the last known state of the
// purge. state is its state so far.
func (r *Runner) awaitClosed(ctx context.Context, id string, state ledger.State, wait time.Duration) ledger.State {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for state == ledger.Spreading {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return state
		case <-r.ctx.Done():
			return state
		}
		if s, err := r.queryStatus(ctx, id); err == nil && s.Known {
			state = s.Status.State
		}
	}
	return state
}

// getPurge answers with the status of a purge.
func (r *Runner) getPurge(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), proposeTimeout)
	defer cancel()
	s, err := r.queryStatus(ctx, request.PathValue("id"))
	switch {
	case err != nil:
		leadercall.WriteRetryLater(w, leadercall.RetrySoon, leadercall.ErrorResponse{Error: err.Error()})
	case !s.Known:
		leadercall.WriteJSON(w, http.StatusNotFound, leadercall.ErrorResponse{Field: "id",
			Error: "no purge has this id, or its record was dropped because newer ones replaced it"})
	default:
		leadercall.WriteJSON(w, http.StatusOK, s.Status)
	}
}
