package follow

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port"
)

// sharedTopic is a topic whose records change something unless their key is "heartbeat".
type sharedTopic struct {
	port.KeyedLog
	mu      sync.Mutex
	records []port.KeyedRecord
	// refused contains the clients whose calls fail.
	refused map[int]bool
	calls   int
	// bytesPerS is the rate at which all responses together are sent, or 0 if it is unlimited.
	// receiving is the number of responses on their way, sentBytes the bytes sent so far.
	bytesPerS            float64
	receiving, sentBytes int
}

// topicClient is one instance's connection to the topic.
type topicClient struct {
	port.KeyedLog
	topic *sharedTopic
	id    int
}

var errRefused = errors.New("refused")

func (r *topicClient) Newest(ctx context.Context, topic port.Topic) ([]port.KeyedRecord, uint64, error) {
	return r.Since(ctx, topic, 0, 0)
}

func (r *topicClient) Since(ctx context.Context, _ port.Topic, from uint64, wait time.Duration) ([]port.KeyedRecord, uint64, error) {
	l := r.topic
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.refused[r.id] {
		return nil, 0, errRefused
	}
	for end := virtualNow() + wait; int(from) == len(l.records) && virtualNow() < end && ctx.Err() == nil; {
		l.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		l.mu.Lock()
	}
	records := l.records[from:]
	if err := l.transfer(ctx, records); err != nil {
		return nil, 0, err
	}
	return records, from + uint64(len(records)), nil
}

// transfer waits until a response has been sent. Responses share the rate evenly. l.mu must be held.
func (l *sharedTopic) transfer(ctx context.Context, records []port.KeyedRecord) error {
	const tick = 10 * time.Millisecond
	left := 0
	for _, record := range records {
		left += record.Size()
	}
	l.receiving++
	defer func() { l.receiving-- }()
	for left > 0 && l.bytesPerS > 0 {
		l.mu.Unlock()
		time.Sleep(tick)
		l.mu.Lock()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sent := min(left, int(l.bytesPerS*tick.Seconds())/l.receiving)
		port.ReportProgress(ctx)
		left -= sent
		l.sentBytes += sent
	}
	return nil
}

func (l *sharedTopic) put(key string) { l.putValue(key, []byte(key)) }

func (l *sharedTopic) putValue(key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, port.KeyedRecord{Key: key, Value: value, Offset: uint64(len(l.records))})
}

// largeKey is the key of records that are padded to a large size.
const largeKey = "config"

// putLarge adds a record whose value is the given text, padded to size bytes.
func (l *sharedTopic) putLarge(text string, size int) {
	l.putValue(largeKey, append([]byte(text), bytes.Repeat([]byte(" "), size-len(text))...))
}

// limitRate sets bytesPerS and returns the bytes sent so far.
func (l *sharedTopic) limitRate(bytesPerS float64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerS = bytesPerS
	return l.sentBytes
}

func (l *sharedTopic) refuse(ids ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = make(map[int]bool)
	for _, id := range ids {
		l.refused[id] = true
	}
}

func (l *sharedTopic) callCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}
