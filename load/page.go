package load

import (
	"bytes"
	"html/template"
	"maps"
	"os"
	"slices"
	"strconv"

	"github.com/samber/oops"
)

// page is the template of the HTML report, which refers to no other files.
var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Report.Scenario}} {{.Report.Run}}</title>
<style>body{font:14px sans-serif;margin:2em;max-width:70em}svg text{font:11px sans-serif}
pre{font:12px monospace;overflow-x:auto}.violations{color:#a00}</style></head><body>
<h1>{{.Report.Scenario}}, run {{.Report.Run}}</h1>
{{if .Report.Violations}}<p class="violations">{{len .Report.Violations}} violations of guarantees, listed below.</p>
{{else}}<p>No guarantee violated.</p>{{end}}
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
<h2>Figures</h2><pre>{{.Table}}</pre>
</body></html>
`))

type renderedPlot struct {
	Title string
	SVG   template.HTML
}

// WriteHTML writes the report to a self-contained HTML file.
func (r *Report) WriteHTML(path string) error {
	var table, out bytes.Buffer
	if err := r.WriteTable(&table); err != nil {
		return oops.In("load").Wrap(err)
	}
	var plots []renderedPlot
	for _, p := range []*plot{r.latencyPlot(), r.goodputPlot(), r.refusalPlot(), r.worstOrganisationPlot()} {
		// svg escapes all text it includes, here and below, so its output is safe HTML.
		plots = append(plots, renderedPlot{p.title, template.HTML(p.svg())})
	}
	for _, b := range []*bars{r.shareBars(), r.wasteBars()} {
		plots = append(plots, renderedPlot{b.title, template.HTML(b.svg())})
	}
	err := page.Execute(&out, struct {
		Report *Report
		Plots  []renderedPlot
		Table  string
	}{r, plots, table.String()})
	if err != nil {
		return oops.In("load").Wrap(err)
	}
	return oops.In("load").Wrap(os.WriteFile(path, out.Bytes(), 0o644))
}

func (r *Report) latencyPlot() *plot {
	p := &plot{title: "First token or byte, by percentile", unit: "ms, logarithmic", logarithmic: true}
	for _, q := range curvePercentiles {
		p.labels = append(p.labels, strconv.FormatFloat(q, 'g', -1, 64))
	}
	for _, k := range r.Kinds {
		p.lines = append(p.lines, line{k.Name, k.FirstByteCurve})
	}
	return p
}

func (r *Report) plotBySecond(title, unit string) *plot {
	p := &plot{title: title, unit: unit}
	for i := range r.BySecond {
		p.labels = append(p.labels, strconv.Itoa(i)+" s")
	}
	return p
}

func (r *Report) goodputPlot() *plot {
	p := r.plotBySecond("Requests by second of arrival", "requests")
	offered, good := line{name: "offered"}, line{name: "within both targets"}
	for _, s := range r.BySecond {
		offered.values = append(offered.values, float64(s.Offered))
		good.values = append(good.values, float64(s.Good))
	}
	p.lines = []line{offered, good}
	return p
}

func (r *Report) refusalPlot() *plot {
	p := r.plotBySecond("Attempts without an answer, by reason and second", "attempts")
	for _, reason := range slices.Sorted(maps.Keys(r.Refused)) {
		l := line{name: reason}
		for _, s := range r.BySecond {
			l.values = append(l.values, float64(s.Refused[reason]))
		}
		p.lines = append(p.lines, l)
	}
	return p
}

// worstOrganisationPlot shows the share of the worst-served organisation for each tenth of the run.
func (r *Report) worstOrganisationPlot() *plot {
	p := &plot{title: "Worst-served organisation, by tenth of the run", unit: "percent of its requests within rate"}
	l := line{name: "worst share"}
	for i, s := range r.Tenths {
		p.labels = append(p.labels, strconv.Itoa(i+1))
		l.values = append(l.values, 100*s.WorstShare)
	}
	p.lines = []line{l}
	return p
}

func (r *Report) shareBars() *bars {
	b := &bars{title: "Answered within both targets, of the requests within rate (percent)"}
	for _, o := range r.Organisations {
		b.add(o.Name, 100*o.GoodShare())
	}
	return b
}

func (r *Report) wasteBars() *bars {
	b := &bars{title: "Prefill work (tokens)"}
	b.add("done", float64(r.PrefillTokens))
	b.add("wasted", float64(r.WastedPrefillTokens))
	return b
}
