package run_test

import (
	"encoding/json"
	"testing"

	"flaxcove/internal/cluster/configuration/run"
)

// storedStatus is a part of the answer to GET /v1/cluster as the program of commit 485f0e4 wrote it. Each field has a
// different number.
const storedStatus = `{"version":1,"sum":"s","held":2,"refused":3,"why":"w","caught_up":true,"figures":{` +
	`"Downs":4,"Ups":5,"Fetches":6,"Nudges":7,"Changes":8,"Wholes":9,"ContentBytes":10,"DownsIn":11,"UpsIn":12,"FetchIn":13,` +
	`"Failed":14,"Applied":15,"Refused":16}}`

// TestReadsStoredStatus checks that the status is read and written as by an older program.
func TestReadsStoredStatus(t *testing.T) {
	var status run.Status
	if err := json.Unmarshal([]byte(storedStatus), &status); err != nil {
		t.Fatal(err)
	}
	if text, err := json.Marshal(status); err != nil || string(text) != storedStatus {
		t.Errorf("the status is written as %s, error %v", text, err)
	}
}
