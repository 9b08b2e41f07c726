// Package play plays a schedule with real sender processes, a world of partners, and relays between the processes.
//
// This file sets a run up. faults.go injects the faults of the cluster, watch.go polls the processes, purge.go and change.go
// order purges and changes, falls.go measures outages of zones. Package live runs the processes and the world; package judge
// checks the cluster. A run must not leave a process, relay or file behind.
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
	Command  []string // program and arguments that run a sender, as in flaxcove serve
	Port     int      // first port that the relays try; 0 for a port range of this run
	Uses     []string // enabled parts of the cluster; nil for those that the schedule needs, empty for no cluster
	Logs     string   // folder for the logs of the processes; "" for none
	// EditSpec changes the world before the run; nil for no change.
	EditSpec func(*world.Spec)
	// EditClusterFile returns the text to write as a process's cluster file; folder is where the process keeps the cluster's
	// state. nil for no change.
	EditClusterFile func(s world.SenderNo, folder string, text []byte) []byte
	// PollInterval is the time between two polls of the processes; 0 for pollInterval. The answers add to the processes'
	// measured traffic.
	PollInterval time.Duration
	// OnStatuses is called on the world's goroutine with the statuses of each poll; nil for no callback.
	OnStatuses func(now choice.Time, all []*status.Status)
	// OnConfiguration is called on the world's goroutine with the configuration status that the first process reports in
	// each poll; nil for no callback.
	OnConfiguration func(now choice.Time, s versions.ConfigurationStatus)
}

// maxProcesses is the number of processes that one machine can run with relays between any two of them.
const maxProcesses = 60

// smallDestinations is the number of destinations, of the four in the world, whose learned state a small process keeps.
const smallDestinations = 2

// Result is the result of a run: that of the senders, and that of the cluster.
type Result struct {
	*live.Result
	Breaches []judge.Breach // violated promises of the cluster and unmet expectations of the schedule
	// Excused is the number of lost messages that are not counted as violations, since the schedule emptied the folder that
	// held them.
	Excused      int
	Epochs       int              // number of epochs of which a plan was observed
	LastStatuses []*status.Status // statuses of the last poll
	Purges       []PurgeReport
	Outages      []ZoneOutage
	Changes      []*ChangeReport
	// SettledMS is the time in milliseconds from the end of the last fault until all processes agreed.
	SettledMS int64
}

// Each run looks for free ports in its own range: two runs that start at the same time must not find the same ports free.
const (
	firstPort   = 30000
	portRange   = 25000 // a multiple of portsPerRun
	portsPerRun = 500   // more than mesh.Open tries
)

// runCount is the number of runs in this process that asked for a port range.
var runCount atomic.Int64

// Run plays a schedule. An error means that it could not be played; broken promises are in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Schedule.CheckNamesProcesses(); err != nil {
		return nil, err
	}
	if n := o.Schedule.Processes; n > maxProcesses {
		return nil, fmt.Errorf("schedule with %d processes: at most %d can be played", n, maxProcesses)
	}
	if o.Uses == nil {
		o.Uses = defaultUses(o.Schedule)
	}
	p := &player{options: o, schedule: o.Schedule, judge: judge.New(), accepted: map[choice.MessageID]acceptedMessage{},
		emptied: map[world.SenderNo]choice.Time{}}
	spec := worldOf(p.schedule)
	if o.EditSpec != nil {
		o.EditSpec(spec)
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

// defaultUses returns the parts of the cluster that a schedule needs.
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

// result combines the verdict on the senders with the verdict on the cluster.
func (p *player) result(r *live.Result) *Result {
	out := &Result{Result: r, LastStatuses: p.lastStatuses, Epochs: p.judge.Epochs(), Purges: p.purgeReports, Outages: p.outages,
		Changes: p.changeReports, SettledMS: p.settledMS}
	out.Excused = p.excuseLosses(r.Verdict)
	if len(p.options.Uses) == 0 {
		return out
	}
	out.Breaches = p.judge.End(p.differences)
	if p.rejectedChange != "" {
		out.Breaches = append(out.Breaches, judge.Breach{Promise: judge.Unreported, Detail: p.rejectedChange})
	}
	if r.Void == "" {
		out.Breaches = append(out.Breaches, p.unmetExpectations(out.Epochs)...)
	}
	return out
}

// excuseLosses removes from a verdict the messages that a process lost because the schedule emptied its folder. It returns the
// number of removed violations.
func (p *player) excuseLosses(v *referee.Verdict) (n int) {
	v.Violations = slices.DeleteFunc(v.Violations, func(b referee.Violation) bool {
		at, emptied := p.emptied[world.SenderNo(b.Sender)]
		// The referee finds the violation as late as the message's deadline. The text of a violation begins with the id of the
		// message.
		id, _, _ := strings.Cut(b.What, " ")
		message, known := p.accepted[choice.MessageID(id)]
		excused := emptied && b.Rule == referee.Lost && known && message.by == world.SenderNo(b.Sender) && message.at <= at
		if excused {
			v.Rules[b.Rule]--
			n++
		}
		return excused
	})
	return n
}

// worldOf returns the world of a schedule: four partners, each with an endpoint in each of up to four zones. The world
// injects the faults of kinds zone, stop and kill.
func worldOf(s *schedule.Schedule) *world.Spec {
	spec := world.DefaultSpec()
	spec.Name, spec.Seconds, spec.Senders, spec.Zones = s.Name, s.Seconds, s.Processes, s.Zones
	spec.Load.Rate = s.Rate
	spec.Classes = []world.Class{
		{Name: "status", Share: 3, LatencyObjectiveMS: 800, DeadlineMS: 4000},
		{Name: "order", Repeat: "single-use", Share: 1, LatencyObjectiveMS: 1500, DeadlineMS: 5000, Value: 3}}
	endpoints := float64(min(4, s.Zones))
	spec.Partners = []world.PartnerKind{{Name: "shop", Count: 4, Endpoints: world.Pair{endpoints, endpoints}, Headroom: world.Pair{3, 4}, LeastRate: 40, Reports: true}}
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

// openMesh places the processes in zones and regions, chooses the founders and opens the relays.
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
	port := p.options.Port
	if port == 0 {
		port = firstPort + (os.Getpid()*37+int(runCount.Add(1)))*portsPerRun%portRange
	}
	p.mesh, err = mesh.Open(all, port)
	return err
}

// writeClusterFile writes the cluster file of a process into its folder home. It returns the arguments that name the file, or
// none without a cluster.
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
	if p.options.EditClusterFile != nil {
		text = p.options.EditClusterFile(s, folder, text)
	}
	path := filepath.Join(home, "cluster.toml")
	return []string{"--cluster", path}, os.WriteFile(path, text, 0o644)
}
