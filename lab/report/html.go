package report

// This file writes the HTML page. The template refers to fields of verdicts, results and the types below by their names. The
// page must not load anything and must not need a script.

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"strings"

	"flaxcove/lab/experiment"
	"flaxcove/lab/referee"
)

// Page is the content of a report. Any field may be empty.
type Page struct {
	Title    string
	Verdicts []*referee.Verdict
	Results  []*experiment.Result
	Base     string // the variant with which the others are compared; "" for the variant of the first result
}

// runSection is the section of one run.
type runSection struct {
	V              *referee.Verdict
	Rates, Latency template.HTML
	Returns        template.HTML
	BrokenRules    string // "" if no rule was broken
	Rows           []classRow
}

// classRow is the table row of one class in a run.
type classRow struct {
	referee.Class
	ValueShare float64 // value delivered, as a share of the value requested
}

// variantSection is the section that compares one variant with the base, at one size.
type variantSection struct {
	Variant string
	Size    float64
	Plot    template.HTML
	Rows    []experiment.Difference
}

// pageTemplate is the template of the page. Its functions are f3 (three decimal places), d3 (the same, with a sign) and f1 (one
// decimal place).
var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
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
<p class="dim">Runs are compared in pairs with the same seed. The interval is the 95% confidence interval of the mean difference; a difference whose interval includes 0 is not significant.</p>
{{range .Variants}}<h3>{{.Variant}}{{if ne .Size 1.0}}, size {{.Size}}{{end}}</h3><div class="plot">{{.Plot}}</div>
<div class="wide"><table><tr><th>scenario</th><th>pairs</th><th>base</th><th>difference</th><th>95% interval</th><th></th></tr>
{{range .Rows}}<tr><td>{{if .Scenario}}{{.Scenario}}{{else}}all scenarios{{end}}</td><td>{{.Pairs}}</td><td>{{f3 .Base}}</td><td>{{d3 .Mean}}</td>
<td>{{if .HasInterval}}{{d3 .Low}} to {{d3 .High}}{{end}}</td><td>{{.Verdict}}{{if .Broken}}, <span class="bad">rules broken in {{.Broken}}</span>{{end}}</td></tr>{{end}}</table></div>{{end}}{{end}}
{{if .Means}}<h2>Means</h2>{{if .Sizes}}<h3>Figure against size</h3><div class="plot">{{.Sizes}}</div>{{end}}
<div class="wide"><table><tr><th>scenario</th><th>size</th><th>variant</th><th>runs</th><th>figure</th><th>service</th><th>rules broken in</th><th>wall time s</th><th>memory MB</th></tr>
{{range .Means}}<tr><td>{{.Scenario}}</td><td>{{.Size}}</td><td>{{.Variant}}</td><td>{{.Runs}}</td><td>{{f3 .Figure}}</td><td>{{f3 .Service}}</td>
<td>{{if .Broken}}<span class="bad">{{.Broken}}</span>{{else}}0{{end}}</td><td>{{f1 .WallS}}</td><td>{{f1 .MemoryMB}}</td></tr>{{end}}</table></div>{{end}}
{{if .LeftOut}}<p class="bad">{{.LeftOut}} run(s) are left out because they are void or failed.</p>{{end}}
{{range .Runs}}<h2>{{.V.Scenario}} <span class="dim">{{.V.Engine}}, seed {{.V.Seed}}</span></h2>
<p>Figure <b>{{f3 .V.Figure}}</b>; {{if .V.Void}}<span class="bad">void: {{.V.Void}}</span>{{else if .BrokenRules}}<span class="bad">{{.BrokenRules}}</span>{{else}}no rule broken{{end}}.
Messages: {{.V.Asked}} requested, {{.V.Delivered}} delivered, {{.V.InTime}} of these within the latency objective; {{.V.Shed}} rejected, {{.V.HandedBack}} shed after acceptance, {{.V.Failed}} failed. Calls: {{.V.Calls}}, {{.V.Refusals}} rejected, {{.V.FailedCalls}} failed.</p>
<h3>Outcomes per second</h3><div class="plot">{{.Rates}}</div><h3>Time from request to delivery</h3><div class="plot">{{.Latency}}</div>
{{if .Returns}}<h3>Load on endpoints after an outage</h3><div class="plot">{{.Returns}}</div>{{end}}
{{if .V.Faults}}<p class="dim">Shaded: {{range $i, $t := .V.Faults}}{{if $i}}, {{end}}{{$t.Kind}} from {{f1 $t.From}} to {{f1 $t.To}} s ({{$t.Parts}} affected){{end}}.</p>{{end}}
<div class="wide"><table><tr><th>class</th><th>requested</th><th>delivered</th><th>value share</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Asked}}</td><td>{{.Delivered}}</td><td>{{f3 .ValueShare}}</td><td>{{f1 .Delivery.P50}}</td><td>{{f1 .Delivery.P99}}</td><td>{{f1 .Delivery.P999}}</td></tr>{{end}}</table></div>
{{if .V.Violations}}<h3>Broken rules</h3><ul>{{range .V.Violations}}<li>{{.Rule}} at {{f3 .At}} s: {{.What}}</li>{{end}}</ul>{{end}}
{{end}}</body></html>
`))

// pageData is the data of the template.
type pageData struct {
	Title, Base string
	Variants    []variantSection
	Means       []experiment.Mean
	Sizes       template.HTML
	Runs        []runSection
	LeftOut     int // results of void or failed runs, which no table includes
}

// HTML writes a page as one self-contained HTML document.
func HTML(out io.Writer, p *Page) error {
	v := pageData{Title: p.Title, Base: p.Base}
	if err := v.addResults(p.Results); err != nil {
		return err
	}
	for _, verdict := range p.Verdicts {
		section, err := newRunSection(verdict)
		if err != nil {
			return err
		}
		v.Runs = append(v.Runs, section)
	}
	return pageTemplate.Execute(out, v)
}

// addResults adds the sections of an experiment's results: the differences from the base, and the means.
func (v *pageData) addResults(results []*experiment.Result) error {
	if len(results) == 0 {
		return nil
	}
	for _, r := range results {
		if r.Void != "" || r.Error != "" {
			v.LeftOut++
		}
	}
	v.Base = cmp.Or(v.Base, results[0].Variant)
	for _, d := range experiment.Compare(results, v.Base) {
		section := v.variantSection(d.Variant, d.Size)
		section.Rows = append(section.Rows, d)
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

// variantSection returns the section of a variant at a size, and adds it if there is none yet.
func (v *pageData) variantSection(name string, size float64) *variantSection {
	for i := range v.Variants {
		if section := &v.Variants[i]; section.Variant == name && section.Size == size {
			return section
		}
	}
	v.Variants = append(v.Variants, variantSection{Variant: name, Size: size})
	return &v.Variants[len(v.Variants)-1]
}

// newRunSection returns the section of one run, with its plots.
func newRunSection(verdict *referee.Verdict) (runSection, error) {
	rates, err := ratesPlot(verdict)
	if err != nil {
		return runSection{}, err
	}
	latency, err := latencyPlot(verdict)
	if err != nil {
		return runSection{}, err
	}
	returns, err := returnsPlot(verdict)
	if err != nil {
		return runSection{}, err
	}
	section := runSection{
		V:           verdict,
		Rates:       template.HTML(rates),
		Latency:     template.HTML(latency),
		Returns:     template.HTML(returns),
		BrokenRules: brokenRules(verdict),
	}
	for _, class := range verdict.Classes {
		row := classRow{Class: class}
		if class.ValueAsked > 0 {
			row.ValueShare = class.Value / class.ValueAsked
		}
		section.Rows = append(section.Rows, row)
	}
	return section, nil
}

// brokenRules lists the rules that were broken, each with the number of violations. It returns "" if none was broken.
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
