package main

// This file loads the scenario that a lab command runs, and applies the flags that change it.

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"flaxcove/lab/experiment"
	"flaxcove/lab/hunt"
	"flaxcove/lab/scenario"
)

// findScenario loads the scenario named by the command's only argument, and applies --set and --size to it.
func findScenario(c *cli.Command) (*scenario.Scenario, error) {
	if c.Args().Len() != 1 {
		return nil, wrongInput(errors.New("expected one argument: a scenario; `flaxcove lab scenarios` lists the built-in ones"))
	}
	s, err := loadScenario(c, c.Args().First())
	if err != nil {
		return nil, err
	}
	changes, err := changedFields(c.StringSlice("set"))
	if err != nil {
		return nil, err
	}
	if len(changes) > 0 {
		if s.Spec, err = experiment.Change(s.Spec, changes); err != nil {
			return nil, wrongInput(err)
		}
	}
	if size := c.Float("size"); size != 1 && size > 0 {
		experiment.Scale(s.Spec, size)
	}
	return s, nil
}

// loadScenario loads a scenario from a file, from the built-in ones, or from a find that a hunt has saved. A saved find is a
// scenario file with a further table, "found"; its seed becomes the value of --seed unless that flag is set.
func loadScenario(c *cli.Command, name string) (*scenario.Scenario, error) {
	s, err := scenario.Find(name, "")
	if err == nil {
		return s, nil
	}
	saved := readSavedFind(name)
	if saved == nil {
		return nil, wrongInput(err)
	}
	if !c.IsSet("seed") && c.Uint64("seed") != 0 {
		if err := c.Set("seed", strconv.FormatUint(saved.Found.Seed, 10)); err != nil {
			return nil, err
		}
	}
	return &scenario.Scenario{Spec: &saved.Spec}, nil
}

// readSavedFind reads a find that a hunt has saved. It returns nil if the file cannot be read or is not a saved find.
func readSavedFind(path string) *hunt.SavedFind {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	saved, err := hunt.Read(path, text)
	if err != nil || saved.Found.Seed == 0 {
		return nil
	}
	return saved
}

// changedFields parses the FIELD=VALUE pairs of --set into a map from fields to values.
func changedFields(pairs []string) (map[string]any, error) {
	changes := map[string]any{}
	for _, pair := range pairs {
		field, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, wrongInput(fmt.Errorf("--set %s: want FIELD=VALUE", pair))
		}
		changes[field] = parseLiteral(value)
	}
	return changes, nil
}

// parseLiteral parses a value as an integer, a float or a boolean, as TOML would, and returns any other text as a string.
func parseLiteral(text string) any {
	if v, err := strconv.ParseInt(text, 10, 64); err == nil {
		return v
	}
	if v, err := strconv.ParseFloat(text, 64); err == nil {
		return v
	}
	if v, err := strconv.ParseBool(text); err == nil {
		return v
	}
	return text
}
