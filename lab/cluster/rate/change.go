package rate

// This file changes the settings, as an operator's tool would, at one of the members that are not measured. Each change
// must be in force everywhere before the next one is ordered.

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
	// connIdle is the setting that is changed, by connIdleStep each time: how long an idle connection is kept.
	connIdle     = 10 * time.Second
	connIdleStep = time.Millisecond
)

// changeLoop orders one change after the other until it is stopped.
type changeLoop struct {
	stop    context.CancelFunc
	done    chan struct{}
	inForce int
	err     error
}

func startChangeLoop(ctx context.Context, o Options, s *senders) *changeLoop {
	ordering, stop := context.WithCancel(ctx)
	all := &changeLoop{stop: stop, done: make(chan struct{})}
	if s.mesh == nil || o.Plain || o.Every == 0 {
		close(all.done)
		return all
	}
	address := s.mesh.HTTP(o.Members - 1)
	go func() {
		defer close(all.done)
		base := uint64(0)
		for {
			if base, all.err = change(ctx, address, base); all.err != nil {
				return
			}
			all.inForce++
			if sleep(ordering, o.Every) != nil {
				return
			}
		}
	}()
	return all
}

// end stops the loop and waits for the change in progress. It returns how many changes came into force, and why one did not.
func (all *changeLoop) end() (inForce int, err error) {
	all.stop()
	<-all.done
	return all.inForce, all.err
}

// change orders a change based on a version and waits until it is in force in all processes.
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
		return 0, fmt.Errorf("a change upon version %d: status %d, state %q, %s", base, answer.StatusCode, changed.State, changed.Error)
	}
	return changed.Version, nil
}
