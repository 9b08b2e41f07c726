package schedule

// Shrink removes from a failing schedule what is not needed to make it fail, one thing at a time. It calls fails at most
// attempts times.
func Shrink(s *Schedule, attempts int, fails func(*Schedule) bool) *Schedule {
	for again := true; again; {
		again = false
		for _, smaller := range s.without() {
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

// without returns all schedules that lack one thing: a purge, a change, a fault, or one of the processes of a fault.
func (s *Schedule) without() (all []*Schedule) {
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
