package hunt

// This file reads and writes the files of saved finds, and embeds those that the tests replay.

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

// SavedFind is a saved find. Its file is a scenario file with a further table, "found".
type SavedFind struct {
	Found Find `toml:"found"`
	world.Spec
}

// Read parses a saved find. Name is the name of the file in errors; an invalid field is reported as a *tomlfile.Error.
func Read(name string, text []byte) (*SavedFind, error) {
	find := &SavedFind{Spec: world.DefaultSpec()}
	if err := tomlfile.Decode(name, text, find); err != nil {
		return nil, err
	}
	find.Defaults()
	if problems := find.Check(); len(problems) > 0 {
		return nil, &tomlfile.Error{File: name, Line: tomlfile.Lines(text)[problems[0].Path], Field: problems[0].Path, Reason: problems[0].Reason}
	}
	return find, nil
}

// Save writes a find to a file in a folder, which it creates if necessary, and returns the path of the file. The file is named
// after the scenario.
func Save(folder string, find *SavedFind) (string, error) {
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(find); err != nil {
		return "", err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	path := filepath.Join(folder, find.Name+".toml")
	return path, os.WriteFile(path, out.Bytes(), 0o644)
}

// found holds the files of the finds that the tests replay.
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
		find, err := Read(e.Name(), text)
		if err != nil {
			return nil, err
		}
		if find.Name != strings.TrimSuffix(e.Name(), ".toml") {
			return nil, fmt.Errorf("found/%s: the scenario's name is %q, which differs from the name of the file", e.Name(), find.Name)
		}
		all = append(all, find)
	}
	return all, nil
}
