// Package file reads routing from TOML files: routes, expectations, overrides that are assumed to be active, and a saved
// list of endpoints.
//
// It defines the format of these files and checks their values. It reports all problems together, each with its file,
// line and field. If a file has a problem, nothing of it may be used. Package internal/routes decides where a message
// goes.
package file

import (
	"errors"
	"os"
	"slices"

	"flaxcove/internal/routes"
	"flaxcove/internal/tomlfile"
)

// Routing is the combined content of one or more files.
type Routing struct {
	Rules     []routes.Rule        // in the order in which they are tried
	Expects   []routes.Expectation // to be checked against Rules, Overrides and List
	Overrides *routes.Overrides    // assumed to be active
	List      []routes.Endpoint    // a saved list of endpoints
}

// Load reads files in order and combines their contents. It reports the problems of all files: the error is a
// tomlfile.Errors, or the error of a file that cannot be read.
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

// Parse reads the text of one file. name is the name of the file in errors. With an error the routing is incomplete and
// must not be used.
func Parse(name string, text []byte) (*Routing, error) {
	r := &Routing{Overrides: &routes.Overrides{}}
	return r, r.add(name, text)
}

// add reads the text of one more file and adds its content to the routing.
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
	return tomlfile.LocateProblems(name, text, c.problems)
}

// hasRule reports whether an earlier file has a rule with the given name.
func (r *Routing) hasRule(name string) bool {
	return slices.ContainsFunc(r.Rules, func(rule routes.Rule) bool { return rule.Name == name })
}

// hasEndpoint reports whether the list already has an endpoint with the given id.
func (r *Routing) hasEndpoint(id string) bool {
	return slices.ContainsFunc(r.List, func(e routes.Endpoint) bool { return string(e.ID) == id })
}
