package rate

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/rate/lease"
)

// follow reads the stream to its end again and again. One read serves all shards and
// proves, counted from its beginning, that none of them has a later holder.
func (s *Service) follow(ctx context.Context) error {
	at := progress{next: 1}
	for ctx.Err() == nil {
		t0 := s.now()
		p, err := s.read(ctx, at)
		if err != nil {
			s.count.readFails.Inc(1)
			s.logger.Debug("rate log read failed", zap.Error(err))
			pause(ctx, readBackoff)
			continue
		}
		next, ok := ask(ctx, s, func(reply chan progress) any { return page{t0: t0, page: p, next: reply} })
		if ok {
			at = next
		}
	}
	return nil
}

func (s *Service) read(ctx context.Context, at progress) (lease.Page, error) {
	poll := idlePoll
	if at.holds {
		poll = homePoll
	}
	ctx, cancel := context.WithTimeout(ctx, poll+readTimeout)
	defer cancel()
	p, err := s.cfg.Log.Read(ctx, Stream, at.next, readPage, poll)
	if err != nil {
		return lease.Page{}, err
	}
	out := lease.Page{First: p.First, Next: p.Next}
	for _, r := range p.Records {
		rec, err := lease.Decode(r.Data)
		if err != nil {
			// A record that cannot be read claims nothing. Its writer reads it the same way
			// and does not spend under it.
			s.logger.Error("rate record unreadable", zap.Uint64("offset", r.Offset), zap.Error(err))
			rec = lease.Record{}
		}
		out.Entries = append(out.Entries, lease.Entry{Offset: r.Offset, Record: rec})
	}
	return out, nil
}

// append writes records once, in one call. Whether they stand is read back from the
// stream: an answer may be lost after the append took effect.
func (s *Service) append(records []lease.Record) {
	entries := make([]port.Entry, 0, len(records))
	for _, r := range records {
		data, err := r.Encode()
		if err != nil {
			s.logger.Error("rate record not written", zap.Error(err))
			return
		}
		entries = append(entries, port.Entry{ID: s.entryID(), Data: data})
	}
	s.count.appends.Inc(1)
	s.inBackground(appendTimeout, func(ctx context.Context) {
		if _, err := s.cfg.Log.Append(ctx, Stream, entries...); err != nil {
			s.logger.Warn("rate append failed", zap.Error(err))
		}
	})
}

func (s *Service) entryID() string {
	self := s.cfg.Self
	return fmt.Sprintf("rate-%s-%d-%d", self.Instance, self.Incarnation, s.appends.Add(1))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
