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

// lines is a book as its writers see it: each that is written is one line further. An answer of 0 is Unsure: it may
// have been written at any time since, or never, which as the last of all makes no difference.
var lines = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		at := state.(int) + 1
		return output.(int) == at || output.(int) == 0, at
	},
}

// history is what writers were answered and what every process applied.
type history struct {
	mu   sync.Mutex
	at   map[uint64]line // by index
	fork []string
	ops  []porcupine.Operation
	sure []string
}

func (h *history) applied(l line) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if other, found := h.at[l.Index]; found && other != l {
		h.fork = append(h.fork, fmt.Sprint(other, " and ", l))
	}
	h.at[l.Index] = l
}

// Writers go on while leaders are cut off and die: what was answered fits one order, what processes applied, before
// and after each start, is the same at each index, what was answered is in force, and nothing is there twice.
func TestHistory(t *testing.T) {
	f := newFleet(t)
	h := &history{at: map[uint64]line{}}
	f.also = h.applied
	for i, name := range founders {
		f.start(name, view.Zone(fmt.Sprint("z", i)), t.TempDir(), f.draw())
	}
	f.show()
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
	few := []view.Name{cutOff.member.Name, f.others(cutOff)[3]}
	many := f.others(cutOff)[:3]
	f.sever(few, many, true)
	second := f.leader(many...)
	time.Sleep(200 * time.Millisecond)
	f.sever(few, many, false)
	dead := f.kill(second.member.Name)
	f.leader(f.names()...)
	time.Sleep(200 * time.Millisecond)
	f.start(dead.member.Name, dead.member.Zone, dead.folder, dead.member.Folder)
	f.show()
	time.Sleep(200 * time.Millisecond)
	stop()
	writers.Wait()

	f.until("all alike", func() bool {
		last := len(f.leader(founders...).lines())
		for _, p := range f.all {
			if len(p.lines()) != last {
				return false
			}
		}
		return true
	})
	if len(h.fork) > 0 || len(h.sure) < 20 {
		t.Errorf("%d answered; forks: %v", len(h.sure), h.fork)
	}
	count := map[string]int{}
	for _, l := range f.leader(founders...).lines() {
		if count[l.Word]++; count[l.Word] > 1 {
			t.Errorf("%s is there %d times", l.Word, count[l.Word])
		}
	}
	for _, word := range h.sure {
		if count[word] == 0 {
			t.Errorf("%s was answered and is not there", word)
		}
	}
	if verdict := porcupine.CheckOperationsTimeout(lines, h.ops, long); verdict != porcupine.Ok {
		t.Errorf("no one order fits what was answered: %v", verdict)
	}
}

// write proposes a word once, to any that leads.
func (h *history) write(f *fleet, begun time.Time, client int, word string) {
	var leading *process
	f.mu.Lock()
	for _, p := range f.all {
		if p.Leading() && (leading == nil || client%2 == 0) { // half of them ask the one, half the other of two
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
	answer, err := leading.Propose(ctx, "book", "write", word)
	op.Return = int64(time.Since(begun))
	var unsure *Unsure
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case errors.As(err, &unsure):
		op.Return = math.MaxInt64
	case err != nil:
		return
	default:
		var at int
		_ = json.Unmarshal(answer, &at)
		op.Output, h.sure = at, append(h.sure, word)
	}
	h.ops = append(h.ops, op)
}
