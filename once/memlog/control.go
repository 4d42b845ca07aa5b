package memlog

import (
	"time"

	"github.com/cairnworks/cairnworks/port"
)

// InjectFaults sets the faults of the next appends, one per append.
func (l *Log) InjectFaults(faults ...Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// SetDown sets whether the log is down: appends are then refused and reads fail.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.notifyReaders()
}

// SetAppendDelay sets the delay before each append takes effect.
func (l *Log) SetAppendDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendDelay = d
}

// Truncate drops the records of a stream below offset first. Offsets that were never appended
// are treated as appended and dropped.
func (l *Log) Truncate(name string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for uint64(len(s.records))+1 < first {
		s.records = append(s.records, port.Record{Offset: uint64(len(s.records)) + 1})
	}
	s.first = first
}

// Len returns the number of records ever appended to a stream, including dropped ones.
func (l *Log) Len(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.stream(name).records)
}

// Totals returns the number of append calls and the number of bytes appended to all streams.
func (l *Log) Totals() (appends, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}
