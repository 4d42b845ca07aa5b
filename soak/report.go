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

// Report is what a run has shown.
type Report struct {
	Seed     uint64    `json:"seed"`
	Seconds  float64   `json:"seconds"`
	Requests int       `json:"requests"`
	Runs     int       `json:"runs"`
	Findings []Finding `json:"findings"`
	Schedule []fault   `json:"schedule"`
	// Statuses counts answers; 0 stands for none.
	Statuses map[int]int `json:"statuses"`
	// Good and Bad are answers and failures by second.
	Good []float64 `json:"good"`
	Bad  []float64 `json:"bad"`
	dir  string
}

func (r *run) report() *Report {
	out := &Report{
		Seed: r.Seed, Seconds: time.Since(r.began).Seconds(), Requests: int(r.requests.Load()), Schedule: r.faults,
		Statuses: make(map[int]int), Findings: r.ledger.check(), dir: r.Dir,
	}
	out.Findings = append(out.Findings, r.ledger.checkRecovery()...)
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
	for _, s := range r.ledger.sent {
		out.Statuses[s.status]++
		at := min(max(int(s.at.Sub(r.began).Seconds()), 0), seconds-1)
		if s.status == 200 && !s.broken {
			out.Good[at]++
		} else if s.status != 401 && s.status != 429 {
			out.Bad[at]++
		}
	}
	return out
}

// wantedShare of the probes must be answered once the fleet has recovered.
const wantedShare = 0.95

// probeFrom tells from when on callers must be served again.
func (l *ledger) probeFrom(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from = t
}

// checkRecovery checks that callers are served again after the faults.
func (l *ledger) checkRecovery() []Finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked, good := 0, 0
	failed, example := make(map[int]int), ""
	for id, s := range l.sent {
		_, gone := l.withdrawn[s.key]
		if s.at.Before(l.from) || s.organisation == limited || gone || s.key == "none" || s.ended.IsZero() {
			continue
		}
		asked++
		if s.status == 200 && !s.broken {
			good++
			continue
		}
		failed[s.status]++
		example = id
	}
	if asked == 0 || float64(good) < wantedShare*float64(asked) {
		return []Finding{{"recovers", example, fmt.Sprintf("%d of %d requests answered after the faults; failed, by status: %v", good, asked, failed), l.from}}
	}
	return nil
}

// Write prints a report, with the schedule of faults and how to see a finding, and keeps
// it with a plot in the run's directory.
func (r *Report) Write(w io.Writer) error {
	fmt.Fprintf(w, "seed %d: %d requests, %d runs, answers %v, %d findings\n", r.Seed, r.Requests, r.Runs, r.Statuses, len(r.Findings))
	if len(r.Findings) > 0 {
		for _, f := range r.Schedule {
			fmt.Fprintln(w, " ", f)
		}
		for _, f := range r.Findings {
			fmt.Fprintf(w, "  BROKEN %s: %s %s (%s); cairnctl explain %s %s\n", f.Promise, f.Request, f.Detail, f.At.Format("15:04:05.000"), f.Request, filepath.Join(r.dir, "*.log"))
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
