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

// member is one hollow member: its folder, and the incarnation that runs on it.
type member struct {
	host *host
	no   int

	mu      sync.Mutex // held while one member is started, ended or read; no other lock of the program is held then
	running *incarnation
	applied uint64 // the highest purge that an earlier incarnation applied
}

// incarnation is one run of a member, like that of a process.
type incarnation struct {
	node   *cluster.Node
	sender *hollow.Sender
	// dead stops all traffic of the member at once: a killed process does not say that it leaves.
	dead atomic.Bool
	stop context.CancelFunc
	work sync.WaitGroup
}

// longestDeadline is the longest deadline of all classes of the hollow senders.
const longestDeadline = 5 * time.Second

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
	l.sender = hollow.New(&h.spec.Load, own, uint64(m.no), m.applied, h.clock, h.zoneFell)
	l.node, err = cluster.Start(cluster.Options{Settings: set, Log: h.log.With(zap.String("member", string(self.Name))), Orders: l.sender,
		Zones: zones, LongestDeadline: longestDeadline, RatingIsRate: true, Partitioned: func(other view.Name) bool { return l.dead.Load() || h.apart(self.Name, other) }})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	if h.digestsRead() {
		l.work.Go(func() { l.sender.Run(ctx, l.node) })
	}
	m.running = l
	return nil
}

// digestsRead reports whether digests are used. If not, none are made, so that they do not add to the members' processor
// time.
func (h *host) digestsRead() bool {
	return slices.ContainsFunc(h.spec.Fleet.Uses, func(use string) bool { return use == "failover" || use == "popularity" })
}

// apart reports whether a cut separates two members.
func (h *host) apart(one, other view.Name) bool {
	apart := *h.separated.Load()
	return apart[one] != apart[other]
}

// kill ends an incarnation without notice to others, stop with one.
func (m *member) kill() error { return m.end(true) }
func (m *member) stop() error { return m.end(false) }

func (m *member) end(silent bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		return nil
	}
	l := m.running
	m.running = nil
	m.applied = l.sender.Applied()
	l.dead.Store(silent)
	l.stop()
	l.work.Wait()
	if err := l.node.Close(); err != nil {
		m.host.log.Warn("member did not close cleanly", zap.Int("member", m.no), zap.Error(err))
	}
	return nil
}

func (m *member) state() MemberState {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		return MemberState{No: m.no}
	}
	return StateOf(m.no, m.running.node.Status())
}

// StateOf is a member's state by its status.
func StateOf(no int, s *status.Status) MemberState {
	here, sum := Alive(s.Members)
	state := MemberState{No: no, Up: true, Here: here, View: sum, Root: s.Root, Leader: s.Leader, Epoch: s.Epoch, Purged: s.LastPurge}
	if s.Configuration != nil {
		state.Version = s.Configuration.Version
	}
	for name, n := range s.Counts {
		if zone, is := strings.CutPrefix(name, "away_from_"); is && n > 0 {
			state.Away = append(state.Away, zone)
		}
	}
	return state
}

var sums = crc64.MakeTable(crc64.ECMA)

// Alive counts the members that are alive, with a checksum of their names and incarnations.
func Alive(members []view.Member) (here int, sum uint64) {
	hash := crc64.New(sums)
	for _, m := range members {
		if m.State == view.Alive {
			here++
			fmt.Fprintf(hash, "%s %d\n", m.Name, m.Incarnation)
		}
	}
	return here, hash.Sum64()
}

func (m *member) appliedAt(order *Order) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		return time.Time{}
	}
	if order.Purge > 0 {
		return m.running.sender.AppliedAt(order.Purge)
	}
	return m.running.sender.ConfiguredAt(order.Version)
}

func (m *member) traffic() MemberTraffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		return MemberTraffic{}
	}
	return TrafficOf(m.running.node.Status())
}

// TrafficOf returns a member's traffic by its status.
func TrafficOf(s *status.Status) MemberTraffic {
	t := s.Traffic
	return MemberTraffic{In: t.In, Out: t.Out, Gossip: t.Gossip, Packets: t.Packets, Consensus: t.Consensus, Kinds: t.Kinds, Lost: s.Counts["digests_lost"]}
}
