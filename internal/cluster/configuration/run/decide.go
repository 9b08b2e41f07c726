package run

// This file is how the leader decides a request: it resolves the settings that are asked for, checks them and proposes
// the change.

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

// envelopeBytes bounds a command without the settings in it: texts at their bounds, of which a byte may become six.
const envelopeBytes = 12 << 10

var errLedgerBehind = errors.New("configuration: members have a newer version than the council; it is taken in first")

// decisionInput is what the ledger says that a decision on a request depends on.
type decisionInput struct {
	answer      ledger.DecideResult // to a request that was committed before
	duplicate   bool
	lastVersion uint64
	newest      configuration.Document // version 0 before the first change: the leader's own file
	restored    configuration.Document
	restorable  bool // the version to be restored is retained
}

// decide resolves, checks and proposes a request, on the leader. A request that is rejected by a rule gets an answer; an
// error means that it is not known whether it was committed.
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
	case errors.As(err, &rejectedError): // by the machine, as when the command is too long once it is escaped
		return ledger.DecideResult{Rejected: err.Error(), Field: contentField(request), Current: input.lastVersion}, nil
	case err != nil:
		return ledger.DecideResult{}, err
	}
	r.signals.Wake()
	var decided ledger.DecideResult
	return decided, json.Unmarshal(text, &decided)
}

// newCommand makes the command for a request. Where ok is false the request is rejected.
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
		command.Settings = proposed // otherwise the ledger has them
	}
	if input.lastVersion == 0 && len(input.newest.Settings)+len(proposed)+envelopeBytes < machine.MaxBodyBytes {
		command.OwnSettings = input.newest.Settings
	}
	return command, ledger.DecideResult{}, true
}

// readDecisionInput reads what a decision on a request depends on.
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

// resolveSettings returns the complete settings that a request asks for, or why it is rejected.
func resolveSettings(request ledger.Request, input decisionInput, base uint64) (json.RawMessage, ledger.DecideResult) {
	switch {
	case base != input.lastVersion:
		return nil, ledger.DecideResult{Conflict: true, Field: "base",
			Rejected: fmt.Sprintf("base %d is not the newest version, which is %d", base, input.lastVersion)}
	case request.Restore != nil && !input.restorable:
		return nil, ledger.DecideResult{Field: "restore", Rejected: fmt.Sprintf("version %d is not held, or not held any more", *request.Restore)}
	case request.Restore != nil:
		return input.restored.Settings, ledger.DecideResult{}
	case request.Patch != nil && input.newest.Settings == nil:
		return nil, ledger.DecideResult{Field: "patch", Rejected: "there are no settings that it could change; send them whole"}
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

// contentField is the field of a request that has its content.
func contentField(request ledger.Request) string {
	switch {
	case request.Patch != nil:
		return "patch"
	case request.Restore != nil:
		return "restore"
	}
	return "settings"
}

// handlePropose decides another process's request, on the leader.
func (r *Runner) handlePropose(ctx context.Context, _ view.Life, body []byte) (any, error) {
	var request ledger.Request
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("configuration: request: %w", err)
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
