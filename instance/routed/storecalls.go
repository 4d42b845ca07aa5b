package routed

import (
	"context"
	"errors"
	"time"

	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
)

// instrumentedLog records the number and duration of calls to the store, each of which is billed,
// by topic, call and result.
type instrumentedLog struct {
	port.KeyedLog
	metrics *observe.Metrics
}

// Newest implements port.KeyedLog.
func (l *instrumentedLog) Newest(ctx context.Context, topic port.Topic) ([]port.KeyedRecord, uint64, error) {
	start := time.Now()
	records, next, err := l.KeyedLog.Newest(ctx, topic)
	l.count(topic, "newest", start, err)
	l.metrics.CountStoreBytes(topic.String(), "newest", sizeOf(records))
	return records, next, err
}

// Since implements port.KeyedLog.
func (l *instrumentedLog) Since(ctx context.Context, topic port.Topic, from uint64, wait time.Duration) ([]port.KeyedRecord, uint64, error) {
	start := time.Now()
	records, next, err := l.KeyedLog.Since(ctx, topic, from, wait)
	l.count(topic, "since", start, err)
	l.metrics.CountStoreBytes(topic.String(), "since", sizeOf(records))
	return records, next, err
}

// Put implements port.KeyedLog.
func (l *instrumentedLog) Put(ctx context.Context, topic port.Topic, key string, value []byte) error {
	start := time.Now()
	err := l.KeyedLog.Put(ctx, topic, key, value)
	l.count(topic, "put", start, err)
	return err
}

// PutAt implements port.KeyedLog.
func (l *instrumentedLog) PutAt(ctx context.Context, topic port.Topic, at uint64, key string, value []byte) error {
	start := time.Now()
	err := l.KeyedLog.PutAt(ctx, topic, at, key, value)
	l.count(topic, "put_at", start, err)
	return err
}

func (l *instrumentedLog) count(topic port.Topic, call string, start time.Time, err error) {
	result := "ok"
	switch {
	case errors.Is(err, port.ErrCompacted):
		result = "forgotten"
	case errors.Is(err, port.ErrNewEra):
		result = "new_era"
	case errors.Is(err, port.ErrConflict):
		result = "conflict"
	case errors.Is(err, context.DeadlineExceeded):
		result = "timeout"
	case err != nil:
		result = "failed"
	}
	l.metrics.RecordStoreCall(topic.String(), call, result, time.Since(start))
}

func sizeOf(records []port.KeyedRecord) int {
	size := 0
	for _, record := range records {
		size += record.Size()
	}
	return size
}
