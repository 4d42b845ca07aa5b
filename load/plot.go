package load

import (
	"fmt"
	"html"
	"math"
	"strings"
)

// Size of a plot and its margins, in pixels.
const (
	plotWidth  = 720.0
	plotHeight = 260.0
	plotLeft   = 60.0
	plotRight  = 170.0
	plotTop    = 20.0
	plotBottom = 40.0
	gridLines  = 4
)

// colours is the palette of Okabe and Ito, which is distinguishable with colour vision deficiency.
var colours = []string{"#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#56B4E9", "#000000", "#999999"}

// line is one curve of a plot; the x coordinate of a value is its index.
type line struct {
	name   string
	values []float64
}

// plot is a line plot with a label for each x coordinate.
type plot struct {
	title, unit string
	labels      []string
	lines       []line
	logarithmic bool
}

// LinePlot returns a line plot as an SVG image. values has a row for each name, with a value for
// each label.
func LinePlot(title, unit string, labels, names []string, values [][]float64) string {
	p := &plot{title: title, unit: unit, labels: labels}
	for i, name := range names {
		p.lines = append(p.lines, line{name: name, values: values[i]})
	}
	return p.svg()
}

// svg returns the plot as an SVG image.
func (p *plot) svg() string {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %.0f %.0f" width="%.0f" role="img"><title>%s</title>`,
		plotWidth, plotHeight, plotWidth, html.EscapeString(p.title))
	p.drawGrid(&b)
	for i, l := range p.lines {
		p.drawLine(&b, l, colours[i%len(colours)], i)
	}
	b.WriteString(`</svg>`)
	return b.String()
}

func (p *plot) maxValue() float64 {
	highest := 0.0
	for _, l := range p.lines {
		for _, v := range l.values {
			highest = max(highest, v)
		}
	}
	if highest == 0 {
		return 1
	}
	return highest
}

func (p *plot) x(index int) float64 {
	steps := max(1, len(p.labels)-1)
	return plotLeft + (plotWidth-plotLeft-plotRight)*float64(index)/float64(steps)
}

func (p *plot) y(value float64) float64 {
	fraction := value / p.maxValue()
	if p.logarithmic {
		fraction = math.Log1p(value) / math.Log1p(p.maxValue())
	}
	return plotHeight - plotBottom - (plotHeight-plotTop-plotBottom)*fraction
}

// valueAt returns the value at a fraction of the y axis.
func (p *plot) valueAt(fraction float64) float64 {
	if p.logarithmic {
		return math.Expm1(fraction * math.Log1p(p.maxValue()))
	}
	return fraction * p.maxValue()
}

func (p *plot) drawGrid(b *strings.Builder) {
	for i := range gridLines + 1 {
		value := p.valueAt(float64(i) / gridLines)
		y := p.y(value)
		fmt.Fprintf(b, `<line x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f" stroke="#ddd"/>`, plotLeft, plotWidth-plotRight, y, y)
		fmt.Fprintf(b, `<text x="%.1f" y="%.1f" text-anchor="end">%.4g</text>`, plotLeft-6, y+4, value)
	}
	labelStep := max(1, len(p.labels)/10)
	for i, label := range p.labels {
		if i%labelStep == 0 {
			fmt.Fprintf(b, `<text x="%.1f" y="%.1f" text-anchor="middle">%s</text>`, p.x(i), plotHeight-plotBottom+16, html.EscapeString(label))
		}
	}
	fmt.Fprintf(b, `<text x="%.1f" y="%.1f">%s</text>`, plotLeft, plotTop-8, html.EscapeString(p.unit))
}

func (p *plot) drawLine(b *strings.Builder, l line, colour string, index int) {
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="1.6" points="`, colour)
	for i, v := range l.values {
		fmt.Fprintf(b, "%.1f,%.1f ", p.x(i), p.y(v))
	}
	b.WriteString(`"/>`)
	y := plotTop + 16*float64(index)
	fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="10" height="10" fill="%s"/>`, plotWidth-plotRight+12, y, colour)
	fmt.Fprintf(b, `<text x="%.1f" y="%.1f">%s</text>`, plotWidth-plotRight+27, y+9, html.EscapeString(l.name))
}

// barPitch is the height of a bar and its gap, in pixels.
const barPitch = 24.0

// bars is a horizontal bar chart.
type bars struct {
	title  string
	names  []string
	values []float64
}

func (b *bars) add(name string, value float64) {
	b.names = append(b.names, name)
	b.values = append(b.values, value)
}

// svg returns the chart as an SVG image.
func (b *bars) svg() string {
	var out strings.Builder
	fmt.Fprintf(&out, `<svg viewBox="0 0 %.0f %.0f" width="%.0f" role="img"><title>%s</title>`,
		plotWidth, barPitch*float64(len(b.names)), plotWidth, html.EscapeString(b.title))
	highest := 1e-9
	for _, v := range b.values {
		highest = max(highest, v)
	}
	for i, name := range b.names {
		y := barPitch * float64(i)
		length := (plotWidth - 2*plotRight) * b.values[i] / highest
		fmt.Fprintf(&out, `<text x="%.1f" y="%.1f" text-anchor="end">%s</text>`, plotRight-8, y+15, html.EscapeString(name))
		fmt.Fprintf(&out, `<rect x="%.1f" y="%.1f" width="%.1f" height="16" fill="%s"/>`, plotRight, y+3, length, colours[0])
		fmt.Fprintf(&out, `<text x="%.1f" y="%.1f">%.5g</text>`, plotRight+length+6, y+15, b.values[i])
	}
	out.WriteString(`</svg>`)
	return out.String()
}
