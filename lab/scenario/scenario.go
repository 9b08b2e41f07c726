// Package scenario reads and writes scenarios as TOML files.
//
// Package lab/world defines the fields of a scenario and checks their values; internal/tomlfile formats the errors with file
// and line.
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

// Scenario is a scenario file with its recorded trace.
type Scenario struct {
	Spec  *world.Spec
	Trace []load.Arrival // nil if the spec names no trace
	Path  string         // path of the file, or the name of a built-in scenario
	Text  []byte         // contents of the file
}

// Load reads a scenario from the file at path.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses the text of a scenario file. Name is the path of the file: it is used in errors, it provides the scenario's name
// if the text has none, and a relative path of a trace starts at its folder. An invalid field is reported as a
// *tomlfile.Error.
func Parse(name string, text []byte) (*Scenario, error) {
	spec := world.DefaultSpec()
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
	if err := tomlfile.LocateProblems(name, text, problems); err != nil {
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

// readTrace reads the trace that the spec names. If the spec has no rate, it sets the trace's mean rate.
func (s *Scenario) readTrace() error {
	path := s.Spec.Load.Trace
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(s.Path), path)
	}
	file, err := os.Open(path)
	if err != nil {
		return &tomlfile.Error{File: s.Path, Line: tomlfile.LineOf(tomlfile.Lines(s.Text), "load.trace"), Field: "load.trace", Reason: err.Error()}
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

// Write returns the text of a scenario file with all fields of spec.
func Write(spec *world.Spec) ([]byte, error) {
	var out bytes.Buffer
	e := toml.NewEncoder(&out)
	err := e.Encode(spec)
	return out.Bytes(), err
}
