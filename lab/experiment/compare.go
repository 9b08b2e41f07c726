package experiment

// This file has the statistics: differences between variants on the same seeds, with confidence intervals. Void runs are
// not compared.

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

// Difference is the difference of a variant from the base on the same seeds.
type Difference struct {
	Scenario string  `json:"scenario"` // "" for all together
	Size     float64 `json:"size"`
	Variant  string  `json:"variant"`
	Pairs    int     `json:"pairs"`
	Base     float64 `json:"base"`  // mean figure
	Mean     float64 `json:"mean"`  // of the differences
	Low      float64 `json:"low"`   // of the interval
	High     float64 `json:"high"`  // likewise
	Known    bool    `json:"known"` // there are enough pairs for an interval
	Broken   int     `json:"broken"`
}

// Verdict says in words what the interval shows.
func (d *Difference) Verdict() string {
	switch {
	case d.Pairs == 0:
		return "no pairs"
	case !d.Known || d.Low <= 0 && d.High >= 0:
		return "cannot be told"
	case d.Mean > 0:
		return "better"
	}
	return "worse"
}

// Compare pairs each variant's runs with the base's of the same scenario, size and seed. There is a row for each scenario,
// and one for all scenarios of a size, in which each scenario has the same weight.
func Compare(results []*Result, base string) (rows []Difference) {
	c := newComparison(results, base)
	for _, variant := range c.variants {
		rows = append(rows, c.rows(variant)...)
	}
	return rows
}

// cell is a scenario at a size.
type cell struct {
	scenario string
	size     float64
}

// pairing identifies the runs that are compared with each other.
type pairing struct {
	cell
	seed uint64
}

// comparison holds the results that count, in their order.
type comparison struct {
	results  []*Result
	bases    map[pairing]*Result
	cells    []cell
	variants []string
}

func newComparison(results []*Result, base string) *comparison {
	c := &comparison{bases: map[pairing]*Result{}}
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
			c.bases[pairing{at, r.Seed}] = r
		} else if !slices.Contains(c.variants, r.Variant) {
			c.variants = append(c.variants, r.Variant)
		}
	}
	return c
}

// rows returns a variant's differences, followed by one for each size at which several scenarios were played.
func (c *comparison) rows(variant string) (rows []Difference) {
	sums := map[float64]*sizeSum{}
	for _, at := range c.cells {
		d, diffs := c.difference(at, variant)
		if len(diffs) == 0 {
			continue
		}
		rows = append(rows, d)
		if sums[at.size] == nil {
			sums[at.size] = &sizeSum{Difference: Difference{Size: at.size, Variant: variant}}
		}
		sums[at.size].add(&d, diffs)
	}
	for _, size := range slices.Sorted(maps.Keys(sums)) {
		if sum := sums[size]; len(sum.groups) > 1 {
			sum.Base /= float64(len(sum.groups))
			sum.interval(sum.groups)
			rows = append(rows, sum.Difference)
		}
	}
	return rows
}

// difference compares a variant with the base at one cell. Diffs has one element for each seed.
func (c *comparison) difference(at cell, variant string) (d Difference, diffs []float64) {
	d = Difference{Scenario: at.scenario, Size: at.size, Variant: variant}
	for _, r := range c.results {
		base := c.bases[pairing{at, r.Seed}]
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

// sizeSum collects the scenarios of one size.
type sizeSum struct {
	Difference
	groups [][]float64
}

func (s *sizeSum) add(d *Difference, diffs []float64) {
	s.Pairs += d.Pairs
	s.Broken += d.Broken
	s.Base += d.Base
	s.groups = append(s.groups, diffs)
}

// interval is Student's confidence interval for the mean of the groups' means, each group with its own variance.
func (d *Difference) interval(groups [][]float64) {
	sum, variance, freedom := 0.0, 0.0, 0.0
	k := float64(len(groups))
	for _, g := range groups {
		mean, sd := stat.MeanStdDev(g, nil)
		sum += mean / k
		if len(g) > 1 {
			variance += sd * sd / float64(len(g)) / (k * k)
			freedom += float64(len(g) - 1)
		}
	}
	d.Mean = sum
	if freedom < 1 {
		return
	}
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile(0.5+confidence/2) * math.Sqrt(variance)
	d.Low, d.High, d.Known = sum-half, sum+half, true
}

// Mean holds the mean figures of one variant at one scenario and size.
type Mean struct {
	Scenario string
	Size     float64
	Variant  string
	Figure   float64
	Service  float64
	Runs     int
	Broken   int
	WallS    float64
	MemoryMB float64
	Senders  int
}

// Averages returns the means, sorted by size; scenarios and variants keep their order.
func Averages(results []*Result) (all []Mean) {
	at := func(r *Result) *Mean {
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
		m := at(r)
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
