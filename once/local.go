package once

import (
	"context"
	"errors"

	oncev1 "github.com/cairnworks/cairnworks/gen/cairnworks/once/v1"
)

var (
	errNotRunning    = errors.New("once: service is not running")
	errTicketNotOpen = errors.New("once: ticket is not open")
)

// claimLocal sends a claim to the partition of this instance and waits for the reply.
func (s *Service) claimLocal(ctx context.Context, number int, req claimRequest) (claimReply, error) {
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

// appendLocal appends an outcome or a void through the partition of this instance and waits until
// it is in the log. If ctx ends first, the partition continues trying.
func (s *Service) appendLocal(ctx context.Context, number int, record *oncev1.Record) error {
	rec, err := protocolRecord(record)
	if err != nil {
		return err
	}
	p := s.partition(number)
	if p == nil {
		return errNotRunning
	}
	msg := appendMsg{record: record, rec: rec, done: make(chan error, 1)}
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

// appendsFailing reports whether this instance's last append to a partition failed.
func (s *Service) appendsFailing(number int) bool {
	p := s.partition(number)
	return p != nil && p.appendsFailing.Load()
}
