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
	Env     map[string]string // additional environment variables of the senders
	Trace   []load.Arrival    // arrivals that replace the spec's load; nil for none
	Logs    string            // folder for the senders' logs; if "", logs are deleted at the end of the run
	// WorldOnlyFolder, if not "", is the folder in which Run writes a configuration for each sender. Run then waits until the
	// user has started the senders, and does not start them itself.
	WorldOnlyFolder string
	Progress        func(format string, args ...any) // prints progress; nil for no output
	Watch           func(now choice.Time)            // called once each second; nil for none
	// KeepVerdict makes Run return the verdict on the part of the run before the end of ctx, in place of an error.
	KeepVerdict bool
	// Settings changes the settings object of the senders, for a variant; nil for no change.
	Settings func(text []byte) []byte
	// SenderArgs returns additional arguments of a sender's command; home is the sender's folder. It is called once for each
	// sender, before any sender starts; nil for none.
	SenderArgs func(s world.SenderNo, home string) ([]string, error)
	// Ledger returns a ledger that receives all events in the referee's place and passes them on; nil for none.
	Ledger func(referee world.Ledger) world.Ledger
	// AwaitReady delays the begin of the world until it returns; nil for no delay. It is called on a goroutine of its own
	// and must return when ctx ends.
	AwaitReady func(ctx context.Context)
	// OnBegin is called on the world's goroutine when the world begins; nil for none.
	OnBegin func(*RunControl)
	// KeepRunning continues the run past its end for as long as it returns true; nil for never.
	KeepRunning func() bool
}

// Figures holds measurements of the senders' processes and of the engine's delays.
type Figures struct {
	CPUS         float64            `json:"sender_cpu_s"`   // CPU time of all senders, in seconds
	PeakMB       float64            `json:"sender_peak_mb"` // highest resident memory of any sender, in MiB
	JournalBytes int64              `json:"journal_bytes"`  // size of all senders' state folders
	Descriptors  int                `json:"descriptors"`    // highest number of open file descriptors of any sender
	Counters     []map[string]int64 `json:"counters"`       // counters of each sender that is alive at the end
	LateShare    float64            `json:"late_share"`     // share of the world's events that ran late
	WorstLateMS  float64            `json:"worst_late_ms"`  // longest delay of an event, in milliseconds
}

// Result is a verdict with this engine's own figures.
type Result struct {
	*referee.Verdict
	Figures Figures `json:"figures"`
	Fault   string  `json:"trouble,omitempty"` // why the run failed: for instance, a sender died, hung or took too long to end; "" if it did not
	// SlowEnd is set if Fault is only that a sender took too long to end after SIGTERM.
	SlowEnd bool `json:"slow_end,omitempty"`
}
