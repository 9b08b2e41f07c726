package experiment

// This file reads and writes the file of results: a line of JSON for each run. A torn last line is not a result.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// ReadResults reads a file of results. A torn last line, left by a killed process, is ignored.
func ReadResults(path string) ([]*Result, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var all []*Result
	r := bufio.NewReader(file)
	for no := 1; ; no++ {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
		var result Result
		if err := json.Unmarshal(line, &result); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, no, err)
		}
		all = append(all, &result)
	}
}

// truncateTornLine removes a last line that is not terminated.
func truncateTornLine(path string) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) || len(text) == 0 {
		return nil
	}
	if err != nil {
		return err
	}
	if whole := bytes.LastIndexByte(text, '\n') + 1; whole < len(text) {
		return os.Truncate(path, int64(whole))
	}
	return nil
}

// resultID identifies a run among the results of all plans in one file.
type resultID struct {
	key  string
	seed uint64
}

// resultFile is a file of results that is open for more.
type resultFile struct {
	file  *os.File
	known map[resultID]*Result
}

// openResults reads a file of results, removes a torn last line and opens the file for appending. Failed and void runs do
// not count as known.
func openResults(path string) (*resultFile, error) {
	old, err := ReadResults(path)
	if err != nil {
		return nil, err
	}
	known := map[resultID]*Result{}
	for _, r := range old {
		if r.Error == "" && r.Void == "" {
			known[resultID{r.Key, r.Seed}] = r
		}
	}
	if err := truncateTornLine(path); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &resultFile{file: file, known: known}, nil
}

// add records a result and appends its line.
func (f *resultFile) add(r *Result) error {
	f.known[resultID{r.Key, r.Seed}] = r
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = f.file.Write(append(text, '\n'))
	return err
}

// missing returns the runs without a result.
func (f *resultFile) missing(jobs []*Job) (todo []*Job) {
	for _, j := range jobs {
		if f.known[resultID{j.Key, j.Seed}] == nil {
			todo = append(todo, j)
		}
	}
	return todo
}

// of returns the results of a plan's runs, in their order.
func (f *resultFile) of(jobs []*Job) (all []*Result) {
	for _, j := range jobs {
		if r := f.known[resultID{j.Key, j.Seed}]; r != nil {
			r.Scenario, r.Variant, r.Size = j.Scenario, j.Variant, j.Size
			all = append(all, r)
		}
	}
	return all
}

func (f *resultFile) close() error { return f.file.Close() }
