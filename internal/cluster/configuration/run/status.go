package run

// This file computes the status of the shared settings, which only the leader of the consensus group knows.

import (
	"context"
	"encoding/json"
	"fmt"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/view"
)

// State says whether the newest version is in force in the cluster.
type State string

// States of the newest version.
const (
	// Spreading means that some present processes do not have the version in force yet, or have not reported.
	Spreading State = "spreading"
	// InForce means that all present processes have the version in force.
	InForce State = "in force"
	// InForceExceptRejected means that all present processes have the version in force, except those that rejected it.
	InForceExceptRejected State = "in force but where refused"
)

// ConfigurationStatus is the answer to GET /v1/configuration, the status of the newest version. Durations are in
// milliseconds.
type ConfigurationStatus struct {
	Version  uint64            `json:"version"` // 0 if there is none and each process runs its own file
	Sum      configuration.Sum `json:"sum,omitempty"`
	State    State             `json:"state"`
	ID       string            `json:"id,omitempty"`
	Base     uint64            `json:"base"`
	Restored *uint64           `json:"restored,omitempty"` // the version whose content was restored
	Who      string            `json:"who,omitempty"`
	Why      string            `json:"why,omitempty"`
	Bytes    int               `json:"bytes,omitempty"`
	AgeMS    int64             `json:"age_ms"` // time since the version was committed

	Members    int                   `json:"members"`             // processes that are present in the leader's view
	Reported   int                   `json:"heard_of"`            // number of these that have reported
	InForce    []spread.Count        `json:"in_force"`            // number of processes by version, newest first
	Older      int                   `json:"older,omitempty"`     // processes with versions older than these
	Laggards   []spread.Laggard      `json:"laggards"`            // processes without the newest version for more than 1.5 s
	Unnamed    int                   `json:"unnamed,omitempty"`   // number of further laggards
	Absent     []spread.AbsentMember `json:"away"`                // absent processes, with the latest version that they are known to have had
	MoreAbsent int                   `json:"more_away,omitempty"` // number of further absent processes

	// The time from the commit until the leader knew that 50, 95 and 100% of the processes had the version in force; 0
	// if that is not known.
	At50MS  int64 `json:"at_50_ms,omitempty"`
	At95MS  int64 `json:"at_95_ms,omitempty"`
	At100MS int64 `json:"at_100_ms,omitempty"`

	Restorable []uint64        `json:"held"`               // versions that can be restored
	Settings   json.RawMessage `json:"settings,omitempty"` // of the requested version, if there is one
	ReportedBy view.Name       `json:"told_by"`            // the leader
}

// statusRequest is the message that asks the leader for the status.
type statusRequest struct {
	Version *uint64 `json:"version,omitempty"` // the version whose settings are requested; nil for none
}

// queryStatus gets the status from the leader, with the settings of a version unless that is nil.
func (r *Runner) queryStatus(ctx context.Context, version *uint64) (s ConfigurationStatus, err error) {
	here := func() (err error) {
		s, err = r.leaderStatus(version)
		return err
	}
	err = r.caller.Query(ctx, pollInterval, here, pathStatus, statusRequest{version}, &s)
	return s, err
}

// handleStatusRequest answers a statusRequest of another process.
func (r *Runner) handleStatusRequest(_ context.Context, _ view.Instance, body []byte) (any, error) {
	var request statusRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("configuration: cannot decode status request: %w", err)
	}
	s, err := r.leaderStatus(request.Version)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// leaderStatus returns the status. On a process that does not lead it returns errNotLeading.
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
	r.addProgress(&s)
	return s, nil
}

// addProgress sets the fields that say where the newest version is in force. r.mu is held.
func (r *Runner) addProgress(s *ConfigurationStatus) {
	now, work := r.options.Now(), &r.leaderWork
	sum := work.state.Summary(now)
	s.Members, s.Reported = work.roster.PresentCount(), sum.Members-sum.Unknown
	s.InForce, s.Older, s.Laggards, s.Unnamed = sum.InForce, sum.Older, sum.Laggards, sum.Unnamed
	s.Absent, s.MoreAbsent = work.roster.AbsentMembers(now)
	if p := work.progress; p.Version == s.Version {
		s.At50MS, s.At95MS, s.At100MS = p.At50.Milliseconds(), p.At95.Milliseconds(), p.At100.Milliseconds()
	}
	s.State = Spreading
	inForce := sum.MembersAtLeast(s.Version)
	switch {
	case s.Version == 0 || inForce >= s.Members && s.Reported >= s.Members:
		s.State = InForce
	case work.state.Newest().Version == s.Version && work.state.Settled() && s.Reported >= s.Members:
		s.State = InForceExceptRejected
	}
}
