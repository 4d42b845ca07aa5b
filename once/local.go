package once

import (
	"context"
	"errors"

	oncev1 "github.com/cairnworks/cairnworks/gen/cairnworks/once/v1"
)

var (
	errNotRunning = errors.New("once: service does not run")
	errNoTicket   = errors.New("once: ticket is not open")
)

// claimHere asks this instance's own partition and waits for its answer.
func (s *Service) claimHere(ctx context.Context, number int, req claimRequest) (claimReply, error) {
	p := s.partition(number)
	if p == nil {
		return claimReply{notAppended: true, retryAfter: logRetryAfter}, errNotRunning
	}
	msg := claimMsg{req: req, reply: make(chan claimReply, 1)}
	p.tell(msg)
	select {
	case reply := <-msg.reply:
		return reply, nil
	case <-ctx.Done():
		return claimReply{retryAfter: logRetryAfter}, ctx.Err()
	case <-p.ctx.Done():
		return claimReply{retryAfter: logRetryAfter}, errNotRunning
	}
}

// appendHere appends an outcome or a void and waits until it stands in the log.
// When ctx ends first, the partition goes on trying.
func (s *Service) appendHere(ctx context.Context, number int, record *oncev1.Record) error {
	rec, err := protocolRecord(record)
	if err != nil {
		return err
	}
	p := s.partition(number)
	if p == nil {
		return errNotRunning
	}
	msg := recordMsg{record: record, rec: rec, done: make(chan error, 1)}
	p.tell(msg)
	select {
	case err := <-msg.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-p.ctx.Done():
		return errNotRunning
	}
}

// logFailing reports whether the log refuses this instance's appends of a partition.
func (s *Service) logFailing(number int) bool {
	p := s.partition(number)
	return p != nil && p.failing.Load()
}
