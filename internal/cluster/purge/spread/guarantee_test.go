package spread

// This file tests the guarantee of a complete purge under random faults.

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
	"flaxcove/internal/sender/withdrawal"
)

// TestNoMatchingMessageSentAfterComplete runs a random fleet with random faults. It checks that no message is sent that matches a
// complete purge and was accepted before it was opened; and that, once there are no more faults, all purges are closed and
// each finding is counted once.
func TestNoMatchingMessageSentAfterComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "processes")
		w := newSimulation(nil, t.Fatalf, n, min(n, 3), time.Hour)
		some := func(what string) *process { return w.processes[rapid.IntRange(0, n-1).Draw(t, what)] }
		key := rapid.SampledFrom([]string{"a", "b", "c"})
		restored := false // whether a folder was restored from an old copy, which loses the findings stored on disk since
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(1, 30).Draw(t, "hundredths")) * 10 * time.Millisecond
			switch rapid.IntRange(0, 13).Draw(t, "operation") {
			case 0, 1:
				for range rapid.IntRange(1, 4).Draw(t, "messages") {
					if p := some("at"); p.alive {
						p.disk.messages = append(p.disk.messages, &testMessage{key: key.Draw(t, "key"), acceptedAt: w.now, purgesSeen: p.state.ReceivedSeq()})
					}
				}
			case 2, 3:
				w.open(key.Draw(t, "key"))
			case 4:
				some("killed").alive = false
			case 5:
				p := some("restarted")
				p.alive = false
				folder := rapid.IntRange(0, 3).Draw(t, "folder")
				if folder == 1 && p.oldDisk != nil {
					p.disk, restored = p.oldDisk.copy(), true
				}
				w.start(p, folder == 0)
				if w.processes[w.leader] == p {
					w.lead(w.leader)
				}
				w.updateTree(p)
			case 6: // killed after applying purges and before acknowledging them
				if p := some("killed"); p.alive {
					if all := p.state.NextBatch(w.now); all != nil {
						w.apply(p, all)
						p.alive = false
					}
				}
			case 7: // the tree changes; processes see that at random times (case 8)
				root := rapid.IntRange(0, n-1).Draw(t, "root")
				wide := rapid.IntRange(1, 5).Draw(t, "wide")
				for i := range n {
					w.tree[(root+i)%n] = (root + (i-1)/wide) % n
				}
				w.tree[root] = -1
			case 8:
				w.updateTree(some("sees"))
			case 9:
				w.lead(rapid.IntRange(0, n-1).Draw(t, "leader"))
			case 10:
				w.startAttempts(some("begins"))
			case 11:
				w.catchUp(some("asks"))
			case 12:
				p := some("copied")
				p.oldDisk = p.disk.copy()
			case 13: // a new process joins that has already accepted a message
				p := &process{name: view.Name(fmt.Sprintf("q%02d", len(w.processes))), zone: "z0", alive: true, incarnation: 1,
					disk: &disk{folder: "new", found: map[uint64]clusterapi.PurgeResult{}}}
				p.disk.messages = append(p.disk.messages, &testMessage{key: key.Draw(t, "key"), acceptedAt: w.now - time.Second})
				p.state = New(p.instance(), "new", 0)
				w.processes, w.tree, w.disks = append(w.processes, p), append(w.tree, slices.Index(w.tree, -1)), append(w.disks, p.disk)
				n++
				w.join(p)
			}
			w.step()
			net := w.network
			w.network = nil
			for _, m := range net {
				switch rapid.IntRange(0, 7).Draw(t, "message") {
				case 0:
					m.fail()
				case 1:
					w.network = append([]envelope{m}, w.network...) // delayed, and delivered before others
				case 2:
					m.deliver()
					m.deliver()
				case 3:
					m.deliver()
					m.fail() // delivered, but its answer is lost
				default:
					m.deliver()
				}
			}
		}
		for _, p := range w.processes {
			if !p.alive {
				w.start(p, false)
			}
		}
		w.lead(w.leader)
		for _, p := range w.processes {
			w.updateTree(p)
		}
		w.settle(3000)
		if w.ledger.OldestOpen() != w.ledger.LastSeq()+1 {
			t.Fatalf("without faults, purge %d of %d is still open", w.ledger.OldestOpen(), w.ledger.LastSeq())
		}
		for seq := uint64(1); seq <= w.ledger.LastSeq(); seq++ {
			var onAllDisks, onCurrentDisks clusterapi.PurgeResult
			for _, d := range w.disks {
				onAllDisks = AddFound(onAllDisks, d.found[seq])
			}
			for _, p := range w.processes {
				onCurrentDisks = AddFound(onCurrentDisks, p.disk.found[seq])
			}
			if r := record(w, seq); r.State != ledger.Complete || !restored && (r.Found.NotBegun > onAllDisks.NotBegun ||
				r.Found.Delivered > onAllDisks.Delivered) {
				t.Fatalf("purge %d: %+v, found on all disks at most %+v", seq, r, onAllDisks)
			} else if !restored && r.Reached == n && len(w.disks) == n && r.Found != onCurrentDisks {
				t.Fatalf("purge %d: recorded findings %+v, on disk %+v", seq, r.Found, onCurrentDisks)
			}
		}
		for _, p := range w.processes {
			w.startAttempts(p)
			for _, message := range p.disk.messages {
				if message.state == withdrawal.Waiting {
					t.Fatalf("%s has a message that was not sent or withdrawn: applied purges up to %d, required %d", p.name, p.state.AppliedSeq(), p.requiredSeq)
				}
			}
		}
	})
}
