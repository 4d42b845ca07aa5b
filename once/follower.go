package once

import (
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/port"
)

const (
	// readWait is how long a read of the log waits for a record. It only sets how
	// often an idle partition asks again.
	readWait = 20 * time.Second
	// readMax is the most records of one read; catching up costs a call for each.
	readMax = 1000
	// readBackoffMin and readBackoffMax bound the pause after a failed read.
	readBackoffMin = 100 * time.Millisecond
	readBackoffMax = 5 * time.Second
)

// follow reads the stream by long polls and hands each page to the actor.
func (p *partition) follow() {
	at := position{next: 1}
	backoff := readBackoffMin
	for p.ctx.Err() == nil {
		// Waiting for a record before the end was reached once would keep an
		// empty stream from becoming ready.
		wait := readWait
		if !at.ready {
			wait = 0
		}
		page, err := p.cfg.Log.Read(p.ctx, p.stream, at.next, readMax, wait)
		if p.ctx.Err() != nil {
			return
		}
		msg := pageMsg{page: page, err: err, applied: make(chan position, 1)}
		p.tell(msg)
		select {
		case at = <-msg.applied:
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

func (p *partition) pageRead(msg pageMsg) {
	if msg.err != nil {
		p.readErr = msg.err
		p.meters.readErrors.Inc(1)
		if !p.ready {
			p.answerUnready()
		}
	} else {
		p.readErr = nil
		p.applyPage(msg.page)
	}
	msg.applied <- position{next: p.index.Next(), ready: p.ready}
}

// applyPage moves the index over a page and decides the claims in it.
func (p *partition) applyPage(page port.Page) {
	p.first = max(p.first, page.First)
	p.skipGap(page)
	for _, r := range page.Records {
		p.applyRecord(r.Offset, r.Data)
	}
	// The page may have been read before a direct apply; then it is no news of the end.
	if p.index.Next() < page.Next {
		return
	}
	p.endRead = p.now()
	if !p.ready {
		p.ready = true
		p.logger.Info("partition read to its end", zap.String("event", "once_ready"),
			zap.Uint64("next", p.index.Next()), zap.Int("keys", p.index.Len()))
		p.answerUnready()
	}
}

// skipGap notices that the log dropped records before this reader saw them. A
// fresh reader just starts at the lowest retained record: what is missing is older
// than the log's retention and so than the window. A reader that was at the end of
// the stream less than a window ago has missed records that may be younger; it
// would take their keys for free ones and run their calls again. It forgets what it
// knew and claims no unknown key until a window has passed.
func (p *partition) skipGap(page port.Page) {
	if page.First <= p.index.Next() {
		return
	}
	if p.ready && p.now().Sub(p.endRead) < p.cfg.Window {
		p.vouchFrom = p.now().Add(p.cfg.Window)
		p.meters.gaps.Inc(1)
		p.logger.Error("log dropped records within the window; unknown keys are refused for a window",
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
		// No version of this program writes such a record, so it holds no key;
		// stopping here would refuse every call of the partition.
		p.meters.undecodable.Inc(1)
		p.logger.Error("undecodable record", zap.String("event", "once_undecodable"),
			zap.Uint64("offset", offset), zap.Error(err))
		p.index.SkipTo(offset + 1)
		return
	}
	p.index.Apply(offset, rec, p.now(), p.ready)
	if rec.Kind == protocol.KindIntent {
		p.decide(rec)
	}
}
