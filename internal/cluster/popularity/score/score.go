// Package score computes the score of destinations at one process, from the newest ranking of its region and the process's own
// counts.
//
// The package does no I/O and reads no clock. The region's coordinator makes the rankings, which carry their age. They decay with
// the half-life of counts, so that a process that is isolated from its region changes over to its own counts gradually. A
// ranking of another region is never accepted, and neither is an older one in place of a newer one.
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
	// IsolatedAfter is the age of the ranking beyond which a process counts as isolated from its region. Coordinators make a new
	// ranking at least every ten seconds, and it passes three levels of the tree, each within two seconds.
	IsolatedAfter = 30 * time.Second
	maxAge        = 10 * time.Minute // of a ranking that is used or passed on: twenty half-lives of counts
	// regionWeight is the weight in a score of the region's mean count per process, relative to the process's own count. The
	// mean weighs more because it is based on many more messages of the same traffic. Messages that only this process
	// receives still have an effect.
	regionWeight = 4
)

// Version identifies a ranking by the incarnation of the region's coordinator that made it and a sequence number. The zero value
// stands for no ranking.
type Version struct {
	Coordinator view.Instance `json:"head"`
	Seq         uint64        `json:"seq"`
}

// Ranking holds the destinations with the most messages in a region, as it is sent down the tree. Destinations and Messages have
// equal lengths; the numbers of messages are sums over the region's processes.
type Ranking struct {
	Version
	Region       view.Region            `json:"region"`
	Age          time.Duration          `json:"age"`       // time since the counts were made
	Processes    int                    `json:"processes"` // number of processes whose counts it includes
	Destinations []choice.DestinationID `json:"d"`
	Messages     []float64              `json:"n"`
}

// Table stores the newest ranking that a process has received. NewTable creates one. It is not safe for concurrent use.
type Table struct {
	halfLife time.Duration
	ranking  *Ranking                         // nil for none; never modified
	rankedAt view.Uptime                      // time of the ranking's counts
	means    map[choice.DestinationID]float64 // messages per process of the region, as of rankedAt
}

// NewTable returns a table without a ranking, for counts with this half-life.
func NewTable(halfLife time.Duration) *Table { return &Table{halfLife: halfLife} }

// Update stores a ranking whose age is as of now, at a process of the region here, and returns whether it replaces the stored one.
// Rankings of one coordinator are compared by its incarnation and their sequence number. Rankings of two coordinators are
// compared by age, as a process that is no longer the coordinator may continue to send for a while.
func (b *Table) Update(now view.Uptime, here view.Region, t Ranking) bool {
	if t.Region != here || t.Age < 0 || t.Age > maxAge || t.Processes < 1 || t.Coordinator.Name == "" ||
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

// supersededBy reports whether a ranking is newer than the stored one.
func (b *Table) supersededBy(t Ranking, rankedAt view.Uptime) bool {
	if t.Coordinator.Name != b.ranking.Coordinator.Name {
		return rankedAt > b.rankedAt
	}
	return cmp.Or(cmp.Compare(t.Coordinator.Incarnation, b.ranking.Coordinator.Incarnation), cmp.Compare(t.Seq, b.ranking.Seq)) > 0
}

// RankingFor returns the ranking to pass on to a process that has the version known, with its age as of now. It returns nil if
// that process has the same ranking, or if there is none younger than maxAge.
func (b *Table) RankingFor(now view.Uptime, known Version) *Ranking {
	if b.ranking == nil || b.ranking.Version == known || now-b.rankedAt > maxAge {
		return nil
	}
	t := *b.ranking
	t.Age = now - b.rankedAt
	return &t
}

// Version returns the version of the stored ranking, or the zero Version if there is none.
func (b *Table) Version() Version {
	if b.ranking == nil {
		return Version{}
	}
	return b.ranking.Version
}

// Age returns the age of the stored ranking, and false if there is none.
func (b *Table) Age(now view.Uptime) (time.Duration, bool) { return now - b.rankedAt, b.ranking != nil }

// Isolated reports whether this process has no ranking that is at most IsolatedAfter old.
func (b *Table) Isolated(now view.Uptime) bool {
	return b.ranking == nil || now-b.rankedAt > IsolatedAfter
}

// Score returns the score of a destination, in messages: own, which is the process's own count, plus regionWeight times the mean
// count per process of the region, decayed by the ranking's age.
func (b *Table) Score(now view.Uptime, d choice.DestinationID, own float64) float64 {
	if b.ranking == nil {
		return own
	}
	return own + regionWeight*b.means[d]*count.Decay(now-b.rankedAt, b.halfLife)
}
