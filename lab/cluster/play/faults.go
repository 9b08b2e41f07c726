package play

import (
	"os"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/lab/cluster/mesh"
	"flaxcove/lab/cluster/relay"
	"flaxcove/lab/cluster/schedule"
	"flaxcove/lab/live"
	"flaxcove/lab/world"
)

// This file plays faults. Faults that overlap on a link are told apart by number: the link works again once none is left.

const leaderRestartDelay = 400 * choice.Millisecond // at least, for a leader that was killed

type direction struct{ from, to int }

// links holds the active faults in each direction between processes.
type links struct {
	mesh   *mesh.Mesh
	faults map[direction]map[int]relay.Fault
}

// set adds a fault to a direction under a number, or removes that number's if the fault is nil.
func (l *links) set(w direction, no int, f *relay.Fault) {
	if l.faults[w] == nil {
		l.faults[w] = map[int]relay.Fault{}
	}
	if delete(l.faults[w], no); f != nil {
		l.faults[w][no] = *f
	}
	var all relay.Fault
	for _, one := range l.faults[w] {
		all.Drop, all.Stall, all.Refuse = all.Drop || one.Drop, all.Stall || one.Stall, all.Refuse || one.Refuse
		all.Delay = max(all.Delay, one.Delay)
	}
	l.mesh.Set(w.from, w.to, all)
}

// setAll does what set does on several directions.
func (l *links) setAll(directions []direction, no int, f *relay.Fault) {
	for _, d := range directions {
		l.set(d, no, f)
	}
}

func seconds(s float64) choice.Time { return choice.Time(s * float64(choice.Second)) }

// planFaults schedules all faults of the schedule that are not the world's.
func (p *player) planFaults(run *live.RunControl) {
	l := &links{p.mesh, map[direction]map[int]relay.Fault{}}
	for no := range p.schedule.Faults {
		f := &p.schedule.Faults[no]
		from, to := seconds(f.At), seconds(f.At+f.Seconds)
		switch f.Kind {
		case "cut", "one_way":
			p.planLinkFault(run, l, no, relay.Fault{Drop: true})
		case "stall":
			p.planLinkFault(run, l, no, relay.Fault{Stall: true})
		case "late":
			p.planLinkFault(run, l, no, relay.Fault{Delay: time.Duration(f.MS * float64(time.Millisecond))})
		case "flap":
			p.planFlap(run, l, no)
		case "reset":
			directions := p.directionsOf(f)
			run.After(from, func() {
				for _, d := range directions {
					p.mesh.Reset(d.from, d.to)
				}
			})
		case "empty":
			for _, s := range f.From {
				p.restartEmptied(run, world.SenderNo(s), from, to)
			}
		case "leader":
			run.After(from, func() { p.killLeader(run, to-from) })
		}
	}
}

// planLinkFault applies a fault to its links from its begin to its end.
func (p *player) planLinkFault(run *live.RunControl, l *links, no int, fault relay.Fault) {
	f := &p.schedule.Faults[no]
	directions := p.directionsOf(f)
	run.After(seconds(f.At), func() { l.setAll(directions, no, &fault) })
	run.After(seconds(f.At+f.Seconds), func() { l.setAll(directions, no, nil) })
}

// planFlap applies a cut that comes and goes.
func (p *player) planFlap(run *live.RunControl, l *links, no int) {
	f := &p.schedule.Faults[no]
	directions := p.directionsOf(f)
	for at, off := f.At, true; at < f.At+f.Seconds; at, off = at+f.Every, !off {
		var fault *relay.Fault
		if off {
			fault = &relay.Fault{Drop: true}
		}
		run.After(seconds(at), func() { l.setAll(directions, no, fault) })
	}
	run.After(seconds(f.At+f.Seconds), func() { l.setAll(directions, no, nil) })
}

// directionsOf returns the directions that a fault affects: from its first group to its second, and back unless it is one way.
func (p *player) directionsOf(f *schedule.Fault) (all []direction) {
	others := f.To
	if len(others) == 0 {
		for i := range p.schedule.Processes {
			if !slices.Contains(f.From, i) {
				others = append(others, i)
			}
		}
	}
	for _, a := range f.From {
		for _, b := range others {
			if a != b {
				all = append(all, direction{a, b})
				if f.Kind != "one_way" {
					all = append(all, direction{b, a})
				}
			}
		}
	}
	return all
}

// restartEmptied kills a process and starts it again with empty folders.
func (p *player) restartEmptied(h *live.RunControl, s world.SenderNo, from, to choice.Time) {
	h.After(from, func() {
		if !h.Alive(s) {
			return
		}
		p.emptied[s] = h.Now() // what it accepted before is lost
		h.Act(s, world.Kill)
		if err := h.EraseState(s); err == nil {
			os.RemoveAll(p.folders[s])
		}
		h.After(to-from, func() { h.Act(s, world.Start) })
	})
}

// killLeader kills the process that most processes named as the leader in the last poll.
func (p *player) killLeader(h *live.RunControl, gone choice.Time) {
	p.mu.Lock()
	leader := p.leader
	p.mu.Unlock()
	for i, one := range p.meshOptions.Processes {
		if s := world.SenderNo(i); one.Name == leader && h.Alive(s) {
			h.Act(s, world.Kill)
			h.After(max(leaderRestartDelay, gone), func() { h.Act(s, world.Start) })
		}
	}
}
