package explain

import (
	"cmp"
	"io"
	"slices"
	"strconv"
	"time"
)

// Failure is one kind of request that was not served.
type Failure struct {
	// Status is what the caller was told, Reason why. An answer that is an upstream's own has
	// the reason "upstream_answer", one that ended early "broken_off".
	Status string `json:"status"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
	// Instances is how many decided so.
	Instances int `json:"instances"`
	// Held is how long half of them took at most, over the first thousands.
	Held time.Duration `json:"held_ns"`
	// First and Last are by the clocks of those who wrote the lines.
	First time.Time `json:"first"`
	Last  time.Time `json:"last"`
	// Example is a request of this kind, and what was said of it.
	Example string `json:"example"`
	Detail  string `json:"detail"`
}

// Failures is a table of requests that were not served, by the line that decided each.
type Failures struct {
	Rows []Failure `json:"rows"`
	// Decided counts all requests with a deciding line, served or not; Unreadable the lines
	// that were skipped.
	Decided    int `json:"decided"`
	Unreadable int `json:"unreadable"`
}

// heldKept bounds the times that are kept of one kind.
const heldKept = 4096

// FailureReader counts requests that were not served.
type FailureReader struct {
	table Failures
	kinds map[[2]string]*failureKind
}

type failureKind struct {
	row       Failure
	instances map[string]bool
	held      []time.Duration
}

// NewFailureReader returns a reader that has seen nothing.
func NewFailureReader() *FailureReader {
	return &FailureReader{kinds: make(map[[2]string]*failureKind)}
}

// Read takes in one log.
func (f *FailureReader) Read(source string, log io.Reader) error {
	return readLines(log, func(number int, text []byte, cut bool) {
		line := Line{Source: source, Number: number}
		request, ok := line.parse(text)
		if cut || !ok {
			f.table.Unreadable++
			return
		}
		if deciding[line.Event] {
			f.take(request, line)
		}
	})
}

// firstFailure is the lowest status that is no success.
const firstFailure = 400

func (f *FailureReader) take(request string, line Line) {
	f.table.Decided++
	status, reason, held := line.Field("status"), line.Field("reason"), line.Field("held")
	switch line.Event {
	case "answered":
		if code, err := strconv.Atoi(status); err == nil && code < firstFailure {
			return
		}
		reason, held = "upstream_answer", line.Field("took")
	case "answer broken off":
		reason, held = "broken_off", line.Field("took")
	}
	kind, known := f.kinds[[2]string{status, reason}]
	if !known {
		kind = &failureKind{instances: make(map[string]bool), row: Failure{
			Status: status, Reason: reason, First: line.Time, Example: request, Detail: cmp.Or(line.Field("detail"), line.Field("error")),
		}}
		f.kinds[[2]string{status, reason}] = kind
	}
	kind.add(line, held)
}

func (k *failureKind) add(line Line, held string) {
	k.row.Count++
	k.instances[cmp.Or(line.Field("instance"), line.Source)] = true
	if line.Time.Before(k.row.First) {
		k.row.First = line.Time
	}
	if line.Time.After(k.row.Last) {
		k.row.Last = line.Time
	}
	if seconds, err := strconv.ParseFloat(held, 64); err == nil && len(k.held) < heldKept {
		k.held = append(k.held, time.Duration(seconds*float64(time.Second)))
	}
}

// Failures returns the table, the most frequent kind first.
func (f *FailureReader) Failures() Failures {
	table := f.table
	for _, kind := range f.kinds {
		row := kind.row
		row.Instances = len(kind.instances)
		if slices.Sort(kind.held); len(kind.held) > 0 {
			row.Held = kind.held[len(kind.held)/2]
		}
		table.Rows = append(table.Rows, row)
	}
	slices.SortFunc(table.Rows, func(a, b Failure) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Reason, b.Reason))
	})
	return table
}
