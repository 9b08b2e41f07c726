package run

// This file is the HTTP interface for callers. It decides nothing: the ledger validates orders.

import (
	"context"
	"net/http"
	"time"

	"flaxcove/internal/cluster/leadercall"
	"flaxcove/internal/cluster/purge/ledger"
)

const (
	maxRequests  = 64       // concurrent requests; more get 503
	maxBodyBytes = 16 << 10 // an order within all bounds is under 4 KB
	pollInterval = 100 * time.Millisecond

	retryWhenFull = "5" // seconds: Retry-After while the ledger is full
)

// orderResponse is the answer to an order.
type orderResponse struct {
	ID        string       `json:"id"`
	Seq       uint64       `json:"seq"`
	Duplicate bool         `json:"known"` // the same order was committed before
	State     ledger.State `json:"state"`
}

// registerPublic registers the HTTP interface.
func (r *Runner) registerPublic(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/purges", r.limiter.Limit(r.postPurge))
	mux.HandleFunc("GET /v1/purges/{id}", r.limiter.Limit(r.getPurge))
}

// postPurge answers 202 once the purge is committed, or 200 once it is closed where the caller waits for that.
func (r *Runner) postPurge(w http.ResponseWriter, request *http.Request) {
	wait, ok := leadercall.ParseWait(w, request, "complete", proposeTimeout)
	if !ok {
		return
	}
	var order ledger.Open
	if !leadercall.ReadOrder(w, request, maxBodyBytes, &order) {
		return
	}
	if field, why := order.Validate(); field != "" {
		leadercall.WriteJSON(w, http.StatusBadRequest, leadercall.ErrorResponse{Error: field + " " + why, Field: field})
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), proposeTimeout)
	defer cancel()
	var opened ledger.OpenResult
	if err := r.propose(ctx, ledger.KindOpen, order, &opened); err != nil {
		leadercall.WriteRetryLater(w, leadercall.RetrySoon, leadercall.ErrorResponse{Error: err.Error() + "; order it again under the same id"})
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

// awaitClosed polls until a purge is closed, or the wait is over, and returns its state.
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
			Error: "no purge has this id, or it was forgotten as one of the oldest"})
	default:
		leadercall.WriteJSON(w, http.StatusOK, s.Status)
	}
}
