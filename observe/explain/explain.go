// Package explain extracts the log lines of a request from the logs of several instances, and
// counts failed requests by reason.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Field is a key=value pair of a log line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is a log line of a request.
type Line struct {
	// Source is the name of the log, Number the line number, starting at 1.
	Source string `json:"source"`
	Number int    `json:"number"`
	// Time is the time by the clock of the instance that wrote the line. The clocks of instances
	// usually differ by milliseconds, and by seconds if one is set wrongly.
	Time  time.Time `json:"time"`
	Event string    `json:"event"`
	// Fields are the remaining fields in the order of the line.
	Fields []Field `json:"fields"`
}

// Field returns the value of a key, or an empty string if the line does not have the key.
func (l Line) Field(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Timeline is the logged history of a request.
type Timeline struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	// Deciding is the index of the line that states the outcome, or -1 if there is none.
	Deciding int `json:"deciding"`
	// Unreadable is the number of lines that could not be parsed and were skipped.
	Unreadable int `json:"unreadable"`
}

// decidingEvents are the events that state the outcome of a request. If there are several, the last
// one applies.
var decidingEvents = map[string]bool{"answered": true, "refused": true, "answer broken off": true}

// RequestReader collects the log lines of one request.
type RequestReader struct{ timeline Timeline }

// NewRequestReader returns a RequestReader for the request with the given id.
func NewRequestReader(id string) *RequestReader { return &RequestReader{Timeline{Request: id}} }

// maxLineBytes is the length of the longest line that is parsed. The daemons write lines of some
// hundred bytes. A file that is not a log may not contain any line break, and would otherwise be
// read into memory completely.
const maxLineBytes = 64 << 10

// Read parses a log. Lines that cannot be parsed are counted and skipped: the log of a killed
// process ends with an incomplete line, and pasted logs contain lines of other programs.
func (r *RequestReader) Read(source string, log io.Reader) error {
	return readLines(log, func(number int, text []byte, truncated bool) { r.addLine(source, number, text, truncated) })
}

// readLines calls handle for each line of a log that is not empty.
func readLines(log io.Reader, handle func(number int, text []byte, truncated bool)) error {
	lines := bufio.NewReaderSize(log, maxLineBytes)
	for number := 1; ; number++ {
		text, truncated, err := readLine(lines)
		if err != nil && err != io.EOF {
			return err
		}
		if len(text) > 0 {
			handle(number, text, truncated)
		}
		if err == io.EOF {
			return nil
		}
	}
}

// readLine returns the next line without its line break. A line that is longer than maxLineBytes is
// truncated.
func readLine(from *bufio.Reader) (text []byte, truncated bool, err error) {
	text, err = from.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return bytes.TrimRight(text, "\r\n"), false, err
	}
	text = bytes.Clone(text)
	for err == bufio.ErrBufferFull {
		_, err = from.ReadSlice('\n')
	}
	return text, true, err
}

// addLine parses a line and adds it to the timeline if it belongs to the request.
func (r *RequestReader) addLine(source string, number int, text []byte, truncated bool) {
	line := Line{Source: source, Number: number}
	request, ok := line.parse(text)
	switch {
	case truncated || !ok:
		r.timeline.Unreadable++
	case request == r.timeline.Request:
		r.timeline.Lines = append(r.timeline.Lines, line)
	}
}

// timeKey is the start of each line that the daemons log.
var timeKey = []byte("ts=")

// parse parses a line and returns the id of its request. A prefix that a log collector has added
// must end with the name of the instance.
func (l *Line) parse(text []byte) (request string, ok bool) {
	at := bytes.Index(text, timeKey)
	if at < 0 {
		return "", false
	}
	if before := bytes.Fields(text[:at]); len(before) > 0 {
		l.Fields = append(l.Fields, Field{"instance", string(before[len(before)-1])})
	}
	decoder := logfmt.NewDecoder(bytes.NewReader(text[at:]))
	if !decoder.ScanRecord() {
		return "", false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			ok = err == nil
			l.Time = at
		case "msg":
			l.Event = value
		case "level":
		case "request":
			request = value
		default:
			l.Fields = append(l.Fields, Field{key, value})
		}
	}
	return request, ok && decoder.Err() == nil
}

// Timeline returns the request's lines in order of time. Lines of the same log keep their order,
// regardless of their times.
func (r *RequestReader) Timeline() Timeline {
	t := r.timeline
	slices.SortStableFunc(t.Lines, func(a, b Line) int {
		if a.Source == b.Source {
			return cmp.Compare(a.Number, b.Number)
		}
		return a.Time.Compare(b.Time)
	})
	t.Deciding = -1
	for i, line := range t.Lines {
		if decidingEvents[line.Event] {
			t.Deciding = i
		}
	}
	return t
}
