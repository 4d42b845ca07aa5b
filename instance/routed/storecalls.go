package routed

import (
	"context"
	"errors"
	"time"

	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
)

// countedLog counts the calls of the store, all of which are paid for, by topic, call and
// result, and how long they took.
type countedLog struct {
	port.KeyedLog
	metrics *observe.Metrics
}

// Newest implements port.KeyedLog.
func (l *countedLog) Newest(ctx context.Context, topic port.Topic) ([]port.KeyedRecord, uint64, error) {
	begun := time.Now()
	records, next, err := l.KeyedLog.Newest(ctx, topic)
	l.count(topic, "newest", begun, err)
	return records, next, err
}

// Since implements port.KeyedLog.
func (l *countedLog) Since(ctx context.Context, topic port.Topic, from uint64, wait time.Duration) ([]port.KeyedRecord, uint64, error) {
	begun := time.Now()
	records, next, err := l.KeyedLog.Since(ctx, topic, from, wait)
	l.count(topic, "since", begun, err)
	return records, next, err
}

// Put implements port.KeyedLog.
func (l *countedLog) Put(ctx context.Context, topic port.Topic, key string, value []byte) error {
	begun := time.Now()
	err := l.KeyedLog.Put(ctx, topic, key, value)
	l.count(topic, "put", begun, err)
	return err
}

// PutAt implements port.KeyedLog.
func (l *countedLog) PutAt(ctx context.Context, topic port.Topic, at uint64, key string, value []byte) error {
	begun := time.Now()
	err := l.KeyedLog.PutAt(ctx, topic, at, key, value)
	l.count(topic, "put_at", begun, err)
	return err
}

func (l *countedLog) count(topic port.Topic, call string, begun time.Time, err error) {
	result := "ok"
	switch {
	case errors.Is(err, port.ErrForgotten):
		result = "forgotten"
	case errors.Is(err, port.ErrConflict):
		result = "conflict"
	case err != nil:
		result = "failed"
	}
	l.metrics.RecordStoreCall(topic.String(), call, result, time.Since(begun))
}
