package member

// This file holds how quickly failures are detected and what that costs, and configures the library.

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

// Timing configures failure detection and gossip. Zero values stand for the defaults below.
type Timing struct {
	ProbeInterval time.Duration // each process probes one other in turn
	// ProbeTimeout is for the direct probe; indirect probes and one over a stream follow until ProbeInterval has passed.
	ProbeTimeout time.Duration
	// SuspicionMult is for how many ProbeInterval (more by log10 of the cluster beyond ten) a silent member is suspected
	// before it is dead.
	SuspicionMult    int
	GossipInterval   time.Duration // how often messages are gossiped, to three others
	PushPullInterval time.Duration // how often full state is exchanged with one other; longer with each doubling beyond 32
	SnapshotInterval time.Duration // how often the library's states are read, apart from the events that it reports
	RejoinInterval   time.Duration // between two attempts to join a seed that is missing
	StreamTimeout    time.Duration // bounds one exchange over a stream
}

// Defaults, chosen for one site on a good network and checked by TestTraffic: a process that dies is probed by somebody
// within ProbeInterval and suspected ProbeInterval later; of 30 it is dead 3 s after it fell silent.
const (
	defaultProbeInterval  = 500 * time.Millisecond
	defaultProbeTimeout   = 250 * time.Millisecond // 30 to 40 ms across zones, twice with an indirect probe, and a margin
	defaultSuspicionMult  = 3
	defaultGossipInterval = 200 * time.Millisecond
	// defaultPushPullInterval is for anti-entropy only: at 30 processes an exchange costs some 6 KB each way, which at the
	// library's default of half a minute would be the larger part of the traffic budget.
	defaultPushPullInterval = time.Minute
	defaultSnapshotInterval = 250 * time.Millisecond
	// defaultRejoinInterval bounds how long two halves stay apart after a partition longer than gossipToDeadTime.
	defaultRejoinInterval = 3 * time.Second
	defaultStreamTimeout  = 2 * time.Second

	// gossipToDeadTime is how long the dead still receive gossip, so that one that resumes can refute what is said of it.
	gossipToDeadTime = 30 * time.Second
	// isolationProbes is for how many ProbeInterval all probes may fail before the process counts as having been suspended
	// or isolated: it then exchanges full state with another.
	isolationProbes = 6
	// settlingPeriod is how long after it met its first member a process may still find that its name was used with a
	// later incarnation, and raise its own above it. Later on such a find means that another process took the name over.
	settlingPeriod = 10 * time.Second
	maxRaises      = 3
	// expectedRejoiners is how many members, on average, try to join a missing one in each RejoinInterval: enough to end a
	// partition in a few seconds, without a stampede on a process that starts.
	expectedRejoiners = 4
	maxJoinsPerRound  = 16 // while alone, in one round; seeds come first
	// snapshotIntervalPerMember spaces regular snapshots out beyond a hundred members: one costs 9 us a member
	// (BenchmarkSnapshot), and with the pause after it snapshots take 0.2% of a core at rest. Of 660 members a suspicion is
	// seen 2.8 s late at most, of 1,000 4.3 s; joins, leaves and deaths are events, and seen at once whatever the size.
	snapshotIntervalPerMember = 2500 * time.Microsecond

	// coalesceDelay is how long further events of the same moment are awaited: a zone's failure arrives in many packets.
	coalesceDelay = 20 * time.Millisecond
	// snapshotPauseFactor and notifyPauseFactor bound the cost of snapshots and notifications under continuous change:
	// each is followed by a pause of that many times its duration, maxPause at most, so that either takes half a percent
	// of a core. At 660 members a snapshot takes 6 ms and a notification 3 ms. Fixed pauses, and a share of two percent,
	// kept a machine with several hundred members that was too busy to answer probes overloaded for good.
	snapshotPauseFactor, notifyPauseFactor = 200, 200
	maxPause                               = 2 * time.Second
)

// withDefaults returns t with defaults for zero values.
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

// baseConfig is the configuration that both of the library's instances have in common.
func baseConfig(name, label string) *memberlist.Config {
	conf := memberlist.DefaultLANConfig()
	conf.Name, conf.Label = name, label
	conf.BindAddr, conf.AdvertiseAddr = "127.0.0.1", "127.0.0.1" // both unused: the transport has its own
	conf.EnableCompression = false                               // of little use for small packets, and costly for snapshots
	conf.RequireNodeNames = true                                 // the transport addresses members by name only
	return conf
}

// config is the configuration of the instance that has the cluster's members.
func (t Timing) config(name, label string) *memberlist.Config {
	conf := baseConfig(name, label)
	conf.ProbeInterval, conf.ProbeTimeout = t.ProbeInterval, t.ProbeTimeout
	conf.SuspicionMult = t.SuspicionMult
	conf.SuspicionMaxTimeoutMult = 3 // until another member confirms the suspicion
	conf.AwarenessMaxMultiplier = 4  // a process that receives nothing suspects itself first, but not for long
	conf.GossipInterval, conf.GossipToTheDeadTime = t.GossipInterval, gossipToDeadTime
	conf.PushPullInterval = t.PushPullInterval
	conf.TCPTimeout = t.StreamTimeout
	conf.RetransmitMult = 3
	return conf
}

// clusterLabel is the label that every packet and stream carries; the library drops those with another. It is a hash of
// the cluster's name in eight letters, as the name itself would be a tenth of the traffic; two names collide with a
// probability of 2^-48.
func clusterLabel(cluster string) string {
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], xxhash.Sum64String(cluster))
	return base64.RawURLEncoding.EncodeToString(sum[:6])
}

// newLibraryLogger forwards the library's log lines without its debug output, at most twenty of a kind a minute: a
// stranger that keeps sending packets must not fill the disk.
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

// pauseAfter is the pause after work that took so long: factor times as long, maxPause at most.
func pauseAfter(took time.Duration, factor int) time.Duration {
	return min(time.Duration(factor)*took, maxPause)
}
