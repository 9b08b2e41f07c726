// Package scenario reads scenarios from TOML files and writes them.
//
// The meaning and the valid values of fields are lab/world's, error messages belong
// to internal/tomlfile.
package scenario

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"flaxcove/internal/tomlfile"
	"flaxcove/lab/load"
	"flaxcove/lab/world"
)

// Scenario is a spec with the trace that it names, if any.
type Scenario struct {
	Spec  *world.Spec
	Trace []load.Arrival
	Path  string
	Text  []byte
}

// Load reads a scenario from a file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads a scenario; name is the file's name in error messages, and a trace is looked for in its folder.
func Parse(name string, text []byte) (*Scenario, error) {
	spec := world.Base()
	if err := tomlfile.Decode(name, text, &spec); err != nil {
		return nil, err
	}
	if spec.Name == "unnamed" {
		spec.Name = strings.TrimSuffix(filepath.Base(name), ".toml")
	}
	spec.Defaults()
	var problems []tomlfile.Problem
	for _, p := range spec.Check() {
		problems = append(problems, tomlfile.Problem(p))
	}
	if err := tomlfile.At(name, text, problems); err != nil {
		return nil, err
	}
	s := &Scenario{Spec: &spec, Path: name, Text: text}
	if spec.Load.Trace != "" {
		if err := s.readTrace(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Scenario) readTrace() error {
	path := s.Spec.Load.Trace
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(s.Path), path)
	}
	file, err := os.Open(path)
	if err != nil {
		return &tomlfile.Error{File: s.Path, Line: tomlfile.LineOf(tomlfile.Lines(s.Text), "load.trace"), Field: "load.trace", What: err.Error()}
	}
	defer file.Close()
	var classes []string
	for i := range s.Spec.Classes {
		classes = append(classes, s.Spec.Classes[i].Name)
	}
	partners := 0
	for i := range s.Spec.Partners {
		partners += s.Spec.Partners[i].Count
	}
	if s.Trace, err = load.ReadTrace(file, path, classes, partners, s.Spec.Senders); err != nil {
		return err
	}
	if s.Spec.Load.Rate == 0 {
		s.Spec.Load.Rate = max(0.001, float64(len(s.Trace))/s.Spec.Seconds)
	}
	return nil
}

// Write returns the text of a scenario file.
func Write(spec *world.Spec) ([]byte, error) {
	var out bytes.Buffer
	e := toml.NewEncoder(&out)
	err := e.Encode(spec)
	return out.Bytes(), err
}
