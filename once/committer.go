package once

import (
	"errors"
	"time"

	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/port"
)

const (
	// maxBatchEntries and maxBatchBytes limit the size of one append.
	maxBatchEntries = 256
	maxBatchBytes   = 512 << 10
	// maxQueuedClaimBytes is the queue size above which new claims are refused. It is two
	// appends, so that an accepted claim waits for at most three.
	maxQueuedClaimBytes = 2 * maxBatchBytes
	// maxQueuedBytes is the maximum queue size. Outcomes and voids beyond it are refused, and
	// the instances that sent them retry. 16 partitions use at most 64 MiB, half of the memory
	// that an instance has for control.
	maxQueuedBytes = 4 << 20
	// appendTimeout limits one append, and one read when the stream is read back.
	appendTimeout = 2 * time.Second
	// appendBackoffMin and appendBackoffMax limit the backoff after a failed append.
	appendBackoffMin = 200 * time.Millisecond
	appendBackoffMax = 5 * time.Second
	// readBackAttempts limits the attempts to read the stream back after an append whose
	// response was lost; readBackInterval is the pause between them. Together they stay below
	// the claim timeout, so that a waiting caller gets a reply before it expires.
	readBackAttempts = 3
	readBackInterval = 100 * time.Millisecond
)

var errQueueFull = errors.New("once: append queue is full")

// queuedRecord is a record that waits to be appended.
type queuedRecord struct {
	entry port.Entry
	rec   protocol.Record
	// mayBeInLog reports that an earlier append of the record may have taken effect.
	mayBeInLog bool
}

// committer implements group commit: records that arrive during an append are batched into the
// next one, so that the rate of appends does not depend on the rate of calls.
type committer struct {
	queue []queuedRecord
	// bytes is the size of the queue.
	bytes int
	// waiters are notified when the outcome or void with the given entry ID is in the log.
	// Intents are not included; their claims are answered when the intents are read.
	waiters map[string][]chan error
	// batch contains the records of the append in progress.
	batch     []queuedRecord
	appending bool
	// nextAppendAt is when the next append may start. timerSet reports that an appendTimerMsg
	// has been scheduled.
	nextAppendAt time.Time
	timerSet     bool
	backoff      time.Duration
	// refuseClaimsUntil is the time until which claims are refused immediately because the log
	// failed.
	refuseClaimsUntil time.Time
	// flushWaiters are closed when the queue is empty and no append is in progress.
	flushWaiters []chan struct{}
}

func (c *committer) push(q queuedRecord) {
	c.queue = append(c.queue, q)
	c.bytes += len(q.entry.Data)
}

// pushRecord queues an outcome or a void unless it is already queued or being appended. done is
// notified in either case.
func (c *committer) pushRecord(q queuedRecord, done chan error) {
	if c.waiters == nil {
		c.waiters = make(map[string][]chan error)
	}
	_, known := c.waiters[q.entry.ID]
	c.waiters[q.entry.ID] = append(c.waiters[q.entry.ID], done)
	if !known {
		c.push(q)
	}
}

// confirm notifies the waiters of a record that it is in the log.
func (c *committer) confirm(q queuedRecord) {
	for _, done := range c.waiters[q.entry.ID] {
		done <- nil
	}
	delete(c.waiters, q.entry.ID)
}

// removeIntent removes an intent from the queue.
func (c *committer) removeIntent(id protocol.IntentID) {
	for i, q := range c.queue {
		if q.rec.ID == id && q.rec.Kind == protocol.KindIntent {
			c.bytes -= len(q.entry.Data)
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

// takeBatch moves the records of the next batch out of the queue.
func (c *committer) takeBatch() []queuedRecord {
	size := 0
	n := 0
	for n < len(c.queue) && n < maxBatchEntries {
		size += len(c.queue[n].entry.Data)
		if n > 0 && size > maxBatchBytes {
			size -= len(c.queue[n].entry.Data)
			break
		}
		n++
	}
	c.batch = append([]queuedRecord(nil), c.queue[:n]...)
	c.queue = append(c.queue[:0:0], c.queue[n:]...)
	c.bytes -= size
	return c.batch
}

// requeue returns records of the batch to the head of the queue.
func (c *committer) requeue(records []queuedRecord) {
	for _, q := range records {
		c.bytes += len(q.entry.Data)
	}
	c.queue = append(append([]queuedRecord(nil), records...), c.queue...)
}

// recordFailure increases the backoff after a failed append.
func (c *committer) recordFailure(now time.Time) {
	c.backoff = min(max(2*c.backoff, appendBackoffMin), appendBackoffMax)
	c.nextAppendAt = now.Add(c.backoff)
	c.refuseClaimsUntil = c.nextAppendAt
}

// recordSuccess resets the backoff after the log has responded again.
func (c *committer) recordSuccess() {
	c.backoff = 0
	c.refuseClaimsUntil = time.Time{}
}
