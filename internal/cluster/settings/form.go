package settings

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"flaxcove/internal/tomlfile"
)

// form is the cluster file as decoded from TOML. Its values have type any, so that a value of a wrong type is reported
// together with all other problems; decoding into the expected type would stop at the first. The types and fields must
// not be renamed, as error messages of the TOML library contain their names.
type form struct {
	Name     any            `toml:"name"`
	Founders any            `toml:"founders"`
	Here     here           `toml:"here"`
	Zones    map[string]any `toml:"zones"`
	Members  []member       `toml:"member"`
	Uses     uses           `toml:"uses"`
	Bounds   bounds         `toml:"bounds"`
}

type here struct {
	Process        any `toml:"process"`
	Zone           any `toml:"zone"`
	Size           any `toml:"size"` // large (the default) or small
	Folder         any `toml:"folder"`
	Gossip         any `toml:"gossip"`
	Consensus      any `toml:"council"`
	HTTP           any `toml:"http"`
	BeyondLoopback any `toml:"beyond_loopback"`
}

type member struct {
	Name      any `toml:"name"`
	Zone      any `toml:"zone"`
	Gossip    any `toml:"gossip"`
	Consensus any `toml:"council"`
	HTTP      any `toml:"http"`
}

type uses struct {
	Failover   any `toml:"failover"`
	Purges     any `toml:"purges"`
	Popularity any `toml:"popularity"`
	// Configuration must have the same value in all processes.
	Configuration any `toml:"configuration"`
}

type bounds struct {
	Destinations      any `toml:"destinations"`
	SmallDestinations any `toml:"small_destinations"`
	SmallBytes        any `toml:"small_bytes"`
	Purges            any `toml:"purges"`
}

// Parse decodes and checks the text of a cluster file. The name is that of the file in error messages. Self.Folder is
// as written in the file, possibly relative. An error is a list with all problems of the file, sorted by line, or a
// single error if the text is not valid TOML.
func Parse(name string, text []byte) (*Settings, error) {
	var f form
	var all tomlfile.Errors
	if err := tomlfile.Decode(name, text, &f); err != nil {
		// After unknown fields the rest can still be checked. After invalid TOML, or a table of another structure, it
		// cannot.
		f = form{}
		if toml.Unmarshal(text, &f) != nil {
			return nil, err
		}
		all = appendErrors(all, err)
	}
	c := checker{}
	s := c.settings(&f)
	if all = appendErrors(all, tomlfile.LocateProblems(name, text, c.problems)); len(all) > 0 {
		slices.SortStableFunc(all, func(a, b *tomlfile.Error) int { return cmp.Compare(a.Line, b.Line) })
		return nil, all
	}
	return s, nil
}

// appendErrors appends an error of package tomlfile, which is a single error or a list.
func appendErrors(all tomlfile.Errors, err error) tomlfile.Errors {
	switch e := err.(type) {
	case *tomlfile.Error:
		return append(all, e)
	case tomlfile.Errors:
		return append(all, e...)
	}
	return all
}

// checker collects the problems of a file. Its methods record a problem of an invalid value and return a value with
// which the checks can continue.
type checker struct{ problems []tomlfile.Problem }

// reject records a problem of the field at path.
func (c *checker) reject(path, format string, args ...any) {
	c.problems = append(c.problems, tomlfile.Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// validName matches the names of clusters, processes, zones and regions. Names are used in headers, as hosts and in
// logs, so they contain no character that has to be escaped there.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// nameRule describes validName in error messages.
const nameRule = "letters, digits, '.', '_' and '-', the first a letter or digit, 63 characters at most"

// text returns a value that must be a non-empty string. It returns false, and records a problem, if it is not.
func (c *checker) text(path string, value any) (string, bool) {
	s, isText := value.(string)
	switch {
	case value == nil || isText && s == "":
		c.reject(path, "missing")
	case !isText:
		c.reject(path, "must be a string in quotes, not %v", value)
	}
	return s, isText && s != ""
}

// name returns a value that must be a valid name. It returns "", and records a problem, if it is not.
func (c *checker) name(path string, value any) string {
	s, ok := c.text(path, value)
	if ok && !validName.MatchString(s) {
		c.reject(path, "%q is not a valid name: %s", s, nameRule)
		return ""
	}
	return s
}

// boolean returns a value that must be a bool; a missing one is false.
func (c *checker) boolean(path string, value any) bool {
	b, isBool := value.(bool)
	if value != nil && !isBool {
		c.reject(path, "must be true or false, not %v", value)
	}
	return b
}

// number returns a value that must be an integer from min to max; a missing one is fallback.
func (c *checker) number(path string, value any, fallback, min, max int) int {
	n, isNumber := value.(int64)
	switch {
	case value == nil:
		return fallback
	case !isNumber:
		c.reject(path, "must be an integer, not %v", value)
	case n < int64(min) || n > int64(max):
		c.reject(path, "%d is out of range: must be from %d to %d", n, min, max)
	}
	return int(n)
}
