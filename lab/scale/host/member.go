package host

import (
	"context"
	"fmt"
	"hash/crc64"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/cluster"
	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/cluster/status"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/scale/fleet"
	"flaxcove/lab/scale/hollow"
)

// member is one hollow member. It is stopped if running is nil.
type member struct {
	host *host
	no   int

	mu      sync.Mutex // held while the member is started, ended or read; no other lock is held when it is acquired
	running *incarnation
	applied uint64 // number of the highest purge that earlier incarnations applied
}

// incarnation is one run of a member, which corresponds to one process of a real member.
type incarnation struct {
	node   *cluster.Node
	sender *hollow.Sender
	// silenced stops all traffic of the member at once, since a killed process does not announce that it leaves.
	silenced   atomic.Bool
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// longestDeadline is the longest deadline of a class, as the cluster is told for the hollow senders.
const longestDeadline = 5 * time.Second

// start starts the member unless it runs.
func (m *member) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running != nil {
		return nil
	}
	h, self := m.host, m.host.fleet.Members[m.no]
	folder := filepath.Join(h.spec.Folder, string(self.Name))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	text := h.fleet.File(m.no, folder, nil)
	set, err := settings.Parse(string(self.Name)+".toml", text)
	if err != nil {
		return err
	}
	l := &incarnation{}
	zones := map[string]choice.ZoneNo{}
	own := 0
	for zone := range h.fleet.Zones {
		zones[string(fleet.ZoneName(zone))] = choice.ZoneNo(zone)
		if fleet.ZoneName(zone) == self.Zone {
			own = zone
		}
	}
	l.sender = hollow.New(&h.spec.Load, own, uint64(m.no), m.applied, h.clock, h.zoneFails)
	l.node, err = cluster.Start(cluster.Options{Settings: set, Log: h.log.With(zap.String("member", string(self.Name))), Orders: l.sender,
		Zones: zones, LongestDeadline: longestDeadline, RatingIsRate: true, Partitioned: func(other view.Name) bool { return l.silenced.Load() || h.areSeparated(self.Name, other) }})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	if h.usesDigests() {
		l.goroutines.Go(func() { l.sender.Run(ctx, l.node) })
	}
	m.running = l
	return nil
}

// usesDigests reports whether the enabled parts of the cluster use digests. If not, the senders make none, so that they do not
// add to the measured processor time.
func (h *host) usesDigests() bool {
	return slices.ContainsFunc(h.spec.Fleet.Uses, func(use string) bool { return use == "failover" || use == "popularity" })
}

// areSeparated reports whether a cut lies between two members.
func (h *host) areSeparated(one, other view.Name) bool {
	separated := *h.separated.Load()
	return separated[one] != separated[other]
}

// kill ends the member without an announcement to the others, like a killed process.
func (m *member) kill() error { return m.end(true) }

// stop shuts the member down gracefully.
func (m *member) stop() error { return m.end(false) }

// end stops the running incarnation, if there is one; silent stops its traffic first.
func (m *member) end(silent bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		return nil
	}
	l := m.running
	m.running = nil
	m.applied = l.sender.LastAppliedSeq()
	l.silenced.Store(silent)
	l.stop()
	l.goroutines.Wait()
	if err := l.node.Close(); err != nil {
		m.host.log.Warn("closing a hollow member failed", zap.Int("member", m.no), zap.Error(err))
	}
	return nil
}

// state returns the member's state; Up is false if it does not run.
func (m *member) state() MemberState {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		return MemberState{No: m.no}
	}
	return StateOf(m.no, m.running.node.Status())
}

// StateOf returns the state of a running member with the given status.
func StateOf(no int, s *status.Status) MemberState {
	alive, sum := Alive(s.Members)
	state := MemberState{No: no, Up: true, Alive: alive, ViewSum: sum, Root: s.Root, Leader: s.Leader, Epoch: s.Epoch, Purged: s.LastPurge}
	if s.Configuration != nil {
		state.Version = s.Configuration.Version
	}
	for name, n := range s.Counts {
		if zone, is := strings.CutPrefix(name, "away_from_"); is && n > 0 {
			state.DivertedZones = append(state.DivertedZones, zone)
		}
	}
	return state
}

// crcTable is the table for checksums of views.
var crcTable = crc64.MakeTable(crc64.ECMA)

// Alive returns the number of members that are alive and a checksum of their names and incarnations.
func Alive(members []view.Member) (alive int, sum uint64) {
	hash := crc64.New(crcTable)
	for _, m := range members {
		if m.State == view.Alive {
			alive++
			fmt.Fprintf(hash, "%s %d\n", m.Name, m.Incarnation)
		}
	}
	return alive, hash.Sum64()
}

// appliedAt returns the time at which the running incarnation applied the purge or the version of an order; zero for never.
func (m *member) appliedAt(order *Order) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		return time.Time{}
	}
	if order.Purge > 0 {
		return m.running.sender.AppliedAt(order.Purge)
	}
	return m.running.sender.InForceAt(order.Version)
}

// traffic returns the member's traffic, which is zero if it does not run.
func (m *member) traffic() MemberTraffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		return MemberTraffic{}
	}
	return TrafficOf(m.running.node.Status())
}

// TrafficOf returns the traffic of a member with the given status.
func TrafficOf(s *status.Status) MemberTraffic {
	t := s.Traffic
	return MemberTraffic{In: t.In, Out: t.Out, Gossip: t.Gossip, Packets: t.Packets, Consensus: t.Consensus, Paths: t.Kinds, DigestsLost: s.Counts["digests_lost"]}
}
