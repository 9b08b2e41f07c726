package main

import (
	"errors"

	"github.com/urfave/cli/v3"

	"flaxcove/internal/routes/file"
)

func routesCommand() *cli.Command {
	return &cli.Command{
		Name: "routes", Usage: "check what routes do, without traffic",
		Description: "Routes are not followed by `serve` yet; these commands show what they would do.\n\n" +
			"Example: flaxcove routes test deploy/routes-example.toml",
		Commands: []*cli.Command{routesTest(), routesExplain()},
	}
}

// loadRouting reads the files that the arguments name; they add up.
func loadRouting(c *cli.Command) (*file.Routing, error) {
	if c.Args().Len() == 0 {
		return nil, wrongInput(errors.New("name at least one file"))
	}
	r, err := file.Load(c.Args().Slice()...)
	if err != nil {
		return nil, wrongInput(err)
	}
	return r, nil
}
