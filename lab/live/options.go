package live

// This file declares the inputs and the result of a run.

import (
	"context"

	"flaxcove/choice"
	"flaxcove/lab/load"
	"flaxcove/lab/referee"
	"flaxcove/lab/world"
)

// Options are the inputs of a run.
type Options struct {
	Spec    *world.Spec
	Seed    uint64
	Command []string          // the sender's program and its arguments
	Env     map[string]string // additional environment variables
	Trace   []load.Arrival
	Logs    string // a folder for the senders' logs; "" keeps none
	// WorldOnlyFolder, if not "", is where the run writes a configuration for each sender. It then waits for somebody to
	// start the senders, in place of starting them itself.
	WorldOnlyFolder string
	Say             func(format string, args ...any) // progress; nil for none
	Watch           func(now choice.Time)
	// KeepVerdict has Run return the verdict on what was played until ctx ended, in place of an error.
	KeepVerdict bool
	// Settings changes the settings object of the senders, for a variant; nil for no change.
	Settings func(text []byte) []byte
	// SenderArgs returns further arguments of a sender's command; home is the sender's folder. It is called once for each
	// sender, before any starts; nil for none.
	SenderArgs func(s world.SenderNo, home string) ([]string, error)
	// Ledger returns a ledger that receives all events in the referee's place and passes them on; nil for none.
	Ledger func(referee world.Ledger) world.Ledger
	// AwaitReady delays the begin of the world until it returns; nil for no delay. It is called on a goroutine of its own
	// and must return when ctx ends.
	AwaitReady func(ctx context.Context)
	// OnBegin is called when the world begins, on its goroutine; nil for nothing.
	OnBegin func(*RunControl)
	// KeepRunning has the run go on past its end while it returns true; nil for never.
	KeepRunning func() bool
}

// Figures are measurements of the senders' processes.
type Figures struct {
	CPUS         float64            `json:"sender_cpu_s"` // all senders
	PeakMB       float64            `json:"sender_peak_mb"`
	JournalBytes int64              `json:"journal_bytes"`
	Descriptors  int                `json:"descriptors"`
	Counters     []map[string]int64 `json:"counters"`
	LateShare    float64            `json:"late_share"`
	WorstLateMS  float64            `json:"worst_late_ms"`
}

// Result is a verdict with this engine's own figures.
type Result struct {
	*referee.Verdict
	Figures Figures `json:"figures"`
	Fault   string  `json:"trouble,omitempty"` // a sender that died, hung, would not start, or was slow to end
	// SlowEnd says that Fault is only that a sender took too long to end after SIGTERM.
	SlowEnd bool `json:"slow_end,omitempty"`
}
