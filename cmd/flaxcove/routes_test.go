package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit code distinguishes files whose expectations hold (0), invalid files (2) and expectations that fail (3).
func ExampleMain_routes() {
	dir, _ := os.MkdirTemp("", "routes")
	defer os.RemoveAll(dir)
	list := "[[endpoint]]\nid = \"a\"\ndestination = 1\nzone = \"east\"\n\n[[endpoint]]\nid = \"b\"\ndestination = 1\n"
	rules := "[[route]]\nname = \"east\"\nmatch = {destination = 1}\n[[route.set]]\nto = [{zone = \"east\"}]\n"
	for name, text := range map[string]string{"list.toml": list, "rules.toml": rules, "wrong.toml": "[[route]]\nnam = 3\n",
		"expect.toml": "[[expect]]\nname = \"one is left\"\nat_least = 1\nlosses = 1\n"} {
		os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644)
	}
	for _, args := range [][]string{{"test", "list.toml", "expect.toml"}, {"test", "rules.toml", "list.toml", "expect.toml"},
		{"test", "--json", "rules.toml", "list.toml", "expect.toml"}, {"test", "wrong.toml"}, {"test"},
		{"explain", "--dest", "1", "rules.toml", "list.toml"}, {"explain", "--dest", "2", "rules.toml", "list.toml"}} {
		code, stdout, stderr := runProgram(dir, append([]string{"routes"}, args...)...)
		fmt.Printf("%d %s%s", code, stdout, stderr)
	}
	// Output:
	// 0 1 of 1 expectations hold over 0 routes, 2 endpoints
	// 3 one is left: at destination 1, 0 endpoints remain of 1 expected; once drained: a; decided by route "east"
	// 0 of 1 expectations hold over 1 routes, 2 endpoints
	// 3 [{"expect":"one is left","destination":1,"what":"0 endpoints remain of 1 expected","lost":["a"],"route":"east"}]
	// 2 flaxcove: wrong.toml:2: field route.nam: there is no such field
	// 2 flaxcove: expected at least one argument: a file of routes
	// 0 route: "east", open sets: 1, pinned by: ""
	//   a  100.0%
	// 0 route: "", open sets: 1, pinned by: ""
	//   no allowed endpoint at present; the message is held until one is there
}
