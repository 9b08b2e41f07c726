package schedule

// Shrink removes faults, purges, changes and affected processes from a failing schedule, one at a time, as long as it still
// fails. It calls fails at most attempts times.
func Shrink(s *Schedule, attempts int, fails func(*Schedule) bool) *Schedule {
	for again := true; again; {
		again = false
		for _, smaller := range s.reductions() {
			if attempts--; attempts < 0 {
				return s
			}
			if fails(smaller) {
				s, again = smaller, true
				break
			}
		}
	}
	return s
}

// reductions returns all schedules that lack one element of s: a fault, a purge, a change, or one process of a fault.
func (s *Schedule) reductions() (all []*Schedule) {
	for i := range s.Faults {
		c := *s
		c.Faults = append(append([]Fault(nil), s.Faults[:i]...), s.Faults[i+1:]...)
		all = append(all, &c)
	}
	for i := range s.Purges {
		c := *s
		c.Purges = append(append([]Purge(nil), s.Purges[:i]...), s.Purges[i+1:]...)
		all = append(all, &c)
	}
	for i := range s.Changes {
		c := *s
		c.Changes = append(append([]Change(nil), s.Changes[:i]...), s.Changes[i+1:]...)
		all = append(all, &c)
	}
	for i := range s.Faults {
		for j := range s.Faults[i].From {
			if len(s.Faults[i].From) == 1 {
				break
			}
			c := *s
			c.Faults = append([]Fault(nil), s.Faults...)
			f := &c.Faults[i]
			f.From = append(append([]int(nil), f.From[:j]...), f.From[j+1:]...)
			all = append(all, &c)
		}
	}
	return all
}
