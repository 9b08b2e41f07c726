package schedule

// This file validates schedules. It must not stop at the first problem.

import (
	"fmt"

	"flaxcove/internal/tomlfile"
)

// Bounds of the fields of a schedule.
const (
	maxProcesses = 2000
	maxSeconds   = 600
	maxRate      = 2000
	minRate      = 0.1
)

// Check returns everything that is wrong with a schedule, each with the path of its field.
func (s *Schedule) Check() []tomlfile.Problem {
	c := &checker{schedule: s}
	c.sizes()
	c.knownProcesses("small", s.Small)
	c.knownProcesses("founders", s.Founders)
	for i := range s.Faults {
		c.fault(fmt.Sprintf("fault[%d].", i), &s.Faults[i])
	}
	for i := range s.Purges {
		c.purge(fmt.Sprintf("purge[%d].", i), &s.Purges[i])
	}
	for i := range s.Changes {
		c.change(fmt.Sprintf("change[%d].", i), &s.Changes[i])
	}
	return c.problems
}

// checker collects the problems of one schedule.
type checker struct {
	schedule *Schedule
	problems []tomlfile.Problem
}

func (c *checker) wrong(path, format string, args ...any) {
	c.problems = append(c.problems, tomlfile.Problem{Path: path, What: fmt.Sprintf(format, args...)})
}

func (c *checker) within(path string, v, least, most float64) {
	if !(v >= least && v <= most) { // so that NaN is wrong too
		c.wrong(path, "%g is not within %g and %g", v, least, most)
	}
}

func (c *checker) sizes() {
	s := c.schedule
	c.within("processes", float64(s.Processes), 1, maxProcesses)
	c.within("zones", float64(s.Zones), 1, float64(max(1, s.Processes)))
	c.within("regions", float64(s.Regions), 1, float64(max(1, s.Zones)))
	c.within("seconds", s.Seconds, 1, maxSeconds)
	c.within("rate", s.Rate, minRate, maxRate)
}

func (c *checker) knownProcesses(path string, numbers []int) {
	for _, i := range numbers {
		if i < 0 || i >= c.schedule.Processes {
			c.wrong(path, "there is no process %d", i)
		}
	}
}

func (c *checker) fault(path string, f *Fault) {
	s := c.schedule
	if Kinds[f.Kind] == "" && FleetKinds[f.Kind] == "" {
		c.wrong(path+"kind", "unknown word %q", f.Kind)
	}
	if !(f.At >= 0 && f.At <= s.Seconds && f.Seconds >= 0) {
		c.wrong(path+"at", "%g for %g s does not lie within the run", f.At, f.Seconds)
	}
	c.knownProcesses(path+"from", f.From)
	c.knownProcesses(path+"to", f.To)
	if f.Kind == "zone" && (f.Zone < 1 || f.Zone > s.Zones) {
		c.wrong(path+"zone", "%d is not within 1 and %d", f.Zone, s.Zones)
	}
	c.selection(path+"select", f.Select)
	if f.Kind == "rolling" && f.Steps < 1 {
		c.wrong(path+"steps", "missing")
	}
	if f.Kind == "flap" && !(f.Every > 0) {
		c.wrong(path+"every_s", "missing")
	}
}

func (c *checker) selection(path string, d Selection) {
	s := c.schedule
	if !(d.Share >= 0 && d.Share <= 1 && d.Count >= 0 && d.Count <= s.Processes && d.OverS >= 0) {
		c.wrong(path, "%+v chooses no processes of %d", d, s.Processes)
	}
	if d.Zone < 0 || d.Zone > s.Zones || d.Region < 0 || d.Region > s.Regions {
		c.wrong(path, "there is no such zone or region")
	}
}

func (c *checker) purge(path string, p *Purge) {
	c.knownProcesses(path+"by", []int{p.By})
	if p.Subject != "notices" && p.Subject != "learnt" {
		c.wrong(path+"subject", "unknown word %q", p.Subject)
	}
}

func (c *checker) change(path string, change *Change) {
	c.knownProcesses(path+"by", []int{change.By})
	if !(change.At >= 0 && change.At <= c.schedule.Seconds) {
		c.wrong(path+"at", "%g does not lie within the run", change.At)
	}
}
