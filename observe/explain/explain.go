// Package explain finds the lines of one request in the logs of several instances.
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

// maxLine is the longest line that is read, in bytes; the daemons write some hundred. A file
// that is no log may have no line end at all, and would be held in memory whole.
const maxLine = 64 << 10

// Read takes in one log. Lines that cannot be read are counted and skipped: the end of
// a log of a process that was killed is cut, and logs are pasted with others' lines.
func (r *Reader) Read(source string, log io.Reader) error {
	return readLines(log, func(number int, text []byte, cut bool) { r.take(source, number, text, cut) })
}

// readLines hands on the lines of a log that are not empty.
func readLines(log io.Reader, take func(number int, text []byte, cut bool)) error {
	lines := bufio.NewReaderSize(log, maxLine)
	for number := 1; ; number++ {
		text, cut, err := readLine(lines)
		if err != nil && err != io.EOF {
			return err
		}
		if len(text) > 0 {
			take(number, text, cut)
		}
		if err == io.EOF {
			return nil
		}
	}
}

// readLine returns the next line without its end, as far as it is kept.
func readLine(from *bufio.Reader) (text []byte, cut bool, err error) {
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

// take takes in one line.
func (r *Reader) take(source string, number int, text []byte, cut bool) {
	line := Line{Source: source, Number: number}
	request, ok := line.parse(text)
	switch {
	case cut || !ok:
		r.story.Unreadable++
	case request == r.story.Request:
		r.story.Lines = append(r.story.Lines, line)
	}
}

// timeKey begins each line of the daemons' logs.
var timeKey = []byte("ts=")

// parse reads a line and returns the request that it is of. What a collector of logs has put
// before it ends with the instance's name.
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
