package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"flaxcove/lab/scale/host"
)

// This file orders purges and changes of the configuration and measures when each has been applied by the hollow members.

const (
	orderTimeout      = time.Minute // bound on the time until an order is decided, and likewise until all members have applied it
	orderPollInterval = 50 * time.Millisecond
	// settingsBytes is the approximate size of a sender's settings in the laboratory.
	settingsBytes = 3000
)

// orderAll orders the purges and changes that the options ask for, one after the other.
func (r *run) orderAll(ctx context.Context) error {
	by := r.fleet.MemberNo(r.fleet.Founders[0])
	for i := range r.options.Purges {
		if !slices.Contains(r.options.Fleet.Uses, "purges") {
			break
		}
		spread, err := r.purge(ctx, by, i)
		if err != nil {
			return err
		}
		r.result.Purges = append(r.result.Purges, spread)
	}
	version := uint64(0)
	for i := range r.options.Changes {
		if !slices.Contains(r.options.Fleet.Uses, "configuration") {
			break
		}
		spread, next, err := r.change(ctx, by, i, version)
		if err != nil {
			return err
		}
		version = next
		r.result.Changes = append(r.result.Changes, spread)
	}
	return nil
}

// purge orders purge i, of destination i, at member by, and measures its propagation.
func (r *run) purge(ctx context.Context, by, i int) (s Propagation, err error) {
	began := time.Now()
	var taken struct {
		Seq uint64 `json:"seq"`
	}
	body := map[string]any{"id": fmt.Sprintf("scale-%d", i), "subject": "notices", "who": "laboratory", "why": "scale",
		"match": map[string]any{"destination": i}}
	if err := r.postUntilAccepted(ctx, by, "/v1/purges", body, &taken); err != nil {
		return s, err
	}
	s.DecidedS = time.Since(began).Seconds()
	return s, r.awaitApplied(ctx, &s, began, host.Order{Kind: host.ReportApplied, Purge: taken.Seq})
}

// change orders change i of the configuration, based on version base, at member by, and measures its propagation. It returns
// the new version.
func (r *run) change(ctx context.Context, by, i int, base uint64) (s Propagation, version uint64, err error) {
	settings, err := r.settings()
	if err != nil {
		return s, 0, err
	}
	settings["laboratory_change"] = i
	if len(r.realMembers) > 0 { // real members reject unknown fields: change a known one
		delete(settings, "laboratory_change")
		settings["dialMs"] = 900 + i
	}
	began := time.Now()
	var taken struct {
		Version uint64 `json:"version"`
	}
	body := map[string]any{"id": fmt.Sprintf("scale-%d", i), "base": base, "settings": settings, "who": "laboratory", "why": "scale"}
	if err := r.postUntilAccepted(ctx, by, "/v1/configuration", body, &taken); err != nil {
		return s, 0, err
	}
	s.DecidedS = time.Since(began).Seconds()
	return s, taken.Version, r.awaitApplied(ctx, &s, began, host.Order{Kind: host.ReportApplied, Version: taken.Version})
}

// settings returns the settings in a real member's configuration file, or a filler of about settingsBytes without real members.
func (r *run) settings() (map[string]any, error) {
	if len(r.realHomes) == 0 {
		return map[string]any{"filling": strings.Repeat("setting ", settingsBytes/8)}, nil
	}
	text, err := os.ReadFile(filepath.Join(r.realHomes[0], "config.json"))
	if err != nil {
		return nil, err
	}
	var file struct {
		Settings map[string]any `json:"settings"`
	}
	err = json.Unmarshal(text, &file)
	return file.Settings, err
}

// postUntilAccepted posts an order to a member until it is accepted. The order has the same id in each attempt. The answer is
// decoded into taken.
func (r *run) postUntilAccepted(ctx context.Context, by int, path string, order, taken any) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	var last error
	for began := time.Now(); time.Since(began) < orderTimeout; {
		retry, err := r.post(ctx, "http://"+r.address(by).HTTP+path, body, taken)
		if err == nil || !retry {
			return err
		}
		last = err
		if !sleep(ctx, orderPollInterval) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("order to %s was not decided within %v; last error: %w", path, orderTimeout, last)
}

// post makes one attempt to post an order. retry reports whether another attempt may succeed.
func (r *run) post(ctx context.Context, url string, body []byte, taken any) (retry bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	answer, err := r.real.client.Do(request)
	if err != nil {
		return true, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusAccepted {
		var text bytes.Buffer
		_, err := text.ReadFrom(answer.Body)
		return answer.StatusCode >= http.StatusInternalServerError, errors.Join(fmt.Errorf("%s answered with HTTP status %d: %s", url, answer.StatusCode, text.String()), err)
	}
	return true, json.NewDecoder(answer.Body).Decode(taken)
}

// awaitApplied waits until all hollow members have applied an order, for orderTimeout at most, and records the times.
func (r *run) awaitApplied(ctx context.Context, s *Propagation, began time.Time, applied host.Order) error {
	hollow := len(r.fleet.Members) - len(r.realMembers)
	var after []float64
	for waited := time.Now(); time.Since(waited) < orderTimeout && len(after) < hollow; {
		if !sleep(ctx, orderPollInterval) {
			return ctx.Err()
		}
		answers, err := r.orderAllHosts(applied)
		if err != nil {
			return err
		}
		after = after[:0]
		for _, a := range answers {
			for _, at := range a.Applied {
				after = append(after, at.Sub(began).Seconds())
			}
		}
	}
	slices.Sort(after)
	s.P50S, s.P95S, s.P100S = -1, -1, -1
	s.setQuantiles(after, hollow)
	return nil
}

// setQuantiles sets the quantiles from the sorted times at which members applied an order; all is the number of members.
func (s *Propagation) setQuantiles(after []float64, all int) {
	for _, mark := range []struct {
		share float64
		at    *float64
	}{{0.5, &s.P50S}, {mostMembers, &s.P95S}, {1, &s.P100S}} {
		if i := int(mark.share*float64(all)+0.999) - 1; i >= 0 && i < len(after) {
			*mark.at = after[i]
		}
	}
}
