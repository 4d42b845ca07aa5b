package load

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/samber/oops"
)

// Comparison is one measure of two sets of runs, B over A. Each pair is the same
// tenth of the same scenario and seed, so that both sides met the same arrivals.
type Comparison struct {
	Measure string
	// A and B are means over all tenths.
	A, B float64
	// Pairs counts the tenths in which both values are above zero; the ratio's
	// median and quartiles are over these.
	Pairs        int
	Median       float64
	Low, High    float64
	HigherBetter bool
}

// measure picks one figure of a tenth.
type measure struct {
	name         string
	higherBetter bool
	of           func(Slice) float64
}

var measures = []measure{
	{"goodput (answers within targets)", true, func(s Slice) float64 { return float64(s.Good) }},
	{"good share of the worst-served organisation", true, func(s Slice) float64 { return s.WorstShare }},
	{"refused though within rate", false, func(s Slice) float64 { return float64(s.RefusedInRate) }},
	{"first byte, 95th percentile (ms)", false, func(s Slice) float64 { return s.FirstByteP95 }},
}

// Compare pairs the reports of two sets of runs by scenario and seed.
func Compare(a, b []*Report) ([]Comparison, error) {
	matched, err := match(a, b)
	if err != nil {
		return nil, err
	}
	var pairs []slicePair
	for i, ra := range a {
		for tenth := range ra.Tenths {
			pairs = append(pairs, slicePair{ra.Tenths[tenth], matched[i].Tenths[tenth]})
		}
	}
	var out []Comparison
	for _, m := range measures {
		out = append(out, compare(m, pairs))
	}
	return append(out, compareWaste(a, matched)), nil
}

// slicePair is the same tenth on both sides.
type slicePair struct{ a, b Slice }

// match returns for each report of a the one of b that met the same arrivals.
func match(a, b []*Report) ([]*Report, error) {
	var out []*Report
	for _, ra := range a {
		at := slices.IndexFunc(b, func(rb *Report) bool {
			return rb.Scenario == ra.Scenario && rb.Seed == ra.Seed && rb.Tasks == ra.Tasks && len(rb.Tenths) == len(ra.Tenths)
		})
		if at < 0 {
			return nil, oops.In("load").Errorf("no run of %s with seed %d and %d requests on the other side",
				ra.Scenario, ra.Seed, ra.Tasks)
		}
		out = append(out, b[at])
	}
	return out, nil
}

func compare(m measure, pairs []slicePair) Comparison {
	c := Comparison{Measure: m.name, HigherBetter: m.higherBetter}
	var ratios []float64
	for _, p := range pairs {
		a, b := m.of(p.a), m.of(p.b)
		c.A += a / float64(len(pairs))
		c.B += b / float64(len(pairs))
		if a > 0 && b > 0 {
			ratios = append(ratios, b/a)
		}
	}
	c.spread(ratios)
	return c
}

// compareWaste pairs whole runs, as waste is counted once a run.
func compareWaste(a, b []*Report) Comparison {
	c := Comparison{Measure: "wasted share of prefill work"}
	var ratios []float64
	for i := range a {
		wa, wb := a[i].WastedShare(), b[i].WastedShare()
		c.A += wa / float64(len(a))
		c.B += wb / float64(len(a))
		if wa > 0 && wb > 0 {
			ratios = append(ratios, wb/wa)
		}
	}
	c.spread(ratios)
	return c
}

func (c *Comparison) spread(ratios []float64) {
	slices.SortFunc(ratios, cmp.Compare)
	c.Pairs = len(ratios)
	c.Median, c.Low, c.High = quantile(ratios, 0.5), quantile(ratios, 0.25), quantile(ratios, 0.75)
}

// quantile interpolates in sorted values; NaN when there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	at := q * float64(len(sorted)-1)
	low := int(at)
	high := min(low+1, len(sorted)-1)
	return sorted[low] + (at-float64(low))*(sorted[high]-sorted[low])
}

// WriteComparison prints comparisons for people.
func WriteComparison(w io.Writer, all []Comparison) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "measure\tA\tB\tB/A median\tquartiles\tpairs\tbetter when\t")
	for _, c := range all {
		better := "lower"
		if c.HigherBetter {
			better = "higher"
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f to %.3f\t%d\t%s\t\n", c.Measure, c.A, c.B, c.Median, c.Low, c.High, c.Pairs, better)
	}
	return t.Flush()
}
