package live

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// buildSender builds the sender's binary and returns its path.
func buildSender(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "flaxcove")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", path, "flaxcove/cmd/flaxcove")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// shortSpec returns a world of five seconds with faults of senders, endpoints and clients.
func shortSpec() *world.Spec {
	s := world.DefaultSpec()
	s.Name, s.Seconds, s.Senders = "short", 5, 2
	s.Load.Rate = 40
	s.Classes = []world.Class{{Name: "status", Share: 3, LatencyObjectiveMS: 500, DeadlineMS: 2500},
		{Name: "order", Repeat: "single-use", Share: 1, LatencyObjectiveMS: 800, DeadlineMS: 3000, Value: 3}}
	s.Partners = []world.PartnerKind{{Name: "small", Count: 3, Reports: true}, {Name: "bulk", Count: 2, Bundle: 4, Endpoints: world.Pair{2, 2}}}
	s.Faults = []world.Fault{{Kind: "crash", At: 1, Seconds: 1, Selector: world.Selector{Partners: []int{0}}},
		{Kind: "sender_kill", At: 2, Seconds: 0.6, Selector: world.Selector{Senders: []int{1}}},
		{Kind: "hung", At: 2.5, Seconds: 1, Selector: world.Selector{Partners: []int{1}}},
		{Kind: "spoilt", At: 3, Seconds: 1, Amount: 0.5, Selector: world.Selector{Partners: []int{3}}},
		{Kind: "sender_reload", At: 3, Seconds: 1, Amount: 1, Selector: world.Selector{Senders: []int{0}}},
		{Kind: "rubbish", At: 1, Seconds: 3}, {Kind: "hoard", At: 1, Seconds: 3, Amount: 20}}
	s.Changes = []world.ListEvent{{Change: "drain", At: 2, Selector: world.Selector{Partners: []int{4}, Endpoint: 2}},
		{Change: "move", At: 3.5, Selector: world.Selector{Partners: []int{2}}}}
	s.Defaults()
	return &s
}

// secondAnswersSpec returns a world of six seconds in which a second copy follows most answers, also while the next call on
// the connection is under way: the network is slow, and the senders have few endpoints for many messages.
func secondAnswersSpec() *world.Spec {
	s := shortSpec()
	s.Name, s.Seconds, s.Changes = "second answers", 6, nil
	s.Load.Rate = 150
	s.Network.SameMS = world.Pair{4, 8}
	s.Faults = []world.Fault{{Kind: "second_answers", At: 0.5, Seconds: 5, Amount: 0.7}, {Kind: "refusing", At: 0.5, Seconds: 5, Amount: 0.3}}
	s.Defaults()
	return s
}

