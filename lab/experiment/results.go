package experiment

// This file reads and writes the results file, which holds a line of JSON for each run.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// ReadResults reads a results file. It ignores a last line without a line end, which a killed process may leave, and returns
// no results if the file does not exist.
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

// truncateTornLine removes a last line without a line end from a file. It does nothing if the file does not exist.
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

// resultID identifies a run in a results file, which may hold the runs of several plans.
type resultID struct {
	key  string
	seed uint64
}

// resultFile is a results file that is open for appending.
type resultFile struct {
	file  *os.File
	known map[resultID]*Result // the results in the file that need not be computed again
}

// openResults reads a results file, removes a torn last line and opens the file for appending. Failed and void runs are not
// known, so that they are run again.
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

// add records a result and appends it to the file.
func (f *resultFile) add(r *Result) error {
	f.known[resultID{r.Key, r.Seed}] = r
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = f.file.Write(append(text, '\n'))
	return err
}

// missing returns the runs that have no known result.
func (f *resultFile) missing(jobs []*Job) (todo []*Job) {
	for _, j := range jobs {
		if f.known[resultID{j.Key, j.Seed}] == nil {
			todo = append(todo, j)
		}
	}
	return todo
}

// resultsOf returns the known results of a plan's runs, in the order of the runs. Scenario, Variant and Size are set to the
// names in the plan, because another plan may have stored the result under other names.
func (f *resultFile) resultsOf(jobs []*Job) (all []*Result) {
	for _, j := range jobs {
		if r := f.known[resultID{j.Key, j.Seed}]; r != nil {
			r.Scenario, r.Variant, r.Size = j.Scenario, j.Variant, j.Size
			all = append(all, r)
		}
	}
	return all
}

func (f *resultFile) close() error { return f.file.Close() }
