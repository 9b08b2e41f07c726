// Package score holds a region's ranking as one process received it, and computes the score of a destination from that and
// from what the process counted itself.
//
// The package is pure. Rankings come from the region's coordinator with their age; they decay by the half-life of counts,
// so that a process that is cut off goes over to its own counts without a jump. The ranking of another region is never
// taken, nor an older one in place of a newer.
package score

import (
	"cmp"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/count"
	"flaxcove/internal/cluster/popularity/merge"
	"flaxcove/internal/cluster/view"
)

const (
	// IsolatedAfter is the age of a ranking from which a process counts as cut off from its region: coordinators send anew
	// each ten seconds, and a ranking passes three tiers of two seconds.
	IsolatedAfter = 30 * time.Second
	maxAge        = 10 * time.Minute // twenty half-lives of counts
	// regionWeight is how much the mean of the region's processes weighs beside the process's own count. Its own messages
	// are a part of the same stream, and the mean rests on many times as many; what it alone is handed still shows.
	regionWeight = 4
)

// Version names one ranking: the incarnation of the region's coordinator, and a sequence number.
type Version struct {
	Head view.Life `json:"head"`
	Seq  uint64    `json:"seq"`
}

// Ranking is a region's ranking on its way down the tree.
type Ranking struct {
	Version
	Region       view.Region            `json:"region"`
	Age          time.Duration          `json:"age"`
	Processes    int                    `json:"processes"`
	Destinations []choice.DestinationID `json:"d"`
	Messages     []float64              `json:"n"`
}

// Table is for one goroutine at a time.
type Table struct {
	halfLife time.Duration
	ranking  *Ranking // immutable
	rankedAt view.Uptime
	means    map[choice.DestinationID]float64 // messages a process of the region, as of rankedAt
}

// NewTable takes the half-life of counts.
func NewTable(halfLife time.Duration) *Table { return &Table{halfLife: halfLife} }

// Update takes a ranking whose age is as of now, at a process of the region here; false where it changes nothing. Of
// one coordinator the later incarnation and the higher number count; of two coordinators the younger ranking, as one
// that lost its role may go on sending for a while.
func (b *Table) Update(now view.Uptime, here view.Region, t Ranking) bool {
	if t.Region != here || t.Age < 0 || t.Age > maxAge || t.Processes < 1 || t.Head.Name == "" ||
		!merge.ValidColumns(t.Destinations, t.Messages) {
		return false
	}
	at := now - t.Age
	if b.ranking != nil && !b.supersededBy(t, at) {
		return false
	}
	b.ranking, b.rankedAt, b.means = &t, at, make(map[choice.DestinationID]float64, len(t.Destinations))
	for i, d := range t.Destinations {
		b.means[d] = t.Messages[i] / float64(t.Processes)
	}
	return true
}

func (b *Table) supersededBy(t Ranking, rankedAt view.Uptime) bool {
	if t.Head.Name != b.ranking.Head.Name {
		return rankedAt > b.rankedAt
	}
	return cmp.Or(cmp.Compare(t.Head.Incarnation, b.ranking.Head.Incarnation), cmp.Compare(t.Seq, b.ranking.Seq)) > 0
}

// RankingFor is what this process passes on to one that knows a version, its age as of now; nil if that has nothing
// newer to learn.
func (b *Table) RankingFor(now view.Uptime, known Version) *Ranking {
	if b.ranking == nil || b.ranking.Version == known || now-b.rankedAt > maxAge {
		return nil
	}
	t := *b.ranking
	t.Age = now - b.rankedAt
	return &t
}

// Version is that of the stored ranking; zero for none.
func (b *Table) Version() Version {
	if b.ranking == nil {
		return Version{}
	}
	return b.ranking.Version
}

// Age is how old the ranking is; false if there is none.
func (b *Table) Age(now view.Uptime) (time.Duration, bool) { return now - b.rankedAt, b.ranking != nil }

// Isolated reports whether this process hears nothing from its region.
func (b *Table) Isolated(now view.Uptime) bool {
	return b.ranking == nil || now-b.rankedAt > IsolatedAfter
}

// Score is how many messages one process of the region is handed in for a destination on average, decayed by the
// ranking's age, and what was handed in here (own).
func (b *Table) Score(now view.Uptime, d choice.DestinationID, own float64) float64 {
	if b.ranking == nil {
		return own
	}
	return own + regionWeight*b.means[d]*count.Decay(now-b.rankedAt, b.halfLife)
}
