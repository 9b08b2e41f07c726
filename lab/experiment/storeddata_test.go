package experiment_test

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"flaxcove/lab/experiment"
)

// TestReadsStoredResults checks that a results file written by commit 485f0e4 can be read, and that its results are encoded
// to the same bytes again. Its first line sets every field, its second line only the mandatory ones. The file must never be
// regenerated.
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
		t.Errorf("encoded again:\n%s\nstored:\n%s", again.Bytes(), stored)
	}
}
