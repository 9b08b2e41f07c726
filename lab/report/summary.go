// Package report presents the results of runs and experiments: as text for a terminal, and as one HTML file with plots.
//
// It formats verdicts, results and differences, and computes nothing but averages for plots and the scales of axes. A page is
// self-contained: it loads no script, font or picture from outside. A report must always state that a run was void, that a
// rule was broken, or that a difference is not significant.
package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"flaxcove/lab/experiment"
	"flaxcove/lab/referee"
)

// Summary writes a verdict as text: the figure, a table of classes, the counts, and the broken rules.
func Summary(out io.Writer, v *referee.Verdict) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s, seed %d: figure %.3f", v.Scenario, v.Engine, v.Seed, v.Figure)
	switch {
	case v.Void != "":
		fmt.Fprintf(&b, " (void: %s)", v.Void)
	case v.Broken():
		fmt.Fprintf(&b, " (service %.3f, rules broken)", v.Service)
	default:
		b.WriteString(" (no rule broken)")
	}
	b.WriteString("\n\n")
	if err := writeClasses(&b, v.Classes); err != nil {
		return err
	}
	writeCounts(&b, v)
	if v.Broken() {
		writeViolations(&b, v)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// writeClasses writes a table with a row for each class.
func writeClasses(b *strings.Builder, classes []referee.Class) error {
	t := tabwriter.NewWriter(b, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\trequested\tdelivered\tvalue share\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, c := range classes {
		valueShare := 0.0
		if c.ValueAsked > 0 {
			valueShare = c.Value / c.ValueAsked
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t\n", c.Name, c.Asked, c.Delivered, valueShare, c.Delivery.P50, c.Delivery.P99, c.Delivery.P999)
	}
	return t.Flush()
}

// writeCounts writes the counts and latencies of the whole run.
func writeCounts(b *strings.Builder, v *referee.Verdict) {
	fmt.Fprintf(b, "\nmessages: requested %d, delivered within the latency objective %d, rejected %d, shed after acceptance %d, failed %d\n", v.Asked, v.InTime, v.Shed, v.HandedBack, v.Failed)
	fmt.Fprintf(b, "calls %d, rejected %d, failed %d, health probes %d, unnecessary executions %d\n", v.Calls, v.Refusals, v.FailedCalls, v.Probes, v.Wasted)
	fmt.Fprintf(b, "latency of accepting a message: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n", v.AcceptLatencyMS.P50, v.AcceptLatencyMS.P99, v.AcceptLatencyMS.P999)
	if v.FalselyRefused > 0 {
		fmt.Fprintf(b, "repeated executions of non-idempotent messages after the destination had denied the first one: %d\n", v.FalselyRefused)
	}
	if n := len(v.Returns); n > 0 {
		highest := 0.0
		for _, r := range v.Returns {
			highest = max(highest, r.Most)
		}
		fmt.Fprintf(b, "endpoints returned after an outage %d, highest load on one %.2f of its overload bound, overloaded again %d\n", n, highest, v.PushedOver)
	}
}

// maxShown is the maximum number of violations that a summary shows for each rule.
const maxShown = 3

// writeViolations writes the broken rules, each with the number of violations and the first maxShown of them.
func writeViolations(b *strings.Builder, v *referee.Verdict) {
	b.WriteString("\nbroken rules:\n")
	for _, rule := range referee.Rules {
		n := v.Rules[rule]
		if n == 0 {
			continue
		}
		fmt.Fprintf(b, "  %s, %d times\n", rule, n)
		shown := 0
		for _, violation := range v.Violations {
			if violation.Rule == rule && shown < maxShown {
				fmt.Fprintf(b, "    at %.3f s, sender %d: %s\n", violation.At, violation.Sender, violation.What)
				shown++
			}
		}
	}
}

// Differences writes a table of differences from the variant base as text.
func Differences(out io.Writer, rows []experiment.Difference, base string) error {
	t := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintf(t, "scenario\tsize\tvariant\tpairs\t%s\tdifference\t95%% interval\t\n", base)
	for _, d := range rows {
		name, interval, broken := d.Scenario, "", ""
		if name == "" {
			name = "all"
		}
		if d.HasInterval {
			interval = fmt.Sprintf("%+.3f to %+.3f", d.Low, d.High)
		}
		if d.Broken > 0 {
			broken = fmt.Sprintf(", rules broken in %d", d.Broken)
		}
		fmt.Fprintf(t, "%s\t%g\t%s\t%d\t%.3f\t%+.3f\t%s\t%s%s\n", name, d.Size, d.Variant, d.Pairs, d.Base, d.Mean, interval, d.Verdict(), broken)
	}
	return t.Flush()
}
