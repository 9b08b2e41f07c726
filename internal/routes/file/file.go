// Package file reads routes, expectations, overrides to assume and a saved list from TOML.
//
// It owns the form of these files and the checks of their values; every problem is reported at once, with file, line and
// field. A file with a problem is not used in part. Where a message goes is decided by internal/routes.
package file

import (
	"errors"
	"os"
	"slices"

	"flaxcove/internal/routes"
	"flaxcove/internal/tomlfile"
)

// Routing is what files say together.
type Routing struct {
	Rules     []routes.Rule
	Expects   []routes.Expectation
	Overrides *routes.Overrides
	List      []routes.Endpoint
}

// Load reads files in order; each adds to those before it, and all that is wrong with any of them is reported. The error is
// tomlfile.Errors, unless a file cannot be read.
func Load(paths ...string) (*Routing, error) {
	r := &Routing{Overrides: &routes.Overrides{}}
	var all tomlfile.Errors
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		err = r.add(path, text)
		var several tomlfile.Errors
		var one *tomlfile.Error
		switch {
		case err == nil:
		case errors.As(err, &several):
			all = append(all, several...)
		case errors.As(err, &one):
			all = append(all, one)
		default:
			return nil, err
		}
	}
	if len(all) > 0 {
		return nil, all
	}
	return r, nil
}

// Parse reads one file's text; name stands for it in messages.
func Parse(name string, text []byte) (*Routing, error) {
	r := &Routing{Overrides: &routes.Overrides{}}
	return r, r.add(name, text)
}

// add reads one more file's text into the routing.
func (r *Routing) add(name string, text []byte) error {
	var f form
	if err := tomlfile.Decode(name, text, &f); err != nil {
		return err
	}
	c := converter{routing: r}
	rules := c.rules(f.Routes)
	c.expectations(f.Expects)
	c.overrides(f.Overrides)
	c.endpoints(f.Endpoints)
	r.Rules = append(r.Rules, rules...)
	return tomlfile.At(name, text, c.problems)
}

// hasRule reports whether an earlier file has a rule of that name.
func (r *Routing) hasRule(name string) bool {
	return slices.ContainsFunc(r.Rules, func(rule routes.Rule) bool { return rule.Name == name })
}

// hasEndpoint reports whether the list has an endpoint with that id.
func (r *Routing) hasEndpoint(id string) bool {
	return slices.ContainsFunc(r.List, func(e routes.Endpoint) bool { return string(e.ID) == id })
}
