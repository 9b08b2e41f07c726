package size

// This file formats figures as tables.

import (
	"fmt"
	"strings"
)

// Row holds the figures of one case and seed, by mode.
type Row struct {
	Case   string
	Seed   uint64
	ByMode map[Mode]*Figures
}

// Markdown returns rows as a Markdown table, with one line for each mode. The table does not depend on the machine.
func Markdown(rows []Row) string {
	var b strings.Builder
	b.WriteString("| case | seed | who | figure | service | gain of oracle's | leave before | during | last 5 s | back after s | " +
		"no use | pushed over | rules | zone over | place over | in force s | plans (a minute) | messages/s (busiest) | B/s |\n")
	b.WriteString("|" + strings.Repeat(" --- |", 19) + "\n")
	for _, r := range rows {
		for _, mode := range []Mode{Alone, Together, Oracle} {
			f := r.ByMode[mode]
			if f == nil {
				continue
			}
			of := "-"
			if best := r.ByMode[Oracle]; best != nil && best.Value > 0 {
				of = fmt.Sprintf("%.3f", f.Value/best.Value)
			}
			fmt.Fprintf(&b, "| %s | %d | %s | %.3f | %.3f | %s | %.1f%% | %.1f%% | %.1f%% | %s | %d | %d | %d | %s | %s |",
				r.Case, r.Seed, mode, f.Figure, f.Service, of, 100*f.AwayBefore, 100*f.AwayDuring, 100*f.AwayAfter, never(f.ReturnedAfter), f.Wasted,
				f.PushedOver, f.violationCount(), f.ZoneOverload, f.LocalityOverload)
			fmt.Fprintf(&b, " %s | %d (%d) | %.1f (%.0f) | %.0f |\n", never(f.InForceAfter), f.Plans, f.PlansAMinute, f.MessagesPerSecond,
				f.MaxMessagesPerSecond, f.BytesPerSecond)
		}
	}
	return b.String()
}

// never formats seconds, or "never" if they are negative.
func never(s float64) string {
	if s < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f", s)
}

// String returns the peak and the duration of the overload.
func (o Overload) String() string { return fmt.Sprintf("%.2f (%d s)", o.Peak, o.Seconds) }

// violationCount returns the number of violations of all rules.
func (f *Figures) violationCount() (n int) {
	for _, times := range f.Rules {
		n += times
	}
	return n
}
