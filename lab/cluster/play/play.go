// Package play plays a schedule: real sender processes, a world of partners, and relays between the processes.
//
// This file sets a run up. faults.go plays the faults of the cluster, watch.go polls the processes, purge.go and change.go
// order purges and changes, falls.go measures the falls of zones. Package live runs the processes and the world, package
// judge judges the cluster. No process, relay or file may be left behind.
package play

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"flaxcove/choice"
	versions "flaxcove/internal/cluster/configuration/run"
	"flaxcove/internal/cluster/status"
	"flaxcove/lab/cluster/judge"
	"flaxcove/lab/cluster/mesh"
	"flaxcove/lab/cluster/schedule"
	"flaxcove/lab/live"
	"flaxcove/lab/referee"
	"flaxcove/lab/world"
)

// Options are the inputs of a run.
type Options struct {
	Schedule *schedule.Schedule
	Command  []string // the program and its arguments, as in flaxcove serve
	Port     int      // the first port that relays try; 0 for a range of the run's own
	Uses     []string // parts of the cluster that are on; nil for what the schedule needs, empty for no cluster at all
	Logs     string
	// Spec changes the world before it begins; nil for no change.
	Spec func(*world.Spec)
	// File changes a process's cluster file before it is written, and gets the folder in which the process keeps the
	// cluster's state; nil for no change.
	File func(s world.SenderNo, folder string, text []byte) []byte
	// Every is how often the processes are polled; 0 for askEvery. Their answers count as their traffic.
	Every time.Duration
	// OnStatuses is called with the processes' statuses after each poll; nil for nothing.
	OnStatuses func(now choice.Time, all []*status.Status)
	// OnConfiguration is called with the first process's answer on the shared settings after each poll; nil for nothing.
	OnConfiguration func(now choice.Time, s versions.ConfigurationStatus)
}

// maxProcesses is how many processes one machine can run with a relay between any two.
const maxProcesses = 60

// smallDestinations is of how many of the four destinations a small process keeps learned state.
const smallDestinations = 2

// Result is the result of a run.
type Result struct {
	*live.Result
	Breaches     []judge.Breach // of the cluster's promises
	Excused      int            // violations of the referee's rules that the schedule caused itself by emptying a folder
	Epochs       int
	LastStatuses []*status.Status
	Purges       []PurgeReport
	Falls        []Fall
	Changes      []*ChangeReport
	// SettledMS is how long after the last fault all processes agreed again.
	SettledMS int64
}

// Each run looks for free ports in a range of its own: two runs that begin at once must not find the same ones free.
const (
	firstPort   = 30000
	portRange   = 25000 // a multiple of portsPerRun
	portsPerRun = 500   // more than a mesh tries
)

var runs atomic.Int64

// Run plays a schedule.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Schedule.CheckNamesProcesses(); err != nil {
		return nil, err
	}
	if n := o.Schedule.Processes; n > maxProcesses {
		return nil, fmt.Errorf("%d processes, %d at most", n, maxProcesses)
	}
	if o.Uses == nil {
		o.Uses = defaultUses(o.Schedule)
	}
	p := &player{options: o, schedule: o.Schedule, judge: judge.New(), accepted: map[choice.MessageID]acceptedMessage{},
		emptied: map[world.SenderNo]choice.Time{}}
	spec := worldOf(p.schedule)
	if o.Spec != nil {
		o.Spec(spec)
	}
	if problems := spec.Check(); problems != nil {
		return nil, problems[0]
	}
	if len(o.Uses) > 0 {
		if err := p.openMesh(); err != nil {
			return nil, err
		}
		defer p.mesh.Close()
	}
	r, err := live.Run(ctx, live.Options{Spec: spec, Seed: p.schedule.Seed, Command: o.Command, Logs: o.Logs, SenderArgs: p.writeClusterFile,
		Ledger:  func(referee world.Ledger) world.Ledger { return &ledgerTap{referee, p} },
		OnBegin: p.onBegin, KeepRunning: p.keepRunning, AwaitReady: p.awaitLeader})
	p.wait()
	if err != nil {
		return nil, err
	}
	return p.result(r), nil
}

// defaultUses are the parts of a cluster that a schedule needs.
func defaultUses(s *schedule.Schedule) []string {
	uses := []string{"failover", "purges"}
	if len(s.Small) > 0 {
		uses = append(uses, "popularity")
	}
	if len(s.Changes) > 0 {
		uses = append(uses, "configuration")
	}
	return uses
}

