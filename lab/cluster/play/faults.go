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

// This file injects faults. Each active fault of a link is stored under its number in the schedule; the link forwards normally
// once no fault is left.

const leaderRestartDelay = 400 * choice.Millisecond // shortest time for which a killed leader stays down

// direction is one direction between two processes.
type direction struct{ from, to int }

// links applies faults to the relays. It holds the active faults of each direction by their number in the schedule.
type links struct {
	mesh   *mesh.Mesh
	faults map[direction]map[int]relay.Fault
}

// setFault activates fault no in a direction, or ends it if f is nil, and applies the combination of all active faults.
func (l *links) setFault(d direction, no int, f *relay.Fault) {
	if l.faults[d] == nil {
		l.faults[d] = map[int]relay.Fault{}
	}
	if delete(l.faults[d], no); f != nil {
		l.faults[d][no] = *f
	}
	var all relay.Fault
	for _, one := range l.faults[d] {
		all.Drop, all.Stall, all.Refuse = all.Drop || one.Drop, all.Stall || one.Stall, all.Refuse || one.Refuse
		all.Delay = max(all.Delay, one.Delay)
	}
	l.mesh.Set(d.from, d.to, all)
}

// setFaults calls setFault for each of several directions.
func (l *links) setFaults(directions []direction, no int, f *relay.Fault) {
	for _, d := range directions {
		l.setFault(d, no, f)
	}
}

// seconds converts seconds to the unit of choice.Time.
func seconds(s float64) choice.Time { return choice.Time(s * float64(choice.Second)) }

// scheduleFaults schedules all faults that the world does not inject itself.
func (p *player) scheduleFaults(run *live.RunControl) {
	l := &links{p.mesh, map[direction]map[int]relay.Fault{}}
	for no := range p.schedule.Faults {
		f := &p.schedule.Faults[no]
		from, to := seconds(f.At), seconds(f.At+f.Seconds)
		switch f.Kind {
		case "cut", "one_way":
			p.scheduleLinkFault(run, l, no, relay.Fault{Drop: true})
		case "stall":
			p.scheduleLinkFault(run, l, no, relay.Fault{Stall: true})
		case "late":
			p.scheduleLinkFault(run, l, no, relay.Fault{Delay: time.Duration(f.MS * float64(time.Millisecond))})
		case "flap":
			p.scheduleFlap(run, l, no)
		case "reset":
			directions := p.directionsOf(f)
			run.After(from, func() {
				for _, d := range directions {
					p.mesh.Reset(d.from, d.to)
				}
			})
		case "empty":
			for _, s := range f.From {
				p.scheduleEmptiedRestart(run, world.SenderNo(s), from, to)
			}
		case "leader":
			run.After(from, func() { p.killLeader(run, to-from) })
		}
	}
}

// scheduleLinkFault applies fault no to its links from its start to its end.
func (p *player) scheduleLinkFault(run *live.RunControl, l *links, no int, fault relay.Fault) {
	f := &p.schedule.Faults[no]
	directions := p.directionsOf(f)
	run.After(seconds(f.At), func() { l.setFaults(directions, no, &fault) })
	run.After(seconds(f.At+f.Seconds), func() { l.setFaults(directions, no, nil) })
}

// scheduleFlap cuts the links of fault no and restores them, alternately, until the fault ends.
func (p *player) scheduleFlap(run *live.RunControl, l *links, no int) {
	f := &p.schedule.Faults[no]
	directions := p.directionsOf(f)
	for at, isCut := f.At, true; at < f.At+f.Seconds; at, isCut = at+f.Every, !isCut {
		var fault *relay.Fault
		if isCut {
			fault = &relay.Fault{Drop: true}
		}
		run.After(seconds(at), func() { l.setFaults(directions, no, fault) })
	}
	run.After(seconds(f.At+f.Seconds), func() { l.setFaults(directions, no, nil) })
}

// directionsOf returns the directions that a fault affects: from its first group to its second, and also the opposite ones
// unless the kind is one_way.
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

// scheduleEmptiedRestart kills a process at from and starts it again with empty folders at to.
func (p *player) scheduleEmptiedRestart(h *live.RunControl, s world.SenderNo, from, to choice.Time) {
	h.After(from, func() {
		if !h.Alive(s) {
			return
		}
		p.emptied[s] = h.Now() // the messages that it accepted before are lost
		h.Act(s, world.Kill)
		if err := h.EraseState(s); err == nil {
			os.RemoveAll(p.folders[s])
		}
		h.After(to-from, func() { h.Act(s, world.Start) })
	})
}

// killLeader kills the process that a majority reported as the leader, and starts it again after downFor or leaderRestartDelay,
// whichever is longer.
func (p *player) killLeader(h *live.RunControl, downFor choice.Time) {
	p.mu.Lock()
	leader := p.leader
	p.mu.Unlock()
	for i, process := range p.meshOptions.Processes {
		if s := world.SenderNo(i); process.Name == leader && h.Alive(s) {
			h.Act(s, world.Kill)
			h.After(max(leaderRestartDelay, downFor), func() { h.Act(s, world.Start) })
		}
	}
}
