// Package report shows the results of runs and experiments: in a terminal, and as one HTML file with plots.
//
// It reads verdicts, results and differences and computes nothing of its own but scales. A page is self-contained: no
// script, font or picture comes from outside. A report must not leave out that a run was void, a rule was broken, or a
// difference is not significant.
package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"flaxcove/lab/experiment"
	"flaxcove/lab/referee"
)

// Summary writes a verdict for a terminal.
func Summary(out io.Writer, v *referee.Verdict) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s, seed %d: figure %.3f", v.Scenario, v.Engine, v.Seed, v.Figure)
	switch {
	case v.Void != "":
		fmt.Fprintf(&b, " (void: %s)", v.Void)
	case v.Broken():
		fmt.Fprintf(&b, " (service %.3f, rules broken)", v.Service)
	default:
		b.WriteString(" (rules kept)")
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

// writeClasses writes the table of classes.
func writeClasses(b *strings.Builder, classes []referee.Class) error {
	t := tabwriter.NewWriter(b, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "workload\tasked\tdelivered\tgain\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, c := range classes {
		value := 0.0
		if c.ValueAsked > 0 {
			value = c.Value / c.ValueAsked
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t\n", c.Name, c.Asked, c.Delivered, value, c.Delivery.P50, c.Delivery.P99, c.Delivery.P999)
	}
	return t.Flush()
}

// writeCounts writes the counts of the whole run.
func writeCounts(b *strings.Builder, v *referee.Verdict) {
	fmt.Fprintf(b, "\nasked %d, in contract time %d, shed %d, handed back %d, given up %d\n", v.Asked, v.InTime, v.Shed, v.HandedBack, v.Failed)
	fmt.Fprintf(b, "calls %d, refused %d, failed %d, probes %d, runs that were of no use %d\n", v.Calls, v.Refusals, v.FailedCalls, v.Probes, v.Wasted)
	fmt.Fprintf(b, "answer to a hand-in: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n", v.AcceptLatencyMS.P50, v.AcceptLatencyMS.P99, v.AcceptLatencyMS.P999)
	if v.FalselyRefused > 0 {
		fmt.Fprintf(b, "second effects of single-use notices whose first run a partner had denied: %d\n", v.FalselyRefused)
	}
	if n := len(v.Returns); n > 0 {
		most := 0.0
		for _, r := range v.Returns {
			most = max(most, r.Most)
		}
		fmt.Fprintf(b, "endpoints back from an outage %d, most load on one %.2f of what would push it over, pushed over %d\n", n, most, v.PushedOver)
	}
}

// maxShown is how many violations of a rule a summary shows.
const maxShown = 3

// writeViolations writes the broken rules, each with its first violations.
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

// Differences writes a table of differences for a terminal.
func Differences(out io.Writer, rows []experiment.Difference, base string) error {
	t := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintf(t, "scenario\tsize\tvariant\tpairs\t%s\tdifference\t95%% interval\t\n", base)
	for _, d := range rows {
		name, interval, broken := d.Scenario, "", ""
		if name == "" {
			name = "all"
		}
		if d.Known {
			interval = fmt.Sprintf("%+.3f to %+.3f", d.Low, d.High)
		}
		if d.Broken > 0 {
			broken = fmt.Sprintf(", rules broken in %d", d.Broken)
		}
		fmt.Fprintf(t, "%s\t%g\t%s\t%d\t%.3f\t%+.3f\t%s\t%s%s\n", name, d.Size, d.Variant, d.Pairs, d.Base, d.Mean, interval, d.Verdict(), broken)
	}
	return t.Flush()
}
