package memlog

import (
	"time"

	"github.com/cairnworks/cairnworks/port"
)

// InjectFaults sets the faults of the next appends.
func (l *Log) InjectFaults(faults ...Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// SetDown makes appends be refused and reads break.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.wake()
}

// SetAppendDelay delays the effect of each append.
func (l *Log) SetAppendDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = d
}

// Truncate drops the records of a stream below an offset; those that were never
// appended count as appended and dropped.
func (l *Log) Truncate(name string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for uint64(len(s.records))+1 < first {
		s.records = append(s.records, port.Record{Offset: uint64(len(s.records)) + 1})
	}
	s.first = first
}

// Len returns the number of records that a stream ever had.
func (l *Log) Len(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.stream(name).records)
}

// Totals returns the number of append calls and of bytes in all streams.
func (l *Log) Totals() (appends, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}
