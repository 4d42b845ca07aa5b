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

// Comparison compares a metric between two sets of runs, A and B. Each pair is the same tenth of
// the same scenario and seed, so that both sides had the same arrivals.
type Comparison struct {
	Metric string
	// A and B are the means over all tenths.
	A, B float64
	// Pairs counts the tenths in which both values are above zero; the median and quartiles of the
	// ratio B/A are over these.
	Pairs                        int
	Median                       float64
	FirstQuartile, ThirdQuartile float64
	HigherIsBetter               bool
}

// metric is a value of an interval that Compare compares.
type metric struct {
	name           string
	higherIsBetter bool
	value          func(Interval) float64
}

var metrics = []metric{
	{"goodput (answers within targets)", true, func(s Interval) float64 { return float64(s.Good) }},
	{"good share of the worst-served organisation", true, func(s Interval) float64 { return s.WorstShare }},
	{"refused within rate limit", false, func(s Interval) float64 { return float64(s.RefusedWithinRate) }},
	{"first byte, 95th percentile (ms)", false, func(s Interval) float64 { return s.FirstByteP95 }},
}

// Compare pairs the reports of two sets of runs by scenario and seed and compares each metric.
func Compare(a, b []*Report) ([]Comparison, error) {
	matched, err := matchReports(a, b)
	if err != nil {
		return nil, err
	}
	var pairs []intervalPair
	for i, ra := range a {
		for tenth := range ra.Tenths {
			pairs = append(pairs, intervalPair{ra.Tenths[tenth], matched[i].Tenths[tenth]})
		}
	}
	var out []Comparison
	for _, m := range metrics {
		out = append(out, compare(m, pairs))
	}
	return append(out, compareWaste(a, matched)), nil
}

// intervalPair is the same tenth of a run on both sides.
type intervalPair struct{ a, b Interval }

// matchReports returns, for each report in a, the report in b with the same arrivals.
func matchReports(a, b []*Report) ([]*Report, error) {
	var out []*Report
	for _, ra := range a {
		at := slices.IndexFunc(b, func(rb *Report) bool {
			return rb.Scenario == ra.Scenario && rb.Seed == ra.Seed && rb.Tasks == ra.Tasks && len(rb.Tenths) == len(ra.Tenths)
		})
		if at < 0 {
			return nil, oops.In("load").Errorf("the second set has no run of %s with seed %d and %d requests",
				ra.Scenario, ra.Seed, ra.Tasks)
		}
		out = append(out, b[at])
	}
	return out, nil
}

func compare(m metric, pairs []intervalPair) Comparison {
	c := Comparison{Metric: m.name, HigherIsBetter: m.higherIsBetter}
	var ratios []float64
	for _, p := range pairs {
		a, b := m.value(p.a), m.value(p.b)
		c.A += a / float64(len(pairs))
		c.B += b / float64(len(pairs))
		if a > 0 && b > 0 {
			ratios = append(ratios, b/a)
		}
	}
	c.setRatios(ratios)
	return c
}

// compareWaste compares whole runs, as wasted work is counted per run.
func compareWaste(a, b []*Report) Comparison {
	c := Comparison{Metric: "wasted share of prefill work"}
	var ratios []float64
	for i := range a {
		wa, wb := a[i].WastedShare(), b[i].WastedShare()
		c.A += wa / float64(len(a))
		c.B += wb / float64(len(a))
		if wa > 0 && wb > 0 {
			ratios = append(ratios, wb/wa)
		}
	}
	c.setRatios(ratios)
	return c
}

func (c *Comparison) setRatios(ratios []float64) {
	slices.SortFunc(ratios, cmp.Compare)
	c.Pairs = len(ratios)
	c.Median, c.FirstQuartile, c.ThirdQuartile = quantile(ratios, 0.5), quantile(ratios, 0.25), quantile(ratios, 0.75)
}

// quantile interpolates linearly between sorted values; it is NaN if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	at := q * float64(len(sorted)-1)
	low := int(at)
	high := min(low+1, len(sorted)-1)
	return sorted[low] + (at-float64(low))*(sorted[high]-sorted[low])
}

// WriteComparison writes comparisons as a text table.
func WriteComparison(w io.Writer, all []Comparison) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "metric\tA\tB\tB/A median\tquartiles\tpairs\tbetter when\t")
	for _, c := range all {
		better := "lower"
		if c.HigherIsBetter {
			better = "higher"
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f to %.3f\t%d\t%s\t\n", c.Metric, c.A, c.B, c.Median, c.FirstQuartile, c.ThirdQuartile, c.Pairs, better)
	}
	return t.Flush()
}
