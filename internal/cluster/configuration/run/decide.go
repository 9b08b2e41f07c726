package run

// This file handles change requests on the leader: it computes the settings that a request results in, checks them, and
// proposes the change to the consensus group.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/view"
)

// envelopeBytes is the maximum length of a command without the settings in it: the texts at their maximum lengths, in
// which JSON may encode one byte as six.
const envelopeBytes = 12 << 10

var errLedgerBehind = errors.New("configuration: members have a newer version than the consensus group, which adopts it first")

// decisionInput is the content of the ledger that the decision on a request depends on.
type decisionInput struct {
	answer      ledger.DecideResult // the answer to an earlier request with the same ID, if there was one
	duplicate   bool                // there was an earlier request with the same ID
	lastVersion uint64
	newest      configuration.Document // before the first change version 0, the leader's own file
	restored    configuration.Document // the version to restore, if restorable is set
	restorable  bool                   // the version to restore is retained
}

// decide checks a request and proposes it as a command, on the leader. For an invalid request it returns an answer with
// Rejected set. After an error it is unknown whether the request was committed.
func (r *Runner) decide(ctx context.Context, request ledger.Request) (ledger.DecideResult, error) {
	if field, why := request.Validate(); field != "" {
		return ledger.DecideResult{Rejected: field + " " + why, Field: field}, nil
	}
	fingerprint, err := request.Fingerprint()
	if err != nil {
		return ledger.DecideResult{Rejected: err.Error(), Field: contentField(request)}, nil
	}
	r.mu.Lock()
	behind := r.newerThanLedger().Version > 0
	r.mu.Unlock()
	if behind {
		return ledger.DecideResult{}, errLedgerBehind
	}
	input := r.readDecisionInput(request, fingerprint)
	if input.duplicate {
		return input.answer, nil
	}
	command, rejection, ok := r.newCommand(request, fingerprint, input)
	if !ok {
		rejection.Current = input.lastVersion
		return rejection, nil
	}
	text, err := r.options.Consensus.Propose(ctx, ledger.Part, ledger.KindDecide, command)
	var rejectedError *machine.RejectedError
	switch {
	case errors.As(err, &rejectedError): // for example because the command is too long after JSON escaping
		return ledger.DecideResult{Rejected: err.Error(), Field: contentField(request), Current: input.lastVersion}, nil
	case err != nil:
		return ledger.DecideResult{}, err
	}
	r.signals.Wake()
	var decided ledger.DecideResult
	return decided, json.Unmarshal(text, &decided)
}

// newCommand returns the command for a request. If ok is false the request is rejected, and rejection says why.
func (r *Runner) newCommand(request ledger.Request, fingerprint configuration.Sum, input decisionInput) (
	command ledger.Decide, rejection ledger.DecideResult, ok bool) {
	command = ledger.Decide{ID: request.ID, Fingerprint: fingerprint, Base: input.lastVersion, Restore: request.Restore,
		Who: request.Who, Why: request.Why}
	if request.Base != nil {
		command.Base = *request.Base
	}
	proposed, rejection := resolveSettings(request, input, command.Base)
	if rejection.Rejected != "" {
		return command, rejection, false
	}
	if err := r.options.Check(input.newest.Settings, proposed); err != nil {
		return command, ledger.DecideResult{Rejected: err.Error(), Field: contentField(request)}, false
	}
	if request.Restore == nil || input.lastVersion == 0 {
		command.Settings = proposed // otherwise the ledger has the settings
	}
	if input.lastVersion == 0 && len(input.newest.Settings)+len(proposed)+envelopeBytes < machine.MaxBodyBytes {
		command.OwnSettings = input.newest.Settings
	}
	return command, ledger.DecideResult{}, true
}

// readDecisionInput reads from the ledger what the decision on a request depends on.
func (r *Runner) readDecisionInput(request ledger.Request, fingerprint configuration.Sum) (input decisionInput) {
	own, err := configuration.NewDocument(0, r.options.OwnSettings)
	if err != nil {
		own = configuration.Document{}
	}
	r.options.Consensus.Read(func(uint64) {
		l := r.options.Ledger
		input.answer, input.duplicate = l.FindRequest(request.ID, fingerprint)
		input.lastVersion, input.newest = l.LastVersion(), own
		if input.lastVersion > 0 {
			input.newest, _ = l.Newest()
		}
		if request.Restore != nil {
			input.restored, input.restorable = l.Document(*request.Restore)
		}
	})
	return input
}

// resolveSettings returns the complete settings that a request results in, or a DecideResult with Rejected set.
func resolveSettings(request ledger.Request, input decisionInput, base uint64) (json.RawMessage, ledger.DecideResult) {
	switch {
	case base != input.lastVersion:
		return nil, ledger.DecideResult{Conflict: true, Field: "base",
			Rejected: fmt.Sprintf("base %d is not the newest version, which is %d", base, input.lastVersion)}
	case request.Restore != nil && !input.restorable:
		return nil, ledger.DecideResult{Field: "restore", Rejected: fmt.Sprintf("version %d does not exist or is no longer retained", *request.Restore)}
	case request.Restore != nil:
		return input.restored.Settings, ledger.DecideResult{}
	case request.Patch != nil && input.newest.Settings == nil:
		return nil, ledger.DecideResult{Field: "patch", Rejected: "there are no settings to which a patch could be applied; send complete settings"}
	}
	var settings json.RawMessage
	var err error
	if request.Patch != nil {
		settings, err = configuration.ApplyPatch(input.newest.Settings, request.Patch)
	} else {
		settings, err = configuration.Canonicalize(request.Settings)
	}
	if err != nil {
		return nil, ledger.DecideResult{Field: contentField(request), Rejected: err.Error()}
	}
	return settings, ledger.DecideResult{}
}

// contentField returns the name of the request field that has the content of the change.
func contentField(request ledger.Request) string {
	switch {
	case request.Patch != nil:
		return "patch"
	case request.Restore != nil:
		return "restore"
	}
	return "settings"
}

// handlePropose decides a request that another process has forwarded to the leader.
func (r *Runner) handlePropose(ctx context.Context, _ view.Instance, body []byte) (any, error) {
	var request ledger.Request
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("configuration: cannot decode change request: %w", err)
	}
	if !r.options.Consensus.Leading() {
		return nil, errNotLeading
	}
	decided, err := r.decide(ctx, request)
	if err != nil {
		return nil, err
	}
	return decided, nil
}
