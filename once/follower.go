package once

import (
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/port"
)

const (
	// readWait is how long a read waits for a record. It only affects how often an idle
	// partition sends a read.
	readWait = 20 * time.Second
	// maxReadRecords is the maximum number of records per read. It determines the number of
	// calls needed to catch up.
	maxReadRecords = 1000
	// readBackoffMin and readBackoffMax limit the backoff after a failed read.
	readBackoffMin = 100 * time.Millisecond
	readBackoffMax = 5 * time.Second
)

// follow reads the stream by long polling and sends each page to the actor.
func (p *partition) follow() {
	position := followPosition{next: 1}
	backoff := readBackoffMin
	for p.ctx.Err() == nil {
		// Do not wait for a record until the end has been reached once; otherwise the
		// partition of an empty stream would not become ready.
		wait := readWait
		if !position.ready {
			wait = 0
		}
		page, err := p.cfg.Log.Read(p.ctx, p.stream, position.next, maxReadRecords, wait)
		if p.ctx.Err() != nil {
			return
		}
		msg := pageMsg{page: page, err: err, applied: make(chan followPosition, 1)}
		p.tell(msg)
		select {
		case position = <-msg.applied:
		case <-p.ctx.Done():
			return
		}
		if err == nil {
			backoff = readBackoffMin
			continue
		}
		p.sleep(backoff)
		backoff = min(2*backoff, readBackoffMax)
	}
}

// sleep waits for d or until the partition stops.
func (p *partition) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.ctx.Done():
	case <-timer.C:
	}
}

func (p *partition) handlePage(msg pageMsg) {
	if msg.err != nil {
		p.readErr = msg.err
		p.metrics.readErrors.Inc(1)
		if !p.ready {
			p.processDeferredClaims()
		}
	} else {
		p.readErr = nil
		p.applyPage(msg.page)
	}
	msg.applied <- followPosition{next: p.index.Next(), ready: p.ready}
}

// applyPage applies a page to the index and decides the claims whose intents it contains.
func (p *partition) applyPage(page port.Page) {
	p.firstRetained = max(p.firstRetained, page.First)
	p.skipGap(page)
	for _, r := range page.Records {
		p.applyRecord(r.Offset, r.Data)
	}
	// The end of the stream has not been reached. (If a confirmed batch was applied after the
	// page was read, the index can also be ahead of the page.)
	if p.index.Next() < page.Next {
		return
	}
	p.endReachedAt = p.now()
	if !p.ready {
		p.ready = true
		p.logger.Info("partition has caught up", zap.String("event", "once_ready"),
			zap.Uint64("next", p.index.Next()), zap.Int("keys", p.index.Len()))
		p.processDeferredClaims()
	}
}

// skipGap handles records that the log dropped before this reader read them. A new reader simply
// starts at the lowest retained record: the missing records are older than the log's retention and
// therefore older than the window. A reader that was at the end of the stream less than one window
// ago may have missed records of the window. It would treat their keys as free and run their calls
// again. Therefore it starts with an empty index and refuses unknown keys for one window.
func (p *partition) skipGap(page port.Page) {
	if page.First <= p.index.Next() {
		return
	}
	if p.ready && p.now().Sub(p.endReachedAt) < p.cfg.Window {
		p.incompleteUntil = p.now().Add(p.cfg.Window)
		p.metrics.gaps.Inc(1)
		p.logger.Error("log dropped records within the window; refusing unknown keys for one window",
			zap.String("event", "once_gap"), zap.Uint64("next", p.index.Next()), zap.Uint64("first", page.First))
	}
	if p.ready {
		p.index = protocol.NewIndex(page.First)
		p.ready = false
	}
	p.index.SkipTo(page.First)
}

func (p *partition) applyRecord(offset uint64, data []byte) {
	if offset < p.index.Next() {
		return
	}
	_, rec, err := decodeRecord(data)
	if err != nil {
		// No version of this program writes such a record, so it does not claim a key.
		// Stopping here would block all calls of the partition.
		p.metrics.undecodable.Inc(1)
		p.logger.Error("skipping undecodable record", zap.String("event", "once_undecodable"),
			zap.Uint64("offset", offset), zap.Error(err))
		p.index.SkipTo(offset + 1)
		return
	}
	p.index.Apply(offset, rec, p.now(), p.ready)
	if rec.Kind == protocol.KindIntent {
		p.resolvePendingClaim(rec)
	}
}
