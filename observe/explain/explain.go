// Package explain finds the lines of one request in the logs of several instances.
package explain

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Field is one key and value of a line, in the line's order.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one log line of a request.
type Line struct {
	// Source names the log that it stands in, Number its line there, from 1.
	Source string `json:"source"`
	Number int    `json:"number"`
	// Time is by the clock of the instance that wrote it. Instances' clocks differ, by
	// milliseconds mostly and by seconds where one was set wrongly.
	Time   time.Time `json:"time"`
	Event  string    `json:"event"`
	Fields []Field   `json:"fields"`
}

// Field returns a value of the line, empty where it has none.
func (l Line) Field(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Story is what the logs tell of a request.
type Story struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	// Deciding is the index of the line that names the outcome, -1 for none.
	Deciding int `json:"deciding"`
	// Unreadable counts the lines that were skipped.
	Unreadable int `json:"unreadable"`
}

// deciding are the events that end a request, of which the last one holds.
var deciding = map[string]bool{"answered": true, "refused": true, "answer broken off": true}

// Reader gathers the lines of one request.
type Reader struct{ story Story }

// NewReader returns a reader for a request's id.
func NewReader(request string) *Reader { return &Reader{Story{Request: request}} }

// Read takes in one log. Lines that cannot be read are counted and skipped: the end of
// a log of a process that was killed is cut.
func (r *Reader) Read(source string, log io.Reader) error {
	decoder := logfmt.NewDecoder(log)
	for number := 1; decoder.ScanRecord(); number++ {
		line := Line{Source: source, Number: number}
		mine, timed := false, false
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case "ts":
				at, err := time.Parse(time.RFC3339Nano, value)
				timed = err == nil
				line.Time = at
			case "msg":
				line.Event = value
			case "level":
			case "request":
				mine = value == r.story.Request
			default:
				line.Fields = append(line.Fields, Field{key, value})
			}
		}
		switch {
		case !timed:
			r.story.Unreadable++
		case mine:
			r.story.Lines = append(r.story.Lines, line)
		}
	}
	return decoder.Err()
}

// Story returns the request's lines in order of time. Lines of one log keep their
// order, whatever their times say.
func (r *Reader) Story() Story {
	s := r.story
	slices.SortStableFunc(s.Lines, func(a, b Line) int {
		if a.Source == b.Source {
			return cmp.Compare(a.Number, b.Number)
		}
		return a.Time.Compare(b.Time)
	})
	s.Deciding = -1
	for i, line := range s.Lines {
		if deciding[line.Event] {
			s.Deciding = i
		}
	}
	return s
}
