package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"flaxcove/internal/routes"
)

func routesTest() *cli.Command {
	return &cli.Command{
		Name: "test", Usage: "check expectations against routes, overrides and an endpoint list", ArgsUsage: "FILE ...",
		Description: "FILEs are TOML with [[route]], [[expect]], [[override]] and [[endpoint]] tables; the tables of all files are\n" +
			"merged. Each expectation that fails is printed with its smallest failing case. Exit codes: 0 all expectations\nhold, 2 a file is invalid, 3 an expectation fails.\n\n" +
			"Example: flaxcove routes test routes.toml list.toml",
		Flags:  []cli.Flag{flagJSON},
		Action: runRoutesTest,
	}
}

// runRoutesTest checks all expectations and prints those that fail. The exit code is exitRuleBroken if there are any.
func runRoutesTest(_ context.Context, c *cli.Command) error {
	r, err := loadRouting(c)
	if err != nil {
		return err
	}
	failures := routes.CheckExpectations(routes.Compile(r.Rules), r.Overrides, r.List, r.Expects)
	if c.Bool("json") {
		if err := printFailuresAsJSON(failures); err != nil {
			return err
		}
	} else {
		for i := range failures {
			fmt.Println(&failures[i])
		}
		fmt.Printf("%d of %d expectations hold over %d routes, %d endpoints\n", len(r.Expects)-len(failures), len(r.Expects), len(r.Rules), len(r.List))
	}
	if len(failures) > 0 {
		return exitSilently(exitRuleBroken)
	}
	return nil
}

// failureRow is one failed expectation in the JSON output.
type failureRow struct {
	Expect      string              `json:"expect"`
	Destination int64               `json:"destination"`
	What        string              `json:"what"`
	Lost        []string            `json:"lost,omitempty"`
	Overrides   []routes.OverrideID `json:"overrides,omitempty"`
	Route       string              `json:"route,omitempty"`
}

// printFailuresAsJSON prints the failures as a JSON list, which is empty (not null) if there are none.
func printFailuresAsJSON(failures []routes.Failure) error {
	rows := []failureRow{}
	for _, f := range failures {
		row := failureRow{Expect: f.Expect, Destination: int64(f.Destination), What: f.What, Overrides: f.Overrides, Route: f.Route.Rule}
		for _, id := range f.Lost {
			row.Lost = append(row.Lost, string(id))
		}
		rows = append(rows, row)
	}
	return printJSON(rows)
}
