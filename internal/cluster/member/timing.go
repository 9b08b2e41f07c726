package member

// This file holds the timing of failure detection and gossip, and the configuration of the memberlist library.

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"log"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Timing configures failure detection and gossip. The zero value of each field stands for its default below.
type Timing struct {
	ProbeInterval time.Duration // each process probes one other process per interval, in turn
	// ProbeTimeout bounds a direct probe. Indirect probes and one over a stream follow until ProbeInterval has passed.
	ProbeTimeout time.Duration
	// SuspicionMult is the number of probe intervals for which a silent member stays suspected before it is declared
	// dead. It is multiplied by the decimal logarithm of the cluster's size beyond ten members.
	SuspicionMult    int
	GossipInterval   time.Duration // between two rounds of gossip, each to three other processes
	PushPullInterval time.Duration // between two push/pull exchanges; longer with each doubling of the cluster beyond 32
	SnapshotInterval time.Duration // between two regular snapshots of the library's states; leaves and deaths cause others
	RejoinInterval   time.Duration // between two attempts to join a missing seed
	StreamTimeout    time.Duration // bounds one exchange over a stream
}

// Defaults of Timing for one site on a good network; TestTraffic measures them. A process that dies is probed by
// another one within ProbeInterval and suspected ProbeInterval later. In a cluster of 30 it is declared dead 3 s after
// it fell silent.
const (
	defaultProbeInterval  = 500 * time.Millisecond
	defaultProbeTimeout   = 250 * time.Millisecond // 30 to 40 ms across zones, twice that for an indirect probe, and a margin
	defaultSuspicionMult  = 3
	defaultGossipInterval = 200 * time.Millisecond
	// defaultPushPullInterval serves anti-entropy only. At 30 processes an exchange costs some 6 KB each way; at the
	// library's default of half a minute exchanges would use the larger part of the traffic budget.
	defaultPushPullInterval = time.Minute
	defaultSnapshotInterval = 250 * time.Millisecond
	// defaultRejoinInterval bounds how long two halves of the cluster stay separate after a partition that lasted
	// longer than gossipToDeadTime.
	defaultRejoinInterval = 3 * time.Second
	defaultStreamTimeout  = 2 * time.Second

	// gossipToDeadTime is how long members that were declared dead still receive gossip, so that a process that resumes
	// can refute its death.
	gossipToDeadTime = 30 * time.Second
	// isolationProbes is the number of probe intervals without an answer after which a process assumes that it was
	// suspended or isolated, and runs a push/pull exchange with another member.
	isolationProbes = 6
	// settlingPeriod is the time after it met its first member in which a process may raise its incarnation above a
	// later one that the cluster knows of its name. After that time a later incarnation means that another process took
	// over the name.
	settlingPeriod = 10 * time.Second
	maxRaises      = 3 // raises of the incarnation in one run of the process
	// expectedRejoiners is how many members, on average, try to join a missing member in each RejoinInterval. It is
	// enough to end a partition within a few seconds without overloading a process that starts.
	expectedRejoiners = 4
	maxJoinsPerRound  = 16 // while no other member is present; seeds come first
	// snapshotIntervalPerMember lengthens the interval between regular snapshots beyond a hundred members. A snapshot
	// costs 9 us for each member (BenchmarkSnapshot); with the pause after each, snapshots take 0.2% of a core at rest.
	// A suspicion is seen at most 2.8 s late at 660 members, and 4.3 s late at 1,000. Joins, leaves and deaths are
	// reported as events, and seen at once at any size.
	snapshotIntervalPerMember = 2500 * time.Microsecond

	// coalesceDelay is the wait for further events after a first one, as the failure of a zone arrives in many packets.
	coalesceDelay = 20 * time.Millisecond
	// snapshotPauseFactor and notifyPauseFactor bound the cost of snapshots and notifications under continuous change.
	// Each is followed by a pause of that many times its duration, maxPause at most, so that either takes half a
	// percent of a core. At 660 members a snapshot takes 6 ms and a notification 3 ms. With fixed pauses, and with a
	// share of two percent of a core, a machine with several hundred members that was once too busy to answer probes
	// stayed overloaded.
	snapshotPauseFactor, notifyPauseFactor = 200, 200
	maxPause                               = 2 * time.Second
)

