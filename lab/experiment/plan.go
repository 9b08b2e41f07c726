package experiment

// This file reads a plan and lists its runs. A plan with an invalid field is refused.

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/cespare/xxhash/v2"

	"flaxcove/internal/tomlfile"
	"flaxcove/lab/baseline"
	"flaxcove/lab/scenario"
)

// Finder looks up a scenario by its name or path; from is the file that names it.
type Finder func(name, from string) (*scenario.Scenario, error)

const (
	engineSimulated = "simulated"
	engineSockets   = "sockets"

	defaultSeeds = 6
	maxSeeds     = 10000
)

// Load reads a plan and lists its runs.
func Load(path string, find Finder) (*Plan, []*Job, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	p := &Plan{path: path, lines: tomlfile.Lines(text)}
	if err := tomlfile.Decode(path, text, p); err != nil {
		return nil, nil, err
	}
	p.defaults()
	if err := p.check(); err != nil {
		return nil, nil, err
	}
	for i := range p.Variants {
		if err := p.checkVariant(i); err != nil {
			return nil, nil, err
		}
	}
	jobs, err := p.jobs(find)
	if err != nil {
		return nil, nil, err
	}
	return p, jobs, nil
}

// wrong returns an error for a field of the plan's file.
func (p *Plan) wrong(field, format string, args ...any) error {
	return &tomlfile.Error{File: p.path, Line: p.lines[field], Field: field, What: fmt.Sprintf(format, args...)}
}

func (p *Plan) defaults() {
	p.Engine = cmp.Or(p.Engine, engineSimulated)
	p.Seeds = cmp.Or(p.Seeds, defaultSeeds)
	p.FirstSeed = cmp.Or(p.FirstSeed, 1)
	if len(p.Sizes) == 0 {
		p.Sizes = []float64{1}
	}
	if p.Base == "" && len(p.Variants) > 0 {
		p.Base = p.Variants[0].Name
	}
}

func (p *Plan) check() error {
	switch {
	case p.Engine != engineSimulated && p.Engine != engineSockets:
		return p.wrong("engine", "%q is neither simulated nor sockets", p.Engine)
	case len(p.Scenarios) == 0:
		return p.wrong("scenarios", "missing")
	case len(p.Variants) == 0:
		return p.wrong("variant", "missing")
	case p.Seeds < 1 || p.Seeds > maxSeeds:
		return p.wrong("seeds", "%d is not within 1 and %d", p.Seeds, maxSeeds)
	case !slices.ContainsFunc(p.Variants, func(v Variant) bool { return v.Name == p.Base }):
		return p.wrong("base", "no variant is called %q", p.Base)
	}
	return nil
}

// checkVariant checks one variant, and resolves the path of its binary from the plan's folder.
func (p *Plan) checkVariant(i int) error {
	v, at := &p.Variants[i], fmt.Sprintf("variant[%d].", i)
	baselinePolicy := v.Policy != "" && v.Policy != "choice"
	switch {
	case v.Name == "":
		return p.wrong(at+"name", "missing")
	case slices.ContainsFunc(p.Variants[:i], func(o Variant) bool { return o.Name == v.Name }):
		return p.wrong(at+"name", "%q is taken", v.Name)
	case v.Policy != "" && baseline.Named(v.Policy) == nil:
		return p.wrong(at+"policy", "no policy is called %q", v.Policy)
	case baselinePolicy && (p.Engine != engineSimulated || v.Binary != ""):
		return p.wrong(at+"policy", "baselines play in simulated time, in this program")
	case v.Binary == "":
		return nil
	}
	if !filepath.IsAbs(v.Binary) {
		v.Binary = filepath.Join(filepath.Dir(p.path), v.Binary)
	}
	if _, err := os.Stat(v.Binary); err != nil {
		return p.wrong(at+"binary", "%v", err)
	}
	return nil
}

// jobs lists all runs, sorted by seed, so that an interrupted plan has complete pairs to compare.
func (p *Plan) jobs(find Finder) ([]*Job, error) {
	var jobs []*Job
	for i, name := range p.Scenarios {
		s, err := find(name, p.path)
		if err != nil {
			return nil, p.wrong("scenarios", "scenario %d: %v", i, err)
		}
		for _, size := range p.Sizes {
			for no := range p.Variants {
				more, err := p.jobsOf(s, size, no)
				if err != nil {
					return nil, err
				}
				jobs = append(jobs, more...)
			}
		}
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int { return int(a.Seed) - int(b.Seed) })
	return jobs, nil
}

// jobsOf lists the runs of one variant of one scenario at one size, one for each seed.
func (p *Plan) jobsOf(s *scenario.Scenario, size float64, no int) ([]*Job, error) {
	v := &p.Variants[no]
	spec, err := Change(s.Spec, v.Set)
	if err != nil {
		return nil, p.wrong(fmt.Sprintf("variant[%d].set", no), "%v", err)
	}
	Scale(spec, size)
	text, err := scenario.Write(spec)
	if err != nil {
		return nil, err
	}
	all := fmt.Sprint(string(text), p.Engine, v.Policy, v.Binary, stamp(v.Binary))
	key := fmt.Sprintf("%016x", xxhash.Sum64String(all))
	var jobs []*Job
	for i := range p.Seeds {
		jobs = append(jobs, &Job{
			Scenario: s.Spec.Name,
			Size:     size,
			Variant:  v.Name,
			Seed:     p.FirstSeed + uint64(i),
			Key:      key,
			spec:     spec,
			variant:  v,
			loaded:   s,
		})
	}
	return jobs, nil
}

// stamp identifies a build of a binary by its size and time.
func stamp(path string) string {
	if path == "" {
		return ""
	}
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.Size(), info.ModTime().UnixNano())
}
