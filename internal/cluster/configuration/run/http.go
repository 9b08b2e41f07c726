package run

// This file holds the HTTP interface for callers. Changes are checked by Options.Check and the ledger, not here.

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
	maxRequests = 16 // concurrent requests; further ones are answered with 503
	// maxBodyBytes is twice configuration.MaxBytes, which applies to the canonical form, to allow for white space.
	maxBodyBytes = 2 * configuration.MaxBytes
	pollInterval = 50 * time.Millisecond // between two queries of the leader's status
)

// orderResponse is the body of the answer to an order that was committed.
type orderResponse struct {
	ID        string            `json:"id"`
	Version   uint64            `json:"version"`
	Sum       configuration.Sum `json:"sum"`
	Duplicate bool              `json:"known"`           // the same order was committed before
	State     State             `json:"state,omitempty"` // set if the caller waited
}

// registerPublic registers the handlers of HTTP requests.
func (r *Runner) registerPublic(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/configuration", r.limiter.Limit(r.postChange))
	mux.HandleFunc("POST /v1/configuration/{version}/restore", r.limiter.Limit(r.postRestore))
	mux.HandleFunc("GET /v1/configuration", r.limiter.Limit(r.getNewest))
	mux.HandleFunc("GET /v1/configuration/{version}", r.limiter.Limit(r.getVersion))
}

// postChange handles an order to change the settings, with complete settings or a patch.
func (r *Runner) postChange(w http.ResponseWriter, httpRequest *http.Request) {
	var request ledger.Request
	if !leadercall.ReadOrder(w, httpRequest, maxBodyBytes, &request) {
		return
	}
	if request.Restore != nil {
		leadercall.WriteJSON(w, http.StatusBadRequest, leadercall.ErrorResponse{Field: "restore", Error: "restore: not allowed here; use POST /v1/configuration/VERSION/restore"})
		return
	}
	r.handleOrder(w, httpRequest, request)
}

// postRestore handles an order to restore a version.
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
		leadercall.WriteJSON(w, http.StatusBadRequest, leadercall.ErrorResponse{Field: "settings", Error: "settings: an order to restore a version must have neither settings nor a patch"})
		return
	}
	request.Restore = &version
	r.handleOrder(w, httpRequest, request)
}

// pathVersion returns the version in the path. If that is not a number, pathVersion answers with 400 and returns false.
func pathVersion(w http.ResponseWriter, httpRequest *http.Request) (uint64, bool) {
	version, err := strconv.ParseUint(httpRequest.PathValue("version"), 10, 64)
	if err != nil {
		leadercall.WriteJSON(w, http.StatusBadRequest, leadercall.ErrorResponse{Field: "version", Error: "version: must be a number"})
	}
	return version, err == nil
}

// handleOrder proposes a change and answers with 202 once it is committed. If the caller waits until the version is in
// force, it answers with 200 once that is so, and with 202 after the wait.
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
		leadercall.WriteRetryLater(w, leadercall.RetrySoon, leadercall.ErrorResponse{Error: err.Error() + "; repeat the order with the same id"})
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

// awaitVersion polls the leader until a version, or a newer one, is in force in all processes that do not reject it,
// and returns the state. It returns Spreading if the wait has passed first.
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

// getNewest handles a request for the status of the newest version.
func (r *Runner) getNewest(w http.ResponseWriter, httpRequest *http.Request) {
	r.writeStatus(w, httpRequest, nil)
}

// getVersion handles a request for the status of the newest version and the settings of one version.
func (r *Runner) getVersion(w http.ResponseWriter, httpRequest *http.Request) {
	if version, ok := pathVersion(w, httpRequest); ok {
		r.writeStatus(w, httpRequest, &version)
	}
}

// writeStatus answers with the status of the newest version, and with the settings of a version unless that is nil.
func (r *Runner) writeStatus(w http.ResponseWriter, httpRequest *http.Request, version *uint64) {
	ctx, cancel := context.WithTimeout(httpRequest.Context(), proposeTimeout)
	defer cancel()
	s, err := r.queryStatus(ctx, version)
	switch {
	case err != nil:
		leadercall.WriteRetryLater(w, leadercall.RetrySoon, leadercall.ErrorResponse{Error: err.Error()})
	case version != nil && s.Settings == nil:
		leadercall.WriteJSON(w, http.StatusNotFound, leadercall.ErrorResponse{Field: "version", Error: "version: does not exist or is no longer retained"})
	default:
		leadercall.WriteJSON(w, http.StatusOK, s)
	}
}
