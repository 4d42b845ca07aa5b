package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cairnworks/cairnworks/load"
)

// Report is the result of a run.
type Report struct {
	Seed     uint64    `json:"seed"`
	Seconds  float64   `json:"seconds"`
	Requests int       `json:"requests"`
	Runs     int       `json:"runs"`
	Findings []Finding `json:"findings"`
	Schedule []fault   `json:"schedule"`
	// Statuses counts requests by HTTP status; 0 means no response.
	Statuses map[int]int `json:"statuses"`
	// Good and Bad count successful and failed requests by second. Requests rejected for their key
	// or their rate (401 and 429) are in neither.
	Good []float64 `json:"good"`
	Bad  []float64 `json:"bad"`
	dir  string
}

func (r *run) report() *Report {
	out := &Report{
		Seed: r.Seed, Seconds: time.Since(r.startedAt).Seconds(), Requests: int(r.requests.Load()), Schedule: r.faults,
		Statuses: make(map[int]int), Findings: r.ledger.check(), dir: r.Dir,
	}
	out.Findings = append(out.Findings, r.ledger.checkRecovery()...)
	out.Findings = append(out.Findings, r.checkFleetID()...)
	for _, i := range r.instances {
		if !i.isReady() {
			out.Findings = append(out.Findings, Finding{"recovers", "", i.name + " is not ready after the faults", time.Now()})
		}
	}
	seconds := int(out.Seconds) + 1
	out.Good, out.Bad = make([]float64, seconds), make([]float64, seconds)
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	for _, runs := range r.ledger.runs {
		out.Runs += len(runs)
	}
	for _, s := range r.ledger.requests {
		out.Statuses[s.status]++
		at := min(max(int(s.sentAt.Sub(r.startedAt).Seconds()), 0), seconds-1)
		if s.status == 200 && !s.truncated {
			out.Good[at]++
		} else if s.status != 401 && s.status != 429 {
			out.Bad[at]++
		}
	}
	return out
}

// minAnsweredShare is the fraction of requests that must be answered after recovery.
const minAnsweredShare = 0.95

// startProbe sets the time from which callers must be served again.
func (l *ledger) startProbe(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probeStart = t
}

// checkRecovery checks that enough requests were answered after the faults.
func (l *ledger) checkRecovery() []Finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked, good := 0, 0
	failed, example := make(map[int]int), ""
	for id, s := range l.requests {
		_, gone := l.withdrawnAt[s.key]
		if s.badPart != "" || s.sentAt.Before(l.probeStart) || s.organisation == limitedOrganisation || gone || s.key == "none" || s.endedAt.IsZero() {
			continue
		}
		asked++
		if s.status == 200 && !s.truncated {
			good++
			continue
		}
		failed[s.status]++
		example = id
	}
	if asked == 0 || float64(good) < minAnsweredShare*float64(asked) {
		return []Finding{{"recovers", example, fmt.Sprintf("%d of %d requests answered after the faults; failed, by status: %v", good, asked, failed), l.probeStart}}
	}
	return nil
}

// Write prints a summary to w and saves the report and a plot in the run's directory. If there are
// findings, it prints the fault schedule and, for each finding, the command that explains its
// request.
func (r *Report) Write(w io.Writer) error {
	fmt.Fprintf(w, "seed %d: %d requests, %d runs, answers %v, %d findings\n", r.Seed, r.Requests, r.Runs, r.Statuses, len(r.Findings))
	if len(r.Findings) > 0 {
		for _, f := range r.Schedule {
			fmt.Fprintln(w, " ", f)
		}
		for _, f := range r.Findings {
			fmt.Fprintf(w, "  VIOLATED %s: %s %s (%s); cairnctl explain %s %s\n", f.Guarantee, f.Request, f.Detail, f.At.Format("15:04:05.000"), f.Request, filepath.Join(r.dir, "*.log"))
		}
	}
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.dir, "report.json"), data, 0o600); err != nil {
		return err
	}
	labels := make([]string, len(r.Good))
	for n := range labels {
		labels[n] = strconv.Itoa(n)
	}
	plot := load.LinePlot(fmt.Sprintf("Answers by second, seed %d", r.Seed), "requests", labels, []string{"answered", "failed"}, [][]float64{r.Good, r.Bad})
	return os.WriteFile(filepath.Join(r.dir, "answers.svg"), []byte(plot), 0o600)
}
