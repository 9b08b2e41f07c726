package referee_test

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"flaxcove/lab/referee"
)

// TestReadsStoredVerdict checks that a stored verdict in which every field is set is read, and is written again byte for
// byte. The file was written at commit 485f0e4 and must not be replaced by a newer one.
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
		t.Errorf("stored verdict after reading and writing:\n%s\nwant:\n%s", again, stored)
	}
}
