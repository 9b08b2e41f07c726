package member

// This file reads a snapshot of the library's state of each process: alive, suspected, left or dead.
//
// The library's public list omits members that are gone, does not distinguish a suspected member from a healthy one,
// and reports leaving and dying by one event. It reveals its states in one place alone: to the MergeDelegate that is
// asked, on a push/pull exchange, whether two clusters may merge. So a second instance of the library, without sockets,
// probes or gossip, serves as a reader: the first instance "joins" it over a pipe in memory, the second one's
// MergeDelegate receives all states, and both reject the merge, so that it has no effect. A real exchange reaches the
// first instance's delegate and never the second's, so the two cannot be confused.

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
	// snapshotNode is the second instance's name; no process may be called so. It appears in this process alone.
	snapshotNode = "(snapshot)"
	// snapshotTimeout bounds one snapshot. It crosses no network: if it is exceeded the process itself was suspended.
	snapshotTimeout = time.Second
)

var (
	// errSnapshotOnly rejects each merge with the snapshot instance.
	errSnapshotOnly = errors.New("snapshot only: nothing is merged")
	errNoSnapshot   = errors.New("the library revealed no states in time")
	errPipeNotTaken = errors.New("the snapshot instance accepted no stream in time")
)

// snapshotter is the second instance of the library, with its MergeDelegate and a transport that reaches nobody.
type snapshotter struct {
	list    *memberlist.Memberlist
	streams chan net.Conn
	packets chan *memberlist.Packet // stays empty
	states  chan []*memberlist.Node // what the last merge request revealed
}

// newSnapshotter starts the second instance for a cluster's label.
func newSnapshotter(label string) (*snapshotter, error) {
	s := &snapshotter{streams: make(chan net.Conn, 1), packets: make(chan *memberlist.Packet),
		states: make(chan []*memberlist.Node, 1)}
	conf := baseConfig(snapshotNode, label)
	conf.Transport, conf.Merge = s, s
	conf.ProbeInterval, conf.GossipInterval, conf.PushPullInterval = 0, 0, 0
	conf.Logger = log.New(io.Discard, "", 0) // it logs each rejected merge
	list, err := memberlist.Create(conf)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	s.list = list
	return s, nil
}

// snapshot returns the states of all members that list knows. For one goroutine only.
func (s *snapshotter) snapshot(list *memberlist.Memberlist) ([]*memberlist.Node, error) {
	select {
	case <-s.states: // left by a snapshot that timed out
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

// NotifyMerge passes all states on to snapshot, and rejects the merge.
func (s *snapshotter) NotifyMerge(nodes []*memberlist.Node) error {
	select {
	case s.states <- nodes:
	default:
	}
	return errSnapshotOnly
}

// dial returns one end of a pipe whose other end the snapshot instance serves.
func (s *snapshotter) dial(timeout time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case s.streams <- far:
		return near, nil
	case <-timer.C:
		return nil, errors.Join(errPipeNotTaken, near.Close(), far.Close())
	}
}

// The remaining methods implement memberlist.Transport: streams come from dial, nothing is sent.

// FinalAdvertiseAddr returns the placeholder address.
func (s *snapshotter) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IPv4(127, 0, 0, 1).To4(), 1, nil
}

// WriteTo discards a packet.
func (s *snapshotter) WriteTo([]byte, string) (time.Time, error) { return time.Now(), nil }

// PacketCh returns a channel that receives no packet.
func (s *snapshotter) PacketCh() <-chan *memberlist.Packet { return s.packets }

// DialTimeout fails: the snapshot instance dials nobody.
func (s *snapshotter) DialTimeout(string, time.Duration) (net.Conn, error) { return nil, errNoAddress }

// StreamCh returns the pipes that dial made.
func (s *snapshotter) StreamCh() <-chan net.Conn { return s.streams }

// Shutdown has nothing to close.
func (s *snapshotter) Shutdown() error { return nil }
