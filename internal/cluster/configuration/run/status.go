package run

// This file is the status of the shared settings, as the leader of the consensus group knows it.

import (
	"context"
	"encoding/json"
	"fmt"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/view"
)

// State is how far the newest version has come.
type State string

// States of the newest version.
const (
	Spreading State = "spreading"
	InForce   State = "in force"
	// InForceExceptRejected says that all present processes have it in force, except those that reject it.
	InForceExceptRejected State = "in force but where refused"
)

// ConfigurationStatus is the answer to GET /v1/configuration: the status of the newest version. Durations are in milliseconds.
type ConfigurationStatus struct {
	Version  uint64            `json:"version"` // 0: each runs its own file
	Sum      configuration.Sum `json:"sum,omitempty"`
	State    State             `json:"state"`
	ID       string            `json:"id,omitempty"`
	Base     uint64            `json:"base"`
	Restored *uint64           `json:"restored,omitempty"` // the version whose content it has
	Who      string            `json:"who,omitempty"`
	Why      string            `json:"why,omitempty"`
	Bytes    int               `json:"bytes,omitempty"`
	AgeMS    int64             `json:"age_ms"` // since it was committed

	Members  int                   `json:"members"`           // present, by the leader's view
	HeardOf  int                   `json:"heard_of"`          // of these, that have reported
	InForce  []spread.Count        `json:"in_force"`          // how many run which version, newest first
	Older    int                   `json:"older,omitempty"`   // members with older versions
	Laggards []spread.Laggard      `json:"laggards"`          // without the newest version for over 1.5 s
	Unnamed  int                   `json:"unnamed,omitempty"` // further laggards
	Away     []spread.AbsentMember `json:"away"`              // absent, with the version that they had at least
	MoreAway int                   `json:"more_away,omitempty"`

	// From the commit until it was known to be in force at these shares of the fleet; 0 where that is not known.
	At50MS  int64 `json:"at_50_ms,omitempty"`
	At95MS  int64 `json:"at_95_ms,omitempty"`
	At100MS int64 `json:"at_100_ms,omitempty"`

	Restorable []uint64        `json:"held"` // versions that can be restored
	Settings   json.RawMessage `json:"settings,omitempty"`
	ReportedBy view.Name       `json:"told_by"`
}

// statusRequest asks the leader for the status.
type statusRequest struct {
	Version *uint64 `json:"version,omitempty"` // whose settings are asked for, too
}

// queryStatus asks the leader for the status.
func (r *Runner) queryStatus(ctx context.Context, version *uint64) (s ConfigurationStatus, err error) {
	here := func() (err error) {
		s, err = r.leaderStatus(version)
		return err
	}
	err = r.caller.Query(ctx, pollInterval, here, pathStatus, statusRequest{version}, &s)
	return s, err
}

// handleStatusRequest answers another process's request.
func (r *Runner) handleStatusRequest(_ context.Context, _ view.Life, body []byte) (any, error) {
	var request statusRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("configuration: asked to show: %w", err)
	}
	s, err := r.leaderStatus(request.Version)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// leaderStatus is the status, on the leader.
func (r *Runner) leaderStatus(version *uint64) (s ConfigurationStatus, err error) {
	if !r.options.Consensus.Leading() {
		return s, errNotLeading
	}
	var entry ledger.Entry
	r.options.Consensus.Read(func(uint64) {
		l := r.options.Ledger
		entry, _ = l.Entry(l.LastVersion())
		s.Restorable = l.RetainedVersions()
		if version != nil {
			d, _ := l.Document(*version)
			s.Settings = d.Settings
		}
	})
	if version != nil && *version == 0 && s.Settings == nil {
		s.Settings = r.options.OwnSettings
	}
	s.Version, s.Sum, s.ID, s.Base, s.Restored = entry.Version, entry.Sum, entry.ID, entry.Base, entry.Restored
	s.Who, s.Why, s.Bytes, s.ReportedBy = entry.Who, entry.Why, entry.Bytes, r.options.Self.Name
	if s.Version > 0 {
		s.AgeMS = max(r.options.Consensus.Clock()-entry.At, 0).Milliseconds()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaderWork.state == nil {
		return s, errNotLeading
	}
	r.addSpread(&s)
	return s, nil
}

// addSpread adds where the newest version is in force. The lock is held.
func (r *Runner) addSpread(s *ConfigurationStatus) {
	now, work := r.options.Now(), &r.leaderWork
	sum := work.state.Summary(now)
	s.Members, s.HeardOf = work.roster.PresentCount(), sum.Members-sum.Unknown
	s.InForce, s.Older, s.Laggards, s.Unnamed = sum.InForce, sum.Older, sum.Laggards, sum.Unnamed
	s.Away, s.MoreAway = work.roster.AbsentMembers(now)
	if p := work.progress; p.Version == s.Version {
		s.At50MS, s.At95MS, s.At100MS = p.At50.Milliseconds(), p.At95.Milliseconds(), p.At100.Milliseconds()
	}
	s.State = Spreading
	inForce := sum.MembersAtLeast(s.Version)
	switch {
	case s.Version == 0 || inForce >= s.Members && s.HeardOf >= s.Members:
		s.State = InForce
	case work.state.Newest().Version == s.Version && work.state.Settled() && s.HeardOf >= s.Members:
		s.State = InForceExceptRejected
	}
}
