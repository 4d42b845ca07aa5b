package once

import (
	"context"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

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
		p.logAnswered()
		p.applyOwn(msg.first)
		p.finishBatch(nil)
	case verdict.From(msg.err).Ran == verdict.NotRun:
		p.meters.appendsRefused.Inc(1)
		p.logFailure("append refused", msg.err)
		p.logFailed()
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
	if msg.err != nil {
		p.logFailure("read back failed", msg.err)
		p.logFailed()
		p.dropClaims()
		return
	}
	for _, page := range msg.pages {
		p.applyPage(page)
	}
	p.logAnswered()
	p.finishBatch(func(q queued) bool { return p.index.Reflects(q.rec) })
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

func (p *partition) logFailed() {
	p.commit.failed(p.now())
	p.failing.Store(true)
}

func (p *partition) logAnswered() {
	p.commit.succeeded()
	p.failing.Store(false)
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
