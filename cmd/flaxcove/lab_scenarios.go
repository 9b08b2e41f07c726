package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"flaxcove/lab/scenario"
	"flaxcove/lab/world"
)

func labScenarios() *cli.Command {
	return &cli.Command{
		Name: "scenarios", Usage: "list the built-in scenarios, print scenarios, or check files", ArgsUsage: "[SCENARIO ...]",
		Description: "Without an argument it lists the built-in scenarios; with --troubles, the kinds of fault that a scenario may\ncontain.\n\n" +
			"Examples: flaxcove lab scenarios\n          flaxcove lab scenarios --print crash > mine.toml\n          flaxcove lab scenarios mine.toml",
		Flags: []cli.Flag{flagJSON, &cli.BoolFlag{Name: "print", Usage: "print each scenario as TOML, with all its fields"},
			&cli.BoolFlag{Name: "troubles", Usage: "list the kinds of fault"}},
		Action: runScenarios,
	}
}

// scenarioRow is one scenario in the output of the list.
type scenarioRow struct {
	Name    string  `json:"name"`
	About   string  `json:"about"`
	Seconds float64 `json:"seconds"`
	Senders int     `json:"senders"`
	Rate    float64 `json:"rate"`
}

// runScenarios lists the kinds of fault if --troubles is set. Otherwise it prints the named scenarios, or all built-in ones:
// in full if --print is set, else as a list.
func runScenarios(_ context.Context, c *cli.Command) error {
	if c.Bool("troubles") {
		return listFaultKinds(c.Bool("json"))
	}
	names := c.Args().Slice()
	if len(names) == 0 {
		names = scenario.Names()
	}
	var rows []scenarioRow
	for _, name := range names {
		s, err := scenario.Find(name, "")
		if err != nil {
			return wrongInput(err)
		}
		if c.Bool("print") {
			if err := printScenario(s); err != nil {
				return err
			}
			continue
		}
		rows = append(rows, scenarioRow{s.Spec.Name, s.Spec.About, s.Spec.Seconds, s.Spec.Senders, s.Spec.Load.Rate})
	}
	return listScenarios(c.Bool("json"), rows)
}

// listFaultKinds prints the kinds of fault that a scenario may contain, sorted by name.
func listFaultKinds(asJSON bool) error {
	if asJSON {
		return printJSON(world.FaultKinds)
	}
	table := newTable()
	for _, name := range slices.Sorted(maps.Keys(world.FaultKinds)) {
		kind := world.FaultKinds[name]
		fmt.Fprintf(table, "%s\taffects %s\t%s\n", name, kind.Affects, kind.Amount)
	}
	return table.Flush()
}

// printScenario prints a scenario as TOML with all its fields.
func printScenario(s *scenario.Scenario) error {
	text, err := scenario.Write(s.Spec)
	if err != nil {
		return err
	}
	fmt.Printf("%s", text)
	return nil
}

// listScenarios prints the rows as JSON or as a table.
func listScenarios(asJSON bool, rows []scenarioRow) error {
	if asJSON {
		return printJSON(rows)
	}
	table := newTable()
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%g s\t%d senders\t%g messages/s\t%s\n", r.Name, r.Seconds, r.Senders, r.Rate, r.About)
	}
	return table.Flush()
}

// newTable returns a table on standard output with left-aligned columns.
func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0) }
