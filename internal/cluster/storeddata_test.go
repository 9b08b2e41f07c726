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

// What the stored folder holds; see the packages whose testdata/stored it is made of.
const (
	storedFolderID    = "00112233445566778899aabbccddeeff"
	storedIncarnation = view.Incarnation(1700000000123)
	storedLastIndex   = 11

	storedWait = 20 * time.Second // bounds an election of the only voter, which takes some 1.5 s
	storedLook = 20 * time.Millisecond
)

// storedFile is the cluster file of a process that is alone, with its folder and three addresses.
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

// storedOrders is a sender of which only the highest applied purge is asked.
type storedOrders struct{ clusterapi.Orders }

func (storedOrders) Applied() uint64 { return 0 }

// storedFolder puts a process's folder together of what commit 485f0e4 wrote: its lives, and its records of the
// consensus group in a folder of their own, under the names that both had then.
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

// TestStartsOnStoredFolder: a process goes on from the folder of an older program: as its next life, and as the voter that
// it was, with all that was decided.
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
	look := time.NewTicker(storedLook)
	defer look.Stop()
	timeout := time.After(storedWait)
	for !node.Status().Leading {
		select {
		case <-look.C:
		case <-timeout:
			t.Fatalf("does not lead after %v: %+v", storedWait, node.Status())
		}
	}
	s := node.Status()
	if s.Self.Incarnation != storedIncarnation+1 || s.Self.Folder != storedFolderID || s.Self.Empty || !s.Self.HasRecords {
		t.Errorf("goes on as %+v", s.Self)
	}
	if !slices.Equal(s.Voters, []view.Name{"a"}) || s.Applied != storedLastIndex {
		t.Errorf("voters %v, applied up to %d", s.Voters, s.Applied)
	}
}
