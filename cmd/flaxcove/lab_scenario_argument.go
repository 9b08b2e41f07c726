package main

// This file finds the scenario that a lab command is to play, and changes it as the command's flags say.

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

// findScenario reads the scenario named by the only argument, changed as --set and --size say.
func findScenario(c *cli.Command) (*scenario.Scenario, error) {
	if c.Args().Len() != 1 {
		return nil, wrongInput(errors.New("name one scenario; `flaxcove lab scenarios` lists those that come with the program"))
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

// loadScenario reads a scenario from its file or from the library. A file that a hunt has saved is a scenario with one
// table more, the find; its seed becomes --seed where none is given.
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

// readSavedFind reads a file that a hunt has saved; nil where it is not one.
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

// changedFields reads the FIELD=VALUE pairs of --set.
func changedFields(pairs []string) (map[string]any, error) {
	changes := map[string]any{}
	for _, pair := range pairs {
		field, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, wrongInput(fmt.Errorf("--set %s: it takes FIELD=VALUE", pair))
		}
		changes[field] = literal(value)
	}
	return changes, nil
}

// literal reads a value as TOML would.
func literal(text string) any {
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
