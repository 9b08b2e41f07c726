package experiment

// This file reads a plan and lists its runs. A plan with an invalid field is rejected.

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

// Finder looks up a scenario by its name or path. From is the path of the file that names it.
type Finder func(name, from string) (*scenario.Scenario, error)

const (
	engineSimulated = "simulated"
	engineSockets   = "sockets"

	defaultSeeds = 6
	maxSeeds     = 10000
)

// Load reads the plan at path and returns it with its runs. An invalid field is reported as a *tomlfile.Error.
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

// fieldError returns a *tomlfile.Error for a field of the plan's file.
func (p *Plan) fieldError(field, format string, args ...any) error {
	return &tomlfile.Error{File: p.path, Line: p.lines[field], Field: field, Reason: fmt.Sprintf(format, args...)}
}

// defaults sets the fields that the file leaves out.
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

// check returns an error for the first invalid field outside the variants.
func (p *Plan) check() error {
	switch {
	case p.Engine != engineSimulated && p.Engine != engineSockets:
		return p.fieldError("engine", "%q is neither simulated nor sockets", p.Engine)
	case len(p.Scenarios) == 0:
		return p.fieldError("scenarios", "missing")
	case len(p.Variants) == 0:
		return p.fieldError("variant", "missing")
	case p.Seeds < 1 || p.Seeds > maxSeeds:
		return p.fieldError("seeds", "%d is not within 1 and %d", p.Seeds, maxSeeds)
	case !slices.ContainsFunc(p.Variants, func(v Variant) bool { return v.Name == p.Base }):
		return p.fieldError("base", "there is no variant %q", p.Base)
	}
	return nil
}

// checkVariant returns an error for the first invalid field of one variant. It also makes the path of the variant's binary,
// which is relative to the plan's folder, relative to the working directory.
func (p *Plan) checkVariant(i int) error {
	v, at := &p.Variants[i], fmt.Sprintf("variant[%d].", i)
	baselinePolicy := v.Policy != "" && v.Policy != "choice"
	switch {
	case v.Name == "":
		return p.fieldError(at+"name", "missing")
	case slices.ContainsFunc(p.Variants[:i], func(o Variant) bool { return o.Name == v.Name }):
		return p.fieldError(at+"name", "another variant is already named %q", v.Name)
	case v.Policy != "" && baseline.Named(v.Policy) == nil:
		return p.fieldError(at+"policy", "unknown policy %q", v.Policy)
	case baselinePolicy && (p.Engine != engineSimulated || v.Binary != ""):
		return p.fieldError(at+"policy", "a baseline needs the engine simulated, and cannot be combined with another binary")
	case v.Binary == "":
		return nil
	}
	if !filepath.IsAbs(v.Binary) {
		v.Binary = filepath.Join(filepath.Dir(p.path), v.Binary)
	}
	if _, err := os.Stat(v.Binary); err != nil {
		return p.fieldError(at+"binary", "%v", err)
	}
	return nil
}

// jobs returns all runs, sorted by seed, so that the results of an interrupted plan consist mostly of complete pairs.
func (p *Plan) jobs(find Finder) ([]*Job, error) {
	var jobs []*Job
	for i, name := range p.Scenarios {
		s, err := find(name, p.path)
		if err != nil {
			return nil, p.fieldError("scenarios", "scenario %d: %v", i, err)
		}
		for _, size := range p.Sizes {
			for no := range p.Variants {
				more, err := p.jobsFor(s, size, no)
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

// jobsFor returns the runs of one scenario at one size with variant number no, one run for each seed.
func (p *Plan) jobsFor(s *scenario.Scenario, size float64, no int) ([]*Job, error) {
	v := &p.Variants[no]
	spec, err := Change(s.Spec, v.Set)
	if err != nil {
		return nil, p.fieldError(fmt.Sprintf("variant[%d].set", no), "%v", err)
	}
	Scale(spec, size)
	text, err := scenario.Write(spec)
	if err != nil {
		return nil, err
	}
	inputs := fmt.Sprint(string(text), p.Engine, v.Policy, v.Binary, buildID(v.Binary))
	key := fmt.Sprintf("%016x", xxhash.Sum64String(inputs))
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

// buildID identifies a build of a binary by its size and modification time. It returns "" if path is "" or the file cannot be
// read.
func buildID(path string) string {
	if path == "" {
		return ""
	}
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.Size(), info.ModTime().UnixNano())
}
