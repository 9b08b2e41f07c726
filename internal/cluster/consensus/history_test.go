package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"flaxcove/internal/cluster/view"
)

// recorderModel is the sequential model of a recorder: each write returns the next line number. The output 0 stands for
// an UncertainError. Such a write may have happened at any later time or never; the model treats a write that never
// happened as the last of all.
var recorderModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		next := state.(int) + 1
		return output.(int) == next || output.(int) == 0, next
	},
}

// history records the answers to all writers and the commands that all processes applied.
type history struct {
	mu         sync.Mutex
	byIndex    map[uint64]line       // the command applied at each log index
	forks      []string              // indexes at which processes applied different commands
	operations []porcupine.Operation // answered and uncertain writes
	confirmed  []string              // words whose write was answered
}

// applied records a command that a process applied.
func (h *history) applied(l line) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if other, found := h.byIndex[l.Index]; found && other != l {
		h.forks = append(h.forks, fmt.Sprint(other, " and ", l))
	}
	h.byIndex[l.Index] = l
}

// TestHistory lets writers go on while leaders are partitioned and killed. It checks that the answers are linearizable,
// that all processes apply the same command at each index, before and after restarts, and that each confirmed write is
// recorded exactly once.
func TestHistory(t *testing.T) {
	f := newFleet(t)
	h := &history{byIndex: map[uint64]line{}}
	f.onApply = h.applied
	for i, name := range founders {
		f.start(name, view.Zone(fmt.Sprint("z", i)), t.TempDir(), f.newFolderName())
	}
	f.publishView()
	f.leader(founders...)
	begun := time.Now()
	ctx, stop := context.WithCancel(t.Context())
	var writers sync.WaitGroup
	for i := range 4 {
		writers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				h.write(f, begun, i, fmt.Sprintf("%d.%d", i, n))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	cutOff := f.leader(founders...)
	minority := []view.Name{cutOff.member.Name, f.others(cutOff)[3]}
	majority := f.others(cutOff)[:3]
	f.setPartition(minority, majority, true)
	second := f.leader(majority...)
	time.Sleep(200 * time.Millisecond)
	f.setPartition(minority, majority, false)
	dead := f.kill(second.member.Name)
	f.leader(f.names()...)
	time.Sleep(200 * time.Millisecond)
	f.start(dead.member.Name, dead.member.Zone, dead.folder, dead.member.FolderID)
	f.publishView()
	time.Sleep(200 * time.Millisecond)
	stop()
	writers.Wait()

	f.waitFor("all processes have the same number of lines", func() bool {
		last := len(f.leader(founders...).lines())
		for _, p := range f.processes {
			if len(p.lines()) != last {
				return false
			}
		}
		return true
	})
	if len(h.forks) > 0 || len(h.confirmed) < 20 {
		t.Errorf("%d writes confirmed; forks: %v", len(h.confirmed), h.forks)
	}
	count := map[string]int{}
	for _, l := range f.leader(founders...).lines() {
		if count[l.Word]++; count[l.Word] > 1 {
			t.Errorf("%s is recorded %d times", l.Word, count[l.Word])
		}
	}
	for _, word := range h.confirmed {
		if count[word] == 0 {
			t.Errorf("the write of %s was confirmed, but is not recorded", word)
		}
	}
	if verdict := porcupine.CheckOperationsTimeout(recorderModel, h.operations, testTimeout); verdict != porcupine.Ok {
		t.Errorf("the answers are not linearizable: %v", verdict)
	}
}

// write proposes a word once, to a process that leads, if there is one.
func (h *history) write(f *fleet, begun time.Time, client int, word string) {
	var leading *process
	f.mu.Lock()
	for _, p := range f.processes {
		if p.Leading() && (leading == nil || client%2 == 0) { // if two processes believe that they lead, half of the writers use each
			leading = p
		}
	}
	f.mu.Unlock()
	if leading == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	op := porcupine.Operation{ClientId: client, Input: word, Call: int64(time.Since(begun)), Output: 0}
	answer, err := leading.Propose(ctx, "recorder", "write", word)
	op.Return = int64(time.Since(begun))
	var uncertain *UncertainError
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case errors.As(err, &uncertain):
		op.Return = math.MaxInt64
	case err != nil:
		return
	default:
		var lineNo int
		_ = json.Unmarshal(answer, &lineNo)
		op.Output, h.confirmed = lineNo, append(h.confirmed, word)
	}
	h.operations = append(h.operations, op)
}
