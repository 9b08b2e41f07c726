package experiment

// This file applies the fields of a variant, or a size, to a scenario.

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"flaxcove/internal/tomlfile"
	"flaxcove/lab/scenario"
	"flaxcove/lab/world"
)

// Change returns a copy of a scenario with some fields set, and does not modify spec. The keys of set are dotted names of
// fields as in the scenario's file, for example "load.rate". A field that does not exist is an error.
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
	var fileError *tomlfile.Error
	if errors.As(err, &fileError) {
		fileError.Line = 0 // the line number refers to the generated text, which the user has not seen
	}
	if err != nil {
		return nil, err
	}
	return s.Spec, nil
}

// setField sets a field by its dotted path. It returns an error if the field does not exist.
func setField(tree map[string]any, path string, value any) error {
	names := strings.Split(path, ".")
	table := tree
	for _, name := range names[:len(names)-1] {
		next, ok := table[name].(map[string]any)
		if !ok {
			return fmt.Errorf("%q: there is no table %q", path, name)
		}
		table = next
	}
	last := names[len(names)-1]
	if _, exists := table[last]; !exists {
		return fmt.Errorf("%q: there is no such field", path)
	}
	table[last] = value
	return nil
}

// Scale multiplies the numbers of senders and destinations and the message rate of a scenario, in place. Each number is
// rounded, and is at least 1.
func Scale(spec *world.Spec, factor float64) {
	if factor == 1 {
		return
	}
	spec.Senders = max(1, int(float64(spec.Senders)*factor+0.5))
	spec.Load.Rate *= factor
	for i := range spec.Partners {
		spec.Partners[i].Count = max(1, int(float64(spec.Partners[i].Count)*factor+0.5))
	}
}
