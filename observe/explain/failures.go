package explain

import (
	"cmp"
	"io"
	"slices"
	"strconv"
	"time"
)

// Failure describes the requests that failed with the same status and reason.
type Failure struct {
	// Status is the status that callers received. Reason is the logged reason, or "upstream_answer"
	// if the status is from the upstream's answer, or "broken_off" if the answer ended early.
	Status string `json:"status"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
	// Instances is the number of instances that reported the failure.
	Instances int `json:"instances"`
	// MedianDuration is the median time from the arrival of a request to its failure, over the
	// first maxDurations requests.
	MedianDuration time.Duration `json:"held_ns"`
	// First and Last are times by the clocks of the instances that wrote the lines.
	First time.Time `json:"first"`
	Last  time.Time `json:"last"`
	// Example is the id of one of the requests, and Detail the logged detail or error of it.
	Example string `json:"example"`
	Detail  string `json:"detail"`
}

// Failures counts failed requests by the status and reason in the line that states their outcome.
type Failures struct {
	Rows []Failure `json:"rows"`
	// Decided is the number of all requests whose outcome is logged, including successful ones.
	// Unreadable is the number of lines that could not be parsed and were skipped.
	Decided    int `json:"decided"`
	Unreadable int `json:"unreadable"`
}

// maxDurations limits the durations that are kept for the median of one group.
const maxDurations = 4096

// FailureReader counts the failed requests in logs.
type FailureReader struct {
	table  Failures
	groups map[[2]string]*failureGroup
}

type failureGroup struct {
	row       Failure
	instances map[string]bool
	durations []time.Duration
}

// NewFailureReader returns an empty FailureReader.
func NewFailureReader() *FailureReader {
	return &FailureReader{groups: make(map[[2]string]*failureGroup)}
}

// Read parses a log. Lines that cannot be parsed are counted and skipped.
func (f *FailureReader) Read(source string, log io.Reader) error {
	return readLines(log, func(number int, text []byte, truncated bool) {
		line := Line{Source: source, Number: number}
		request, ok := line.parse(text)
		if truncated || !ok {
			f.table.Unreadable++
			return
		}
		if decidingEvents[line.Event] {
			f.addDecision(request, line)
		}
	})
}

// minFailureStatus is the lowest HTTP status of a failure.
const minFailureStatus = 400

func (f *FailureReader) addDecision(request string, line Line) {
	f.table.Decided++
	status, reason, duration := line.Field("status"), line.Field("reason"), line.Field("held")
	switch line.Event {
	case "answered":
		if code, err := strconv.Atoi(status); err == nil && code < minFailureStatus {
			return
		}
		reason, duration = "upstream_answer", line.Field("took")
	case "answer broken off":
		reason, duration = "broken_off", line.Field("took")
	}
	group, found := f.groups[[2]string{status, reason}]
	if !found {
		group = &failureGroup{instances: make(map[string]bool), row: Failure{
			Status: status, Reason: reason, First: line.Time, Example: request, Detail: cmp.Or(line.Field("detail"), line.Field("error")),
		}}
		f.groups[[2]string{status, reason}] = group
	}
	group.add(line, duration)
}

func (g *failureGroup) add(line Line, duration string) {
	g.row.Count++
	g.instances[cmp.Or(line.Field("instance"), line.Source)] = true
	if line.Time.Before(g.row.First) {
		g.row.First = line.Time
	}
	if line.Time.After(g.row.Last) {
		g.row.Last = line.Time
	}
	if seconds, err := strconv.ParseFloat(duration, 64); err == nil && len(g.durations) < maxDurations {
		g.durations = append(g.durations, time.Duration(seconds*float64(time.Second)))
	}
}

// Failures returns the failures in descending order of their counts.
func (f *FailureReader) Failures() Failures {
	table := f.table
	for _, group := range f.groups {
		row := group.row
		row.Instances = len(group.instances)
		if slices.Sort(group.durations); len(group.durations) > 0 {
			row.MedianDuration = group.durations[len(group.durations)/2]
		}
		table.Rows = append(table.Rows, row)
	}
	slices.SortFunc(table.Rows, func(a, b Failure) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Reason, b.Reason))
	})
	return table
}
