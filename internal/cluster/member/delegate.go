package member

// This file implements memberlist's delegates. The library calls them with its own lock held: nothing here may call
// back into it, wait, or hold Members.mu for longer than an update of the roster takes.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"flaxcove/internal/cluster/member/roster"
	"flaxcove/internal/cluster/view"
)

// delegate receives memberlist's questions and events; it implements Delegate, EventDelegate, AliveDelegate,
// MergeDelegate and PingDelegate.
type delegate struct{ members *Members }

// NodeMeta returns this process's encoded metadata.
func (d delegate) NodeMeta(int) []byte {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	return d.members.meta
}

// NotifyMerge rejects the snapshot instance, which is no member.
func (d delegate) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		if n.Name == snapshotNode {
			return errSnapshotOnly
		}
	}
	return nil
}

// NotifyAlive decides whether an alive message is accepted. Otherwise two processes of one name would refute each other
// for ever. So every member rejects an earlier incarnation once it knows of a later one, and the earlier process ends
// its own membership when it hears of the later one.
func (d delegate) NotifyAlive(n *memberlist.Node) error {
	if n.Name == snapshotNode {
		return errSnapshotOnly
	}
	m := d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	meta := m.metaCache.lookup(n)
	if meta.err != nil {
		return meta.err
	}
	s := meta.observed
	if s.Member.Name == m.self.Member.Name {
		return m.handleOwnName(s, false)
	}
	if !m.hasMetPeer {
		m.hasMetPeer, m.metAt = true, m.now()
	}
	if !m.roster.Admits(s) {
		m.rejected = s.Member.Name
		return fmt.Errorf("life %d of it is not admitted", s.Member.Incarnation)
	}
	m.metaCache[n.Name] = meta
	return nil
}

// handleOwnName decides on metadata that carries this process's own name; under mu. Without an error the library
// refutes it. Where the fleet knows this name with the same or a later incarnation of another process, this process
// takes the next incarnation while it may: soon after it joined, or at any time if that other process is gone. An equal
// incarnation counts too, as others count acknowledgements by life. Later on the other process owns the name.
func (m *Members) handleOwnName(s roster.Observation, gone bool) error {
	sameProcess := s.Member.Folder == m.self.Member.Folder && s.GossipAddr == m.self.GossipAddr
	superseded := roster.Supersedes(s, m.self)
	if !superseded && (sameProcess || s.Member.Incarnation < m.self.Member.Incarnation) {
		return nil
	}
	mayRaise := gone || !m.hasMetPeer || m.now()-m.metAt < settlingPeriod
	if mayRaise && m.raiseCount < maxRaises && s.Member.Incarnation < math.MaxUint64 {
		next := m.self
		next.Member.Incarnation = s.Member.Incarnation + 1
		if err := m.setSelf(next); err != nil {
			return err
		}
		m.raiseCount, m.raisePending = m.raiseCount+1, true
		wake(m.notifyNeeded)
		m.opts.Log.Warn("the fleet remembers a later life of this process's name; taking the next number",
			zap.Uint64("incarnation", uint64(next.Member.Incarnation)))
		return nil
	}
	if !superseded {
		return nil
	}
	if m.nameOwner == nil {
		m.nameOwner = &s.Member.Life
		wake(m.snapshotNeeded)
	}
	return errors.New("a later life of this process's name is here")
}

// NotifyJoin updates the one member that joined. A snapshot for each burst of joins would cost 9 us for each member of
// the fleet (BenchmarkSnapshot).
func (d delegate) NotifyJoin(n *memberlist.Node) { d.members.updateMember(n) }

// NotifyUpdate updates the one member that changed, as NotifyJoin does.
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.members.updateMember(n) }

// NotifyLeave asks for a snapshot: the library does not say here whether the member left or died.
func (d delegate) NotifyLeave(*memberlist.Node) { wake(d.members.snapshotNeeded) }

// updateMember marks a member alive with its present metadata. What is said of this process itself is ignored.
func (m *Members) updateMember(n *memberlist.Node) {
	if n.Name == string(m.opts.Self.Name) || n.Name == snapshotNode {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	meta := m.metaCache.lookup(n)
	if meta.err != nil {
		return
	}
	m.updatedSinceSnapshot[meta.observed.Member.Name] = true
	if m.roster.MarkAlive(meta.observed, m.now()) {
		wake(m.notifyNeeded)
	}
}

// NotifyPingComplete records that one of this process's probes was answered.
func (d delegate) NotifyPingComplete(*memberlist.Node, time.Duration, []byte) {
	d.members.lastAnswer.Store(int64(d.members.now()))
}

// LocalState returns, for a joining member, the metadata of members that are gone, so that a process which starts with
// too low an incarnation learns of it. The library itself forgets the dead sooner than the roster does, and does not
// pass a dead member's metadata on to a process of the same name.
func (d delegate) LocalState(join bool) []byte {
	if !join {
		return nil
	}
	m := d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if version := m.roster.GoneVersion(); m.goneState == nil || m.goneVersion != version {
		metaByName := map[view.Name]json.RawMessage{}
		for _, s := range m.roster.Gone() {
			if meta, err := encodeMeta(s); err == nil {
				metaByName[s.Member.Name] = meta
			}
		}
		m.goneState, _ = json.Marshal(metaByName)
		m.goneVersion = version
	}
	return m.goneState
}

// MergeRemoteState reads another process's LocalState: only what it says of this process's own name matters.
func (d delegate) MergeRemoteState(state []byte, _ bool) {
	var metaByName map[view.Name]json.RawMessage
	if len(state) == 0 || json.Unmarshal(state, &metaByName) != nil {
		return
	}
	name := d.members.opts.Self.Name
	s, err := decodeMeta(&memberlist.Node{Name: string(name), Meta: metaByName[name]})
	if err != nil {
		return
	}
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	_ = d.members.handleOwnName(s, true)
}

// The remaining methods are unused: this process gossips nothing but its metadata.

// AckPayload adds nothing to the answers to probes.
func (d delegate) AckPayload() []byte { return nil }

// NotifyMsg ignores user messages, as none are sent.
func (d delegate) NotifyMsg([]byte) {}

// GetBroadcasts queues no user messages.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }
