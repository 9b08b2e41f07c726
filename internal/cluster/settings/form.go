package settings

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"flaxcove/internal/tomlfile"
)

// form is the file as written. Its values have type any, so that one of a wrong type is reported along with all other
// problems; decoding into the expected type would end at the first. Error messages of the TOML library print the names
// of these types and their fields, so they keep them.
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
	// Configuration must be on in all processes or in none.
	Configuration any `toml:"configuration"`
}

type bounds struct {
	Destinations      any `toml:"destinations"`
	SmallDestinations any `toml:"small_destinations"`
	SmallBytes        any `toml:"small_bytes"`
	Purges            any `toml:"purges"`
}

// Parse reads and checks a file's text; name is the file's in messages. The folder is left as written.
func Parse(name string, text []byte) (*Settings, error) {
	var f form
	var all tomlfile.Errors
	if err := tomlfile.Decode(name, text, &f); err != nil {
		// Unknown fields leave the rest readable; invalid TOML, or a table of another structure, does not.
		f = form{}
		if toml.Unmarshal(text, &f) != nil {
			return nil, err
		}
		all = appendErrors(all, err)
	}
	c := checker{}
	s := c.settings(&f)
	if all = appendErrors(all, tomlfile.At(name, text, c.problems)); len(all) > 0 {
		slices.SortStableFunc(all, func(a, b *tomlfile.Error) int { return cmp.Compare(a.Line, b.Line) })
		return nil, all
	}
	return s, nil
}

// appendErrors appends an error of package tomlfile, which is one or a list.
func appendErrors(all tomlfile.Errors, err error) tomlfile.Errors {
	switch e := err.(type) {
	case *tomlfile.Error:
		return append(all, e)
	case tomlfile.Errors:
		return append(all, e...)
	}
	return all
}

// checker gathers problems; each of its methods reports what is wrong with a value and continues with a zero value.
type checker struct{ problems []tomlfile.Problem }

// reject records a problem of the field at path.
func (c *checker) reject(path, format string, args ...any) {
	c.problems = append(c.problems, tomlfile.Problem{Path: path, What: fmt.Sprintf(format, args...)})
}

// validName matches names. They are used in headers, as hosts and in logs, so they have no character that any of these
// would have to escape.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameRule = "letters, digits, '.', '_' and '-', the first a letter or digit, 63 at most"

// text returns a value that is a string; false if it is missing or no string, which is reported.
func (c *checker) text(path string, leaf any) (string, bool) {
	s, isText := leaf.(string)
	switch {
	case leaf == nil || isText && s == "":
		c.reject(path, "missing")
	case !isText:
		c.reject(path, "takes a text in quotes, not %v", leaf)
	}
	return s, isText && s != ""
}

// name returns a value that is a valid name, or "" if it is not, which is reported.
func (c *checker) name(path string, leaf any) string {
	s, ok := c.text(path, leaf)
	if ok && !validName.MatchString(s) {
		c.reject(path, "%q is no name: %s", s, nameRule)
		return ""
	}
	return s
}

// boolean returns a value that is a bool; a missing one is false.
func (c *checker) boolean(path string, leaf any) bool {
	b, isBool := leaf.(bool)
	if leaf != nil && !isBool {
		c.reject(path, "takes true or false, not %v", leaf)
	}
	return b
}

// number returns a value that is an integer within min and max; a missing one is fallback.
func (c *checker) number(path string, leaf any, fallback, min, max int) int {
	n, isNumber := leaf.(int64)
	switch {
	case leaf == nil:
		return fallback
	case !isNumber:
		c.reject(path, "takes a whole number, not %v", leaf)
	case n < int64(min) || n > int64(max):
		c.reject(path, "%d is not within %d and %d", n, min, max)
	}
	return int(n)
}
