package scale

import (
	"context"
	"fmt"
	"time"

	"flaxcove/internal/cluster/link"
	"flaxcove/lab/scale/fleet"
	"flaxcove/lab/scale/host"
)

// This file reads the counters of members and processes and computes rates from two readings.

// Result is the result of a run. Its rates are per second and member.
type Result struct {
	Options      Options        `json:"options"`
	StartS       float64        `json:"start_s"` // from the start until all members agreed
	CalmS        float64        `json:"calm_s"`  // duration of the measurement without faults
	Roles        []RoleUsage    `json:"roles"`
	Processes    []ProcessUsage `json:"processes"`
	MemoryMB     float64        `json:"memory_mb"` // resident memory of all hosts
	Purges       []Propagation  `json:"purges,omitempty"`
	Changes      []Propagation  `json:"changes,omitempty"` // of the configuration
	Outages      []ZoneOutage   `json:"falls,omitempty"`
	RollingS     float64        `json:"rolling_s,omitempty"`
	Disturbances []Disturbance  `json:"disturbances,omitempty"`
	Fault        string         `json:"trouble,omitempty"` // description of a real member that was slow to end; "" for none
}

// RoleUsage is the mean resource usage of the members of one role without faults.
type RoleUsage struct {
	Role      fleet.Role           `json:"role"`
	Real      bool                 `json:"real"`
	Members   int                  `json:"members"`
	BytesOut  float64              `json:"bytes_out"`      // over link, consensus and gossip, including HTTP headers
	BytesIn   float64              `json:"bytes_in"`       // over link and consensus
	MaxOut    float64              `json:"most_bytes_out"` // of the member that sent most
	Gossip    float64              `json:"gossip_bytes"`
	Packets   float64              `json:"gossip_packets"`
	Consensus float64              `json:"council_bytes"`
	Calls     float64              `json:"calls"`   // calls made
	Answers   float64              `json:"answers"` // calls answered
	Paths     map[string]PathUsage `json:"kinds"`   // by path of the link
	Lost      int                  `json:"digests_lost"`
	CPU       float64              `json:"cpu"` // cores used by the processes of the role, per member
	HeapMB    float64              `json:"heap_mb"`
	RSSMB     float64              `json:"rss_mb"`
	HeapParts map[string]float64   `json:"heap_parts_mb,omitempty"`
}

// PathUsage is the part of one path of the link. Bytes are those of bodies.
type PathUsage struct {
	Calls   float64 `json:"calls"`
	Answers float64 `json:"answers"`
	Out     float64 `json:"out"`
	In      float64 `json:"in"`
}

// ProcessUsage is the resource usage of one host's process.
type ProcessUsage struct {
	Role       fleet.Role `json:"role"`
	Members    int        `json:"members"`
	CPU        float64    `json:"cpu"` // cores used
	RSSMB      float64    `json:"rss_mb"`
	HeapMB     float64    `json:"heap_mb"`
	Goroutines int        `json:"goroutines"`
	Files      int        `json:"files"`
}

// Propagation is the time until a purge or change was decided and applied. A time is -1 if it was not observed.
type Propagation struct {
	DecidedS float64 `json:"decided_s"` // from the order until it was reported decided
	P50S     float64 `json:"p50_s"`     // from the order until it was applied at that share of the hollow members
	P95S     float64 `json:"p95_s"`
	P100S    float64 `json:"p100_s"`
}

// ZoneOutage is an outage of a zone's endpoints, and the times in seconds until a plan that routes away from the zone was in
// force at a share of the hollow members. A time is -1 if it was not observed.
type ZoneOutage struct {
	Zone    int     `json:"zone"`
	Members int     `json:"members"`
	P50S    float64 `json:"p50_s"`
	P95S    float64 `json:"p95_s"`
	P100S   float64 `json:"p100_s"`
}

// Disturbance is the cost of a schedule's faults from their start until all members agreed again.
type Disturbance struct {
	Name           string  `json:"name"`
	Seconds        float64 `json:"seconds"`
	AgreedS        float64 `json:"agreed_s"`         // time from the end of the last fault until agreement
	CPU            float64 `json:"cpu_s"`            // processor time of all hosts
	BytesPerMember float64 `json:"bytes_per_member"` // sent, mean of the members that were not restarted
}

// reading holds the counters of all members and hosts at one time.
type reading struct {
	at          time.Time
	used        []host.Usage // by host
	traffic     map[int]host.MemberTraffic
	cpuOf       map[int]time.Duration // processor time of real members' processes
	answerBytes map[int]int           // length of a real member's answer to this reading, which its counters include only later
}

// takeReading reads all counters.
func (r *run) takeReading(ctx context.Context) (*reading, error) {
	now := &reading{at: time.Now(), traffic: map[int]host.MemberTraffic{}, cpuOf: map[int]time.Duration{}, answerBytes: map[int]int{}}
	answers, err := r.orderAllHosts(host.Order{Kind: host.ReportUsage})
	if err != nil {
		return nil, err
	}
	for _, a := range answers {
		now.used = append(now.used, *a.Usage)
		for no, traffic := range a.Traffic {
			now.traffic[no] = traffic
		}
	}
	for _, m := range r.realMembers {
		s, length, err := r.statusOf(ctx, m.No)
		if err != nil {
			return nil, fmt.Errorf("real member %d: %w", m.No, err)
		}
		now.traffic[m.No], now.cpuOf[m.No], now.answerBytes[m.No] = host.TrafficOf(s), s.Traffic.CPU, length
	}
	return now, nil
}

