package size

// This file writes tables of figures.

import (
	"fmt"
	"strings"
)

// Row holds the figures of one case and seed by mode.
type Row struct {
	Case   string
	Seed   uint64
	ByMode map[Mode]*Figures
}

// Markdown writes rows as a table. Nothing in it depends on the machine.
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
				r.Case, r.Seed, mode, f.Figure, f.Service, of, 100*f.Before, 100*f.During, 100*f.After, never(f.Back), f.Wasted,
				f.PushedOver, f.broken(), f.ZoneOver, f.PlaceOver)
			fmt.Fprintf(&b, " %s | %d (%d) | %.1f (%.0f) | %.0f |\n", never(f.InForce), f.Plans, f.PlansAMinute, f.Messages,
				f.MostMessages, f.BytesS)
		}
	}
	return b.String()
}

func never(s float64) string {
	if s < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f", s)
}

func (o Overload) String() string { return fmt.Sprintf("%.2f (%d s)", o.Most, o.Seconds) }

func (f *Figures) broken() (n int) {
	for _, times := range f.Rules {
		n += times
	}
	return n
}
