package scale

import (
	"context"
	"fmt"
	"time"

	"flaxcove/internal/cluster/link"
	"flaxcove/lab/scale/fleet"
	"flaxcove/lab/scale/host"
)

// This file reads what members and processes have used, and computes rates from two readings.

// Result is the result of a run. Rates are per second and member.
type Result struct {
	Options      Options       `json:"options"`
	StartS       float64       `json:"start_s"` // until all agreed
	CalmS        float64       `json:"calm_s"`
	Roles        []RoleUse     `json:"roles"`
	Processes    []ProcessUse  `json:"processes"`
	MemoryMB     float64       `json:"memory_mb"` // of all hosts
	Purges       []Spread      `json:"purges,omitempty"`
	Changes      []Spread      `json:"changes,omitempty"` // of the configuration
	Falls        []Fall        `json:"falls,omitempty"`
	RollingS     float64       `json:"rolling_s,omitempty"`
	Disturbances []Disturbance `json:"disturbances,omitempty"`
	Fault        string        `json:"trouble,omitempty"` // with real members' processes
}

// RoleUse is the mean use of members of one role without faults.
type RoleUse struct {
	Role      fleet.Role         `json:"role"`
	Real      bool               `json:"real"`
	Members   int                `json:"members"`
	BytesOut  float64            `json:"bytes_out"` // link, consensus and gossip, including HTTP headers
	BytesIn   float64            `json:"bytes_in"`  // link and consensus
	MostOut   float64            `json:"most_bytes_out"`
	Gossip    float64            `json:"gossip_bytes"`
	Packets   float64            `json:"gossip_packets"`
	Consensus float64            `json:"council_bytes"`
	Calls     float64            `json:"calls"`   // calls made
	Answers   float64            `json:"answers"` // calls answered
	Kinds     map[string]KindUse `json:"kinds"`
	Lost      int                `json:"digests_lost"`
	CPU       float64            `json:"cpu"` // of a core; of the processes that hold this role, a member
	HeapMB    float64            `json:"heap_mb"`
	RSSMB     float64            `json:"rss_mb"`
	HeapParts map[string]float64 `json:"heap_parts_mb,omitempty"`
}

// KindUse is the part of one path; bytes are those of bodies.
type KindUse struct {
	Calls   float64 `json:"calls"`
	Answers float64 `json:"answers"`
	Out     float64 `json:"out"`
	In      float64 `json:"in"`
}

// ProcessUse is the use of one host's process.
type ProcessUse struct {
	Role       fleet.Role `json:"role"`
	Members    int        `json:"members"`
	CPU        float64    `json:"cpu"` // of a core
	RSSMB      float64    `json:"rss_mb"`
	HeapMB     float64    `json:"heap_mb"`
	Goroutines int        `json:"goroutines"`
	Files      int        `json:"files"`
}

// Spread is when a purge or change reached the members; -1 for what was not observed.
type Spread struct {
	DecidedS float64 `json:"decided_s"` // from the order until it was reported decided
	P50S     float64 `json:"p50_s"`     // from the order until it was applied at that share of the hollow members
	P95S     float64 `json:"p95_s"`
	P100S    float64 `json:"p100_s"`
}

// Fall is a zone whose endpoints failed, and when a plan that routes away from it was in force at a share of the members.
type Fall struct {
	Zone    int     `json:"zone"`
	Members int     `json:"members"`
	P50S    float64 `json:"p50_s"`
	P95S    float64 `json:"p95_s"`
	P100S   float64 `json:"p100_s"`
}

// Disturbance is the cost of a schedule's faults, until all members agreed again.
type Disturbance struct {
	Name           string  `json:"name"`
	Seconds        float64 `json:"seconds"`
	AgreedS        float64 `json:"agreed_s"`         // after the last fault
	CPU            float64 `json:"cpu_s"`            // of all hosts
	BytesPerMember float64 `json:"bytes_per_member"` // sent, by hollow members that lived through it
}

// reading holds the counters at one time.
type reading struct {
	at          time.Time
	used        []host.Used
	traffic     map[int]host.MemberTraffic
	cpuOf       map[int]time.Duration // of real members' processes
	answerBytes map[int]int           // bytes of a real member's answer to this reading, which it counts only afterwards
}

