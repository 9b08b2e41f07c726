package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"flaxcove/internal/tomlfile"
	"flaxcove/lab/referee"
	"flaxcove/lab/scenario"
)

// tinyScenario is a scenario that runs fast: one sender, and a kind of destination at which 30% of calls fail.
const tinyScenario = `seconds = 3
senders = 1
[load]
rate = 20
[[workload]]
name = "w"
contract_ms = 500
hard_stop_ms = 2000
[[partner]]
name = "k"
count = 2
errors = 0.3
`

// writePlan writes tinyScenario as tiny.toml and the plan as plan.toml to a temporary folder, and returns the folder.
func writePlan(t *testing.T, plan string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"tiny.toml": tinyScenario, "plan.toml": plan} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// plan has three variants and five seeds, so that it consists of 15 runs.
const plan = `scenarios = ["tiny.toml"]
seeds = 5
[[variant]]
name = "ours"
[[variant]]
name = "one try"
policy = "one_try"
[[variant]]
name = "more"
set = {"load.rate" = 40}
`

// TestPlanResumesAfterInterruption checks that an interrupted plan resumes where it stopped, even if the last line of the
// results file is incomplete, and that it gives the same results as a plan without interruption.
func TestPlanResumesAfterInterruption(t *testing.T) {
	dir := writePlan(t, plan)
	out := filepath.Join(dir, "out.jsonl")
	p, jobs, err := Load(filepath.Join(dir, "plan.toml"), scenario.Find)
	if err != nil {
		t.Fatal(err)
	}
	if len(jobs) != 15 {
		t.Fatalf("%d jobs, want 15", len(jobs))
	}
	ctx, cancel := context.WithCancel(context.Background())
	runsBefore := 0
	_, err = Run(ctx, p, jobs, Options{Cores: 2, Out: out, Progress: func(done, _ int, _ time.Duration, _ *Result) {
		if runsBefore++; done == 6 {
			cancel()
		}
	}})
	if err == nil {
		t.Fatal("a cancelled plan ended without an error")
	}
	file, err := os.OpenFile(out, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	file.WriteString(`{"scenario":"tiny","va`)
	file.Close()
	runsAfter := 0
	results, err := Run(context.Background(), p, jobs, Options{Cores: 2, Out: out, Progress: func(int, int, time.Duration, *Result) { runsAfter++ }})
	if err != nil || len(results) != 15 || runsBefore+runsAfter != 15 {
		t.Fatalf("%d results, %d runs before the interruption and %d after it: %v", len(results), runsBefore, runsAfter, err)
	}
	uninterrupted, err := Run(context.Background(), p, jobs, Options{Cores: 1, Out: filepath.Join(dir, "whole.jsonl")})
	if err != nil {
		t.Fatal(err)
	}
	for i, r := range results {
		if r.Error != "" || r.Figure != uninterrupted[i].Figure || r.Variant != uninterrupted[i].Variant || r.Seed != uninterrupted[i].Seed {
			t.Errorf("result %+v, without interruption %+v", r, uninterrupted[i])
		}
	}
	rows := Compare(results, p.Base)
	if len(rows) != 2 || rows[0].Variant != "one try" || rows[0].Verdict() != "worse" {
		t.Errorf("comparison: %+v", rows)
	}
}

// Each invalid plan is rejected with an error that names the line and the field.
func ExampleLoad() {
	dir, _ := os.MkdirTemp("", "plan")
	defer os.RemoveAll(dir)
	for _, text := range []string{
		"scenarios = [\"nowhere\"]\n[[variant]]\nname = \"a\"\n",
		"scenarios = [\"calm\"]\nseeds = -1\n[[variant]]\nname = \"a\"\n",
		"scenarios = [\"calm\"]\n[[variant]]\nname = \"a\"\npolicy = \"none\"\n",
		"scenarios = [\"calm\"]\n[[variant]]\nname = \"a\"\n[[variant]]\nname = \"a\"\n",
		"scenarios = [\"calm\"]\nbase = \"b\"\n[[variant]]\nname = \"a\"\n",
		"scenarios = [\"calm\"]\n[[variant]]\nname = \"a\"\nset = {\"sender.slot\" = 3}\n",
		"scenarios = [\"calm\"]\nvariants = 3\n",
	} {
		path := filepath.Join(dir, "plan.toml")
		os.WriteFile(path, []byte(text), 0o644)
		_, _, err := Load(path, scenario.Find)
		e, ok := err.(*tomlfile.Error)
		if !ok {
			fmt.Println("not a tomlfile.Error:", err)
			continue
		}
		fmt.Printf("line %d, field %s: %.48s\n", e.Line, e.Field, e.Reason)
	}
	// Output:
	// line 1, field scenarios: scenario 0: unknown scenario "nowhere"; the buil
	// line 2, field seeds: -1 is not within 1 and 10000
	// line 4, field variant[0].policy: unknown policy "none"
	// line 5, field variant[1].name: another variant is already named "a"
	// line 2, field base: there is no variant "b"
	// line 4, field variant[0].set: "sender.slot": there is no such field
	// line 2, field variants: there is no such field
}

// Differences are computed over pairs of runs with the same seed, and void runs are left out. In the row for all scenarios
// each scenario has the same weight.
func ExampleCompare() {
	var results []*Result
	add := func(scenario, variant string, seed uint64, figure float64, void string) {
		r := &Result{Job: Job{Scenario: scenario, Size: 1, Variant: variant, Seed: seed}, Figure: figure, Void: void}
		if figure == 0 {
			r.Rules = map[referee.Rule]int{referee.Waits: 1}
		}
		results = append(results, r)
	}
	for seed := range uint64(6) {
		offset := float64(seed) / 10 // common to both runs of a pair
		add("a", "base", seed, 0.3+offset, "")
		add("a", "up", seed, 0.35+offset+float64(seed%2)/100, "")
		add("b", "base", seed, 0.8, "")
		add("b", "up", seed, 0.8+float64(int(seed%3)-1)/10, "")
	}
	add("a", "up", 9, 0.9, "")
	add("b", "base", 10, 0.9, "late")
	add("b", "up", 10, 0.1, "")
	for _, d := range Compare(results, "base") {
		fmt.Printf("%q %s: %d pairs, %+.3f in %+.3f to %+.3f, %s\n", d.Scenario, d.Variant, d.Pairs, d.Mean, d.Low, d.High, d.Verdict())
	}
	// Output:
	// "a" up: 6 pairs, +0.055 in +0.049 to +0.061, better
	// "b" up: 6 pairs, +0.000 in -0.094 to +0.094, not significant
	// "" up: 12 pairs, +0.027 in -0.013 to +0.068, not significant
}
