package member

// This file takes snapshots of the states that the library has of all processes: alive, suspected, left or dead.
//
// The library's public list omits members that are gone, does not distinguish a suspected member from a healthy one,
// and reports a leave and a death by the same event. It passes its states to one place only: to the MergeDelegate,
// which decides on a push/pull exchange whether two clusters may merge. So a second instance of the library, without
// sockets, probes or gossip, serves as a reader: the first instance joins it over an in-memory pipe, the MergeDelegate
// of the second receives all states, and both reject the merge, so that it has no effect. A real exchange reaches the
// delegate of the first instance and never that of the second, so the two cannot be confused.

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// snapshotNode is the name of the snapshot instance, which is never sent to another process. Options.validate
	// rejects it as the name of a process.
	snapshotNode = "(snapshot)"
	// snapshotTimeout bounds one snapshot. A snapshot crosses no network, so exceeding it means that the process itself
	// was suspended.
	snapshotTimeout = time.Second
)

var (
	// errSnapshotOnly rejects each merge with the snapshot instance.
	errSnapshotOnly    = errors.New("merge rejected: it only serves to take a snapshot")
	errNoSnapshot      = errors.New("memberlist did not pass its states on within the snapshot timeout")
	errPipeNotAccepted = errors.New("the snapshot instance did not accept a stream within the dial timeout")
)

// snapshotter is the second instance of the library, the snapshot instance, with its MergeDelegate and a transport that
// reaches no other process.
type snapshotter struct {
	list    *memberlist.Memberlist
	streams chan net.Conn           // ends of the pipes that dial made
	packets chan *memberlist.Packet // always empty
	states  chan []*memberlist.Node // the states passed with the last merge request; capacity one
}

// newSnapshotter starts the snapshot instance with the label of a cluster.
func newSnapshotter(label string) (*snapshotter, error) {
	s := &snapshotter{streams: make(chan net.Conn, 1), packets: make(chan *memberlist.Packet),
		states: make(chan []*memberlist.Node, 1)}
	conf := baseConfig(snapshotNode, label)
	conf.Transport, conf.Merge = s, s
	conf.ProbeInterval, conf.GossipInterval, conf.PushPullInterval = 0, 0, 0
	conf.Logger = log.New(io.Discard, "", 0) // the library logs each rejected merge
	list, err := memberlist.Create(conf)
	if err != nil {
		return nil, fmt.Errorf("membership: cannot start the snapshot instance: %w", err)
	}
	s.list = list
	return s, nil
}

// snapshot returns the states of all members that list knows. It is not safe for concurrent use.
func (s *snapshotter) snapshot(list *memberlist.Memberlist) ([]*memberlist.Node, error) {
	select {
	case <-s.states: // discards the states of a snapshot that timed out
	default:
	}
	_, joinErr := list.Join([]string{joinAddr(snapshotNode)})
	timer := time.NewTimer(snapshotTimeout)
	defer timer.Stop()
	select {
	case nodes := <-s.states:
		return nodes, nil
	case <-timer.C:
		return nil, fmt.Errorf("%w: %w", errNoSnapshot, joinErr)
	}
}

// NotifyMerge passes the states on to snapshot, and rejects the merge.
func (s *snapshotter) NotifyMerge(nodes []*memberlist.Node) error {
	select {
	case s.states <- nodes:
	default:
	}
	return errSnapshotOnly
}

// dial returns one end of a pipe; the snapshot instance serves the other end. It fails if that instance does not accept
// the stream within the timeout.
func (s *snapshotter) dial(timeout time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case s.streams <- far:
		return near, nil
	case <-timer.C:
		return nil, errors.Join(errPipeNotAccepted, near.Close(), far.Close())
	}
}

// The remaining methods implement memberlist.Transport. Streams come from dial only, and no packet is sent.

// FinalAdvertiseAddr returns placeholderAddr.
func (s *snapshotter) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IPv4(127, 0, 0, 1).To4(), 1, nil
}

// WriteTo discards a packet.
func (s *snapshotter) WriteTo([]byte, string) (time.Time, error) { return time.Now(), nil }

// PacketCh returns a channel that never delivers a packet.
func (s *snapshotter) PacketCh() <-chan *memberlist.Packet { return s.packets }

// DialTimeout returns errNoAddress, as the snapshot instance dials no other process.
func (s *snapshotter) DialTimeout(string, time.Duration) (net.Conn, error) { return nil, errNoAddress }

// StreamCh returns the channel that delivers the pipes made by dial.
func (s *snapshotter) StreamCh() <-chan net.Conn { return s.streams }

// Shutdown does nothing, as the transport has no sockets.
func (s *snapshotter) Shutdown() error { return nil }
