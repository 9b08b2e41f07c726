package run

// This file is what is shown of the common settings, as the council's leader knows it.

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

const (
	Spreading State = "spreading"
	InForce   State = "in force"
	// WithRefusals says that all who are here have it in force, but for those that don't take it.
	WithRefusals State = "in force but where refused"
)

// Shown is the newest version as GET tells it. Spans are in milliseconds.
type Shown struct {
	Version  uint64            `json:"version"` // 0: each runs its own file
	Sum      configuration.Sum `json:"sum,omitempty"`
	State    State             `json:"state"`
	ID       string            `json:"id,omitempty"`
	Base     uint64            `json:"base"`
	Restored *uint64           `json:"restored,omitempty"` // the version whose content it has
	Who      string            `json:"who,omitempty"`
	Why      string            `json:"why,omitempty"`
	Bytes    int               `json:"bytes,omitempty"`
	AgeMS    int64             `json:"age_ms"` // since it was decided

	Members  int              `json:"members"`           // here, by the view of whoever leads
	Heard    int              `json:"heard_of"`          // of these
	InForce  []spread.Count   `json:"in_force"`          // how many run what, newest first
	Older    int              `json:"older,omitempty"`   // below those
	Laggards []spread.Laggard `json:"laggards"`          // without the newest for over 1.5 s
	Unnamed  int              `json:"unnamed,omitempty"` // laggards beyond
	Away     []spread.AwayOne `json:"away"`              // not here, with the version they had at least
	MoreAway int              `json:"more_away,omitempty"`

	// From its decision until it was known to be in force at these shares; 0 where that is not known.
	At50MS  int64 `json:"at_50_ms,omitempty"`
	At95MS  int64 `json:"at_95_ms,omitempty"`
	At100MS int64 `json:"at_100_ms,omitempty"`

	Held     []uint64        `json:"held"` // versions to which a return is possible
	Settings json.RawMessage `json:"settings,omitempty"`
	ToldBy   view.Name       `json:"told_by"`
}

type showing struct {
	Version *uint64 `json:"version,omitempty"` // with its settings
}

// show asks the leader.
func (r *Runner) show(ctx context.Context, version *uint64) (s Shown, err error) {
	here := func() (err error) {
		s, err = r.shown(version)
		return err
	}
	err = r.caller.Show(ctx, lookEach, here, pathShow, showing{version}, &s)
	return s, err
}

func (r *Runner) takeShow(_ context.Context, _ view.Life, body []byte) (any, error) {
	var q showing
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, fmt.Errorf("configuration: asked to show: %w", err)
	}
	s, err := r.shown(q.Version)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// shown is the answer of whoever leads.
func (r *Runner) shown(version *uint64) (s Shown, err error) {
	if !r.o.Consensus.Leading() {
		return s, errNotLeading
	}
	var entry ledger.Entry
	r.o.Consensus.Read(func(uint64) {
		l := r.o.Ledger
		entry, _ = l.Entry(l.Last())
		s.Held = l.Held()
		if version != nil {
			d, _ := l.Document(*version)
			s.Settings = d.Settings
		}
	})
	if version != nil && *version == 0 && s.Settings == nil {
		s.Settings = r.o.Own
	}
	s.Version, s.Sum, s.ID, s.Base, s.Restored = entry.Version, entry.Sum, entry.ID, entry.Base, entry.Restored
	s.Who, s.Why, s.Bytes, s.ToldBy = entry.Who, entry.Why, entry.Bytes, r.o.Self.Name
	if s.Version > 0 {
		s.AgeMS = max(r.o.Consensus.Clock()-entry.At, 0).Milliseconds()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lead.top == nil {
		return s, errNotLeading
	}
	r.spreadOf(&s)
	return s, nil
}

// spreadOf adds how far the newest version is. The lock is held.
func (r *Runner) spreadOf(s *Shown) {
	now, l := r.o.Now(), &r.lead
	sum := l.top.Summary(now)
	s.Members, s.Heard = l.roster.Here(), sum.Members-sum.Unknown
	s.InForce, s.Older, s.Laggards, s.Unnamed = sum.InForce, sum.Older, sum.Laggards, sum.Unnamed
	s.Away, s.MoreAway = l.roster.Away(now)
	if p := l.progress; p.Version == s.Version {
		s.At50MS, s.At95MS, s.At100MS = p.At50.Milliseconds(), p.At95.Milliseconds(), p.At100.Milliseconds()
	}
	s.State = Spreading
	inForce := sum.AtLeast(s.Version)
	switch {
	case s.Version == 0 || inForce >= s.Members && s.Heard >= s.Members:
		s.State = InForce
	case l.top.Held().Version == s.Version && l.top.Settled() && s.Heard >= s.Members:
		s.State = WithRefusals
	}
}