func (r *run) read(ctx context.Context) (*reading, error) {
	now := &reading{at: time.Now(), traffic: map[int]host.MemberTraffic{}, cpuOf: map[int]time.Duration{}, answerBytes: map[int]int{}}
	answers, err := r.orderAllHosts(host.Order{Do: host.Measure})
	if err != nil {
		return nil, err
	}
	for _, a := range answers {
		now.used = append(now.used, *a.Used)
		for no, traffic := range a.Volumes {
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

func (a *reading) cpu(*run) float64 {
	total := 0.0
	for _, u := range a.used {
		total += u.CPU.Seconds()
	}
	return total
}

// bytesSince is the mean of what members have sent since an earlier reading, without those that were restarted.
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

// measureCalm measures over the time without faults.
func (r *run) measureCalm(ctx context.Context) error {
	before, err := r.read(ctx)
	if err != nil {
		return err
	}
	if !sleep(ctx, r.options.Calm) {
		return ctx.Err()
	}
	after, err := r.read(ctx)
	if err != nil {
		return err
	}
	memory, err := r.orderAllHosts(host.Order{Do: host.Memory})
	if err != nil {
		return err
	}
	span := after.at.Sub(before.at).Seconds()
	r.result.CalmS = span
	for i, h := range r.hosts {
		u := memory[i].Used
		r.result.Processes = append(r.result.Processes, ProcessUse{Role: h.role, Members: len(h.members),
			CPU:   (after.used[i].CPU - before.used[i].CPU).Seconds() / span,
			RSSMB: megabytes(u.RSS), HeapMB: megabytes(u.Heap), Goroutines: u.Goroutines, Files: u.Files})
		r.result.MemoryMB += megabytes(u.RSS)
	}
	for _, role := range fleet.Roles {
		for _, real := range []bool{false, true} {
			if use := r.roleUse(role, real, before, after, span, memory); use.Members > 0 {
				r.result.Roles = append(r.result.Roles, use)
			}
		}
	}
	return nil
}

func megabytes(bytes uint64) float64 { return float64(bytes) / (1 << 20) }

// roleUse is the use of members of a role between two readings.
func (r *run) roleUse(role fleet.Role, real bool, before, after *reading, span float64, memory []*host.Answer) RoleUse {
	use := RoleUse{Role: role, Real: real, Kinds: map[string]KindUse{}, HeapParts: map[string]float64{}}
	for _, m := range r.fleet.Members {
		if m.Role != role || m.Real != real {
			continue
		}
		use.Members++
		last := after.traffic[m.No]
		last.Out -= min(last.Out, uint64(before.answerBytes[m.No])) // to this run, not to members
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
		use.RSSMB += megabytes(memory[i].Used.RSS)
		use.HeapMB += megabytes(memory[i].Used.Heap)
		for part, bytes := range memory[i].Heap {
			use.HeapParts[part] += float64(bytes) / (1 << 20)
		}
	}
	use.average()
	return use
}

func (u *RoleUse) add(before, after host.MemberTraffic, span float64) {
	rate := func(is, was uint64) float64 { return float64(is-min(is, was)) / span }
	out := rate(after.Out, before.Out)
	u.BytesOut += out
	u.MostOut = max(u.MostOut, out)
	u.BytesIn += rate(after.In, before.In)
	u.Gossip += rate(after.Gossip, before.Gossip)
	u.Packets += rate(after.Packets, before.Packets)
	u.Consensus += rate(after.Consensus, before.Consensus)
	u.Lost += after.Lost - before.Lost
	for path, is := range after.Kinds {
		was, sum := before.Kinds[path], u.Kinds[path]
		if is == (link.Volume{}) {
			continue
		}
		calls, answers := rate(is.Calls, was.Calls), rate(is.Answers, was.Answers)
		sum.Calls, sum.Answers = sum.Calls+calls, sum.Answers+answers
		sum.Out, sum.In = sum.Out+rate(is.Out, was.Out), sum.In+rate(is.In, was.In)
		u.Kinds[path] = sum
		u.Calls, u.Answers = u.Calls+calls, u.Answers+answers
	}
}

func (u *RoleUse) average() {
	n := float64(max(1, u.Members))
	for _, sum := range []*float64{&u.BytesOut, &u.BytesIn, &u.Gossip, &u.Packets, &u.Consensus, &u.Calls, &u.Answers, &u.CPU, &u.HeapMB, &u.RSSMB} {
		*sum /= n
	}
	for path, k := range u.Kinds {
		u.Kinds[path] = KindUse{k.Calls / n, k.Answers / n, k.Out / n, k.In / n}
	}
	for part := range u.HeapParts {
		u.HeapParts[part] /= n
	}
}
