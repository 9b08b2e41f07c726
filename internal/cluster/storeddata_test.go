package cluster_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster"
	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// Content of the stored cluster folder, which is made of testdata/stored of the packages settings/folder and consensus.
const (
	storedFolderID    = "00112233445566778899aabbccddeeff"
	storedIncarnation = view.Incarnation(1700000000123)
	storedLastIndex   = 11 // index of the last applied command

	storedLeaderTimeout = 20 * time.Second      // bounds the election of the only voter, which takes some 1.5 s
	storedPollInterval  = 20 * time.Millisecond // from one check of the status to the next
)

// storedFile is the cluster file of a cluster with one process, with verbs for the folder and the three addresses.
const storedFile = `name = "stored"
founders = ["a"]
[here]
process = "a"
zone = "z1"
folder = %q
gossip = %q
council = %q
http = %q
[zones]
z1 = "r1"
`

// storedOrders implements Orders without a sender. The test calls only its method LastAppliedSeq.
type storedOrders struct{ clusterapi.Orders }

func (storedOrders) LastAppliedSeq() uint64 { return 0 }

// storedFolder returns a copy of a cluster folder with the files that commit 485f0e4 wrote, under the names that they
// had then: the life record, and the records of the consensus group in the subfolder council.
func storedFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	for _, from := range []string{"settings/folder/testdata/stored", "consensus/testdata/stored/council"} {
		to := folder
		if filepath.Base(from) == "council" {
			to = filepath.Join(folder, "council")
		}
		if err := os.CopyFS(to, os.DirFS(from)); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestStartsOnStoredFolder checks that a process starts from the cluster folder of an older version: with the next
// incarnation, as the voter that it was, and with all applied commands.
func TestStartsOnStoredFolder(t *testing.T) {
	text := fmt.Sprintf(storedFile, storedFolder(t), freeAddress(t), freeAddress(t), freeAddress(t))
	set, err := settings.Parse("cluster.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	node, err := cluster.Start(cluster.Options{Settings: set, Log: zap.NewNop(), Orders: storedOrders{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := node.Close(); err != nil {
			t.Error(err)
		}
	})
	ticker := time.NewTicker(storedPollInterval)
	defer ticker.Stop()
	timeout := time.After(storedLeaderTimeout)
	for !node.Status().Leading {
		select {
		case <-ticker.C:
		case <-timeout:
			t.Fatalf("not the leader after %v: %+v", storedLeaderTimeout, node.Status())
		}
	}
	s := node.Status()
	if s.Self.Incarnation != storedIncarnation+1 || s.Self.FolderID != storedFolderID || s.Self.StartedEmpty || !s.Self.HasRecords {
		t.Errorf("started as %+v, want incarnation %d of folder %s, with records", s.Self, storedIncarnation+1, storedFolderID)
	}
	if !slices.Equal(s.Voters, []view.Name{"a"}) || s.Applied != storedLastIndex {
		t.Errorf("voters %v, applied index %d, want voter a and index %d", s.Voters, s.Applied, storedLastIndex)
	}
}