// result adds the verdict on the cluster to that on the senders.
func (p *player) result(r *live.Result) *Result {
	out := &Result{Result: r, LastStatuses: p.lastStatuses, Epochs: p.judge.Epochs(), Purges: p.purgeReports, Falls: p.falls,
		Changes: p.changeReports, SettledMS: p.settledMS}
	out.Excused = p.excuse(r.Verdict)
	if len(p.options.Uses) == 0 {
		return out
	}
	out.Breaches = p.judge.End(p.differences)
	if p.refusal != "" {
		out.Breaches = append(out.Breaches, judge.Breach{Promise: judge.Untold, What: p.refusal})
	}
	if r.Void == "" {
		out.Breaches = append(out.Breaches, p.unexpected(out.Epochs)...)
	}
	return out
}

// excuse removes from a verdict the messages that a process lost because the schedule emptied its folder. It returns how
// many these are.
func (p *player) excuse(v *referee.Verdict) (n int) {
	v.Violations = slices.DeleteFunc(v.Violations, func(b referee.Violation) bool {
		at, is := p.emptied[world.SenderNo(b.Sender)]
		// A violation is found when the message is judged, up to its deadline later; its text begins with the message's id.
		id, _, _ := strings.Cut(b.What, " ")
		owed, known := p.accepted[choice.MessageID(id)]
		out := is && b.Rule == referee.Lost && known && owed.by == world.SenderNo(b.Sender) && owed.at <= at
		if out {
			v.Rules[b.Rule]--
			n++
		}
		return out
	})
	return n
}

// worldOf is the world of a schedule: four partners with an endpoint in each of up to four zones.
func worldOf(s *schedule.Schedule) *world.Spec {
	spec := world.Base()
	spec.Name, spec.Seconds, spec.Senders, spec.Zones = s.Name, s.Seconds, s.Processes, s.Zones
	spec.Load.Rate = s.Rate
	spec.Classes = []world.Class{
		{Name: "status", Share: 3, LatencyObjectiveMS: 800, DeadlineMS: 4000},
		{Name: "order", Repeat: "single-use", Share: 1, LatencyObjectiveMS: 1500, DeadlineMS: 5000, Value: 3}}
	ends := float64(min(4, s.Zones))
	spec.Partners = []world.Kind{{Name: "shop", Count: 4, Endpoints: world.Pair{ends, ends}, Headroom: world.Pair{3, 4}, LeastRate: 40, Reports: true}}
	for _, f := range s.Faults {
		t := world.Fault{At: f.At, Seconds: f.Seconds, Selector: world.Selector{Senders: f.From}}
		switch f.Kind {
		case "zone":
			t.Kind, t.Selector = "silent", world.Selector{Zone: f.Zone}
			if f.Every > 0 {
				for at := f.At; at < f.At+f.Seconds; at += 2 * f.Every {
					t.At, t.Seconds = at, min(f.Every, f.At+f.Seconds-at)
					spec.Faults = append(spec.Faults, t)
				}
				continue
			}
		case "stop":
			t.Kind = "sender_pause"
		case "kill":
			t.Kind = "sender_kill"
		default:
			continue
		}
		spec.Faults = append(spec.Faults, t)
	}
	spec.Defaults()
	return &spec
}

func (p *player) openMesh() (err error) {
	all := mesh.Options{Cluster: "lab", Uses: p.options.Uses}
	if len(p.schedule.Small) > 0 {
		all.Bounds = map[string]int{"small_destinations": smallDestinations}
	}
	for i := range p.schedule.Processes {
		zone := i % p.schedule.Zones
		all.Processes = append(all.Processes, mesh.Process{Name: fmt.Sprintf("s%d", i), Zone: fmt.Sprintf("z%d", zone),
			Region: fmt.Sprintf("r%d", zone%p.schedule.Regions), Small: slices.Contains(p.schedule.Small, i)})
	}
	for i := range min(5, p.schedule.Processes, max(3, p.schedule.Processes/2*2-1)) {
		if !slices.Contains(p.schedule.Small, i) && len(p.schedule.Founders) == 0 {
			all.Founders = append(all.Founders, all.Processes[i].Name)
		}
	}
	for _, i := range p.schedule.Founders {
		all.Founders = append(all.Founders, all.Processes[i].Name)
	}
	p.meshOptions = all
	from := p.options.Port
	if from == 0 {
		from = firstPort + (os.Getpid()*37+int(runs.Add(1)))*portsPerRun%portRange
	}
	p.mesh, err = mesh.Open(all, from)
	return err
}

// writeClusterFile writes a process's cluster file and returns the arguments that name it.
func (p *player) writeClusterFile(s world.SenderNo, home string) ([]string, error) {
	if p.mesh == nil {
		return nil, nil
	}
	folder := filepath.Join(home, "cluster")
	p.folders = append(p.folders, folder)
	text, err := p.mesh.ClusterFile(int(s), folder)
	if err != nil {
		return nil, err
	}
	if p.options.File != nil {
		text = p.options.File(s, folder, text)
	}
	path := filepath.Join(home, "cluster.toml")
	return []string{"--cluster", path}, os.WriteFile(path, text, 0o644)
}
