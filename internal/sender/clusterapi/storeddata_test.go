package clusterapi_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
)

// storedPurge is a purge as a process of commit 485f0e4 sends it to another: processes of both versions run side by side
// during an upgrade.
const storedPurge = `{"Seq":3,"ID":"one","Learnt":true,"Match":{"destination":-7,"workload":"pure","key":"k","key_prefix":"k-"},"Age":90000000000}`

// TestReadsStoredPurge: a purge is read and written as by an older program.
func TestReadsStoredPurge(t *testing.T) {
	want := clusterapi.Purge{Seq: 3, ID: "one", LearnedState: true, Age: 90 * time.Second,
		Match: clusterapi.Match{Destination: new(choice.DestinationID(-7)), Class: "pure", Key: "k", KeyPrefix: "k-"}}
	var got clusterapi.Purge
	if err := json.Unmarshal([]byte(storedPurge), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-stored +read):\n%s", diff)
	}
	if text, err := json.Marshal(want); err != nil || string(text) != storedPurge {
		t.Errorf("written %s, error %v", text, err)
	}
}