// leftoverFolders returns the number of runs' temporary folders that were not removed.
func leftoverFolders(t *testing.T) int {
	t.Helper()
	all, err := filepath.Glob(filepath.Join(os.TempDir(), "flaxcove-lab-*"))
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

func TestSendersOnSockets(t *testing.T) {
	if testing.Short() {
		t.Skip("the runs take real time")
	}
	binary := buildSender(t)
	t.Setenv("TMPDIR", t.TempDir())

	t.Run("rules are kept under faults", func(t *testing.T) {
		spec := shortSpec()
		if p := spec.Check(); p != nil {
			t.Fatal(p)
		}
		r, err := Run(context.Background(), Options{Spec: spec, Seed: 1, Command: []string{binary, "serve"}})
		if err != nil {
			t.Fatal(err)
		}
		if r.Void != "" {
			t.Skip(r.Void)
		}
		if r.Fault != "" || r.Broken() || r.Asked < 100 || float64(r.Delivered) < 0.7*float64(r.Asked) {
			t.Errorf("failure %q, want none; %d of %d messages delivered, want 70%% of at least 100; violations %v, want none", r.Fault, r.Delivered, r.Asked, r.Violations)
		}
		if r.Figures.Counters[0]["reloads"] != 1 || r.Figures.Counters[0]["endings_owed"] != 0 {
			t.Errorf("counters of sender 0: reloads %d, want 1; endings_owed %d, want 0", r.Figures.Counters[0]["reloads"], r.Figures.Counters[0]["endings_owed"])
		}
		if r.Outages == 0 || r.FailedCalls == 0 || len(r.Figures.Counters) != 2 || r.Figures.CPUS == 0 {
			t.Errorf("outages %d and failed calls %d, want some; figures %+v, want counters of 2 senders and CPU time", r.Outages, r.FailedCalls, r.Figures)
		}
	})
	t.Run("rules are kept if endpoints answer twice", func(t *testing.T) {
		r, err := Run(context.Background(), Options{Spec: secondAnswersSpec(), Seed: 1, Command: []string{binary, "serve"}})
		if err != nil {
			t.Fatal(err)
		}
		if r.Void != "" {
			t.Skip(r.Void)
		}
		if r.Fault != "" || r.Broken() || r.Asked < 500 || float64(r.Delivered) < 0.9*float64(r.Asked) {
			t.Errorf("failure %q, want none; %d of %d messages delivered, want 90%% of at least 500; violations %v, want none", r.Fault, r.Delivered, r.Asked, r.Violations)
		}
	})
	t.Run("bodies stay within the protocol's limit", func(t *testing.T) {
		// With bodies of 12,000 bytes and calls of up to ten messages, a clump does not fit into one call.
		spec := shortSpec()
		spec.Faults, spec.Changes = nil, nil
		spec.Load.BodyBytes, spec.Load.ClumpShare = 12000, 0.5
		spec.Partners = []world.PartnerKind{{Name: "bulk", Count: 2, Bundle: 10}}
		spec.Defaults()
		r, err := Run(context.Background(), Options{Spec: spec, Seed: 1, Command: []string{binary, "serve"}})
		if err != nil {
			t.Fatal(err)
		}
		if r.Void != "" {
			t.Skip(r.Void)
		}
		if r.Fault != "" || r.Broken() || r.Delivered < r.Asked || r.Asked < 100 {
			t.Errorf("failure %q, want none; %d of %d messages delivered, want all of at least 100; violations %v, want none", r.Fault, r.Delivered, r.Asked, r.Violations)
		}
	})
	t.Run("a sender that does not start", func(t *testing.T) {
		began := time.Now()
		_, err := Run(context.Background(), Options{Spec: shortSpec(), Seed: 1, Command: []string{binary, "serv"}})
		if err == nil || !strings.Contains(err.Error(), "ended by itself") || time.Since(began) > 10*time.Second {
			t.Errorf("error after %v: %v, want within 10 s that the sender ended by itself", time.Since(began), err)
		}
	})
	t.Run("a sender that dies", func(t *testing.T) {
		spec := shortSpec()
		spec.Faults = nil
		r, err := Run(context.Background(), Options{Spec: spec, Seed: 1,
			Command: []string{"/bin/sh", "-c", binary + " serve & pid=$!; sleep 1.5; kill -9 $pid; exit 7"}})
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(r.Fault, "ended by itself") || r.Figure != 0 {
			t.Errorf("failure %q, want that the sender ended by itself; figure %g, want 0", r.Fault, r.Figure)
		}
	})
	t.Run("a sender that hangs", func(t *testing.T) {
		spec := shortSpec()
		spec.Seconds, spec.Faults, spec.Changes = 2, nil, nil
		r, err := Run(context.Background(), Options{Spec: spec, Seed: 1,
			Command: []string{"/bin/sh", "-c", binary + " serve & pid=$!; sleep 1.2; while kill -STOP $pid 2>/dev/null; do sleep 0.02; done"}})
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(r.Fault, "hangs") {
			t.Errorf("failure %q, want that the sender hangs", r.Fault)
		}
	})
	t.Run("a machine that is too busy", func(t *testing.T) {
		spec := shortSpec()
		spec.Seconds, spec.Faults, spec.Changes = 3, nil, nil
		stopped := false
		r, err := Run(context.Background(), Options{Spec: spec, Seed: 1, Command: []string{binary, "serve"}, Watch: func(choice.Time) {
			if !stopped {
				stopped = true
				time.Sleep(2 * maxLateness) // blocks the world's goroutine, as happens on a machine without a free core
			}
		}})
		if err != nil {
			t.Fatal(err)
		}
		if r.Fault != "" || !strings.Contains(r.Void, "too busy") {
			t.Errorf("failure %q, want none; void %q, want that the machine was too busy", r.Fault, r.Void)
		}
	})
	t.Run("a context that ends", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		defer cancel()
		began := time.Now()
		if _, err := Run(ctx, Options{Spec: shortSpec(), Seed: 1, Command: []string{binary, "serve"}}); err == nil || time.Since(began) > 9*time.Second {
			t.Errorf("error after %v: %v, want one within 9 s", time.Since(began), err)
		}
	})
	if n := leftoverFolders(t); n > 0 {
		t.Errorf("%d temporary folders were not removed, want none", n)
	}
	if out, _ := exec.Command("pgrep", "-f", binary).Output(); len(out) > 0 {
		t.Errorf("processes of the sender were not ended: %s", out)
	}
}
