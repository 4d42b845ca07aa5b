package once

import (
	"context"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

// startNextAppend starts the next append, or a timer if the next append is not due yet.
func (p *partition) startNextAppend() {
	c := &p.committer
	if c.appending || len(c.queue) == 0 {
		p.notifyIfFlushed()
		return
	}
	now := p.now()
	if wait := c.nextAppendAt.Sub(now); wait > 0 {
		if !c.timerSet {
			c.timerSet = true
			p.goroutines.Go(func() {
				p.sleep(wait)
				p.tell(appendTimerMsg{})
			})
		}
		return
	}
	c.nextAppendAt = now.Add(p.cfg.AppendInterval)
	c.appending = true
	p.appendBatch(c.takeBatch())
}

func (p *partition) appendBatch(batch []queuedRecord) {
	entries := make([]port.Entry, len(batch))
	for i, q := range batch {
		entries[i] = q.entry
	}
	p.metrics.appends.Inc(1)
	p.metrics.entries.Inc(int64(len(entries)))
	p.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, appendTimeout)
		defer cancel()
		first, err := p.cfg.Log.Append(ctx, p.stream, entries...)
		p.tell(appendResultMsg{first: first, err: err})
	})
}

func (p *partition) handleAppendResult(msg appendResultMsg) {
	c := &p.committer
	switch {
	case msg.err == nil:
		p.markLogAvailable()
		p.applyConfirmedBatch(msg.first)
		p.completeBatch(nil)
	case verdict.From(msg.err).Ran == verdict.NotRun:
		p.metrics.appendsRefused.Inc(1)
		p.warnLogFailure("append refused", msg.err)
		p.markLogFailed()
		p.abortBatch()
	default:
		// The response was lost, and the batch may be in the log. Read the stream to find
		// out; records that are not found are appended again (rule 4 of package protocol).
		p.metrics.appendsLost.Inc(1)
		p.warnLogFailure("append response lost", msg.err)
		for i := range c.batch {
			c.batch[i].mayBeInLog = true
		}
		p.goroutines.Go(p.readBackFrom(p.index.Next()))
	}
}

// applyConfirmedBatch applies a batch whose append was confirmed, without waiting for the follower
// to read it. It does nothing if the index lacks records before the batch.
func (p *partition) applyConfirmedBatch(first uint64) {
	if p.index.Next() != first {
		return
	}
	for i, q := range p.committer.batch {
		p.applyRecord(first+uint64(i), q.entry.Data)
	}
}

// readBackFrom returns a function that reads the stream from an offset to its end and sends the
// result to the actor.
func (p *partition) readBackFrom(from uint64) func() {
	return func() {
		var err error
		for attempt := 0; attempt < readBackAttempts && p.ctx.Err() == nil; attempt++ {
			var pages []port.Page
			if pages, err = p.readToEnd(from); err == nil {
				p.tell(readBackMsg{pages: pages})
				return
			}
			p.sleep(readBackInterval)
		}
		if err == nil {
			err = p.ctx.Err()
		}
		p.tell(readBackMsg{err: err})
	}
}

func (p *partition) readToEnd(from uint64) ([]port.Page, error) {
	var pages []port.Page
	for {
		ctx, cancel := context.WithTimeout(p.ctx, appendTimeout)
		page, err := p.cfg.Log.Read(ctx, p.stream, from, maxReadRecords, 0)
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

func (p *partition) handleReadBack(msg readBackMsg) {
	if msg.err != nil {
		p.warnLogFailure("cannot read stream back", msg.err)
		p.markLogFailed()
		p.abortBatch()
		return
	}
	for _, page := range msg.pages {
		p.applyPage(page)
	}
	p.markLogAvailable()
	p.completeBatch(func(q queuedRecord) bool { return p.index.Reflects(q.rec) })
}

// completeBatch ends the append in progress. Records that are in the log are confirmed; the others
// are queued again with the same IDs. If inLog is nil, all records are in the log.
func (p *partition) completeBatch(inLog func(queuedRecord) bool) {
	c := &p.committer
	var missing []queuedRecord
	for _, q := range c.batch {
		if inLog != nil && !inLog(q) {
			missing = append(missing, q)
			continue
		}
		c.confirm(q)
	}
	c.batch = nil
	c.appending = false
	c.requeue(missing)
	p.startNextAppend()
}

// abortBatch ends the append in progress after the log failed. Outcomes and voids are retried after
// the backoff; repeating them is harmless. Claims are refused, including those that are still
// queued: sending each of them to a failing log would create as many intents of which it is unknown
// whether they are in the log.
func (p *partition) abortBatch() {
	c := &p.committer
	batch := c.batch
	c.batch = nil
	c.appending = false
	c.requeue(batch)
	var retained []queuedRecord
	for _, q := range c.queue {
		if q.rec.Kind != protocol.KindIntent {
			retained = append(retained, q)
			continue
		}
		c.bytes -= len(q.entry.Data)
		p.replyPending(q.rec.ID, claimReply{state: stateUnavailable, notAppended: !q.mayBeInLog, retryAfter: max(c.backoff, logRetryAfter)})
	}
	c.queue = retained
	p.startNextAppend()
}

func (p *partition) markLogFailed() {
	p.committer.recordFailure(p.now())
	p.appendsFailing.Store(true)
}

func (p *partition) markLogAvailable() {
	p.committer.recordSuccess()
	p.appendsFailing.Store(false)
}

// notifyIfFlushed closes the flush waiters if the queue is empty and no append is in progress.
func (p *partition) notifyIfFlushed() {
	c := &p.committer
	if c.appending || len(c.queue) > 0 {
		return
	}
	for _, done := range c.flushWaiters {
		close(done)
	}
	c.flushWaiters = nil
}

func (p *partition) warnLogFailure(message string, err error) {
	p.logger.Warn(message, zap.String("event", "once_log_failure"), zap.Error(err))
}
