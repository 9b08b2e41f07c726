package run

// This file is the HTTP interface for callers. It decides nothing: changes are validated by Options.Check and the ledger.

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/leadercall"
)

const (
	maxRequests = 16 // concurrent requests; more get 503
	// maxBodyBytes allows for blanks and line ends in settings, whose bound applies to the canonical form.
	maxBodyBytes = 2 * configuration.MaxBytes
	pollInterval = 50 * time.Millisecond
)

// orderResponse is the answer to an order.
type orderResponse struct {
	ID        string            `json:"id"`
	Version   uint64            `json:"version"`
	Sum       configuration.Sum `json:"sum"`
	Duplicate bool              `json:"known"` // the same order was committed before
	State     State             `json:"state,omitempty"`
}

// registerPublic registers the HTTP interface.
func (r *Runner) registerPublic(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/configuration", r.limiter.Limit(r.postChange))
	mux.HandleFunc("POST /v1/configuration/{version}/restore", r.limiter.Limit(r.postRestore))
	mux.HandleFunc("GET /v1/configuration", r.limiter.Limit(r.getNewest))
	mux.HandleFunc("GET /v1/configuration/{version}", r.limiter.Limit(r.getVersion))
}

// postChange takes a change by settings or patch.
func (r *Runner) postChange(w http.ResponseWriter, httpRequest *http.Request) {
	var request ledger.Request
	if !leadercall.ReadOrder(w, httpRequest, maxBodyBytes, &request) {
		return
	}
	if request.Restore != nil {
		leadercall.WriteJSON(w, http.StatusBadRequest, leadercall.ErrorResponse{Field: "restore", Error: "restore: POST /v1/configuration/VERSION/restore does that"})
		return
	}
	r.handleOrder(w, httpRequest, request)
}

// postRestore takes an order to restore a version.
func (r *Runner) postRestore(w http.ResponseWriter, httpRequest *http.Request) {
	version, ok := pathVersion(w, httpRequest)
	if !ok {
		return
	}
	var request ledger.Request
	if !leadercall.ReadOrder(w, httpRequest, maxBodyBytes, &request) {
		return
	}
	if request.Settings != nil || request.Patch != nil || request.Restore != nil {
		leadercall.WriteJSON(w, http.StatusBadRequest, leadercall.ErrorResponse{Field: "settings", Error: "settings: a restore has none, and no patch"})
		return
	}
	request.Restore = &version
	r.handleOrder(w, httpRequest, request)
}

// pathVersion reads the version in the path. Where it is no number it has answered with 400.
func pathVersion(w http.ResponseWriter, httpRequest *http.Request) (uint64, bool) {
	version, err := strconv.ParseUint(httpRequest.PathValue("version"), 10, 64)
	if err != nil {
		leadercall.WriteJSON(w, http.StatusBadRequest, leadercall.ErrorResponse{Field: "version", Error: "version: takes a number"})
	}
	return version, err == nil
}

// handleOrder answers 202 once the change is committed, or 200 once it is in force where the caller waits for that.
func (r *Runner) handleOrder(w http.ResponseWriter, httpRequest *http.Request, request ledger.Request) {
	wait, ok := leadercall.ParseWait(w, httpRequest, "in_force", proposeTimeout)
	if !ok {
		return
	}
	if field, why := request.Validate(); field != "" {
		leadercall.WriteJSON(w, http.StatusBadRequest, leadercall.ErrorResponse{Error: field + " " + why, Field: field})
		return
	}
	ctx, cancel := context.WithTimeout(httpRequest.Context(), proposeTimeout)
	defer cancel()
	decided, err := r.propose(ctx, request)
	switch {
	case err != nil:
		leadercall.WriteRetryLater(w, leadercall.RetrySoon, leadercall.ErrorResponse{Error: err.Error() + "; order it again under the same id"})
		return
	case decided.Conflict:
		leadercall.WriteJSON(w, http.StatusConflict, leadercall.ErrorResponse{Error: decided.Rejected, Field: decided.Field, Current: &decided.Current})
		return
	case decided.Rejected != "":
		leadercall.WriteJSON(w, http.StatusBadRequest, leadercall.ErrorResponse{Error: decided.Rejected, Field: decided.Field})
		return
	}
	response := orderResponse{ID: request.ID, Version: decided.Version, Sum: decided.Sum, Duplicate: decided.Duplicate}
	status := http.StatusAccepted
	if wait > 0 {
		if response.State = r.awaitVersion(httpRequest.Context(), response.Version, wait); response.State != Spreading {
			status = http.StatusOK
		}
	}
	leadercall.WriteJSON(w, status, response)
}

// awaitVersion polls until a version, or a newer one, is in force wherever it is not rejected, or the wait is over.
func (r *Runner) awaitVersion(ctx context.Context, version uint64, wait time.Duration) State {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		if s, err := r.queryStatus(ctx, nil); err == nil && s.Version >= version && s.State != Spreading {
			return s.State
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return Spreading
		case <-r.ctx.Done():
			return Spreading
		}
	}
}

// getNewest answers with the status of the newest version.
func (r *Runner) getNewest(w http.ResponseWriter, httpRequest *http.Request) {
	r.writeShown(w, httpRequest, nil)
}

// getVersion answers with the same and the settings of one version.
func (r *Runner) getVersion(w http.ResponseWriter, httpRequest *http.Request) {
	if version, ok := pathVersion(w, httpRequest); ok {
		r.writeShown(w, httpRequest, &version)
	}
}

// writeShown answers with the status of the newest version, and the settings of one where that is given.
func (r *Runner) writeShown(w http.ResponseWriter, httpRequest *http.Request, version *uint64) {
	ctx, cancel := context.WithTimeout(httpRequest.Context(), proposeTimeout)
	defer cancel()
	s, err := r.queryStatus(ctx, version)
	switch {
	case err != nil:
		leadercall.WriteRetryLater(w, leadercall.RetrySoon, leadercall.ErrorResponse{Error: err.Error()})
	case version != nil && s.Settings == nil:
		leadercall.WriteJSON(w, http.StatusNotFound, leadercall.ErrorResponse{Field: "version", Error: "this version is not held, or not held any more"})
	default:
		leadercall.WriteJSON(w, http.StatusOK, s)
	}
}
