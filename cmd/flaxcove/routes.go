package main

import (
	"errors"

	"github.com/urfave/cli/v3"

	"flaxcove/internal/routes/file"
)

func routesCommand() *cli.Command {
	return &cli.Command{
		Name: "routes", Usage: "test and explain routes, without traffic",
		Description: "These commands show the effect of routes. `serve` does not apply routes yet.\n\n" +
			"Example: flaxcove routes test deploy/routes-example.toml",
		Commands: []*cli.Command{routesTest(), routesExplain()},
	}
}

// loadRouting reads the files that the arguments name, and merges them into one routing.
func loadRouting(c *cli.Command) (*file.Routing, error) {
	if c.Args().Len() == 0 {
		return nil, wrongInput(errors.New("expected at least one argument: a file of routes"))
	}
	r, err := file.Load(c.Args().Slice()...)
	if err != nil {
		return nil, wrongInput(err)
	}
	return r, nil
}
