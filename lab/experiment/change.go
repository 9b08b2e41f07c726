package experiment

// This file applies a variant or a size to a scenario. It must not add fields, nor change the given scenario.

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"flaxcove/internal/tomlfile"
	"flaxcove/lab/scenario"
	"flaxcove/lab/world"
)

// Change returns a scenario with some fields set, by their names in its file.
func Change(spec *world.Spec, set map[string]any) (*world.Spec, error) {
	text, err := scenario.Write(spec)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	for path, value := range set {
		if err := setField(tree, path, value); err != nil {
			return nil, err
		}
	}
	if text, err = toml.Marshal(tree); err != nil {
		return nil, err
	}
	s, err := scenario.Parse(spec.Name, text)
	var wrong *tomlfile.Error
	if errors.As(err, &wrong) {
		wrong.Line = 0 // the line is of a text that the user has not seen
	}
	if err != nil {
		return nil, err
	}
	return s.Spec, nil
}

// setField sets an existing field by its dotted path.
func setField(tree map[string]any, path string, value any) error {
	words := strings.Split(path, ".")
	table := tree
	for _, word := range words[:len(words)-1] {
		next, ok := table[word].(map[string]any)
		if !ok {
			return fmt.Errorf("%q: there is no table %q", path, word)
		}
		table = next
	}
	last := words[len(words)-1]
	if _, known := table[last]; !known {
		return fmt.Errorf("%q: there is no such field", path)
	}
	table[last] = value
	return nil
}

// Scale multiplies the size of a scenario: senders, partners and rate.
func Scale(spec *world.Spec, by float64) {
	if by == 1 {
		return
	}
	spec.Senders = max(1, int(float64(spec.Senders)*by+0.5))
	spec.Load.Rate *= by
	for i := range spec.Partners {
		spec.Partners[i].Count = max(1, int(float64(spec.Partners[i].Count)*by+0.5))
	}
}
