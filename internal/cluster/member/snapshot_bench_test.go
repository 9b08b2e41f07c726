package member

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"flaxcove/internal/cluster/member/roster"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/capacity/bench"
)

// aliveMessage has the fields of the library's alive message, in the order in which they are encoded.
type aliveMessage struct {
	Incarnation uint32
	Node        string
	Addr        []byte
	Port        uint16
	Meta        []byte
	Vsn         []uint8
}

const (
	hasLabelMessage  = 244 // first byte of a packet with a label, as the library defines it
	aliveMessageType = 4   // first byte of an alive message, as the library defines it
	benchCluster     = "bench"
)

func benchObservation(no int, incarnation view.Incarnation) roster.Observation {
	return roster.Observation{GossipAddr: "127.0.0.1:18070", Member: view.Member{
		Instance: view.Instance{Name: view.Name(fmt.Sprintf("sender-%05d", no)), Incarnation: incarnation},
		Zone:     view.Zone(fmt.Sprintf("zone-%d", no%24)), Region: view.Region(fmt.Sprintf("region-%d", no%3)),
		HTTPAddr: "127.0.0.1:18080", ConsensusAddr: "127.0.0.1:18090", FolderID: "0123456789abcdef"}}
}

// alivePacket returns a gossip packet with the alive message of process no. The version is the library's own
// incarnation number, which is not a view.Incarnation.
func alivePacket(b *testing.B, no int, version uint32) []byte {
	meta, err := encodeMeta(benchObservation(no, 1))
	if err != nil {
		b.Fatal(err)
	}
	var body []byte
	message := aliveMessage{version, string(benchObservation(no, 1).Member.Name), []byte{127, 0, 0, 1}, 1, meta, []byte{1, 5, 2, 0, 0, 0}}
	if err := codec.NewEncoderBytes(&body, &codec.MsgpackHandle{}).Encode(message); err != nil {
		b.Fatal(err)
	}
	name := clusterLabel(benchCluster)
	packet := append([]byte{hasLabelMessage, byte(len(name))}, name...)
	return append(append(packet, aliveMessageType), body...)
}

// startWithMembers starts a membership that has learned of n members, itself included, by gossip. It sends no probes.
func startWithMembers(b *testing.B, n int) *Members {
	never := 24 * time.Hour
	m, err := Start(Options{Cluster: benchCluster, Self: benchObservation(0, 1).Member,
		Timing: Timing{ProbeInterval: never, GossipInterval: never, PushPullInterval: never, SnapshotInterval: never, RejoinInterval: never}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { m.Close() })
	conn, err := net.Dial("udp", m.Addr())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	deadline := time.Now().Add(time.Minute)
	for sent := 0; m.list.NumMembers() < n; { // packets may be lost, so all are sent again until no member is missing
		if time.Now().After(deadline) {
			b.Fatalf("only %d of %d members are known after a minute", m.list.NumMembers(), n)
		}
		if _, err := conn.Write(alivePacket(b, 1+sent%(n-1), 1)); err != nil {
			b.Fatal(err)
		}
		if sent++; sent%64 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	return m
}

// BenchmarkSnapshot measures a snapshot of a cluster in which nothing changed.
func BenchmarkSnapshot(b *testing.B) {
	bench.Sizes(b, "members", []int{66, 660, 4000}, func(b *testing.B, n int) {
		m := startWithMembers(b, n)
		m.takeSnapshot()
		b.ReportAllocs()
		for b.Loop() {
			if seen := m.takeSnapshot(); seen != n {
				b.Fatalf("the snapshot has %d members, want %d", seen, n)
			}
		}
	})
}

// BenchmarkRepeatedAlive measures an alive message of a known process without changes, which gossip and exchanges
// repeat.
func BenchmarkRepeatedAlive(b *testing.B) {
	bench.Sizes(b, "members", []int{66, 660, 4000}, func(b *testing.B, n int) {
		m := startWithMembers(b, n)
		m.takeSnapshot()
		node := m.list.Members()[n-1]
		b.ReportAllocs()
		for b.Loop() {
			if err := (delegate{m}).NotifyAlive(node); err != nil {
				b.Fatal(err)
			}
		}
	})
}