// cpu returns the processor time of all hosts in seconds.
func (a *reading) cpu(*run) float64 {
	total := 0.0
	for _, u := range a.used {
		total += u.CPU.Seconds()
	}
	return total
}

// bytesSince returns the mean number of bytes that members have sent since an earlier reading, without members that were
// restarted.
func (a *reading) bytesSince(before *reading) float64 {
	sum, n := 0.0, 0
	for no, traffic := range a.traffic {
		if was := before.traffic[no]; traffic.Out >= was.Out && was.Out > 0 {
			sum += float64(traffic.Out - was.Out)
			n++
		}
	}
	return sum / float64(max(1, n))
}

// measureCalm measures all roles and hosts over Options.Calm, without faults.
func (r *run) measureCalm(ctx context.Context) error {
	before, err := r.takeReading(ctx)
	if err != nil {
		return err
	}
	if !sleep(ctx, r.options.Calm) {
		return ctx.Err()
	}
	after, err := r.takeReading(ctx)
	if err != nil {
		return err
	}
	memory, err := r.orderAllHosts(host.Order{Kind: host.ReportMemory})
	if err != nil {
		return err
	}
	span := after.at.Sub(before.at).Seconds()
	r.result.CalmS = span
	for i, h := range r.hosts {
		u := memory[i].Usage
		r.result.Processes = append(r.result.Processes, ProcessUsage{Role: h.role, Members: len(h.members),
			CPU:   (after.used[i].CPU - before.used[i].CPU).Seconds() / span,
			RSSMB: megabytes(u.RSS), HeapMB: megabytes(u.Heap), Goroutines: u.Goroutines, Files: u.Files})
		r.result.MemoryMB += megabytes(u.RSS)
	}
	for _, role := range fleet.Roles {
		for _, real := range []bool{false, true} {
			if use := r.roleUsage(role, real, before, after, span, memory); use.Members > 0 {
				r.result.Roles = append(r.result.Roles, use)
			}
		}
	}
	return nil
}

func megabytes(bytes uint64) float64 { return float64(bytes) / (1 << 20) }

// roleUsage returns the mean resource usage of the real or the hollow members of a role between two readings.
func (r *run) roleUsage(role fleet.Role, real bool, before, after *reading, span float64, memory []*host.Answer) RoleUsage {
	use := RoleUsage{Role: role, Real: real, Paths: map[string]PathUsage{}, HeapParts: map[string]float64{}}
	for _, m := range r.fleet.Members {
		if m.Role != role || m.Real != real {
			continue
		}
		use.Members++
		last := after.traffic[m.No]
		last.Out -= min(last.Out, uint64(before.answerBytes[m.No])) // sent to this run, not to members
		use.add(before.traffic[m.No], last, span)
		if real {
			use.CPU += (after.cpuOf[m.No] - before.cpuOf[m.No]).Seconds() / span
			if pid := r.processOf(m.No); pid > 0 {
				use.RSSMB += megabytes(host.RSS(pid))
			}
		}
	}
	for i, h := range r.hosts {
		if real || h.role != role {
			continue
		}
		use.CPU += (after.used[i].CPU - before.used[i].CPU).Seconds() / span
		use.RSSMB += megabytes(memory[i].Usage.RSS)
		use.HeapMB += megabytes(memory[i].Usage.Heap)
		for part, bytes := range memory[i].Heap {
			use.HeapParts[part] += float64(bytes) / (1 << 20)
		}
	}
	use.average()
	return use
}

// add adds the rates of one member between two readings that are span seconds apart.
func (u *RoleUsage) add(before, after host.MemberTraffic, span float64) {
	rate := func(is, was uint64) float64 { return float64(is-min(is, was)) / span }
	out := rate(after.Out, before.Out)
	u.BytesOut += out
	u.MaxOut = max(u.MaxOut, out)
	u.BytesIn += rate(after.In, before.In)
	u.Gossip += rate(after.Gossip, before.Gossip)
	u.Packets += rate(after.Packets, before.Packets)
	u.Consensus += rate(after.Consensus, before.Consensus)
	u.Lost += after.DigestsLost - before.DigestsLost
	for path, is := range after.Paths {
		was, sum := before.Paths[path], u.Paths[path]
		if is == (link.Volume{}) {
			continue
		}
		calls, answers := rate(is.Calls, was.Calls), rate(is.Answers, was.Answers)
		sum.Calls, sum.Answers = sum.Calls+calls, sum.Answers+answers
		sum.Out, sum.In = sum.Out+rate(is.Out, was.Out), sum.In+rate(is.In, was.In)
		u.Paths[path] = sum
		u.Calls, u.Answers = u.Calls+calls, u.Answers+answers
	}
}

// average divides the sums by the number of members.
func (u *RoleUsage) average() {
	n := float64(max(1, u.Members))
	for _, sum := range []*float64{&u.BytesOut, &u.BytesIn, &u.Gossip, &u.Packets, &u.Consensus, &u.Calls, &u.Answers, &u.CPU, &u.HeapMB, &u.RSSMB} {
		*sum /= n
	}
	for path, k := range u.Paths {
		u.Paths[path] = PathUsage{k.Calls / n, k.Answers / n, k.Out / n, k.In / n}
	}
	for part := range u.HeapParts {
		u.HeapParts[part] /= n
	}
}
