package scenario

// This file embeds the built-in scenarios, and finds scenarios by name or path.

import (
	"embed"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// library holds the files of the built-in scenarios.
//
//go:embed library/*.toml
var library embed.FS

// Names returns the names of the built-in scenarios, sorted.
func Names() (names []string) {
	entries, err := library.ReadDir("library")
	if err != nil {
		return nil // cannot happen: the folder is embedded in the program
	}
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	slices.Sort(names)
	return names
}

// Find returns a scenario. A name that ends in .toml is the path of a file: if it is relative and from is not "", it is first
// looked up in the folder of the file from, and then in the working directory. Any other name is that of a built-in scenario.
func Find(name, from string) (*Scenario, error) {
	if !strings.HasSuffix(name, ".toml") {
		text, err := library.ReadFile("library/" + name + ".toml")
		if err != nil {
			return nil, fmt.Errorf("unknown scenario %q; the built-in ones are %s; the name of a file must end in .toml", name, strings.Join(Names(), ", "))
		}
		return Parse(name, text)
	}
	if from != "" && !filepath.IsAbs(name) {
		if sibling := filepath.Join(filepath.Dir(from), name); exists(sibling) {
			return Load(sibling)
		}
	}
	return Load(name)
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