// withDefaults returns t with the defaults in place of zero values.
func (t Timing) withDefaults() Timing {
	return Timing{
		ProbeInterval:    cmp.Or(t.ProbeInterval, defaultProbeInterval),
		ProbeTimeout:     cmp.Or(t.ProbeTimeout, defaultProbeTimeout),
		SuspicionMult:    cmp.Or(t.SuspicionMult, defaultSuspicionMult),
		GossipInterval:   cmp.Or(t.GossipInterval, defaultGossipInterval),
		PushPullInterval: cmp.Or(t.PushPullInterval, defaultPushPullInterval),
		SnapshotInterval: cmp.Or(t.SnapshotInterval, defaultSnapshotInterval),
		RejoinInterval:   cmp.Or(t.RejoinInterval, defaultRejoinInterval),
		StreamTimeout:    cmp.Or(t.StreamTimeout, defaultStreamTimeout),
	}
}

// baseConfig returns the configuration that both of the library's instances share: the one that holds the cluster's
// members, and the snapshot instance.
func baseConfig(name, label string) *memberlist.Config {
	conf := memberlist.DefaultLANConfig()
	conf.Name, conf.Label = name, label
	conf.BindAddr, conf.AdvertiseAddr = "127.0.0.1", "127.0.0.1" // unused: the transport has addresses of its own
	conf.EnableCompression = false                               // saves little on small packets, and is costly in snapshots
	conf.RequireNodeNames = true                                 // the transport addresses members by name only
	return conf
}

// config returns the configuration of the instance that holds the cluster's members.
func (t Timing) config(name, label string) *memberlist.Config {
	conf := baseConfig(name, label)
	conf.ProbeInterval, conf.ProbeTimeout = t.ProbeInterval, t.ProbeTimeout
	conf.SuspicionMult = t.SuspicionMult
	conf.SuspicionMaxTimeoutMult = 3 // applies until other members confirm the suspicion
	conf.AwarenessMaxMultiplier = 4  // bounds how much a process whose probes are not answered slows its probes down
	conf.GossipInterval, conf.GossipToTheDeadTime = t.GossipInterval, gossipToDeadTime
	conf.PushPullInterval = t.PushPullInterval
	conf.TCPTimeout = t.StreamTimeout
	conf.RetransmitMult = 3
	return conf
}

// clusterLabel returns the label that every packet and stream of a cluster carries; the library drops those with
// another label. It is a hash of the cluster's name in eight characters, as the name itself would be a tenth of the
// traffic. Two names collide with a probability of 2^-48.
func clusterLabel(cluster string) string {
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], xxhash.Sum64String(cluster))
	return base64.RawURLEncoding.EncodeToString(sum[:6])
}

// newLibraryLogger returns a logger that forwards the library's log lines, without its debug output, to another. It
// forwards at most twenty lines of a kind per minute, so that a foreign host that keeps sending packets cannot fill the
// disk.
func newLibraryLogger(to *zap.Logger) *log.Logger {
	sampled := to.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Minute, 20, 0)
	}))
	return log.New(libraryLogWriter{sampled}, "", 0)
}

// libraryLogWriter parses the library's log lines and logs them at their level.
type libraryLogWriter struct{ to *zap.Logger }

func (l libraryLogWriter) Write(b []byte) (int, error) {
	line := strings.TrimSpace(string(b))
	level, text, _ := strings.Cut(line, " memberlist: ")
	switch level {
	case "[ERR]", "[WARN]":
		l.to.Warn("membership", zap.String("library", text))
	case "[INFO]":
		l.to.Info("membership", zap.String("library", text))
	}
	return len(b), nil
}

// pauseAfter returns the pause after work that took the given time: factor times as long, maxPause at most.
func pauseAfter(took time.Duration, factor int) time.Duration {
	return min(time.Duration(factor)*took, maxPause)
}
