package settings

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"flaxcove/internal/tomlfile"
)

// form is the file as it is written. Its leaves take any value, so that one of a wrong type is told along with all
// else; decoding into the type itself would end at the first.
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
	// Configuration is on at all processes or at none.
	Configuration any `toml:"configuration"`
}

type bounds struct {
	Destinations      any `toml:"destinations"`
	SmallDestinations any `toml:"small_destinations"`
	SmallBytes        any `toml:"small_bytes"`
	Purges            any `toml:"purges"`
}

// Parse reads a file's text; name stands for it in messages. The folder is left as it is written.
func Parse(name string, text []byte) (*Settings, error) {
	var f form
	var all tomlfile.Errors
	if err := tomlfile.Decode(name, text, &f); err != nil {
		// Fields that are not known leave the rest readable; what is no TOML, or a table of another shape, does not.
		f = form{}
		if toml.Unmarshal(text, &f) != nil {
			return nil, err
		}
		all = add(all, err)
	}
	c := checker{}
	s := c.settings(&f)
	if all = add(all, tomlfile.At(name, text, c.problems)); len(all) > 0 {
		slices.SortStableFunc(all, func(a, b *tomlfile.Error) int { return cmp.Compare(a.Line, b.Line) })
		return nil, all
	}
	return s, nil
}

// add puts what tomlfile tells, which is one error or many, to the others.
func add(all tomlfile.Errors, err error) tomlfile.Errors {
	switch e := err.(type) {
	case *tomlfile.Error:
		return append(all, e)
	case tomlfile.Errors:
		return append(all, e...)
	}
	return all
}

// checker gathers problems; each of its readers tells what is wrong with a leaf and goes on with a zero value.
type checker struct{ problems []tomlfile.Problem }

func (c *checker) wrong(path, format string, args ...any) {
	c.problems = append(c.problems, tomlfile.Problem{Path: path, What: fmt.Sprintf(format, args...)})
}

// Names travel in headers, as hosts and in logs: no blanks, nothing that one of these would have to escape.
var named = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const naming = "letters, digits, '.', '_' and '-', the first a letter or digit, 63 at most"

// text is a leaf's words; false if there are none or it is no text, which is told.
func (c *checker) text(path string, leaf any) (string, bool) {
	s, is := leaf.(string)
	switch {
	case leaf == nil || is && s == "":
		c.wrong(path, "missing")
	case !is:
		c.wrong(path, "takes a text in quotes, not %v", leaf)
	}
	return s, is && s != ""
}

// name is a leaf's name, or "" if it is none, which is told.
func (c *checker) name(path string, leaf any) string {
	s, is := c.text(path, leaf)
	if is && !named.MatchString(s) {
		c.wrong(path, "%q is no name: %s", s, naming)
		return ""
	}
	return s
}

func (c *checker) yes(path string, leaf any) bool {
	b, is := leaf.(bool)
	if leaf != nil && !is {
		c.wrong(path, "takes true or false, not %v", leaf)
	}
	return b
}

// number is a leaf's whole number within bounds, or what it is when left out.
func (c *checker) number(path string, leaf any, none, least, most int) int {
	n, is := leaf.(int64)
	switch {
	case leaf == nil:
		return none
	case !is:
		c.wrong(path, "takes a whole number, not %v", leaf)
	case n < int64(least) || n > int64(most):
		c.wrong(path, "%d is not within %d and %d", n, least, most)
	}
	return int(n)
}
