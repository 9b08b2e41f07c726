// Package merge adds up what processes counted, on the way up the tree of one region.
//
// The package is pure. A digest is one process's complete count, with the process's incarnation and a sequence number: the
// newest of each process is stored, in whatever order and however often digests arrive. A coordinator's digest is its own
// sum, so that a region's coordinator stores one set of rows for each process that reports to it and not for each process
// of the region. No clock is compared with another: a digest carries its age. One process's counts are never added twice,
// and a digest of a process that does not report here is rejected.
package merge

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/count"
	"flaxcove/internal/cluster/view"
)

const (
	// MaxRows bounds a digest: a destination beyond it counts, at each process, at most as much as the last row. At ten bytes
	// a row it is 4 KB.
	MaxRows = 384
	// maxAge of a digest: two renewals and a half-life later nothing of it counts any more.
	maxAge = 90 * time.Second
	// maxChildren is above tree.Fan in each of three roles.
	maxChildren       = 128
	maxFormerVersions = 512
	maxMessages       = 1e9 // in a digest's row; more is a fault and no count
)

// Digest is one process's count, or a coordinator's sum. Its rows travel as two lists of one length, which are shorter
// than objects.
type Digest struct {
	From         view.Life              `json:"from"`
	Seq          uint64                 `json:"seq"` // grows with each digest of an incarnation
	Age          time.Duration          `json:"age"`
	Processes    int                    `json:"processes"` // that it sums up
	Destinations []choice.DestinationID `json:"d"`
	Messages     []float64              `json:"n"`
}

// NewDigest makes a digest of rows, messages rounded to a tenth.
func NewDigest(from view.Life, seq uint64, processes int, rows []count.Row) Digest {
	d := Digest{From: from, Seq: seq, Processes: processes}
	d.Destinations, d.Messages = Columns(rows)
	return d
}

// Columns returns rows as two lists, messages rounded to a tenth.
func Columns(rows []count.Row) (ids []choice.DestinationID, messages []float64) {
	for _, r := range rows {
		ids = append(ids, r.Destination)
		messages = append(messages, math.Round(r.Messages*10)/10)
	}
	return ids, messages
}

// ValidColumns reports whether two lists can be rows: as many of each, not too many, each destination once, counts
// that are possible.
func ValidColumns(ids []choice.DestinationID, messages []float64) bool {
	if len(ids) != len(messages) || len(ids) > MaxRows {
		return false
	}
	seen := make(map[choice.DestinationID]bool, len(ids))
	for i, n := range messages {
		if !(n >= 0 && n <= maxMessages) || seen[ids[i]] {
			return false
		}
		seen[ids[i]] = true
	}
	return true
}

// PutResult is what became of a digest.
type PutResult uint8

const (
	Accepted     PutResult = iota
	Outdated               // this digest or a newer one is stored already, or it is older than maxAge
	NotReporting           // of a process, or an earlier incarnation of it, that does not report here
	Invalid
)

// Table is for one goroutine at a time.
type Table struct {
	halfLife  time.Duration
	reporters map[view.Name]view.Incarnation
	digests   map[view.Name]storedDigest
	// formerVersions are those of digests that were removed: a process that reports here again must send a newer one.
	formerVersions map[view.Name]version
}

type version struct {
	incarnation view.Incarnation
	seq         uint64
	countedAt   view.Uptime
}

func (v version) newer(than version) bool {
	return cmp.Or(cmp.Compare(v.incarnation, than.incarnation), cmp.Compare(v.seq, than.seq)) > 0
}

type storedDigest struct {
	version
	processes int
	rows      []count.Row
}

// NewTable takes the half-life of counts.
func NewTable(halfLife time.Duration) *Table {
	return &Table{halfLife: halfLife, digests: map[view.Name]storedDigest{}, formerVersions: map[view.Name]version{}}
}

// SetReporters sets which processes report here. The digests of all others are removed.
func (t *Table) SetReporters(reporters []view.Life) {
	t.reporters = map[view.Name]view.Incarnation{}
	for _, l := range reporters[:min(len(reporters), maxChildren)] {
		t.reporters[l.Name] = l.Incarnation
	}
	for name, stored := range t.digests {
		if _, stays := t.reporters[name]; !stays {
			t.remove(name, stored)
		}
	}
}

func (t *Table) remove(name view.Name, stored storedDigest) {
	delete(t.digests, name)
	t.formerVersions[name] = stored.version
	if len(t.formerVersions) > maxFormerVersions {
		names := slices.Sorted(maps.Keys(t.formerVersions))
		oldest := slices.MinFunc(names, func(a, b view.Name) int {
			return cmp.Compare(t.formerVersions[a].countedAt, t.formerVersions[b].countedAt)
		})
		delete(t.formerVersions, oldest)
	}
}

// Put stores a digest whose age is as of now.
func (t *Table) Put(now view.Uptime, d Digest) PutResult {
	minIncarnation, reports := t.reporters[d.From.Name]
	last, known := t.formerVersions[d.From.Name]
	if stored, found := t.digests[d.From.Name]; found {
		last, known = stored.version, true
	}
	next := version{d.From.Incarnation, d.Seq, now - d.Age}
	switch {
	case d.Age < 0 || d.Processes < 1 || !ValidColumns(d.Destinations, d.Messages):
		return Invalid
	case !reports || d.From.Incarnation < minIncarnation:
		return NotReporting
	case d.Age > maxAge, known && !next.newer(last):
		return Outdated
	}
	stored := storedDigest{next, d.Processes, make([]count.Row, len(d.Messages))}
	for i, n := range d.Messages {
		stored.rows[i] = count.Row{Destination: d.Destinations[i], Messages: n}
	}
	t.digests[d.From.Name] = stored
	delete(t.formerVersions, d.From.Name)
	return Accepted
}

// Has reports whether a digest of this incarnation is stored.
func (t *Table) Has(l view.Life) bool {
	stored, found := t.digests[l.Name]
	return found && stored.incarnation == l.Incarnation
}

// Sum adds all stored digests to what this process counted itself: the rows of most messages, and how many processes
// they are from. It depends on nothing but the table.
func (t *Table) Sum(now view.Uptime, own []count.Row) (rows []count.Row, processes int) {
	sum := make(map[choice.DestinationID]float64, len(own))
	for _, r := range own {
		sum[r.Destination] += r.Messages
	}
	processes = 1
	for _, name := range slices.Sorted(maps.Keys(t.digests)) { // in order, as sums of floats depend on it
		stored := t.digests[name]
		if now-stored.countedAt > maxAge {
			t.remove(name, stored)
			continue
		}
		processes += stored.processes
		decayed := count.Decay(now-stored.countedAt, t.halfLife)
		for _, r := range stored.rows {
			sum[r.Destination] += r.Messages * decayed
		}
	}
	for d, n := range sum {
		rows = append(rows, count.Row{Destination: d, Messages: n})
	}
	slices.SortFunc(rows, count.CompareRows)
	return slices.Clip(rows[:min(len(rows), MaxRows)]), processes
}

// ChangedFraction is how much of a digest is new, from 0 to 1: before are the rows of the last one, and decayed is
// what decay left of them.
func ChangedFraction(before, after []count.Row, decayed float64) float64 {
	expected := make(map[choice.DestinationID]float64, len(before))
	var difference, total float64
	for _, r := range before {
		expected[r.Destination] = r.Messages * decayed
	}
	for _, r := range after {
		b := expected[r.Destination]
		delete(expected, r.Destination)
		difference, total = difference+math.Abs(r.Messages-b), total+max(r.Messages, b)
	}
	for _, r := range before { // in order, as above
		if n, gone := expected[r.Destination]; gone {
			difference, total = difference+n, total+n
		}
	}
	if total == 0 {
		return 0
	}
	return difference / total
}
