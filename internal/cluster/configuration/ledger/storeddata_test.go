package ledger_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/consensus/machine/machinetest"
)

// storedEntries returns the entries of all versions after the stored commands.
func storedEntries() []ledger.Entry {
	const sumOfOne = "6a509ac90fc0e8170bdf70b64a73158b"
	return []ledger.Entry{
		{Version: 1, Sum: sumOfOne, ID: "first", Fingerprint: "931cf5be3fb78bcb44db4a42f605414b", Who: "ops", Why: "because",
			At: time.Minute, Bytes: 20},
		{Version: 2, Sum: "e407e2ce9d8ca764de6c9ea78b833bc2", ID: "second", Fingerprint: "5a15c925390d6bf04d0bb6a6a8f878a9", Base: 1,
			Who: "ops", Why: "because", At: 2 * time.Minute, Bytes: 17},
		{Version: 3, Sum: sumOfOne, ID: "back", Fingerprint: "f679ef88f3e6b3d1081d7fefea9fa149", Base: 2, Restored: new(uint64(1)),
			Who: "ops", Why: "two was bad", At: 3 * time.Minute, Bytes: 20},
		{Version: 57, Sum: "ba26355075c4556dacf9eee1a82c96f9", Base: 3, At: 4 * time.Minute, Bytes: 14},
	}
}

// storedSettings returns the settings that can be restored after the stored commands, by version.
func storedSettings() map[uint64]string {
	return map[uint64]string{
		0:  `{"own":true}`,
		1:  `{"a":"<&>","b":1.50}`,
		2:  `{"a":"two","b":2}`,
		3:  `{"a":"<&>","b":1.50}`,
		57: `{"adopted":57}`,
	}
}

// TestReplaysStoredVersions checks that the commands in an older program's log give the same versions and answers as
// they did there.
func TestReplaysStoredVersions(t *testing.T) {
	l := ledger.New()
	machinetest.Replay(t, l)
	checkStoredVersions(t, l)
}

// TestReadsStoredVersions checks that an older program's snapshot is restored completely.
func TestReadsStoredVersions(t *testing.T) {
	l := ledger.New()
	machinetest.Restore(t, l)
	checkStoredVersions(t, l)
}

// checkStoredVersions compares a ledger with the stored versions.
func checkStoredVersions(t *testing.T, l *ledger.Ledger) {
	t.Helper()
	for _, want := range storedEntries() {
		got, found := l.Entry(want.Version)
		if diff := cmp.Diff(want, got); !found || diff != "" {
			t.Errorf("version %d, found %v (-stored +read):\n%s", want.Version, found, diff)
		}
		if answer, known := l.FindRequest(want.ID, want.Fingerprint); want.ID != "" && (!known || answer.Version != want.Version) {
			t.Errorf("ID %q is known: %v, for version %d", want.ID, known, answer.Version)
		}
	}
	if retained := l.RetainedVersions(); !slices.Equal(retained, []uint64{0, 1, 2, 3, 57}) {
		t.Errorf("the retained versions are %v", retained)
	}
	for version, want := range storedSettings() {
		if document, found := l.Document(version); !found || string(document.Settings) != want {
			t.Errorf("version %d, found %v: %s", version, found, document.Settings)
		}
	}
}
