package run

import (
	"context"
	"encoding/json"
	"fmt"

	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

// up is what goes to a parent; Final is to the council's leader, which passes it no further.
type up struct {
	Reports []weigh.Report `json:"reports"`
	Final   bool           `json:"final,omitempty"`
}

// mostUp bounds one message: what is beyond waits for the next turn, as the board has it still.
const mostUp = 3000

// tellUp passes reports to the parent, past it to its own where it does not answer, and where that does not either to
// the leader, as the root does. One call is out at a time: what it misses the next one has.
func (r *Runner) tellUp(now view.Now, t *tree.Tree) {
	var to []view.Name
	if parent, known := t.Parent(r.o.Self); known {
		to = append(to, parent)
		if above, known := t.Parent(parent); known {
			to = append(to, above)
		}
	}
	leader, known := r.o.Consensus.Leader()
	if known && leader != r.o.Self {
		to = append(to, leader)
	} else {
		leader = ""
	}
	if len(to) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.uping {
		return
	}
	if to[0] != r.upTo {
		r.upTo = to[0]
		r.passing.Again()
	}
	reports := r.passing.Up(now, mostUp)
	if len(reports) == 0 {
		return
	}
	r.uping = r.begin(func() { r.sendUp(to, leader, reports) })
}

func (r *Runner) sendUp(to []view.Name, leader view.Name, reports []weigh.Report) {
	calls, failed := uint64(0), uint64(0)
	begun := r.o.Now()
	for i, name := range to {
		if waited := r.o.Now() - begun; waited > 0 { // the first did not answer: all is older by that
			for j := range reports {
				reports[j].Age += waited
			}
			begun += waited
		}
		ctx, cancel := context.WithTimeout(r.ctx, callFor)
		err := r.o.Link.Call(ctx, name, upPath, up{reports, i == len(to)-1 && name == leader}, nil)
		cancel()
		if calls++; err == nil || r.ctx.Err() != nil {
			break
		}
		failed++
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uping = false
	r.stats.Up, r.stats.Failed = r.stats.Up+calls, r.stats.Failed+failed
	r.stats.Reports += uint64(len(reports))
}

func (r *Runner) hearUp(_ context.Context, from view.Life, body []byte) (any, error) {
	var in up
	err := json.Unmarshal(body, &in)
	now := r.o.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.stats.Bad++
		return nil, fmt.Errorf("failover: reports of %s: %w", from.Name, err)
	}
	r.stats.Heard++
	board := r.passing
	if in.Final {
		board = r.all
	}
	if board.Put(now, in.Reports) {
		r.news()
	}
	return nil, nil
}
