package file

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"flaxcove/internal/routes"
)

// All problems of a file are reported together, each with its line.
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
	// bad.toml:6: field route[0].set[0].to: missing; a set needs at least one target
	// bad.toml:7: field route[0].set[0].under: not allowed in the first set of a route, which is always open
	// bad.toml:10: field override[0].id: id, by and why must be set
	// bad.toml:11: field override[0].kind: "gone" is not one of out, pin and weight
	// bad.toml:15: field expect[0].name: "nothing" expects nothing: set only, never, at_least or shares
	// bad.toml:16: field expect[0].losses: 4 is not between 0 and 2
	// bad.toml:22: field endpoint[1].id: "a" is empty or already used by endpoint[0]
	// false
	// typo.toml:2: field route.nam: there is no such field
	// typo.toml:5: field expect.only_: there is no such field
}

// TestTheExampleHolds checks that the expectations of deploy/routes-example.toml are fulfilled, and that three of them
// fail with an override that makes its messages sticky to an endpoint that orders must never reach.
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

// TestProblemsOfAllFiles checks that Load reports the problems of every file, an endpoint that two files define, and a
// file that does not exist.
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
	if _, err := Load(twice, twice); err == nil || !strings.Contains(err.Error(), "is already defined in an earlier file") {
		t.Fatal(err)
	}
	if _, err := Load(filepath.Join(dir, "none.toml")); err == nil {
		t.Fatal("Load returned no error for a file that does not exist")
	}
}

// FuzzParse checks that no text makes Parse panic, and no valid file CheckExpectations.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[[route]]\nname = \"x\"\n[[route.set]]\nto = [{zone = \"z\"}]\n"))
	f.Add([]byte("[[expect]]\nname = \"x\"\nat_least = 1\nlosses = 2\n[[endpoint]]\nid = \"a\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := Parse("f", text); err == nil && len(r.List) < 20 {
			routes.CheckExpectations(routes.Compile(r.Rules), r.Overrides, r.List, r.Expects)
		}
	})
}
