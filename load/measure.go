package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency holds percentiles in milliseconds.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// newHistogram counts durations from 1 µs to 10 min with three digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values above the range count as its end.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), (10 * time.Minute).Microseconds()))
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	if h.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{P50: at(50), P90: at(90), P95: at(95), P99: at(99), Max: at(100)}
}

// Group is how the requests of one kind or organisation fared. Cancelled ones
// count nowhere else.
type Group struct {
	Name      string `json:"name"`
	Offered   int    `json:"offered"`
	Whole     int    `json:"whole"`
	Good      int    `json:"good"`
	Cancelled int    `json:"cancelled"`
	// InRate counts requests within the organisation's rate, RefusedInRate those
	// of them that were refused or failed in the end.
	InRate        int `json:"in_rate"`
	RefusedInRate int `json:"refused_in_rate"`
	GoodInRate    int `json:"good_in_rate"`
	// FirstByte counts from the scheduled arrival, PerToken is the mean time
	// between tokens of each streamed answer.
	FirstByte Latency `json:"first_byte"`
	PerToken  Latency `json:"per_token"`
	// FirstByteCurve holds the first-byte latency at curveQuantiles.
	FirstByteCurve []float64 `json:"first_byte_curve_ms"`
}

// GoodShare is the share of the requests within rate that were answered within
// both targets; 1 when there were none.
func (g *Group) GoodShare() float64 { return share(g.GoodInRate, g.InRate) }

func share(part, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(part) / float64(all)
}

// curveQuantiles are the points of the latency plots.
var curveQuantiles = []float64{10, 25, 50, 75, 90, 95, 99, 99.9, 100}

type grouping struct {
	group               Group
	firstByte, perToken *hdrhistogram.Histogram
}

func (g *grouping) add(r *Result, inRate bool) {
	if r.cancelled() {
		g.group.Cancelled++
		return
	}
	whole, good := r.final().Outcome == OutcomeWhole, r.good()
	g.group.Offered++
	g.group.Whole += count(whole)
	g.group.Good += count(good)
	g.group.InRate += count(inRate)
	g.group.GoodInRate += count(inRate && good)
	g.group.RefusedInRate += count(inRate && !whole)
	if !whole {
		return
	}
	record(g.firstByte, r.firstByte())
	if perToken := r.perToken(); perToken > 0 {
		record(g.perToken, perToken)
	}
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// groups sorts results by a name into groups, in order of name.
func groups(results []*Result, within map[*Result]bool, nameOf func(*Result) string) []Group {
	byName := map[string]*grouping{}
	for _, r := range results {
		name := nameOf(r)
		if byName[name] == nil {
			byName[name] = &grouping{group: Group{Name: name}, firstByte: newHistogram(), perToken: newHistogram()}
		}
		byName[name].add(r, within[r])
	}
	var out []Group
	for _, g := range byName {
		g.group.FirstByte, g.group.PerToken = latencyOf(g.firstByte), latencyOf(g.perToken)
		for _, q := range curveQuantiles {
			g.group.FirstByteCurve = append(g.group.FirstByteCurve, float64(g.firstByte.ValueAtQuantile(q))/1000)
		}
		out = append(out, g.group)
	}
	slices.SortFunc(out, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Slice is one part of the run, by scheduled arrival.
type Slice struct {
	Offered int `json:"offered"`
	Good    int `json:"good"`
	// Refused counts refusals and failures of attempts by reason.
	Refused map[string]int `json:"refused"`
	// RefusedInRate counts tasks without an answer that were within rate.
	RefusedInRate int `json:"refused_in_rate"`
	// WorstShare is the good share of the worst-served organisation.
	WorstShare float64 `json:"worst_share"`
	// FirstByteP95 is over all kinds, in milliseconds.
	FirstByteP95 float64 `json:"first_byte_p95_ms"`
}

// cut divides the run into n parts of equal length by scheduled arrival.
func cut(results []*Result, within map[*Result]bool, duration time.Duration, n int) []Slice {
	parts := make([][]*Result, n)
	for _, r := range results {
		i := min(int(int64(r.Task.At)*int64(n)/int64(duration)), n-1)
		parts[i] = append(parts[i], r)
	}
	out := make([]Slice, 0, n)
	for _, part := range parts {
		out = append(out, sliceOf(part, within))
	}
	return out
}

func sliceOf(part []*Result, within map[*Result]bool) Slice {
	s := Slice{Refused: map[string]int{}, WorstShare: 1}
	all := grouping{firstByte: newHistogram(), perToken: newHistogram()}
	for _, r := range part {
		all.add(r, within[r])
		for _, a := range r.Attempts {
			if reason := a.reason(); reason != "" {
				s.Refused[reason]++
			}
		}
	}
	s.Offered, s.Good, s.RefusedInRate = all.group.Offered, all.group.Good, all.group.RefusedInRate
	s.FirstByteP95 = latencyOf(all.firstByte).P95
	for _, g := range groups(part, within, organisationOf) {
		s.WorstShare = min(s.WorstShare, g.GoodShare())
	}
	return s
}

// reason names why an attempt got no whole answer; empty for one that did and for
// one that was cancelled by plan.
func (a *Attempt) reason() string {
	switch a.Outcome {
	case OutcomeWhole, OutcomeCancelled:
		return ""
	case OutcomeRefused, OutcomeFailed:
		return a.Reason
	default:
		return string(a.Outcome)
	}
}

func organisationOf(r *Result) string { return r.Task.Organisation.Name }

func kindOf(r *Result) string { return r.Task.Kind.Name }
