package run

// This file is what callers order and ask, over the public part of the link. It decides nothing: what is wrong with a
// change is the check's and the ledger's to say.

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/ordering"
)

const (
	mostPosts = 16 // orders and questions under way here; more are told to come back
	// mostBody lets settings be written with blanks and line ends; what counts is their canonical form.
	mostBody = 2 * configuration.MostBytes
	lookEach = 50 * time.Millisecond
)

// taken answers an order.
type taken struct {
	ID      string            `json:"id"`
	Version uint64            `json:"version"`
	Sum     configuration.Sum `json:"sum"`
	Known   bool              `json:"known"` // it was ordered before, alike
	State   State             `json:"state,omitempty"`
}

func (r *Runner) public(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/configuration", r.posts.Limit(r.post))
	mux.HandleFunc("POST /v1/configuration/{version}/restore", r.posts.Limit(r.postRestore))
	mux.HandleFunc("GET /v1/configuration", r.posts.Limit(r.get))
	mux.HandleFunc("GET /v1/configuration/{version}", r.posts.Limit(r.getVersion))
}

func (r *Runner) post(w http.ResponseWriter, q *http.Request) {
	var request ledger.Request
	if !ordering.ReadOrder(w, q, mostBody, &request) {
		return
	}
	if request.Restore != nil {
		ordering.WriteJSON(w, http.StatusBadRequest, ordering.ErrorResponse{Field: "restore", Error: "restore: POST /v1/configuration/VERSION/restore does that"})
		return
	}
	r.order(w, q, request)
}

func (r *Runner) postRestore(w http.ResponseWriter, q *http.Request) {
	version, ok := versionOf(w, q)
	if !ok {
		return
	}
	var request ledger.Request
	if !ordering.ReadOrder(w, q, mostBody, &request) {
		return
	}
	if request.Settings != nil || request.Patch != nil || request.Restore != nil {
		ordering.WriteJSON(w, http.StatusBadRequest, ordering.ErrorResponse{Field: "settings", Error: "settings: a restore has none, and no patch"})
		return
	}
	request.Restore = &version
	r.order(w, q, request)
}

func versionOf(w http.ResponseWriter, q *http.Request) (uint64, bool) {
	version, err := strconv.ParseUint(q.PathValue("version"), 10, 64)
	if err != nil {
		ordering.WriteJSON(w, http.StatusBadRequest, ordering.ErrorResponse{Field: "version", Error: "version: takes a number"})
	}
	return version, err == nil
}

// order answers 202 once the change is decided in common, or 200 once it is in force where that was waited for.
func (r *Runner) order(w http.ResponseWriter, q *http.Request, request ledger.Request) {
	wait, ok := ordering.ParseWait(w, q, "in_force", decideFor)
	if !ok {
		return
	}
	if field, why := request.Check(); field != "" {
		ordering.WriteJSON(w, http.StatusBadRequest, ordering.ErrorResponse{Error: field + " " + why, Field: field})
		return
	}
	ctx, cancel := context.WithTimeout(q.Context(), decideFor)
	defer cancel()
	decided, err := r.propose(ctx, request)
	switch {
	case err != nil:
		ordering.WriteRetryLater(w, "1", ordering.ErrorResponse{Error: err.Error() + "; order it again under the same id"})
		return
	case decided.Conflict:
		ordering.WriteJSON(w, http.StatusConflict, ordering.ErrorResponse{Error: decided.Refused, Field: decided.Field, Current: &decided.Current})
		return
	case decided.Refused != "":
		ordering.WriteJSON(w, http.StatusBadRequest, ordering.ErrorResponse{Error: decided.Refused, Field: decided.Field})
		return
	}
	t := taken{ID: request.ID, Version: decided.Version, Sum: decided.Sum, Known: decided.Known}
	status := http.StatusAccepted
	if wait > 0 {
		if t.State = r.await(q.Context(), t.Version, wait); t.State != Spreading {
			status = http.StatusOK
		}
	}
	ordering.WriteJSON(w, status, t)
}

// await looks until a version, or a newer one, is in force wherever it is taken, or the time is over.
func (r *Runner) await(ctx context.Context, version uint64, wait time.Duration) State {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		if s, err := r.show(ctx, nil); err == nil && s.Version >= version && s.State != Spreading {
			return s.State
		}
		select {
		case <-time.After(lookEach):
		case <-ctx.Done():
			return Spreading
		case <-r.ctx.Done():
			return Spreading
		}
	}
}

func (r *Runner) get(w http.ResponseWriter, q *http.Request) { r.tellShown(w, q, nil) }

func (r *Runner) getVersion(w http.ResponseWriter, q *http.Request) {
	if version, ok := versionOf(w, q); ok {
		r.tellShown(w, q, &version)
	}
}

func (r *Runner) tellShown(w http.ResponseWriter, q *http.Request, version *uint64) {
	ctx, cancel := context.WithTimeout(q.Context(), decideFor)
	defer cancel()
	s, err := r.show(ctx, version)
	switch {
	case err != nil:
		ordering.WriteRetryLater(w, "1", ordering.ErrorResponse{Error: err.Error()})
	case version != nil && s.Settings == nil:
		ordering.WriteJSON(w, http.StatusNotFound, ordering.ErrorResponse{Field: "version", Error: "this version is not held, or not held any more"})
	default:
		ordering.WriteJSON(w, http.StatusOK, s)
	}
}
