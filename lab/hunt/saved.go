package hunt

// This file reads and writes files of finds, and holds those that the tests replay.

import (
	"bytes"
	"embed"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"flaxcove/internal/tomlfile"
	"flaxcove/lab/world"
)

// SavedFind is a find as its file stores it: the scenario with a table found.
type SavedFind struct {
	Found Find `toml:"found"`
	world.Spec
}

// Read reads a saved find.
func Read(name string, text []byte) (*SavedFind, error) {
	k := &SavedFind{Spec: world.Base()}
	if err := tomlfile.Decode(name, text, k); err != nil {
		return nil, err
	}
	k.Defaults()
	if problems := k.Check(); len(problems) > 0 {
		return nil, &tomlfile.Error{File: name, Line: tomlfile.Lines(text)[problems[0].Path], Field: problems[0].Path, What: problems[0].What}
	}
	return k, nil
}

// Save writes a find to a file in a folder, named after the scenario, and returns its path.
func Save(folder string, k *SavedFind) (string, error) {
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(k); err != nil {
		return "", err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	path := filepath.Join(folder, k.Name+".toml")
	return path, os.WriteFile(path, out.Bytes(), 0o644)
}

// found holds the finds that the tests replay.
//
//go:embed found/*.toml
var found embed.FS

// Found returns the finds that the tests replay, sorted by name.
func Found() (all []*SavedFind, err error) {
	entries, err := found.ReadDir("found")
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		text, err := found.ReadFile("found/" + e.Name())
		if err != nil {
			return nil, err
		}
		k, err := Read(e.Name(), text)
		if err != nil {
			return nil, err
		}
		if k.Name != strings.TrimSuffix(e.Name(), ".toml") {
			return nil, fmt.Errorf("%s calls itself %q", e.Name(), k.Name)
		}
		all = append(all, k)
	}
	return all, nil
}
