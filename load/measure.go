package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency holds latency percentiles in milliseconds.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// newHistogram returns a histogram of durations from 1 µs to 10 min with three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the range are counted at its nearest end.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), (10 * time.Minute).Microseconds()))
}

func latencyPercentiles(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	if h.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{P50: at(50), P90: at(90), P95: at(95), P99: at(99), Max: at(100)}
}

// Group holds the results of the requests of one kind or organisation. Cancelled requests are
// counted in Cancelled only.
type Group struct {
	Name      string `json:"name"`
	Offered   int    `json:"offered"`
	Complete  int    `json:"whole"`
	Good      int    `json:"good"`
	Cancelled int    `json:"cancelled"`
	// WithinRate counts requests within the organisation's rate limit, RefusedWithinRate those of
	// them without a complete answer, GoodWithinRate those answered within both latency targets.
	WithinRate        int `json:"in_rate"`
	RefusedWithinRate int `json:"refused_in_rate"`
	GoodWithinRate    int `json:"good_in_rate"`
	// FirstByte is measured from the scheduled arrival; PerToken is over the mean time between
	// tokens of each streamed answer.
	FirstByte Latency `json:"first_byte"`
	PerToken  Latency `json:"per_token"`
	// FirstByteCurve holds the first-byte latency at curvePercentiles.
	FirstByteCurve []float64 `json:"first_byte_curve_ms"`
}

// GoodShare is the fraction of the requests within the rate limit that were answered within both
// latency targets; 1 if there were none.
func (g *Group) GoodShare() float64 { return ratio(g.GoodWithinRate, g.WithinRate) }

func ratio(part, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(part) / float64(all)
}

// curvePercentiles are the percentiles shown in the latency plots.
var curvePercentiles = []float64{10, 25, 50, 75, 90, 95, 99, 99.9, 100}

type groupBuilder struct {
	group               Group
	firstByte, perToken *hdrhistogram.Histogram
}

func (g *groupBuilder) add(r *Result, withinRate bool) {
	if r.cancelled() {
		g.group.Cancelled++
		return
	}
	complete, good := r.final().Outcome == OutcomeComplete, r.meetsTargets()
	g.group.Offered++
	g.group.Complete += boolToInt(complete)
	g.group.Good += boolToInt(good)
	g.group.WithinRate += boolToInt(withinRate)
	g.group.GoodWithinRate += boolToInt(withinRate && good)
	g.group.RefusedWithinRate += boolToInt(withinRate && !complete)
	if !complete {
		return
	}
	recordDuration(g.firstByte, r.firstByteLatency())
	if perToken := r.meanTokenInterval(); perToken > 0 {
		recordDuration(g.perToken, perToken)
	}
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// groupResults groups results by a name and returns the groups ordered by name.
func groupResults(results []*Result, within map[*Result]bool, nameOf func(*Result) string) []Group {
	byName := map[string]*groupBuilder{}
	for _, r := range results {
		name := nameOf(r)
		if byName[name] == nil {
			byName[name] = &groupBuilder{group: Group{Name: name}, firstByte: newHistogram(), perToken: newHistogram()}
		}
		byName[name].add(r, within[r])
	}
	var out []Group
	for _, g := range byName {
		g.group.FirstByte, g.group.PerToken = latencyPercentiles(g.firstByte), latencyPercentiles(g.perToken)
		for _, q := range curvePercentiles {
			g.group.FirstByteCurve = append(g.group.FirstByteCurve, float64(g.firstByte.ValueAtQuantile(q))/1000)
		}
		out = append(out, g.group)
	}
	slices.SortFunc(out, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Interval holds the results of the requests whose scheduled arrival is in one part of the run.
type Interval struct {
	Offered int `json:"offered"`
	Good    int `json:"good"`
	// Refused counts attempts without a complete answer by reason.
	Refused map[string]int `json:"refused"`
	// RefusedWithinRate counts tasks within the rate limit without a complete answer.
	RefusedWithinRate int `json:"refused_in_rate"`
	// WorstShare is the lowest GoodShare of any organisation.
	WorstShare float64 `json:"worst_share"`
	// FirstByteP95 is the 95th percentile over all kinds, in milliseconds.
	FirstByteP95 float64 `json:"first_byte_p95_ms"`
}

// splitIntervals divides the run into n parts of equal duration by scheduled arrival.
func splitIntervals(results []*Result, within map[*Result]bool, duration time.Duration, n int) []Interval {
	parts := make([][]*Result, n)
	for _, r := range results {
		i := min(int(int64(r.Task.Arrival)*int64(n)/int64(duration)), n-1)
		parts[i] = append(parts[i], r)
	}
	out := make([]Interval, 0, n)
	for _, part := range parts {
		out = append(out, newInterval(part, within))
	}
	return out
}

func newInterval(part []*Result, within map[*Result]bool) Interval {
	s := Interval{Refused: map[string]int{}, WorstShare: 1}
	all := groupBuilder{firstByte: newHistogram(), perToken: newHistogram()}
	for _, r := range part {
		all.add(r, within[r])
		for _, a := range r.Attempts {
			if reason := a.reason(); reason != "" {
				s.Refused[reason]++
			}
		}
	}
	s.Offered, s.Good, s.RefusedWithinRate = all.group.Offered, all.group.Good, all.group.RefusedWithinRate
	s.FirstByteP95 = latencyPercentiles(all.firstByte).P95
	for _, g := range groupResults(part, within, organisationName) {
		s.WorstShare = min(s.WorstShare, g.GoodShare())
	}
	return s
}

// reason returns why an attempt got no complete answer. It is empty for an attempt that got one and
// for one that was cancelled on schedule.
func (a *Attempt) reason() string {
	switch a.Outcome {
	case OutcomeComplete, OutcomeCancelled:
		return ""
	case OutcomeRefused, OutcomeFailed:
		return a.Reason
	default:
		return string(a.Outcome)
	}
}

func organisationName(r *Result) string { return r.Task.Organisation.Name }

func kindName(r *Result) string { return r.Task.Kind.Name }
