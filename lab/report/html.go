package report

// This file has the page and its template, which names fields of verdicts. The page must not load anything, nor need a
// script.

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"strings"

	"flaxcove/lab/experiment"
	"flaxcove/lab/referee"
)

// Page is what a report shows. Any part may be empty.
type Page struct {
	Title    string
	Verdicts []*referee.Verdict
	Results  []*experiment.Result
	Base     string // the variant that others are compared with
}

// runPart is one run.
type runPart struct {
	V              *referee.Verdict
	Rates, Latency template.HTML
	Returns        template.HTML
	BrokenRules    string
	Rows           []classRow
}

// classRow is one class of a run.
type classRow struct {
	referee.Class
	Share float64
}

// variantPart is one variant beside the base, at one size.
type variantPart struct {
	Variant string
	Size    float64
	Plot    template.HTML
	Rows    []experiment.Difference
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"f3": func(v float64) string { return fmt.Sprintf("%.3f", v) },
	"d3": func(v float64) string { return fmt.Sprintf("%+.3f", v) },
	"f1": func(v float64) string { return fmt.Sprintf("%.1f", v) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">
<title>{{.Title}}</title>
<style>
body { font: 16px/1.45 system-ui, sans-serif; margin: 0 auto; max-width: 60rem; padding: 0 1rem 3rem; color: #1a1a1a; background: #fff }
h1 { font-size: 1.5rem } h2 { font-size: 1.2rem; margin-top: 2.2rem; border-top: 1px solid #ccc; padding-top: 1rem } h3 { font-size: 1rem; margin: 1.2rem 0 .3rem }
svg { width: 100%; min-width: 40rem; height: auto; display: block }
.wide, .plot { overflow-x: auto } table { border-collapse: collapse; font-variant-numeric: tabular-nums }
th, td { text-align: right; padding: .2rem .7rem; border-bottom: 1px solid #ddd; white-space: nowrap } th:first-child, td:first-child { text-align: left; padding-left: 0 }
.bad { color: #a3260c; font-weight: 600 } .dim { color: #555 }
</style></head><body>
<h1>{{.Title}}</h1>
{{if .Variants}}<h2>Differences from {{.Base}}</h2>
<p class="dim">Pairs of runs share a seed. An interval holds the true mean difference with 95% confidence; one that includes 0 tells nothing.</p>
{{range .Variants}}<h3>{{.Variant}}{{if ne .Size 1.0}}, size {{.Size}}{{end}}</h3><div class="plot">{{.Plot}}</div>
<div class="wide"><table><tr><th>scenario</th><th>pairs</th><th>base</th><th>difference</th><th>interval</th><th></th></tr>
{{range .Rows}}<tr><td>{{if .Scenario}}{{.Scenario}}{{else}}all together{{end}}</td><td>{{.Pairs}}</td><td>{{f3 .Base}}</td><td>{{d3 .Mean}}</td>
<td>{{if .Known}}{{d3 .Low}} to {{d3 .High}}{{end}}</td><td>{{.Verdict}}{{if .Broken}}, <span class="bad">rules broken in {{.Broken}}</span>{{end}}</td></tr>{{end}}</table></div>{{end}}{{end}}
{{if .Means}}<h2>Means</h2>{{if .Sizes}}<h3>Figure against size</h3><div class="plot">{{.Sizes}}</div>{{end}}
<div class="wide"><table><tr><th>scenario</th><th>size</th><th>variant</th><th>runs</th><th>figure</th><th>service</th><th>broken</th><th>wall s</th><th>MB</th></tr>
{{range .Means}}<tr><td>{{.Scenario}}</td><td>{{.Size}}</td><td>{{.Variant}}</td><td>{{.Runs}}</td><td>{{f3 .Figure}}</td><td>{{f3 .Service}}</td>
<td>{{if .Broken}}<span class="bad">{{.Broken}}</span>{{else}}0{{end}}</td><td>{{f1 .WallS}}</td><td>{{f1 .MemoryMB}}</td></tr>{{end}}</table></div>{{end}}
{{if .Left}}<p class="bad">{{.Left}} run(s) are left out: void, or not played to their end.</p>{{end}}
{{range .Runs}}<h2>{{.V.Scenario}} <span class="dim">{{.V.Engine}}, seed {{.V.Seed}}</span></h2>
<p>Figure <b>{{f3 .V.Figure}}</b>; {{if .V.Void}}<span class="bad">void: {{.V.Void}}</span>{{else if .BrokenRules}}<span class="bad">{{.BrokenRules}}</span>{{else}}all rules kept{{end}}.
Asked {{.V.Asked}}, delivered {{.V.Delivered}}, of these in contract time {{.V.InTime}}; shed {{.V.Shed}}, handed back {{.V.HandedBack}}, given up {{.V.Failed}}; {{.V.Calls}} calls, {{.V.Refusals}} refused, {{.V.FailedCalls}} failed.</p>
<h3>What became of what was asked</h3><div class="plot">{{.Rates}}</div><h3>Time from first wanted to delivered</h3><div class="plot">{{.Latency}}</div>
{{if .Returns}}<h3>Load on endpoints that came back</h3><div class="plot">{{.Returns}}</div>{{end}}
{{if .V.Faults}}<p class="dim">Shaded: {{range $i, $t := .V.Faults}}{{if $i}}, {{end}}{{$t.Kind}} from {{f1 $t.From}} to {{f1 $t.To}} s ({{$t.Parts}} struck){{end}}.</p>{{end}}
<div class="wide"><table><tr><th>workload</th><th>asked</th><th>delivered</th><th>gain kept</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Asked}}</td><td>{{.Delivered}}</td><td>{{f3 .Share}}</td><td>{{f1 .Delivery.P50}}</td><td>{{f1 .Delivery.P99}}</td><td>{{f1 .Delivery.P999}}</td></tr>{{end}}</table></div>
{{if .V.Violations}}<h3>Broken rules</h3><ul>{{range .V.Violations}}<li>{{.Rule}} at {{f3 .At}} s: {{.What}}</li>{{end}}</ul>{{end}}
{{end}}</body></html>
`))

// view is what the template shows.
type view struct {
	Title, Base string
	Variants    []variantPart
	Means       []experiment.Mean
	Sizes       template.HTML
	Runs        []runPart
	Left        int
}

// HTML writes a page.
func HTML(out io.Writer, p *Page) error {
	v := view{Title: p.Title, Base: p.Base}
	if err := v.addResults(p.Results); err != nil {
		return err
	}
	for _, verdict := range p.Verdicts {
		part, err := runPartOf(verdict)
		if err != nil {
			return err
		}
		v.Runs = append(v.Runs, part)
	}
	return page.Execute(out, v)
}

// addResults adds the parts that an experiment's results give.
func (v *view) addResults(results []*experiment.Result) error {
	if len(results) == 0 {
		return nil
	}
	for _, r := range results {
		if r.Void != "" || r.Error != "" {
			v.Left++
		}
	}
	v.Base = cmp.Or(v.Base, results[0].Variant)
	for _, d := range experiment.Compare(results, v.Base) {
		part := v.variant(d.Variant, d.Size)
		part.Rows = append(part.Rows, d)
	}
	for i := range v.Variants {
		plot, err := differencePlot(v.Variants[i].Rows)
		if err != nil {
			return err
		}
		v.Variants[i].Plot = template.HTML(plot)
	}
	v.Means = experiment.Averages(results)
	plot, err := sizePlot(v.Means)
	v.Sizes = template.HTML(plot)
	return err
}

// variant is the part of a variant at a size, a new one where it is the first time met.
func (v *view) variant(name string, size float64) *variantPart {
	for i := range v.Variants {
		if part := &v.Variants[i]; part.Variant == name && part.Size == size {
			return part
		}
	}
	v.Variants = append(v.Variants, variantPart{Variant: name, Size: size})
	return &v.Variants[len(v.Variants)-1]
}

// runPartOf is what is shown of one run.
func runPartOf(verdict *referee.Verdict) (runPart, error) {
	rates, err := ratesPlot(verdict)
	if err != nil {
		return runPart{}, err
	}
	latency, err := latencyPlot(verdict)
	if err != nil {
		return runPart{}, err
	}
	returns, err := returnsPlot(verdict)
	if err != nil {
		return runPart{}, err
	}
	part := runPart{
		V:           verdict,
		Rates:       template.HTML(rates),
		Latency:     template.HTML(latency),
		Returns:     template.HTML(returns),
		BrokenRules: brokenRules(verdict),
	}
	for _, class := range verdict.Classes {
		row := classRow{Class: class}
		if class.ValueAsked > 0 {
			row.Share = class.Value / class.ValueAsked
		}
		part.Rows = append(part.Rows, row)
	}
	return part, nil
}

// brokenRules names the rules that were broken and how often, "" for none.
func brokenRules(v *referee.Verdict) string {
	var broken []string
	for _, rule := range referee.Rules {
		if n := v.Rules[rule]; n > 0 {
			broken = append(broken, fmt.Sprintf("%s %d", rule, n))
		}
	}
	if len(broken) == 0 {
		return ""
	}
	return "rules broken: " + strings.Join(broken, ", ")
}
