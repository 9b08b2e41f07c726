package report

import (
	"bytes"
	"strings"
	"testing"

	"flaxcove/lab/experiment"
	"flaxcove/lab/referee"
	"flaxcove/lab/scenario"
	"flaxcove/lab/sim"
)

// TestPageIsSelfContained checks that a page loads nothing from outside, and that it shows which runs are void, which rules
// were broken and which differences are not significant. It also checks that Summary lists broken rules.
func TestPageIsSelfContained(t *testing.T) {
	s, err := scenario.Find("crash", "")
	if err != nil {
		t.Fatal(err)
	}
	v, err := sim.Run(sim.Options{Spec: s.Spec, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	broken := *v
	broken.Rules, broken.Figure = map[referee.Rule]int{referee.Waits: 2}, 0
	broken.Violations = []referee.Violation{{Rule: referee.Waits, What: "a <call> left early"}}
	void := *v
	void.Void = "too busy"
	var results []*experiment.Result
	for seed := range uint64(4) {
		for i, variant := range []string{"ours", "other"} {
			for _, size := range []float64{1, 4} {
				results = append(results, &experiment.Result{Job: experiment.Job{Scenario: "crash", Size: size, Variant: variant, Seed: seed},
					Figure: 0.5 + float64(seed)/100 + float64(i)*float64(int(seed%2)*2-1)/50})
			}
		}
	}
	results = append(results, &experiment.Result{Error: "it died"})
	var out bytes.Buffer
	if err := HTML(&out, &Page{Title: "T & T", Verdicts: []*referee.Verdict{v, &broken, &void}, Results: results}); err != nil {
		t.Fatal(err)
	}
	page := out.String()
	for _, must := range []string{"T &amp; T", "rules broken: waits 2", "a &lt;call&gt; left early", "void: too busy", "<td>not significant", "1 run(s) are left out",
		"<svg", "crash from 5.0 to 13.0 s"} {
		if !strings.Contains(page, must) {
			t.Errorf("the page does not contain %q", must)
		}
	}
	for _, never := range []string{"<script", "src=", "@import", "url(http", "<link"} {
		if strings.Contains(page, never) {
			t.Errorf("the page contains %q", never)
		}
	}
	if n := strings.Count(page, "<svg"); n < 10 {
		t.Errorf("%d plots, want at least 10", n)
	}
	var text bytes.Buffer
	if err := Summary(&text, &broken); err != nil || !strings.Contains(text.String(), "waits, 2 times") {
		t.Errorf("%v: %s", err, text.String())
	}
}
