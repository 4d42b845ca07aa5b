package load

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"github.com/samber/oops"
)

// taskRecord is the line for one request in the file written by WriteTasks.
type taskRecord struct {
	Task         int             `json:"task"`
	Kind         string          `json:"kind"`
	Organisation string          `json:"organisation"`
	AtMS         float64         `json:"at_ms"`
	Cost         float64         `json:"cost"`
	WithinRate   bool            `json:"in_rate"`
	Good         bool            `json:"good"`
	Attempts     []attemptRecord `json:"attempts"`
}

type attemptRecord struct {
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

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteTasks writes a JSON line for each request, for the analysis of single requests. The requests
// are only in a report returned by Run, not in one returned by ReadReport.
func (r *Report) WriteTasks(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return oops.In("load").Wrap(err)
	}
	defer file.Close()
	out := bufio.NewWriter(file)
	encoder := json.NewEncoder(out)
	for _, result := range r.results {
		if err := encoder.Encode(r.newTaskRecord(result)); err != nil {
			return oops.In("load").Wrap(err)
		}
	}
	return oops.In("load").Wrap(out.Flush())
}

func (r *Report) newTaskRecord(result *Result) taskRecord {
	line := taskRecord{
		Task: result.Task.Index, Kind: result.Task.Kind.Name, Organisation: result.Task.Organisation.Name,
		AtMS: milliseconds(result.Task.Arrival), Cost: result.cost(), WithinRate: r.within[result], Good: result.meetsTargets(),
	}
	for _, a := range result.Attempts {
		line.Attempts = append(line.Attempts, attemptRecord{
			Instance: a.Instance, Request: a.RequestID, Outcome: a.Outcome, Reason: a.Reason, Ran: a.Ran,
			RetryMS: milliseconds(a.RetryAfter), SentMS: milliseconds(a.SentAt), FirstMS: milliseconds(a.FirstByteAt), LastMS: milliseconds(a.LastByteAt),
			Tokens: a.Tokens,
		})
	}
	return line
}
