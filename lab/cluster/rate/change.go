package rate

// This file changes the settings as an operator's tool does, at a member that is not measured. Each change must be in force
// at all members before the next one is ordered.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	versions "flaxcove/internal/cluster/configuration/run"
)

const (
	changeTimeout = 16 * time.Second
	// connIdle is the initial value of the setting that is changed, the time for which an idle connection is kept. Each change
	// adds connIdleStep.
	connIdle     = 10 * time.Second
	connIdleStep = time.Millisecond
)

// changeLoop orders changes one after the other until it is stopped. Its fields inForce and err may be read once done is
// closed.
type changeLoop struct {
	stop    context.CancelFunc
	done    chan struct{}
	inForce int
	err     error
}

// startChangeLoop starts a loop, or returns one that has ended if the options ask for no changes.
func startChangeLoop(ctx context.Context, o Options, s *senders) *changeLoop {
	ordering, stop := context.WithCancel(ctx)
	loop := &changeLoop{stop: stop, done: make(chan struct{})}
	if s.mesh == nil || o.Plain || o.ChangeInterval == 0 {
		close(loop.done)
		return loop
	}
	address := s.mesh.HTTP(o.Members - 1)
	go func() {
		defer close(loop.done)
		base := uint64(0)
		for {
			if base, loop.err = change(ctx, address, base); loop.err != nil {
				return
			}
			loop.inForce++
			if sleep(ordering, o.ChangeInterval) != nil {
				return
			}
		}
	}()
	return loop
}

// end stops the loop and waits for the change in progress. It returns the number of changes that came into force, and the
// error of a change that did not.
func (loop *changeLoop) end() (inForce int, err error) {
	loop.stop()
	<-loop.done
	return loop.inForce, loop.err
}

// change orders a change based on version base and waits until it is in force at all members. It returns the new version.
func change(ctx context.Context, address string, base uint64) (version uint64, err error) {
	ctx, stop := context.WithTimeout(ctx, changeTimeout)
	defer stop()
	idle := connIdle + time.Duration(base+1)*connIdleStep
	body, err := json.Marshal(map[string]any{"id": fmt.Sprintf("rate-%d", base), "base": base, "who": "laboratory", "why": "rate",
		"patch": map[string]any{"bounds": map[string]any{"connIdle": idle}}})
	if err != nil {
		return 0, err
	}
	order, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/configuration?wait=in_force&for=15s", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	order.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(order)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	var changed struct {
		Version uint64         `json:"version"`
		State   versions.State `json:"state"`
		Error   string         `json:"error"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&changed); err != nil {
		return 0, err
	}
	if answer.StatusCode != http.StatusOK || changed.State != versions.InForce {
		return 0, fmt.Errorf("change based on version %d: HTTP status %d, state %q, error %q", base, answer.StatusCode, changed.State, changed.Error)
	}
	return changed.Version, nil
}
