package experiment_test

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"flaxcove/lab/experiment"
)

// TestReadsStoredResults: a file of results of commit 485f0e4, with each field set in its first line and few in its second,
// is read, and the same results are written as they were. The file is never written anew.
func TestReadsStoredResults(t *testing.T) {
	const path = "testdata/stored/results.jsonl"
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	results, err := experiment.ReadResults(path)
	if err != nil {
		t.Fatal(err)
	}
	var again bytes.Buffer
	encoder := json.NewEncoder(&again)
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(again.Bytes(), stored) {
		t.Errorf("read and written again:\n%s\nstored:\n%s", again.Bytes(), stored)
	}
}
