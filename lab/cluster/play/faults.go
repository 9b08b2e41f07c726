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

// This file plays faults. Faults that overlap on one way are kept apart by number: the way is well once none is left.

const restartIn = 400 * choice.Millisecond // of a leader that was killed

type way struct{ from, to int }

// links are the faults that stand on each way between processes.
type links struct {
	mesh   *mesh.Mesh
	faults map[way]map[int]relay.Fault
}

// set has a fault by its number stand on a way, or, with no fault, stand no longer.
func (l *links) set(w way, no int, f *relay.Fault) {
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

func seconds(s float64) choice.Time { return choice.Time(s * float64(choice.Second)) }

// plan lays up all faults of the schedule that are not the world's.
func (p *player) plan(h *live.RunControl) {
	l := &links{p.mesh, map[way]map[int]relay.Fault{}}
	for no := range p.s.Faults {
		f := &p.s.Faults[no]
		from, to := seconds(f.At), seconds(f.At+f.Seconds)
		ways := p.ways(f)
		put := func(fault *relay.Fault) func() {
			return func() {
				for _, w := range ways {
					l.set(w, no, fault)
				}
			}
		}
		switch f.Kind {
		case "cut", "one_way":
			h.After(from, put(&relay.Fault{Drop: true}))
			h.After(to, put(nil))
		case "flap":
			for at, off := f.At, true; at < f.At+f.Seconds; at, off = at+f.Every, !off {
				if off {
					h.After(seconds(at), put(&relay.Fault{Drop: true}))
				} else {
					h.After(seconds(at), put(nil))
				}
			}
			h.After(to, put(nil))
		case "stall":
			h.After(from, put(&relay.Fault{Stall: true}))
			h.After(to, put(nil))
		case "late":
			h.After(from, put(&relay.Fault{Delay: time.Duration(f.MS * float64(time.Millisecond))}))
			h.After(to, put(nil))
		case "reset":
			h.After(from, func() {
				for _, w := range ways {
					p.mesh.Reset(w.from, w.to)
				}
			})
		case "empty":
			for _, s := range f.From {
				p.empty(h, world.SenderNo(s), from, to)
			}
		case "leader":
			h.After(from, func() { p.killLeader(h, to-from) })
		}
	}
}

// ways are those that a fault strikes: from its first group to its second, and back unless it is one way.
func (p *player) ways(f *schedule.Fault) (all []way) {
	others := f.To
	if len(others) == 0 {
		for i := range p.s.Processes {
			if !slices.Contains(f.From, i) {
				others = append(others, i)
			}
		}
	}
	for _, a := range f.From {
		for _, b := range others {
			if a != b {
				all = append(all, way{a, b})
				if f.Kind != "one_way" {
					all = append(all, way{b, a})
				}
			}
		}
	}
	return all
}

// empty kills a process and has it come again with nothing of what it had.
func (p *player) empty(h *live.RunControl, s world.SenderNo, from, to choice.Time) {
	h.After(from, func() {
		if !h.Alive(s) {
			return
		}
		p.emptied[s] = h.Now() // what it took on before is lost
		h.Act(s, world.Kill)
		if err := h.EraseState(s); err == nil {
			os.RemoveAll(p.folders[s])
		}
		h.After(to-from, func() { h.Act(s, world.Start) })
	})
}

// killLeader kills whom most processes named as the leader last.
func (p *player) killLeader(h *live.RunControl, gone choice.Time) {
	p.mu.Lock()
	leader := p.leader
	p.mu.Unlock()
	for i, one := range p.all.Processes {
		if s := world.SenderNo(i); one.Name == leader && h.Alive(s) {
			h.Act(s, world.Kill)
			h.After(max(restartIn, gone), func() { h.Act(s, world.Start) })
		}
	}
}
