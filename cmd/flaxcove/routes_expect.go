package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"flaxcove/internal/routes"
)

func routesTest() *cli.Command {
	return &cli.Command{
		Name: "test", Usage: "check expectations against routes, overrides and a list", ArgsUsage: "FILE ...",
		Description: "FILEs are TOML with [[route]], [[expect]], [[override]] and [[endpoint]] tables; they add up. Each expectation that\n" +
			"fails is told with its smallest case. Exit codes: 0 all hold, 2 a file is wrong, 3 one fails.\n\n" +
			"Example: flaxcove routes test routes.toml list.toml",
		Flags:  []cli.Flag{flagJSON},
		Action: runRoutesTest,
	}
}

// runRoutesTest checks all expectations, prints those that fail, and ends with the exit code that they ask for.
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

// failureRow is one expectation that failed, as it is printed.
type failureRow struct {
	Expect      string              `json:"expect"`
	Destination int64               `json:"destination"`
	What        string              `json:"what"`
	Lost        []string            `json:"lost,omitempty"`
	Overrides   []routes.OverrideID `json:"overrides,omitempty"`
	Route       string              `json:"route,omitempty"`
}

// printFailuresAsJSON prints the failures as a list, an empty one where there are none.
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
