package referee_test

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"flaxcove/lab/referee"
)

// TestReadsStoredVerdict: a verdict of commit 485f0e4 with each field set is read, and written as it was. The file is never
// written anew.
func TestReadsStoredVerdict(t *testing.T) {
	stored, err := os.ReadFile("testdata/stored/verdict.json")
	if err != nil {
		t.Fatal(err)
	}
	var verdict referee.Verdict
	if err := json.Unmarshal(stored, &verdict); err != nil {
		t.Fatal(err)
	}
	again, err := json.MarshalIndent(&verdict, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, bytes.TrimSpace(stored)) {
		t.Errorf("read and written again:\n%s\nstored:\n%s", again, stored)
	}
}
