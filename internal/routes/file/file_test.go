package file

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"flaxcove/internal/routes"
)

// All that is wrong is reported at once, each problem with its line.
func ExampleParse() {
	r, err := Parse("bad.toml", []byte(`[[route]]
name = "x"
nowhere = "away"
match = {destination = 1}

[[route.set]]
under = 0.5

[[override]]
id = "o"
kind = "gone"
minutes = 5

[[expect]]
name = "nothing"
losses = 4

[[endpoint]]
id = "a"

[[endpoint]]
id = "a"
`))
	fmt.Println(err)
	fmt.Println(len(r.Rules) > 0 && err == nil)
	_, err = Parse("typo.toml", []byte("[[route]]\nnam = \"x\"\n\n[[expect]]\nonly_ = 3\n"))
	fmt.Println(err)
	// Output:
	// bad.toml:3: field route[0].nowhere: "away" is neither hold nor hand_back
	// bad.toml:6: field route[0].set[0].to: missing; a set names endpoints
	// bad.toml:7: field route[0].set[0].under: the first set of a rule is always open
	// bad.toml:10: field override[0].id: id, by and why must be given
	// bad.toml:11: field override[0].kind: "gone" is none of out, pin, weight
	// bad.toml:15: field expect[0].name: "nothing" expects nothing: it takes only, never, at_least or shares
	// bad.toml:16: field expect[0].losses: 4 is not within 0 and 2
	// bad.toml:22: field endpoint[1].id: "a" is missing or taken by endpoint[0]
	// false
	// typo.toml:2: field route.nam: there is no such field
	// typo.toml:5: field expect.only_: there is no such field
}

// The example under deploy holds, and stops holding as soon as its east is pinned to what it must never reach.
func TestTheExampleHolds(t *testing.T) {
	path := filepath.Join("..", "..", "..", "deploy", "routes-example.toml")
	r, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if f := routes.CheckExpectations(routes.Compile(r.Rules), r.Overrides, r.List, r.Expects); len(f) > 0 || len(r.Expects) < 4 {
		t.Fatal(f)
	}
	more := filepath.Join(t.TempDir(), "pin.toml")
	pin := "[[override]]\nid = \"evening\"\nkind = \"pin\"\ndestination = 1\nendpoints = [\"florist-trial\"]\nby = \"on call\"\nwhy = \"courier fails\"\nminutes = 90\n"
	if err := os.WriteFile(more, []byte(pin), 0o644); err != nil {
		t.Fatal(err)
	}
	if r, err = Load(path, more); err != nil {
		t.Fatal(err)
	}
	f := routes.CheckExpectations(routes.Compile(r.Rules), r.Overrides, r.List, r.Expects)
	if len(f) != 3 || len(f[0].Overrides) != 1 || f[0].Overrides[0] != "evening" || !strings.Contains(f[0].String(), "it reaches florist-trial") {
		t.Fatal(f)
	}
}

// Every file's problems are reported, those of the second too.
func TestProblemsOfAllFiles(t *testing.T) {
	dir := t.TempDir()
	var paths []string
	for _, name := range []string{"one.toml", "two.toml"} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte("[[endpoint]]\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	_, err := Load(paths...)
	if err == nil || !strings.Contains(err.Error(), "one.toml:1") || !strings.Contains(err.Error(), "two.toml:1") {
		t.Fatal(err)
	}
	twice := filepath.Join(dir, "twice.toml")
	if err := os.WriteFile(twice, []byte("[[endpoint]]\nid = \"a\"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(twice, twice); err == nil || !strings.Contains(err.Error(), "stands in a file before") {
		t.Fatal(err)
	}
	if _, err := Load(filepath.Join(dir, "none.toml")); err == nil {
		t.Fatal("a file that is not there was read")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[[route]]\nname = \"x\"\n[[route.set]]\nto = [{zone = \"z\"}]\n"))
	f.Add([]byte("[[expect]]\nname = \"x\"\nat_least = 1\nlosses = 2\n[[endpoint]]\nid = \"a\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := Parse("f", text); err == nil && len(r.List) < 20 {
			routes.CheckExpectations(routes.Compile(r.Rules), r.Overrides, r.List, r.Expects)
		}
	})
}
