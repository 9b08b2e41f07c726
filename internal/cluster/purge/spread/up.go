package spread

// This file is the way up: when a message is due, and what is in it.

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"slices"

	"flaxcove/internal/cluster/view"
)

type upward struct {
	no      uint64
	prev    uint64 // the newest that was told to the parent; 0 when all is to be told anew
	cohort  uint32 // the parent has it
	changed bool   // there is something it has not
	since   view.Now
	last    view.Now
	sent    bool // last means something
	flying  bool
	fails   int
	retryAt view.Now
	holding int // answers down that wait for those below: they will carry it
}

func (s *State) news(now view.Now) {
	if !s.up.changed {
		s.up.changed, s.up.since = true, now
	}
}

// forgetTold has all told once more: the parent is another, or has lost something.
func (s *State) forgetTold(now view.Now) {
	s.up.cohort, s.up.prev = 0, 0
	for _, r := range s.rows {
		r.told = false
	}
	s.news(now)
}

// standings are this process and all below it, by name, each name once with its newest life.
func (s *State) standings() (all []Standing) {
	if !s.top {
		all = append(all, Standing{s.self, s.applied})
	}
	for _, n := range s.names {
		all = append(all, s.children[n].stands...)
	}
	slices.SortFunc(all, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Incarnation, a.Incarnation), cmp.Compare(b.Upto, a.Upto))
	})
	return slices.CompactFunc(all, func(a, b Standing) bool { return a.Name == b.Name })
}

// Settled tells whether this process and all below it have applied all that is held here.
func (s *State) Settled() bool {
	if !s.top && s.applied < s.has {
		return false
	}
	for _, n := range s.names {
		c := s.children[n]
		if !c.met {
			return false
		}
		for _, st := range c.stands {
			if st.Upto < s.has {
				return false
			}
		}
	}
	return true
}

// Hold tells that an answer to a message down waits until Settled, at most HoldFor; Answer ends it.
func (s *State) Hold() { s.up.holding++ }

// Answer is the answer to a message down.
func (s *State) Answer(to Down, now view.Now) Up {
	s.up.holding = max(s.up.holding-1, 0)
	return s.report(to.above() == s.parent, now)
}

// Up is the message up, if one is due. It must be followed by UpDone or UpFailed.
func (s *State) Up(now view.Now) (Up, bool) {
	u := &s.up
	if s.parent.Name == "" || s.has == 0 || !u.changed || u.flying || u.holding > 0 || now < u.retryAt {
		return Up{}, false
	}
	due := u.since + Interval
	if s.Settled() {
		due = u.since
	}
	if u.sent {
		due = max(due, u.last+Soonest)
	}
	if now < due {
		return Up{}, false
	}
	u.flying = true
	return s.report(true, now), true
}

// UpDone takes the answer of a parent; UpFailed tells that there was none.
func (s *State) UpDone(to Above, a UpAnswer, now view.Now) {
	if to != s.parent {
		return
	}
	s.up.flying, s.up.fails = false, 0
	if a.Again {
		s.forgetTold(now)
		s.up.retryAt = now + firstRetry
	}
}

// UpFailed tells that a message up was lost, or its answer.
func (s *State) UpFailed(to Above, now view.Now) {
	if to != s.parent {
		return
	}
	s.up.flying = false
	s.forgetTold(now)
	s.up.retryAt = now + backOff(s.up.fails)
	s.up.fails++
}

// report is how all here stand. With mark it counts as told; otherwise it is whole.
func (s *State) report(mark bool, now view.Now) Up {
	stands := s.standings()
	s.up.no++
	up := Up{From: s.self, No: s.up.no, Has: s.has, Cohort: cohort(stands)}
	if mark {
		up.Prev = s.up.prev
	}
	if up.Prev == 0 || s.up.cohort != up.Cohort {
		up.Lives = make([]view.Life, len(stands))
		for i, st := range stands {
			up.Lives[i] = st.Life
		}
	}
	left := false
	capped := ^uint64(0)
	keys := make([]rowKey, 0, 16)
	for k, r := range s.rows {
		if !mark || !r.told {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b rowKey) int {
		return cmp.Or(cmp.Compare(a.seq, b.seq), cmp.Compare(a.name, b.name), cmp.Compare(a.folder, b.folder))
	})
	if len(keys) > MostRows {
		// That a life has applied a purge comes with what it found there, or later: never before.
		left, capped = true, keys[MostRows].seq-1
		keys = keys[:MostRows]
	}
	for _, k := range keys {
		r := s.rows[k]
		up.Rows = append(up.Rows, Row{Life: view.Life{Name: k.name, Incarnation: r.incarnation}, Folder: k.folder,
			Seq: k.seq, Found: r.found})
		r.told = r.told || mark
	}
	for _, st := range stands {
		up.Base = max(up.Base, min(st.Upto, capped))
	}
	for _, st := range stands {
		if st.Upto = min(st.Upto, capped); st.Upto < up.Base {
			up.Behind = append(up.Behind, st)
		}
	}
	if mark {
		s.up.prev, s.up.cohort, s.up.last, s.up.sent = up.No, up.Cohort, now, true
		if s.up.changed = left; left {
			s.up.since = now - Interval
		}
	}
	return up
}

func cohort(stands []Standing) uint32 {
	var text []byte
	for _, st := range stands {
		text = append(append(text, st.Name...), 0)
		text = binary.LittleEndian.AppendUint64(text, uint64(st.Incarnation))
	}
	return crc32.ChecksumIEEE(text)
}

// Parent is to whom this process reports; the zero value for nobody.
func (s *State) Parent() Above { return s.parent }
