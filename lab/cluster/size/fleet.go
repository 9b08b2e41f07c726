// Package size simulates a fleet of senders with a cluster between them.
//
// It connects the simulated senders of lab/sim by the pure packages of internal/cluster and drawn latencies: senders produce
// digests, reports go up the tree, the leader plans, and plans go down the tree. For comparison it also plays the same worlds
// without the cluster and with an oracle. play.go plays one run, sender.go counts a sender's observations, process.go
// simulates one process, fleet.go all processes and the leader, cases.go declares the worlds, measure.go computes the figures,
// table.go formats them. The package must not read a clock, start a goroutine or depend on the iteration order of a map, so
// that a seed always gives the same run.
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
	minHop         = 50 * time.Millisecond // shortest latency between two processes; maxHop is the longest
	maxHop         = 250 * time.Millisecond
	consensusDelay = 100 * time.Millisecond // until a plan is decided
	timeUnit       = 100 * time.Microsecond // unit of choice.Time
)

func zoneName(no int) view.Zone { return view.Zone(fmt.Sprintf("z%02d", no)) }

// fleet holds all processes of a run and what they share: the network, the tree, the leader and the decided plans.
type fleet struct {
	world        *world.World
	zoneNumbers  map[view.Zone]choice.ZoneNo
	regions      map[view.Zone]view.Region
	processes    map[view.Name]*process
	order        []*process // by number
	tree         *tree.Tree
	settings     plan.Settings
	leader       *leader
	inForce      plan.InForce
	messagesSent uint32
	countBytes   bool // count the bytes of messages
	digestSpan   time.Duration
	prompt       bool

	traffic map[view.Name]*Traffic
	epochs  []epoch
	hash    uint64
}

// Traffic counts the messages that one process sent and received, and the bytes that it sent.
type Traffic struct{ Out, In, Bytes int }

// epoch is one decided plan, the time of the decision, and the times at which it came into force at each process.
type epoch struct {
	at        view.Uptime
	plan      plan.Plan
	inForceAt map[view.Name]view.Uptime
}

func (f *fleet) now() view.Uptime { return view.Uptime(f.world.Now()) * timeUnit }

func (f *fleet) after(delay time.Duration, do func()) {
	f.world.After(max(1, choice.Time(delay/timeUnit)), do)
}

// startOffset derives a delay for the first turn from a process's name, so that the turns of processes do not coincide.
func (f *fleet) startOffset(name string) time.Duration {
	return time.Duration(crc32.ChecksumIEEE([]byte(name))%5000) * timeUnit
}

// send calls do after the latency of a message from one process to another. Each message has its own latency, so that
// messages may overtake each other. A message to the sending process is delivered at once and not counted.
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

// begin derives the tree and starts all processes. If the options ask for it, the leader fails at LeaderDies and the next
// process leads after LeaderGone.
func (f *fleet) begin(o *Options) {
	var members []view.Member
	for _, p := range f.order {
		members = append(members, view.Member{Instance: view.Instance{Name: p.name, Incarnation: 1}, Zone: p.zone,
			Region: f.regions[p.zone], Size: view.Large})
	}
	f.tree = tree.Derive(view.New("", 1, members))
	first, next := f.order[o.Leader], f.order[(o.Leader+1)%len(f.order)]
	f.leader = newLeader(f, first)
	for _, p := range f.order {
		p.start()
	}
	if o.LeaderDies > 0 {
		f.world.At(seconds(o.LeaderDies), func() {
			f.leader = &leader{fleet: f}
			f.after(o.LeaderGone, func() {
				f.leader = newLeader(f, next)
				next.scheduleTurn()
			})
		})
	}
}

// recordInForce records that a plan came into force at a process.
func (f *fleet) recordInForce(p *process, inForce *plan.Plan) {
	if i := int(inForce.Epoch) - 1; i < len(f.epochs) {
		f.epochs[i].inForceAt[p.name] = f.now()
	}
}

// leader is the state of the consensus group's leader: its planner and the reports that it received. process is nil while
// there is no leader.
type leader struct {
	fleet    *fleet
	process  *process
	reports  *assess.ReportTable
	planner  *plan.Planner
	deciding bool
}

// newLeader returns a leader that knows only the plan in force.
func newLeader(f *fleet, at *process) *leader {
	l := &leader{fleet: f, process: at, reports: assess.NewReportTable(assess.DefaultBounds()), planner: plan.New(f.settings)}
	l.planner.SetPlanInForce(at.now(), f.inForce.Plan())
	return l
}

// turn renews the plan in force and, if evaluates is set, plans from the reports. A new plan is decided after consensusDelay.
func (l *leader) turn(now view.Uptime, evaluates bool) {
	l.renewPlan(now)
	if !evaluates {
		l.process.scheduleTurn()
		return
	}
	l.reports.Put(now, l.process.reports.Fresh(now))
	l.planner.SetRegions(l.fleet.regions)
	l.planner.UpdateHealth(now, assess.CombineReports(l.reports.Fresh(now), assess.DefaultBounds()))
	next, changed := l.planner.Step(now)
	if !changed || l.deciding {
		return
	}
	l.deciding = true
	l.fleet.after(consensusDelay, func() { l.decide(next) })
}

// renewPlan passes the plan in force to the planner and confirms it at the leader's own process.
func (l *leader) renewPlan(now view.Uptime) {
	inForce := l.fleet.inForce.Plan()
	if inForce.Epoch == 0 {
		return
	}
	if l.planner.Epoch() < inForce.Epoch {
		l.planner.SetPlanInForce(now, inForce)
	}
	announced := apply.Announcement{Epoch: inForce.Epoch, Plan: &inForce}
	if held, _ := l.process.holder.Plan(now); held != nil && held.Epoch == inForce.Epoch {
		announced.Plan = nil
	}
	if _, err := l.process.holder.Receive(now, announced); err != nil {
		panic(err) // unreachable: plans are checked before they are decided
	}
}

// decide puts a plan in force unless the leader has changed.
func (l *leader) decide(next plan.Plan) {
	l.deciding = false
	if l.fleet.leader != l {
		return // this leader failed in the meantime
	}
	body, err := json.Marshal(next)
	if err != nil {
		panic(err) // unreachable: a plan can always be encoded
	}
	_, err = l.fleet.inForce.Apply(uint64(next.Epoch), l.fleet.now(), plan.Kind, body)
	l.planner.SetPlanInForce(l.process.now(), l.fleet.inForce.Plan())
	if err == nil {
		l.fleet.epochs = append(l.fleet.epochs, epoch{l.fleet.now(), l.fleet.inForce.Plan(), map[view.Name]view.Uptime{}})
		h := fnv.New64a()
		fmt.Fprintf(h, "%d %v %s", l.fleet.hash, l.fleet.now(), body)
		l.fleet.hash = h.Sum64()
	}
	l.process.scheduleTurn()
}

func seconds(s float64) choice.Time { return choice.Time(s * float64(choice.Second)) }
