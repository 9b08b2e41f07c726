package member

// This file implements memberlist's delegates. The library calls them with its own lock held, so no method here may
// call the library, wait, or hold Members.mu for longer than an update of the roster takes.

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

// delegate receives memberlist's queries and events for Members. It implements Delegate, EventDelegate, AliveDelegate,
// MergeDelegate and PingDelegate of memberlist.
type delegate struct{ members *Members }

// NodeMeta returns this process's encoded metadata.
func (d delegate) NodeMeta(int) []byte {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	return d.members.meta
}

// NotifyMerge rejects a merge with the snapshot instance, which is not a member of the cluster.
func (d delegate) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		if n.Name == snapshotNode {
			return errSnapshotOnly
		}
	}
	return nil
}

// NotifyAlive returns an error to reject an alive message: if it comes from the snapshot instance, its metadata is
// invalid, the roster does not admit it, or handleOwnName rejects it. If all messages were accepted, two processes of
// one name would refute each other forever. So every member rejects an earlier incarnation once it knows a later one,
// and the process of the earlier incarnation ends its membership when it learns of the later one.
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
		m.hasMetPeer, m.firstMetAt = true, m.now()
	}
	if !m.roster.Admits(s) {
		m.rejectedName = s.Member.Name
		return fmt.Errorf("incarnation %d rejected: a known one takes precedence, or too many members are present", s.Member.Incarnation)
	}
	m.metaCache[n.Name] = meta
	return nil
}

// handleOwnName handles an observation that carries this process's own name. The parameter gone tells that the
// observation is of a member that left or died. If handleOwnName returns nil, the library refutes the observation. The
// caller holds mu.
//
// If the cluster knows the name with the same or a later incarnation of another process, this process raises its own
// incarnation above that one. It may do so within settlingPeriod of meeting its first member, or at any time if the
// other process is gone, and maxRaises times in total. The same incarnation matters too, as other members count
// acknowledgements by incarnation. If this process may not raise its incarnation, the other process becomes the name
// owner if its observation supersedes this process (roster.Supersedes).
func (m *Members) handleOwnName(s roster.Observation, gone bool) error {
	sameProcess := s.Member.FolderID == m.self.Member.FolderID && s.GossipAddr == m.self.GossipAddr
	superseded := roster.Supersedes(s, m.self)
	if !superseded && (sameProcess || s.Member.Incarnation < m.self.Member.Incarnation) {
		return nil
	}
	mayRaise := gone || !m.hasMetPeer || m.now()-m.firstMetAt < settlingPeriod
	if mayRaise && m.raiseCount < maxRaises && s.Member.Incarnation < math.MaxUint64 {
		next := m.self
		next.Member.Incarnation = s.Member.Incarnation + 1
		if err := m.setSelf(next); err != nil {
			return err
		}
		m.raiseCount, m.raisePending = m.raiseCount+1, true
		wake(m.notifyNeeded)
		m.opts.Log.Warn("the cluster knows this process's name with the same or a later incarnation; raising this process's incarnation",
			zap.Uint64("incarnation", uint64(next.Member.Incarnation)))
		return nil
	}
	if !superseded {
		return nil
	}
	if m.nameOwner == nil {
		m.nameOwner = &s.Member.Instance
		wake(m.snapshotNeeded)
	}
	return errors.New("another process uses this process's name with a later incarnation")
}

// NotifyJoin updates the roster entry of the member that joined. It requests no snapshot, which would cost 9 us for
// each member of the cluster at each burst of joins (BenchmarkSnapshot).
func (d delegate) NotifyJoin(n *memberlist.Node) { d.members.updateMember(n) }

// NotifyUpdate updates the roster entry of the member that changed its metadata.
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.members.updateMember(n) }

// NotifyLeave requests a snapshot, as the event does not distinguish a leave from a death.
func (d delegate) NotifyLeave(*memberlist.Node) { wake(d.members.snapshotNeeded) }

// updateMember marks a member alive with its current metadata. It ignores events about this process itself, and members
// with invalid metadata.
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
	d.members.lastContact.Store(int64(d.members.now()))
}

// LocalState returns the encoded metadata of members that are gone, by name, if the exchange is a join, and nil
// otherwise. From it a process that starts with too low an incarnation learns the higher one. The library does not pass
// this on: it forgets dead members sooner than the roster does, and does not send a dead member's metadata to a process
// of the same name.
func (d delegate) LocalState(join bool) []byte {
	if !join {
		return nil
	}
	m := d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if version := m.roster.GoneVersion(); m.localState == nil || m.localStateVersion != version {
		metaByName := map[view.Name]json.RawMessage{}
		for _, s := range m.roster.Gone() {
			if meta, err := encodeMeta(s); err == nil {
				metaByName[s.Member.Name] = meta
			}
		}
		m.localState, _ = json.Marshal(metaByName)
		m.localStateVersion = version
	}
	return m.localState
}

// MergeRemoteState reads the LocalState of another process. It uses only the entry for this process's own name.
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

// The remaining methods do nothing, as this process gossips only its metadata.

// AckPayload returns nil: answers to probes carry no payload.
func (d delegate) AckPayload() []byte { return nil }

// NotifyMsg ignores user messages, as no process sends any.
func (d delegate) NotifyMsg([]byte) {}

// GetBroadcasts returns nil, as there are no user messages to send.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }
