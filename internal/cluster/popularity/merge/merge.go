// Package merge adds up the counts of the processes of one region, as they are sent up the tree.
//
// The package does no I/O and reads no clock. A Digest holds the complete counts of one process, with the incarnation of the
// process and a sequence number. Of each process the newest digest is stored, whatever the order and number of arrivals. A
// process with others below it sends the sum of their digests and its own counts as its digest, so a region's coordinator
// stores one set of rows per child rather than one per process of the region. A digest carries its age, so that clocks of
// different processes are never compared. The counts of a process are never added twice, and a digest of a process that does
// not report here is rejected.
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
	// MaxRows is the maximum number of rows in a digest. A destination that is omitted has at most as many messages at that
	// process as the last row. At ten bytes per row, a digest takes up to 4 KB.
	MaxRows = 384
	// maxAge is the age beyond which a digest no longer counts. It is longer than two renewals and a half-life.
	maxAge = 90 * time.Second
	// maxChildren is the maximum number of processes that report here. It exceeds tree.MaxChildren children in each of
	// three roles.
	maxChildren       = 128
	maxFormerVersions = 512 // entries in Table.formerVersions
	maxRowMessages    = 1e9 // in a row of a digest; a higher number is invalid
)

// Digest holds the counts of one process and of the processes below it. Its rows are encoded as two lists of equal length, which
// take less space than a list of objects.
type Digest struct {
	From         view.Instance          `json:"from"`
	Seq          uint64                 `json:"seq"`       // grows with each digest that an incarnation makes
	Age          time.Duration          `json:"age"`       // time since the counts were made
	Processes    int                    `json:"processes"` // number of processes whose counts it includes
	Destinations []choice.DestinationID `json:"d"`
	Messages     []float64              `json:"n"`
}

// NewDigest returns a digest with rows, in which numbers of messages are rounded to a tenth.
func NewDigest(from view.Instance, seq uint64, processes int, rows []count.Row) Digest {
	d := Digest{From: from, Seq: seq, Processes: processes}
	d.Destinations, d.Messages = Columns(rows)
	return d
}

// Columns returns the destinations and the numbers of messages of rows as two lists. The numbers are rounded to a tenth.
func Columns(rows []count.Row) (ids []choice.DestinationID, messages []float64) {
	for _, r := range rows {
		ids = append(ids, r.Destination)
		messages = append(messages, math.Round(r.Messages*10)/10)
	}
	return ids, messages
}

// ValidColumns reports whether two lists form valid rows: they have equal lengths of at most MaxRows, each destination occurs
// once, and the numbers of messages are possible.
func ValidColumns(ids []choice.DestinationID, messages []float64) bool {
	if len(ids) != len(messages) || len(ids) > MaxRows {
		return false
	}
	seen := make(map[choice.DestinationID]bool, len(ids))
	for i, n := range messages {
		if !(n >= 0 && n <= maxRowMessages) || seen[ids[i]] {
			return false
		}
		seen[ids[i]] = true
	}
	return true
}

// PutResult is the outcome of Table.Put.
type PutResult uint8

// Values of PutResult.
const (
	Accepted     PutResult = iota
	Outdated               // the same digest or a newer one is already known, or the digest is older than maxAge
	NotReporting           // the process does not report here, or the digest is of an earlier incarnation of it
	Invalid                // the age, the number of processes or the rows are impossible
)

// Table stores the newest digest of each process that reports here. NewTable creates one. It is not safe for concurrent use.
type Table struct {
	halfLife  time.Duration
	reporters map[view.Name]view.Incarnation // lowest accepted incarnation of the processes that report here
	digests   map[view.Name]storedDigest
	// formerVersions has the versions of digests that were removed. If a process reports here again, only a newer digest is
	// accepted.
	formerVersions map[view.Name]version
}

// version identifies a digest of a process, and holds the time at which its counts were made.
type version struct {
	incarnation view.Incarnation
	seq         uint64
	countedAt   view.Uptime
}

// newer reports whether v is a later digest of the same process. It does not compare the times.
func (v version) newer(than version) bool {
	return cmp.Or(cmp.Compare(v.incarnation, than.incarnation), cmp.Compare(v.seq, than.seq)) > 0
}

// storedDigest is the content of a digest, with the time of its counts in place of its age.
type storedDigest struct {
	version
	processes int
	rows      []count.Row
}

// NewTable returns an empty table for counts with this half-life.
func NewTable(halfLife time.Duration) *Table {
	return &Table{halfLife: halfLife, digests: map[view.Name]storedDigest{}, formerVersions: map[view.Name]version{}}
}

// SetReporters sets the processes that report here, of which at most maxChildren are accepted. The digests of all others are
// removed.
func (t *Table) SetReporters(reporters []view.Instance) {
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

// remove removes a digest and records its version.
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

// Put stores a digest whose age is as of now, and returns whether it was accepted or why not.
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

// Has reports whether a digest of this incarnation of a process is stored.
func (t *Table) Has(l view.Instance) bool {
	stored, found := t.digests[l.Name]
	return found && stored.incarnation == l.Incarnation
}

// Sum adds the stored digests, decayed to now, to the rows that this process has counted itself. It returns the MaxRows rows with
// the most messages in descending order, and the number of processes whose counts they include. Digests older than maxAge are
// removed.
func (t *Table) Sum(now view.Uptime, own []count.Row) (rows []count.Row, processes int) {
	sum := make(map[choice.DestinationID]float64, len(own))
	for _, r := range own {
		sum[r.Destination] += r.Messages
	}
	processes = 1
	for _, name := range slices.Sorted(maps.Keys(t.digests)) { // in a fixed order, as sums of floats depend on it
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

// ChangedFraction returns the fraction of the messages in rows that has changed since the last digest, from 0 to 1. before are
// the rows of the last digest, and decayed is the fraction of their messages that is left after decay.
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
	for _, r := range before { // in a fixed order, as sums of floats depend on it
		if n, removed := expected[r.Destination]; removed {
			difference, total = difference+n, total+n
		}
	}
	if total == 0 {
		return 0
	}
	return difference / total
}
