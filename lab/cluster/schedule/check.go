package schedule

// This file validates schedules. The check must not stop at the first problem.

import (
	"fmt"

	"flaxcove/internal/tomlfile"
)

// Bounds of the fields of a schedule: seconds, and messages per second.
const (
	maxProcesses = 2000
	maxSeconds   = 600
	maxRate      = 2000
	minRate      = 0.1
)

// Check returns all problems of a schedule, each with the path of its field.
func (s *Schedule) Check() []tomlfile.Problem {
	c := &checker{schedule: s}
	c.checkSizes()
	c.checkProcesses("small", s.Small)
	c.checkProcesses("founders", s.Founders)
	for i := range s.Faults {
		c.checkFault(fmt.Sprintf("fault[%d].", i), &s.Faults[i])
	}
	for i := range s.Purges {
		c.checkPurge(fmt.Sprintf("purge[%d].", i), &s.Purges[i])
	}
	for i := range s.Changes {
		c.checkChange(fmt.Sprintf("change[%d].", i), &s.Changes[i])
	}
	return c.problems
}

// checker collects the problems of one schedule.
type checker struct {
	schedule *Schedule
	problems []tomlfile.Problem
}

func (c *checker) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, tomlfile.Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkRange(path string, v, least, most float64) {
	if !(v >= least && v <= most) { // NaN fails this check, too
		c.addProblem(path, "%g is not between %g and %g", v, least, most)
	}
}

func (c *checker) checkSizes() {
	s := c.schedule
	c.checkRange("processes", float64(s.Processes), 1, maxProcesses)
	c.checkRange("zones", float64(s.Zones), 1, float64(max(1, s.Processes)))
	c.checkRange("regions", float64(s.Regions), 1, float64(max(1, s.Zones)))
	c.checkRange("seconds", s.Seconds, 1, maxSeconds)
	c.checkRange("rate", s.Rate, minRate, maxRate)
}

func (c *checker) checkProcesses(path string, numbers []int) {
	for _, i := range numbers {
		if i < 0 || i >= c.schedule.Processes {
			c.addProblem(path, "there is no process %d in this schedule", i)
		}
	}
}

func (c *checker) checkFault(path string, f *Fault) {
	s := c.schedule
	if Kinds[f.Kind] == "" && FleetKinds[f.Kind] == "" {
		c.addProblem(path+"kind", "unknown kind %q", f.Kind)
	}
	if !(f.At >= 0 && f.At <= s.Seconds && f.Seconds >= 0) {
		c.addProblem(path+"at", "start %g with duration %g s does not lie within the run", f.At, f.Seconds)
	}
	c.checkProcesses(path+"from", f.From)
	c.checkProcesses(path+"to", f.To)
	if f.Kind == "zone" && (f.Zone < 1 || f.Zone > s.Zones) {
		c.addProblem(path+"zone", "%d is not between 1 and %d", f.Zone, s.Zones)
	}
	c.checkSelection(path+"select", f.Select)
	if f.Kind == "rolling" && f.Steps < 1 {
		c.addProblem(path+"steps", "missing")
	}
	if f.Kind == "flap" && !(f.Every > 0) {
		c.addProblem(path+"every_s", "missing")
	}
}

func (c *checker) checkSelection(path string, d Selection) {
	s := c.schedule
	if !(d.Share >= 0 && d.Share <= 1 && d.Count >= 0 && d.Count <= s.Processes && d.OverS >= 0) {
		c.addProblem(path, "%+v is no valid selection from %d processes", d, s.Processes)
	}
	if d.Zone < 0 || d.Zone > s.Zones || d.Region < 0 || d.Region > s.Regions {
		c.addProblem(path, "the zone or the region does not exist")
	}
}

func (c *checker) checkPurge(path string, p *Purge) {
	c.checkProcesses(path+"by", []int{p.By})
	if p.Subject != "notices" && p.Subject != "learnt" {
		c.addProblem(path+"subject", "unknown subject %q", p.Subject)
	}
}

func (c *checker) checkChange(path string, change *Change) {
	c.checkProcesses(path+"by", []int{change.By})
	if !(change.At >= 0 && change.At <= c.schedule.Seconds) {
		c.addProblem(path+"at", "%g does not lie within the run", change.At)
	}
}
