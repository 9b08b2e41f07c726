package run

// This file is what is shown of a purge: by region, zone and process, as the council's leader knows it.

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/purge/spread"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

// Standing is how a process stands to a purge.
type Standing string

const (
	acknowledged Standing = "acknowledged"
	notReached   Standing = "not reached yet"
	hasLapsed    Standing = "lapsed"
)

// Shown is a purge as GET tells it.
type Shown struct {
	ID       string          `json:"id"`
	Seq      uint64          `json:"seq"`
	Subject  ledger.Subject  `json:"subject"`
	Match    *together.Match `json:"match,omitempty"` // none once nobody can need it any more
	Who      string          `json:"who,omitempty"`
	Why      string          `json:"why,omitempty"`
	AgeMS    int64           `json:"age_ms"`
	State    ledger.State    `json:"state"`
	Sums     Sums            `json:"sums"`
	Regions  []ShownRegion   `json:"regions,omitempty"`
	LapsedAt []view.Name     `json:"lapsed_at,omitempty"` // at most 64 of them
	LapseMS  int64           `json:"lapse_at_age_ms"`     // from this age time stands for an answer
	LedgerBy view.Name       `json:"told_by"`
}

// Sums are processes by how they stand, and what was found.
type Sums struct {
	Acknowledged int            `json:"acknowledged"`
	NotReached   int            `json:"not_reached_yet"`
	Lapsed       int            `json:"lapsed"`
	Found        together.Found `json:"found"`
}

// ShownRegion, ShownZone and ShownProcess are the tree. Of a closed purge the sums are kept.
type ShownRegion struct {
	Region view.Region `json:"region"`
	Sums   Sums        `json:"sums"`
	Zones  []ShownZone `json:"zones"`
}

type ShownZone struct {
	Zone      view.Zone      `json:"zone"`
	Sums      Sums           `json:"sums"`
	Processes []ShownProcess `json:"processes,omitempty"`
}

type ShownProcess struct {
	view.Life
	Standing Standing       `json:"standing"`
	Found    together.Found `json:"found"`
}

type showing struct {
	ID string `json:"id"`
}

type shown struct {
	Known bool  `json:"known"`
	Shown Shown `json:"shown"`
}

// show asks the leader.
func (r *Runner) show(ctx context.Context, id string) (s shown, err error) {
	here := func() error { return r.caller.Call(ctx, r.o.Self.Name, pathShow, showing{id}, &s) }
	err = r.caller.Show(ctx, 4*pace, here, pathShow, showing{id}, &s)
	return s, err
}

func (r *Runner) takeShow(_ context.Context, _ view.Life, body []byte) (any, error) {
	var q showing
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, fmt.Errorf("purge: asked to show: %w", err)
	}
	if !r.o.Consensus.Leading() {
		return nil, errNotLeading
	}
	var row ledger.Row
	var known bool
	var horizon time.Duration
	var seats []ledger.Seat
	r.o.Consensus.Read(func(uint64) {
		row, known = r.o.Ledger.Find(q.ID)
		horizon, seats = r.o.Ledger.Horizon(), r.o.Ledger.Seats()
	})
	if !known {
		return shown{}, nil
	}
	s := Shown{ID: row.ID, Seq: row.Seq, Subject: row.Subject, Who: row.Who, Why: row.Why, State: row.State,
		LapseMS: horizon.Milliseconds(), LedgerBy: r.o.Self.Name}
	if row.Match != (together.Match{}) {
		s.Match = &row.Match
	}
	s.AgeMS = max(r.o.Consensus.Clock()-row.At, 0).Milliseconds()
	r.mu.Lock()
	var all []spread.Process
	if r.leads && r.gather != nil && row.State == ledger.Spreading {
		all = r.gather.Of(row.Seq)
	}
	r.mu.Unlock()
	if row.State == ledger.Spreading {
		s.growing(all, seats)
	} else {
		s.closed(row)
	}
	return shown{Known: true, Shown: s}, nil
}

// growing is the tree of an open purge. A leader that has only just begun knows of none that has acknowledged.
func (s *Shown) growing(all []spread.Process, seats []ledger.Seat) {
	if all == nil {
		for _, seat := range seats {
			all = append(all, spread.Process{Seat: seat})
		}
	}
	for _, p := range all {
		z := s.zone(p.Seat.Region, p.Seat.Zone)
		one := ShownProcess{Life: p.Seat.Life, Standing: notReached, Found: p.Found}
		if p.Acknowledged {
			one.Standing = acknowledged
			z.Sums.Acknowledged++
		} else {
			z.Sums.NotReached++
		}
		z.Sums.Found = spread.Plus(z.Sums.Found, p.Found)
		z.Processes = append(z.Processes, one)
	}
	s.sum()
}

// closed is the tree of a closed one, as the ledger keeps it.
func (s *Shown) closed(row ledger.Row) {
	for _, sum := range row.Zones {
		s.zone(sum.Region, sum.Zone).Sums = Sums{Acknowledged: sum.Reached, Lapsed: sum.Lapsed, Found: sum.Found}
	}
	s.LapsedAt = row.Names
	s.sum()
	s.Sums = Sums{Acknowledged: row.Reached, Lapsed: row.Lapsed, Found: row.Found}
}

func (s *Shown) zone(region view.Region, zone view.Zone) *ShownZone {
	i, found := slices.BinarySearchFunc(s.Regions, region, func(r ShownRegion, n view.Region) int {
		return cmp.Compare(r.Region, n)
	})
	if !found {
		s.Regions = slices.Insert(s.Regions, i, ShownRegion{Region: region})
	}
	zones := &s.Regions[i].Zones
	j, found := slices.BinarySearchFunc(*zones, zone, func(z ShownZone, n view.Zone) int {
		return cmp.Compare(z.Zone, n)
	})
	if !found {
		*zones = slices.Insert(*zones, j, ShownZone{Zone: zone})
	}
	return &(*zones)[j]
}

func (s *Shown) sum() {
	for i := range s.Regions {
		for _, z := range s.Regions[i].Zones {
			s.Regions[i].Sums = s.Regions[i].Sums.plus(z.Sums)
		}
		s.Sums = s.Sums.plus(s.Regions[i].Sums)
	}
}

func (s Sums) plus(o Sums) Sums {
	return Sums{Acknowledged: s.Acknowledged + o.Acknowledged, NotReached: s.NotReached + o.NotReached,
		Lapsed: s.Lapsed + o.Lapsed, Found: spread.Plus(s.Found, o.Found)}
}
