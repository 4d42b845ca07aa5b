package once

import (
	"errors"
	"time"

	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/port"
)

const (
	// maxBatchEntries and maxBatchBytes bound one append call.
	maxBatchEntries = 256
	maxBatchBytes   = 512 << 10
	// maxQueuedClaimBytes is what may wait before new claims are refused: two
	// append calls, so that a claim that is taken waits for three at most.
	maxQueuedClaimBytes = 2 * maxBatchBytes
	// maxQueuedBytes is what may wait at all; outcomes and voids beyond it are
	// refused, and the instances that they come from ask again. 16 partitions hold
	// 64 MiB at worst, half of an instance's memory for control.
	maxQueuedBytes = 4 << 20
	// appendTimeout bounds one append call.
	appendTimeout = 2 * time.Second
	// appendBackoffMin and appendBackoffMax bound the pause after a failed append.
	appendBackoffMin = 200 * time.Millisecond
	appendBackoffMax = 5 * time.Second
	// settleAttempts bounds the reads after an append whose answer was lost;
	// settlePause is the time between two of them. Together they stay below the
	// claim timeout, so that a waiting caller is told before it expires.
	settleAttempts = 3
	settlePause    = 100 * time.Millisecond
)

var errQueueFull = errors.New("once: too many records wait for the log")

// queued is a record that waits for its append.
type queued struct {
	entry port.Entry
	rec   protocol.Record
	// inLog tells that an earlier append of the record may have taken effect.
	inLog bool
}

// committer gathers the records that come in while an append is under way into
// the next one (group commit), so that the number of append calls depends on time
// and not on the number of calls.
type committer struct {
	queue []queued
	// bytes of the queue.
	bytes int
	// waiting are told when the outcome or void with an entry id stands in the log.
	// Intents are answered by what is read.
	waiting map[string][]chan error
	// batch is the append under way.
	batch []queued
	busy  bool
	// notBefore is when the next append may start; timer tells that a pumpMsg is
	// on its way.
	notBefore time.Time
	timer     bool
	backoff   time.Duration
	// downUntil is until when claims are refused at once because the log failed.
	downUntil time.Time
	flushes   []chan struct{}
}

func (c *committer) push(q queued) {
	c.queue = append(c.queue, q)
	c.bytes += len(q.entry.Data)
}

// pushRecord queues an outcome or a void, once however often it is asked for.
func (c *committer) pushRecord(q queued, done chan error) {
	if c.waiting == nil {
		c.waiting = make(map[string][]chan error)
	}
	_, known := c.waiting[q.entry.ID]
	c.waiting[q.entry.ID] = append(c.waiting[q.entry.ID], done)
	if !known {
		c.push(q)
	}
}

// stands tells those who wait for a record that it stands in the log.
func (c *committer) stands(q queued) {
	for _, done := range c.waiting[q.entry.ID] {
		done <- nil
	}
	delete(c.waiting, q.entry.ID)
}

// removeIntent takes back an intent that was not sent.
func (c *committer) removeIntent(id protocol.IntentID) {
	for i, q := range c.queue {
		if q.rec.ID == id && q.rec.Kind == protocol.KindIntent {
			c.bytes -= len(q.entry.Data)
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

// take moves the next batch out of the queue.
func (c *committer) take() []queued {
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
	c.batch = append([]queued(nil), c.queue[:n]...)
	c.queue = append(c.queue[:0:0], c.queue[n:]...)
	c.bytes -= size
	return c.batch
}

// putBack returns records of the batch to the head of the queue.
func (c *committer) putBack(qs []queued) {
	for _, q := range qs {
		c.bytes += len(q.entry.Data)
	}
	c.queue = append(append([]queued(nil), qs...), c.queue...)
}

// failed starts the pause after an append that failed.
func (c *committer) failed(now time.Time) {
	c.backoff = min(max(2*c.backoff, appendBackoffMin), appendBackoffMax)
	c.notBefore = now.Add(c.backoff)
	c.downUntil = c.notBefore
}

// succeeded ends the pause.
func (c *committer) succeeded() {
	c.backoff = 0
	c.downUntil = time.Time{}
}
