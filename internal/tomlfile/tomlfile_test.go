package tomlfile

import (
	"errors"
	"fmt"
	"testing"
)

// text is a file with an array of tables, nested arrays, an inline table and a dotted key.
const text = `title = "x"

[[route]]
name = "first"
match = {tenant = "t", key = "k"}

[[route.set]]
under = 0.5

[[route]]
name = "second"

[[route.set]]

[[route.set]]
under = 2

[limits]
disk.mb = 3
`

func ExampleLines() {
	lines := Lines([]byte(text))
	for _, path := range []string{"title", "route[0]", "route[0].name", "route[0].match.key", "route[0].set[0].under", "route[1].name",
		"route[1].set[1].under", "limits.disk.mb", "none"} {
		fmt.Println(path, lines[path])
	}
	// Output:
	// title 1
	// route[0] 3
	// route[0].name 4
	// route[0].match.key 5
	// route[0].set[0].under 8
	// route[1].name 11
	// route[1].set[1].under 16
	// limits.disk.mb 19
	// none 0
}

// A missing field gets the line of the innermost table that contains it.
func ExampleLineOf() {
	lines := Lines([]byte(text))
	fmt.Println(LineOf(lines, "route[1].set[0].under"), LineOf(lines, "route[1].match.tenant"), LineOf(lines, "none.at.all"))
	// Output: 13 10 0
}

// The errors are sorted by line. An error whose field has no line comes first.
func ExampleLocateProblems() {
	fmt.Println(LocateProblems("f.toml", []byte(text), nil))
	fmt.Println(LocateProblems("f.toml", []byte(text), []Problem{{"limits.disk.mb", "too much"}, {"route[0].name", "taken"}, {"none", "missing"}}))
	// Output:
	// <nil>
	// f.toml: field none: missing
	// f.toml:4: field route[0].name: taken
	// f.toml:19: field limits.disk.mb: too much
}

// TestDecode checks the text and the type of the errors for invalid files.
func TestDecode(t *testing.T) {
	type form struct {
		Name  string `toml:"name"`
		Count int    `toml:"count"`
	}
	for _, c := range []struct {
		text, want string
		errors     int
	}{
		{"name = \"x\"\ncount = 2\n", "", 0},
		{"name = \"x\"\nnam = 3\n", "f.toml:2: field nam: there is no such field", 1},
		{"a = 1\n\nb = 2\n", "f.toml:1: field a: there is no such field\nf.toml:3: field b: there is no such field", 2},
		{"\ncount = \"x\"\n", "f.toml:2: field count: cannot decode TOML string into struct field tomlfile.form.Count of type int", 1},
		{"name = \n", "f.toml:1: unexpected character U+000A at start of value", 1},
	} {
		var f form
		err := Decode("f.toml", []byte(c.text), &f)
		if err == nil {
			if c.want != "" || f != (form{"x", 2}) {
				t.Errorf("%q: %+v", c.text, f)
			}
			continue
		}
		if err.Error() != c.want {
			t.Errorf("%q: %q", c.text, err)
		}
		var one *Error
		var several Errors
		if !errors.As(err, &one) || errors.As(err, &several) != (c.errors > 1) || c.errors > 1 && len(several) != c.errors {
			t.Errorf("%q: %#v", c.text, err)
		}
	}
}
