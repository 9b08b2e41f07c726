package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"flaxcove/lab/scenario"
	"flaxcove/lab/world"
)

func labScenarios() *cli.Command {
	return &cli.Command{
		Name: "scenarios", Usage: "list the scenarios that come with the program, print one, or check files", ArgsUsage: "[SCENARIO ...]",
		Description: "Without an argument it lists them; with --troubles, the kinds of trouble a scenario may name.\n\n" +
			"Examples: flaxcove lab scenarios\n          flaxcove lab scenarios --print crash > mine.toml\n          flaxcove lab scenarios mine.toml",
		Flags: []cli.Flag{flagJSON, &cli.BoolFlag{Name: "print", Usage: "print the scenario with all its fields"},
			&cli.BoolFlag{Name: "troubles", Usage: "list the kinds of trouble"}},
		Action: func(_ context.Context, c *cli.Command) error {
			t := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
			if c.Bool("troubles") {
				var kinds []string
				for kind := range world.FaultKinds {
					kinds = append(kinds, kind)
				}
				slices.Sort(kinds)
				if c.Bool("json") {
					return json.NewEncoder(os.Stdout).Encode(world.FaultKinds)
				}
				for _, kind := range kinds {
					k := world.FaultKinds[kind]
					fmt.Fprintf(t, "%s\tstrikes %s\t%s\n", kind, k.Strikes, k.Amount)
				}
				return t.Flush()
			}
			names := c.Args().Slice()
			if len(names) == 0 {
				names = scenario.Names()
			}
			type row struct {
				Name    string  `json:"name"`
				About   string  `json:"about"`
				Seconds float64 `json:"seconds"`
				Senders int     `json:"senders"`
				Rate    float64 `json:"rate"`
			}
			var rows []row
			for _, name := range names {
				s, err := scenario.Find(name, "")
				if err != nil {
					return wrongInput(err)
				}
				if c.Bool("print") {
					text, err := scenario.Write(s.Spec)
					if err != nil {
						return err
					}
					fmt.Printf("%s", text)
					continue
				}
				rows = append(rows, row{s.Spec.Name, s.Spec.About, s.Spec.Seconds, s.Spec.Senders, s.Spec.Load.Rate})
			}
			if c.Bool("json") {
				return json.NewEncoder(os.Stdout).Encode(rows)
			}
			for _, r := range rows {
				fmt.Fprintf(t, "%s\t%g s\t%d senders\t%g a second\t%s\n", r.Name, r.Seconds, r.Senders, r.Rate, r.About)
			}
			return t.Flush()
		},
	}
}
