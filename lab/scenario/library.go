package scenario

// This file has the built-in scenarios, and finds scenarios by name or path.

import (
	"embed"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// library holds the built-in scenarios.
//
//go:embed library/*.toml
var library embed.FS

// Names returns the names of the built-in scenarios, sorted.
func Names() (names []string) {
	entries, err := library.ReadDir("library")
	if err != nil {
		return nil // it is part of the program
	}
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	slices.Sort(names)
	return names
}

// Find reads a scenario from a file, which is first looked for beside the file from, or returns the built-in one of that
// name.
func Find(name, from string) (*Scenario, error) {
	if !strings.HasSuffix(name, ".toml") {
		text, err := library.ReadFile("library/" + name + ".toml")
		if err != nil {
			return nil, fmt.Errorf("no scenario is called %q; there are %s, and files that end in .toml", name, strings.Join(Names(), ", "))
		}
		return Parse(name, text)
	}
	if from != "" && !filepath.IsAbs(name) {
		if beside := filepath.Join(filepath.Dir(from), name); exists(beside) {
			return Load(beside)
		}
	}
	return Load(name)
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
