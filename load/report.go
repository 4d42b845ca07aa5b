package load

import (
	"encoding/json"
	"os"
	"time"

	"github.com/samber/oops"
)

// Report is the result of one run.
type Report struct {
	Scenario string  `json:"scenario"`
	Run      string  `json:"run"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	// Tasks counts requests of the mix; Attempts each sending.
	Tasks    int `json:"tasks"`
	Attempts int `json:"attempts"`
	// LateStarts counts tasks that began more than lateAfter after their time, for
	// want of processor time on the side of this tool; a run with many of them
	// measures the tool.
	LateStarts int     `json:"late_starts"`
	LatestMS   float64 `json:"latest_ms"`
	// Goodput is whole answers a second within both latency targets.
	Goodput       float64 `json:"goodput_per_second"`
	Kinds         []Group `json:"kinds"`
	Organisations []Group `json:"organisations"`
	// Worst is the organisation with the lowest good share within its rate.
	Worst      string  `json:"worst_organisation"`
	WorstShare float64 `json:"worst_share"`
	// Refused counts attempts by reason; RefusedInRate tasks without an answer,
	// by the reason of the last attempt, that were within their organisation's rate.
	Refused       map[string]int `json:"refused"`
	RefusedInRate map[string]int `json:"refused_in_rate"`
	// Prefill work at the stand-ins, in tokens.
	PrefillTokens       int `json:"prefill_tokens"`
	WastedPrefillTokens int `json:"wasted_prefill_tokens"`
	WastedPrefills      int `json:"wasted_prefills"`
	// Unchecked lists stand-ins whose counts could not be read; what they ran is
	// not in the checks.
	Unchecked  []string     `json:"unchecked"`
	Processes  []ProcessUse `json:"processes"`
	Violations []Violation  `json:"violations"`
	// BySecond and Tenths cut the run by arrival.
	BySecond []Slice `json:"by_second"`
	Tenths   []Slice `json:"tenths"`

	results []*Result
	within  map[*Result]bool
}

// Answered counts the requests that got a whole answer. A run without one has
// checked nothing, and its lack of broken promises says nothing.
func (r *Report) Answered() int {
	whole := 0
	for _, g := range r.Kinds {
		whole += g.Whole
	}
	return whole
}

// lateAfter is far below the latencies that are measured, which are tens of
// milliseconds and more.
const lateAfter = 5 * time.Millisecond

const tenths = 10

func newReport(s *Scenario, run string, results []*Result, took time.Duration, uses []ProcessUse, evidence Evidence) *Report {
	within := withinRates(s, results)
	report := &Report{
		Scenario: s.Name, Run: run, Seed: s.Seed, Seconds: took.Seconds(), Tasks: len(results),
		Kinds: groups(results, within, kindOf), Organisations: groups(results, within, organisationOf),
		Refused: map[string]int{}, RefusedInRate: map[string]int{}, WorstShare: 1,
		Unchecked: evidence.After.Missing, Processes: uses,
		Violations: Check(s, results, evidence),
		BySecond:   cut(results, within, s.Duration.Duration, max(1, int(s.Duration.Seconds()))),
		Tenths:     cut(results, within, s.Duration.Duration, tenths),
		results:    results, within: within,
	}
	for _, r := range results {
		report.count(r, within[r])
	}
	report.findWorst()
	report.Goodput = float64(report.good()) / s.Duration.Seconds()
	report.countPrefill(evidence)
	return report
}

func withinRates(s *Scenario, results []*Result) map[*Result]bool {
	within := map[*Result]bool{}
	for i := range s.Organisations {
		o := &s.Organisations[i]
		var own []*Result
		for _, r := range results {
			if r.Task.Organisation == o {
				own = append(own, r)
			}
		}
		for r, ok := range withinRate(o, own) {
			within[r] = ok
		}
	}
	return within
}

func (r *Report) count(result *Result, inRate bool) {
	r.Attempts += len(result.Attempts)
	r.LateStarts += count(result.Late > lateAfter)
	r.LatestMS = max(r.LatestMS, float64(result.Late.Microseconds())/1000)
	for _, a := range result.Attempts {
		if reason := a.reason(); reason != "" {
			r.Refused[reason]++
		}
	}
	if reason := result.final().reason(); inRate && reason != "" {
		r.RefusedInRate[reason]++
	}
}

func (r *Report) findWorst() {
	for _, o := range r.Organisations {
		if share := o.GoodShare(); r.Worst == "" || share < r.WorstShare {
			r.Worst, r.WorstShare = o.Name, share
		}
	}
}

func (r *Report) good() int {
	good := 0
	for _, k := range r.Kinds {
		good += k.Good
	}
	return good
}

func (r *Report) countPrefill(e Evidence) {
	tokens, wasted, count := e.After.prefill()
	tokensBefore, wastedBefore, countBefore := e.Before.prefill()
	r.PrefillTokens = tokens - tokensBefore
	r.WastedPrefillTokens = wasted - wastedBefore
	r.WastedPrefills = count - countBefore
}

// WastedShare is the share of the prefill work whose result nobody used.
func (r *Report) WastedShare() float64 {
	if r.PrefillTokens == 0 {
		return 0
	}
	return float64(r.WastedPrefillTokens) / float64(r.PrefillTokens)
}

// WriteJSON writes the report to a file.
func (r *Report) WriteJSON(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return oops.In("load").Wrap(err)
	}
	return oops.In("load").Wrap(os.WriteFile(path, data, 0o644))
}

// ReadReport reads a file that WriteJSON wrote.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("load").Wrap(err)
	}
	r := &Report{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, oops.In("load").With("file", path).Wrap(err)
	}
	return r, nil
}
