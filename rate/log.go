package rate

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/rate/lease"
)

// followLog reads the stream to its end repeatedly. One read serves all shards and proves
// that, at the time it began, none of them had a later holder.
func (s *Service) followLog(ctx context.Context) error {
	at := readPosition{next: 1}
	for ctx.Err() == nil {
		startedAt := s.now()
		p, err := s.read(ctx, at)
		if err != nil {
			s.count.readFailures.Inc(1)
			s.logger.Debug("rate log read failed", zap.Error(err))
			sleep(ctx, readBackoff)
			continue
		}
		next, ok := ask(ctx, s, func(reply chan readPosition) any { return logPage{startedAt: startedAt, page: p, next: reply} })
		if ok {
			at = next
		}
	}
	return nil
}

func (s *Service) read(ctx context.Context, at readPosition) (lease.Page, error) {
	poll := idlePoll
	if at.holdsShards {
		poll = holderPoll
	}
	ctx, cancel := context.WithTimeout(ctx, poll+readTimeout)
	defer cancel()
	p, err := s.cfg.Log.Read(ctx, Stream, at.next, maxReadRecords, poll)
	if err != nil {
		return lease.Page{}, err
	}
	out := lease.Page{First: p.First, Next: p.Next}
	for _, r := range p.Records {
		rec, err := lease.Decode(r.Data)
		if err != nil {
			// A record that cannot be decoded is no claim. Its writer cannot decode it
			// either and does not spend under it.
			s.logger.Error("cannot decode rate record", zap.Uint64("offset", r.Offset), zap.Error(err))
			rec = lease.Record{}
		}
		out.Entries = append(out.Entries, lease.Entry{Offset: r.Offset, Record: rec})
	}
	return out, nil
}

// append appends records in one call, without a retry. Whether they were appended is read
// back from the stream, since the response may be lost after the append took effect.
func (s *Service) append(records []lease.Record) {
	entries := make([]port.Entry, 0, len(records))
	for _, r := range records {
		data, err := r.Encode()
		if err != nil {
			s.logger.Error("cannot encode rate record", zap.Error(err))
			return
		}
		entries = append(entries, port.Entry{ID: s.entryID(), Data: data})
	}
	s.count.appends.Inc(1)
	s.runInBackground(appendTimeout, func(ctx context.Context) {
		if _, err := s.cfg.Log.Append(ctx, Stream, entries...); err != nil {
			s.logger.Warn("rate log append failed", zap.Error(err))
		}
	})
}

func (s *Service) entryID() string {
	self := s.cfg.Self
	return fmt.Sprintf("rate-%s-%d-%d", self.Instance, self.Incarnation, s.appends.Add(1))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
