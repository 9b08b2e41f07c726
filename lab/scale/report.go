package scale

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// This file formats a result as Markdown.

// Budget of the control part of a sender, as granted by the operators.
const (
	budgetBytes = 4000.0 // sent, per second
	budgetCPU   = 0.047  // of a core
	budgetMB    = 256.0
)

// Markdown writes a result as Markdown tables and lines of text.
func (r *Result) Markdown(out io.Writer) error {
	var text strings.Builder
	writeLine := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	f, l := r.Options.Fleet, r.Options.Load
	writeLine("%d members (%d real), %d zones, %d regions, %d large a zone; uses %s; %d destinations, %.1f%% down, %.0f messages a second a sender.",
		f.Members, f.Real, f.Zones, f.Regions, f.Large, strings.Join(f.Uses, ", "), l.Destinations, 100*l.Down, l.Rate)
	writeLine("All agreed %.1f s after the start; measured over %.0f s; hosts hold %.0f MB.\n", r.StartS, r.CalmS, r.MemoryMB)
	writeLine("| role | members | out B/s (most) | in B/s | gossip B/s, packets/s | council B/s | calls, answers /s | core | heap MB | resident MB |")
	writeLine("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	writeLine("| *granted a sender* | | %.0f | | | | | %.3f | | %.0f |", budgetBytes, budgetCPU, budgetMB)
	for _, u := range r.Roles {
		kind := ""
		if u.Real {
			kind = ", real"
		}
		writeLine("| %s%s | %d | %.0f (%.0f) | %.0f | %.0f, %.1f | %.0f | %.1f, %.1f | %.4f | %.1f | %.1f |", u.Role, kind, u.Members, u.BytesOut, u.MaxOut,
			u.BytesIn, u.Gossip, u.Packets, u.Consensus, u.Calls, u.Answers, u.CPU, u.HeapMB, u.RSSMB)
	}
	writeLine("\n| role | path | calls/s | answers/s | out B/s | in B/s |\n| --- | --- | --- | --- | --- | --- |")
	for _, u := range r.Roles {
		for _, path := range slices.Sorted(maps.Keys(u.Paths)) {
			if k := u.Paths[path]; k.Calls+k.Answers > 0 {
				writeLine("| %s | %s | %.2f | %.2f | %.0f | %.0f |", u.Role, path, k.Calls, k.Answers, k.Out, k.In)
			}
		}
	}
	r.writeEvents(writeLine)
	_, err := io.WriteString(out, text.String())
	return err
}

// writeEvents writes the heap by part, purges, changes, outages, the rolling restart and the costs of faults.
func (r *Result) writeEvents(writeLine func(string, ...any)) {
	for _, u := range r.Roles {
		if len(u.HeapParts) == 0 {
			continue
		}
		var parts []string
		for _, part := range slices.SortedFunc(maps.Keys(u.HeapParts), func(a, b string) int {
			return cmp.Or(cmp.Compare(u.HeapParts[b], u.HeapParts[a]), cmp.Compare(a, b))
		}) {
			parts = append(parts, fmt.Sprintf("%s %.2f", part, u.HeapParts[part]))
		}
		writeLine("\nHeap of a %s, MB by part: %s.", u.Role, strings.Join(parts, ", "))
	}
	for i, p := range r.Purges {
		writeLine("\nPurge %d: decided after %.2f s; applied at 50%% of the hollow members after %.2f s, 95%% %.2f s, all %.2f s.", i, p.DecidedS, p.P50S, p.P95S, p.P100S)
	}
	for i, c := range r.Changes {
		writeLine("\nConfiguration change %d: decided after %.2f s; in force at 50%% of the hollow members after %.2f s, 95%% %.2f s, all %.2f s.", i, c.DecidedS, c.P50S, c.P95S, c.P100S)
	}
	for _, f := range r.Outages {
		writeLine("\nZone %d fell: a plan that leaves it in force at 50%% after %.2f s, 95%% %.2f s, all %.2f s.", f.Zone, f.P50S, f.P95S, f.P100S)
	}
	if r.RollingS > 0 {
		writeLine("\nAll members restarted in steps: %.1f s.", r.RollingS)
	}
	if r.Fault != "" {
		writeLine("\nReal members: %s.", r.Fault)
	}
	for _, d := range r.Disturbances {
		writeLine("\n%s: %.1f s in all; all agreed %.1f s after the last fault; %.1f s of processor time, %.0f bytes sent a member.", d.Name, d.Seconds, d.AgreedS,
			d.CPU, d.BytesPerMember)
	}
}
