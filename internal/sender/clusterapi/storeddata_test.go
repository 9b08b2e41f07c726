package clusterapi_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
)

// storedPurge is a purge in the encoding of commit 485f0e4. Processes of both versions exchange purges during an upgrade.
const storedPurge = `{"Seq":3,"ID":"one","Learnt":true,"Match":{"destination":-7,"workload":"pure","key":"k","key_prefix":"k-"},"Age":90000000000}`

// TestReadsStoredPurge checks that a purge is decoded and encoded as by the older version.
func TestReadsStoredPurge(t *testing.T) {
	want := clusterapi.Purge{Seq: 3, ID: "one", LearnedState: true, Age: 90 * time.Second,
		Match: clusterapi.Match{Destination: new(choice.DestinationID(-7)), Class: "pure", Key: "k", KeyPrefix: "k-"}}
	var got clusterapi.Purge
	if err := json.Unmarshal([]byte(storedPurge), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decoded purge differs (-stored +read):\n%s", diff)
	}
	if text, err := json.Marshal(want); err != nil || string(text) != storedPurge {
		t.Errorf("encoded as %s, error %v, want %s", text, err, storedPurge)
	}
}
