package once

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

const (
	// maxBatchEntries and maxBatchBytes bound one append call.
	maxBatchEntries = 256
	maxBatchBytes   = 512 << 10
	// maxQueuedClaimBytes is what may wait before new claims are refused: two
	// append calls, so that a claim that is taken waits for three at most.
	maxQueuedClaimBytes = 2 * maxBatchBytes
	// maxQueuedBytes is what may wait at all; outcomes beyond it are dropped and
	// their resends are told that the outcome is unknown. 16 partitions hold 64 MiB
	// at worst, half of an instance's memory for control.
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

// pump starts the next append if one is due, or a timer for when it is.
func (p *partition) pump() {
	c := &p.commit
	if c.busy || len(c.queue) == 0 {
		p.flushed()
		return
	}
	now := p.now()
	if wait := c.notBefore.Sub(now); wait > 0 {
		if !c.timer {
			c.timer = true
			p.io.Go(func() {
				p.sleep(wait)
				p.tell(pumpMsg{})
			})
		}
		return
	}
	c.notBefore = now.Add(p.cfg.AppendInterval)
	c.busy = true
	p.startAppend(c.take())
}

func (p *partition) startAppend(batch []queued) {
	entries := make([]port.Entry, len(batch))
	for i, q := range batch {
		entries[i] = q.entry
	}
	p.meters.appends.Inc(1)
	p.meters.entries.Inc(int64(len(entries)))
	p.io.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, appendTimeout)
		defer cancel()
		first, err := p.cfg.Log.Append(ctx, p.stream, entries...)
		p.tell(appendedMsg{first: first, err: err})
	})
}

func (p *partition) appended(msg appendedMsg) {
	c := &p.commit
	switch {
	case msg.err == nil:
		c.succeeded()
		p.applyOwn(msg.first)
		p.finishBatch(nil)
	case verdict.From(msg.err).Ran == verdict.NotRun:
		p.meters.appendsRefused.Inc(1)
		p.logFailure("append refused", msg.err)
		c.failed(p.now())
		p.dropClaims()
	default:
		// The answer was lost: the batch may stand in the log. The stream itself
		// tells; see protocol rule 4 for what happens if it does not.
		p.meters.appendsLost.Inc(1)
		p.logFailure("append answer lost", msg.err)
		for i := range c.batch {
			c.batch[i].inLog = true
		}
		p.io.Go(p.settle(p.index.Next()))
	}
}

// applyOwn applies a confirmed batch without waiting for the follower to read it,
// if nothing else stands before it.
func (p *partition) applyOwn(first uint64) {
	if p.index.Next() != first {
		return
	}
	for i, q := range p.commit.batch {
		p.applyRecord(first+uint64(i), q.entry.Data)
	}
}

// settle returns a read of the stream from an offset to its end.
func (p *partition) settle(from uint64) func() {
	return func() {
		var err error
		for attempt := 0; attempt < settleAttempts && p.ctx.Err() == nil; attempt++ {
			var pages []port.Page
			if pages, err = p.readToEnd(from); err == nil {
				p.tell(settledMsg{pages: pages})
				return
			}
			p.sleep(settlePause)
		}
		if err == nil {
			err = p.ctx.Err()
		}
		p.tell(settledMsg{err: err})
	}
}

func (p *partition) readToEnd(from uint64) ([]port.Page, error) {
	var pages []port.Page
	for {
		ctx, cancel := context.WithTimeout(p.ctx, appendTimeout)
		page, err := p.cfg.Log.Read(ctx, p.stream, from, readMax, 0)
		cancel()
		if err != nil {
			return nil, err
		}
		pages = append(pages, page)
		if len(page.Records) == 0 {
			return pages, nil
		}
		from = page.Records[len(page.Records)-1].Offset + 1
		if from >= page.Next {
			return pages, nil
		}
	}
}

func (p *partition) settled(msg settledMsg) {
	c := &p.commit
	if msg.err != nil {
		p.logFailure("read back failed", msg.err)
		c.failed(p.now())
		p.dropClaims()
		return
	}
	for _, page := range msg.pages {
		p.applyPage(page)
	}
	c.succeeded()
	p.finishBatch(func(q queued) bool { return p.index.Settled(q.rec) })
}

// finishBatch ends the append under way: settled records are done, the others go
// back to the queue under the same ids. settled is nil when all are.
func (p *partition) finishBatch(settled func(queued) bool) {
	c := &p.commit
	var again []queued
	for _, q := range c.batch {
		if settled != nil && !settled(q) {
			again = append(again, q)
			continue
		}
		c.stands(q)
	}
	c.batch = nil
	c.busy = false
	c.putBack(again)
	p.pump()
}

// dropClaims ends the append under way after the log failed: claims are refused,
// outcomes and voids are tried again after the pause. Repeating those is harmless.
// Claims that still wait are refused as well: sending each of them to a failing
// log would leave as many intents that nobody knows to be there or not.
func (p *partition) dropClaims() {
	c := &p.commit
	batch := c.batch
	c.batch = nil
	c.busy = false
	c.putBack(batch)
	var again []queued
	for _, q := range c.queue {
		if q.rec.Kind != protocol.KindIntent {
			again = append(again, q)
			continue
		}
		c.bytes -= len(q.entry.Data)
		p.answer(q.rec.ID, claimReply{state: stateUnavailable, notAppended: !q.inLog, retryAfter: max(c.backoff, logRetryAfter)})
	}
	c.queue = again
	p.pump()
}

// flushed tells those who wait for an empty queue.
func (p *partition) flushed() {
	c := &p.commit
	if c.busy || len(c.queue) > 0 {
		return
	}
	for _, done := range c.flushes {
		close(done)
	}
	c.flushes = nil
}

func (p *partition) logFailure(what string, err error) {
	p.logger.Warn(what, zap.String("event", "once_log_failure"), zap.Error(err))
}
