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
	// Tasks counts the requests of the mix, Attempts their transmissions.
	Tasks    int `json:"tasks"`
	Attempts int `json:"attempts"`
	// LateStarts counts tasks that started more than lateThreshold after their arrival time because
	// the load generator lacked CPU time; a run with many of them measures the load generator.
	LateStarts      int     `json:"late_starts"`
	MaxStartDelayMS float64 `json:"latest_ms"`
	// Goodput is the rate of complete answers within both latency targets, per second.
	Goodput       float64 `json:"goodput_per_second"`
	Kinds         []Group `json:"kinds"`
	Organisations []Group `json:"organisations"`
	// WorstOrganisation is the organisation with the lowest GoodShare, which is WorstShare.
	WorstOrganisation string  `json:"worst_organisation"`
	WorstShare        float64 `json:"worst_share"`
	// Refused counts attempts without a complete answer by reason; RefusedWithinRate counts tasks
	// without a complete answer that were within their organisation's rate limit, by the reason of
	// the last attempt.
	Refused           map[string]int `json:"refused"`
	RefusedWithinRate map[string]int `json:"refused_in_rate"`
	// PrefillTokens is the prefill work at the stand-ins, WastedPrefillTokens the part whose result
	// was not used, WastedPrefills the number of such prefills.
	PrefillTokens       int `json:"prefill_tokens"`
	WastedPrefillTokens int `json:"wasted_prefill_tokens"`
	WastedPrefills      int `json:"wasted_prefills"`
	// UnreadableStandIns lists the stand-ins whose statistics could not be read; requests that they
	// ran are not verified.
	UnreadableStandIns []string       `json:"unchecked"`
	Processes          []ProcessUsage `json:"processes"`
	Violations         []Violation    `json:"violations"`
	// BySecond and Tenths divide the run by scheduled arrival.
	BySecond []Interval `json:"by_second"`
	Tenths   []Interval `json:"tenths"`

	results []*Result
	within  map[*Result]bool
}

// Answered returns the number of requests with a complete answer. If it is 0, the run has verified
// nothing, and the absence of violations is meaningless.
func (r *Report) Answered() int {
	complete := 0
	for _, g := range r.Kinds {
		complete += g.Complete
	}
	return complete
}

// lateThreshold is far below the measured latencies, which are tens of milliseconds and more.
const lateThreshold = 5 * time.Millisecond

const numTenths = 10

func newReport(s *Scenario, run string, results []*Result, duration time.Duration, usages []ProcessUsage, evidence Evidence) *Report {
	within := withinRateByOrganisation(s, results)
	report := &Report{
		Scenario: s.Name, Run: run, Seed: s.Seed, Seconds: duration.Seconds(), Tasks: len(results),
		Kinds: groupResults(results, within, kindName), Organisations: groupResults(results, within, organisationName),
		Refused: map[string]int{}, RefusedWithinRate: map[string]int{}, WorstShare: 1,
		UnreadableStandIns: evidence.After.Unreachable, Processes: usages,
		Violations: Check(s, results, evidence),
		BySecond:   splitIntervals(results, within, s.Duration.Duration, max(1, int(s.Duration.Seconds()))),
		Tenths:     splitIntervals(results, within, s.Duration.Duration, numTenths),
		results:    results, within: within,
	}
	for _, r := range results {
		report.countResult(r, within[r])
	}
	report.findWorstOrganisation()
	report.Goodput = float64(report.goodCount()) / s.Duration.Seconds()
	report.countPrefill(evidence)
	return report
}

func withinRateByOrganisation(s *Scenario, results []*Result) map[*Result]bool {
	within := map[*Result]bool{}
	for i := range s.Organisations {
		o := &s.Organisations[i]
		var ofOrganisation []*Result
		for _, r := range results {
			if r.Task.Organisation == o {
				ofOrganisation = append(ofOrganisation, r)
			}
		}
		for r, ok := range withinRate(o, ofOrganisation) {
			within[r] = ok
		}
	}
	return within
}

func (r *Report) countResult(result *Result, withinRate bool) {
	r.Attempts += len(result.Attempts)
	r.LateStarts += boolToInt(result.StartDelay > lateThreshold)
	r.MaxStartDelayMS = max(r.MaxStartDelayMS, float64(result.StartDelay.Microseconds())/1000)
	for _, a := range result.Attempts {
		if reason := a.reason(); reason != "" {
			r.Refused[reason]++
		}
	}
	if reason := result.final().reason(); withinRate && reason != "" {
		r.RefusedWithinRate[reason]++
	}
}

func (r *Report) findWorstOrganisation() {
	for _, o := range r.Organisations {
		if share := o.GoodShare(); r.WorstOrganisation == "" || share < r.WorstShare {
			r.WorstOrganisation, r.WorstShare = o.Name, share
		}
	}
}

func (r *Report) goodCount() int {
	good := 0
	for _, k := range r.Kinds {
		good += k.Good
	}
	return good
}

func (r *Report) countPrefill(e Evidence) {
	tokens, wasted, count := e.After.prefillTotals()
	tokensBefore, wastedBefore, countBefore := e.Before.prefillTotals()
	r.PrefillTokens = tokens - tokensBefore
	r.WastedPrefillTokens = wasted - wastedBefore
	r.WastedPrefills = count - countBefore
}

// WastedShare is the fraction of the prefill work whose result was not used.
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

// ReadReport reads a report written by WriteJSON.
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
