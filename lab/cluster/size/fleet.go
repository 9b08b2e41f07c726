// Package size plays many senders with the cluster between them in simulated time.
//
// It connects lab/sim's senders by the pure packages of internal/cluster, with drawn latencies: digests, reports up the
// tree, the leader's planner, and plans down the tree. The same worlds are also played without the cluster, and with an
// oracle. sender.go counts what a sender reports, process.go plays one process, fleet.go all of them with the leader,
// cases.go has the worlds, measure.go the figures, table.go their table. The package must not read a clock, start a
// goroutine or depend on the order of a map, so that one seed replays a run exactly.
package size

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/apply"
	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/world"
)

const (
	minHop         = 50 * time.Millisecond // bounds of the latency between two processes
	maxHop         = 250 * time.Millisecond
	consensusDelay = 100 * time.Millisecond
	timeUnit       = 100 * time.Microsecond // of choice.Time
)

func zoneName(no int) view.Zone { return view.Zone(fmt.Sprintf("z%02d", no)) }

// fleet holds all processes of a run.
type fleet struct {
	w            *world.World
	numbers      map[view.Zone]choice.ZoneNo
	regions      map[view.Zone]view.Region
	processes    map[view.Name]*process
	order        []*process
	tree         *tree.Tree
	settings     plan.Settings
	leader       *leader
	inForce      plan.InForce
	messagesSent uint32
	countBytes   bool // bytes are counted
	span         time.Duration
	prompt       bool

	traffic map[view.Name]*Traffic
	epochs  []epoch
	hash    uint64
}

// Traffic counts the messages of one process, and the bytes it sent.
type Traffic struct{ Out, In, Bytes int }

// epoch is one decided plan, and when it came into force at each process.
type epoch struct {
	at      view.Uptime
	plan    plan.Plan
	reached map[view.Name]view.Uptime
}

func (f *fleet) now() view.Uptime { return view.Uptime(f.w.Now()) * timeUnit }

func (f *fleet) after(in time.Duration, do func()) { f.w.After(max(1, choice.Time(in/timeUnit)), do) }

// spread draws a process's offset, so that processes' turns do not coincide.
func (f *fleet) spread(name string) time.Duration {
	return time.Duration(crc32.ChecksumIEEE([]byte(name))%5000) * timeUnit
}

// send delivers a message after a latency of its own, so that messages may overtake each other.
func (f *fleet) send(from, to *process, body any, do func()) {
	if from == to {
		do()
		return
	}
	f.messagesSent++
	sum := crc32.ChecksumIEEE(fmt.Appendf(nil, "%s %s %d", from.name, to.name, f.messagesSent))
	f.traffic[from.name].Out++
	f.traffic[to.name].In++
	if f.countBytes {
		f.traffic[from.name].Bytes += bytesOf(body)
	}
	f.after(minHop+(maxHop-minHop)*time.Duration(sum%1000)/1000, do)
}

// begin derives the tree once all senders have started, and starts all processes.
func (f *fleet) begin(o *Options) {
	var members []view.Member
	for _, p := range f.order {
		members = append(members, view.Member{Life: view.Life{Name: p.name, Incarnation: 1}, Zone: p.zone,
			Region: f.regions[p.zone], Size: view.Large})
	}
	f.tree = tree.Derive(view.New("", 1, members))
	first, next := f.order[o.Leader], f.order[(o.Leader+1)%len(f.order)]
	f.leader = newLeader(f, first)
	for _, p := range f.order {
		p.start()
	}
	if o.LeaderDies > 0 {
		f.w.At(seconds(o.LeaderDies), func() {
			f.leader = &leader{f: f}
			f.after(o.LeaderGone, func() {
				f.leader = newLeader(f, next)
				next.scheduleTurn()
			})
		})
	}
}

func (f *fleet) reached(p *process, in *plan.Plan) {
	if i := int(in.Epoch) - 1; i < len(f.epochs) {
		f.epochs[i].reached[p.name] = f.now()
	}
}

// leader is the leader of the consensus group: the planner, and the reports that reached it. at is nil while there is none.
type leader struct {
	f        *fleet
	at       *process
	board    *assess.ReportTable
	planner  *plan.Planner
	deciding bool
}

func newLeader(f *fleet, at *process) *leader {
	l := &leader{f: f, at: at, board: assess.NewReportTable(assess.DefaultBounds()), planner: plan.New(f.settings)}
	l.planner.PlanInForce(at.now(), f.inForce.Plan())
	return l
}

func (l *leader) turn(now view.Uptime, weighs bool) {
	l.renew(now)
	if !weighs {
		l.at.scheduleTurn()
		return
	}
	l.board.Put(now, l.at.board.Fresh(now))
	l.planner.SetRegions(l.f.regions)
	l.planner.UpdateHealth(now, assess.Judge(l.board.Fresh(now), assess.DefaultBounds()))
	next, some := l.planner.Step(now)
	if !some || l.deciding {
		return
	}
	l.deciding = true
	l.f.after(consensusDelay, func() { l.decide(next) })
}

func (l *leader) renew(now view.Uptime) {
	in := l.f.inForce.Plan()
	if in.Epoch == 0 {
		return
	}
	if l.planner.Epoch() < in.Epoch {
		l.planner.PlanInForce(now, in)
	}
	heard := apply.Announcement{Epoch: in.Epoch, Plan: &in}
	if held, _ := l.at.holder.Plan(now); held != nil && held.Epoch == in.Epoch {
		heard.Plan = nil
	}
	if _, err := l.at.holder.Receive(now, heard); err != nil {
		panic(err) // plans are checked before they are decided
	}
}

func (l *leader) decide(next plan.Plan) {
	l.deciding = false
	if l.f.leader != l {
		return // the leader died meanwhile
	}
	body, err := json.Marshal(next)
	if err != nil {
		panic(err) // plain data
	}
	_, err = l.f.inForce.Apply(uint64(next.Epoch), l.f.now(), plan.Kind, body)
	l.planner.PlanInForce(l.at.now(), l.f.inForce.Plan())
	if err == nil {
		l.f.epochs = append(l.f.epochs, epoch{l.f.now(), l.f.inForce.Plan(), map[view.Name]view.Uptime{}})
		h := fnv.New64a()
		fmt.Fprintf(h, "%d %v %s", l.f.hash, l.f.now(), body)
		l.f.hash = h.Sum64()
	}
	l.at.scheduleTurn()
}

func seconds(s float64) choice.Time { return choice.Time(s * float64(choice.Second)) }
