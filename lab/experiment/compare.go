package experiment

// This file computes the statistics: differences between variants on the same seeds, with confidence intervals. Void and
// failed runs are left out.

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the confidence level of all intervals.
const confidence = 0.95

// Difference is the difference of a variant's figure from that of the base, over pairs of runs with the same seed.
type Difference struct {
	Scenario    string  `json:"scenario"` // "" for all scenarios of the size
	Size        float64 `json:"size"`
	Variant     string  `json:"variant"`
	Pairs       int     `json:"pairs"`
	Base        float64 `json:"base"`   // mean figure of the base
	Mean        float64 `json:"mean"`   // mean of the differences
	Low         float64 `json:"low"`    // lower end of the confidence interval
	High        float64 `json:"high"`   // upper end of the confidence interval
	HasInterval bool    `json:"known"`  // there are enough pairs to compute Low and High
	Broken      int     `json:"broken"` // number of pairs in which the variant broke a rule
}

// Verdict says whether the variant is better or worse than the base, or that the difference is not significant.
func (d *Difference) Verdict() string {
	switch {
	case d.Pairs == 0:
		return "no pairs"
	case !d.HasInterval || d.Low <= 0 && d.High >= 0:
		return "not significant"
	case d.Mean > 0:
		return "better"
	}
	return "worse"
}

// Compare pairs the runs of each variant with those of the base at the same scenario, size and seed. It returns a row for
// each variant, scenario and size. If several scenarios share a size, a further row covers all of them, each with the same
// weight.
func Compare(results []*Result, base string) (rows []Difference) {
	c := newComparison(results, base)
	for _, variant := range c.variants {
		rows = append(rows, c.rows(variant)...)
	}
	return rows
}

// cell identifies a scenario at a size.
type cell struct {
	scenario string
	size     float64
}

// pairKey identifies a pair of runs that are compared: the same scenario, size and seed.
type pairKey struct {
	cell
	seed uint64
}

// comparison holds the results that are neither void nor failed. Slices are in the order of the results.
type comparison struct {
	results  []*Result
	bases    map[pairKey]*Result // results of the base
	cells    []cell
	variants []string // without the base
}

func newComparison(results []*Result, base string) *comparison {
	c := &comparison{bases: map[pairKey]*Result{}}
	for _, r := range results {
		if r.Error != "" || r.Void != "" {
			continue
		}
		c.results = append(c.results, r)
		at := cell{r.Scenario, r.Size}
		if !slices.Contains(c.cells, at) {
			c.cells = append(c.cells, at)
		}
		if r.Variant == base {
			c.bases[pairKey{at, r.Seed}] = r
		} else if !slices.Contains(c.variants, r.Variant) {
			c.variants = append(c.variants, r.Variant)
		}
	}
	return c
}

// rows returns a variant's differences by cell, followed by one row for each size that several scenarios share.
func (c *comparison) rows(variant string) (rows []Difference) {
	totals := map[float64]*sizeTotal{}
	for _, at := range c.cells {
		d, diffs := c.difference(at, variant)
		if len(diffs) == 0 {
			continue
		}
		rows = append(rows, d)
		if totals[at.size] == nil {
			totals[at.size] = &sizeTotal{Difference: Difference{Size: at.size, Variant: variant}}
		}
		totals[at.size].add(&d, diffs)
	}
	for _, size := range slices.Sorted(maps.Keys(totals)) {
		if total := totals[size]; len(total.groups) > 1 {
			total.Base /= float64(len(total.groups))
			total.interval(total.groups)
			rows = append(rows, total.Difference)
		}
	}
	return rows
}

// difference compares a variant with the base at one cell. Diffs holds the difference of the figures for each pair of runs.
func (c *comparison) difference(at cell, variant string) (d Difference, diffs []float64) {
	d = Difference{Scenario: at.scenario, Size: at.size, Variant: variant}
	for _, r := range c.results {
		base := c.bases[pairKey{at, r.Seed}]
		if r.Variant != variant || (cell{r.Scenario, r.Size}) != at || base == nil {
			continue
		}
		diffs = append(diffs, r.Figure-base.Figure)
		d.Base += base.Figure
		if len(r.Rules) > 0 {
			d.Broken++
		}
	}
	if len(diffs) == 0 {
		return d, nil
	}
	d.Pairs = len(diffs)
	d.Base /= float64(d.Pairs)
	d.interval([][]float64{diffs})
	return d, diffs
}

// sizeTotal adds up the differences of all scenarios at one size.
type sizeTotal struct {
	Difference
	groups [][]float64 // the differences by pair, one group for each scenario
}

func (s *sizeTotal) add(d *Difference, diffs []float64) {
	s.Pairs += d.Pairs
	s.Broken += d.Broken
	s.Base += d.Base
	s.groups = append(s.groups, diffs)
}

// interval sets Mean to the mean of the groups' means, and Low and High to its Student's t confidence interval, to which each
// group contributes its own variance. Without a group of two or more elements there is no interval, and HasInterval stays
// false.
func (d *Difference) interval(groups [][]float64) {
	mean, variance, degreesOfFreedom := 0.0, 0.0, 0.0
	k := float64(len(groups))
	for _, g := range groups {
		groupMean, sd := stat.MeanStdDev(g, nil)
		mean += groupMean / k
		if len(g) > 1 {
			variance += sd * sd / float64(len(g)) / (k * k)
			degreesOfFreedom += float64(len(g) - 1)
		}
	}
	d.Mean = mean
	if degreesOfFreedom < 1 {
		return
	}
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile(0.5+confidence/2) * math.Sqrt(variance)
	d.Low, d.High, d.HasInterval = mean-half, mean+half, true
}

// Mean holds the mean figures of one variant at one scenario and size. Void and failed runs are left out.
type Mean struct {
	Scenario string
	Size     float64
	Variant  string
	Figure   float64
	Service  float64
	Runs     int
	Broken   int     // number of runs in which a rule was broken
	WallS    float64 // mean wall time of a run, in seconds
	MemoryMB float64 // highest memory use of a run
	Senders  int
}

// Averages returns the means of all variants, sorted by size. Within a size, scenarios and variants keep the order of the
// results.
func Averages(results []*Result) (all []Mean) {
	meanOf := func(r *Result) *Mean {
		for i := range all {
			if m := &all[i]; m.Scenario == r.Scenario && m.Size == r.Size && m.Variant == r.Variant {
				return m
			}
		}
		all = append(all, Mean{Scenario: r.Scenario, Size: r.Size, Variant: r.Variant, Senders: r.Sizes.Senders})
		return &all[len(all)-1]
	}
	for _, r := range results {
		if r.Error != "" || r.Void != "" {
			continue
		}
		m := meanOf(r)
		m.Runs++
		m.Figure += r.Figure
		m.Service += r.Service
		if len(r.Rules) > 0 {
			m.Broken++
		}
		if r.Engines != nil {
			m.WallS += r.Engines.WallS
			m.MemoryMB = max(m.MemoryMB, r.Engines.MemoryMB)
		}
	}
	for i := range all {
		n := float64(all[i].Runs)
		all[i].Figure, all[i].Service, all[i].WallS = all[i].Figure/n, all[i].Service/n, all[i].WallS/n
	}
	slices.SortStableFunc(all, func(a, b Mean) int { return cmp.Compare(a.Size, b.Size) })
	return all
}
