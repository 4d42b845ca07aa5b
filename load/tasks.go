package load

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"github.com/samber/oops"
)

// taskLine is one request in the file of WriteTasks.
type taskLine struct {
	Task         int           `json:"task"`
	Kind         string        `json:"kind"`
	Organisation string        `json:"organisation"`
	AtMS         float64       `json:"at_ms"`
	Cost         float64       `json:"cost"`
	InRate       bool          `json:"in_rate"`
	Good         bool          `json:"good"`
	Attempts     []attemptLine `json:"attempts"`
}

type attemptLine struct {
	Instance string  `json:"instance"`
	Request  string  `json:"request"`
	Outcome  Outcome `json:"outcome"`
	Reason   string  `json:"reason,omitempty"`
	Ran      string  `json:"ran,omitempty"`
	RetryMS  float64 `json:"retry_after_ms,omitempty"`
	SentMS   float64 `json:"sent_ms"`
	FirstMS  float64 `json:"first_ms,omitempty"`
	LastMS   float64 `json:"last_ms"`
	Tokens   int     `json:"tokens,omitempty"`
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteTasks writes one JSON line for each request, to look into single ones.
// Only the report of a run has them, not one that was read back.
func (r *Report) WriteTasks(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return oops.In("load").Wrap(err)
	}
	defer file.Close()
	out := bufio.NewWriter(file)
	encoder := json.NewEncoder(out)
	for _, result := range r.results {
		if err := encoder.Encode(r.taskLine(result)); err != nil {
			return oops.In("load").Wrap(err)
		}
	}
	return oops.In("load").Wrap(out.Flush())
}

func (r *Report) taskLine(result *Result) taskLine {
	line := taskLine{
		Task: result.Task.Index, Kind: result.Task.Kind.Name, Organisation: result.Task.Organisation.Name,
		AtMS: millis(result.Task.At), Cost: result.cost(), InRate: r.within[result], Good: result.good(),
	}
	for _, a := range result.Attempts {
		line.Attempts = append(line.Attempts, attemptLine{
			Instance: a.Instance, Request: a.RequestID, Outcome: a.Outcome, Reason: a.Reason, Ran: a.Ran,
			RetryMS: millis(a.RetryAfter), SentMS: millis(a.Sent), FirstMS: millis(a.First), LastMS: millis(a.Last),
			Tokens: a.Tokens,
		})
	}
	return line
}
