package once

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	oncev1 "github.com/cairnworks/cairnworks/gen/cairnworks/once/v1"
	"github.com/cairnworks/cairnworks/request"
)

const (
	// claimHold is how long an owner waits for the log before it answers
	// "pending"; claimTryTimeout is how long it is waited for. An owner that is slow
	// because the log is slow is so told from a dead one, which leaves more than half
	// of the claim timeout to the next. Without the difference a slow log would make
	// every instance append on its own.
	claimHold       = 400 * time.Millisecond
	claimTryTimeout = 600 * time.Millisecond
	// appendHold and appendTryTimeout are the same for outcomes and voids.
	appendHold       = 3 * time.Second
	appendTryTimeout = 5 * time.Second
	// appendPauseMin and appendPauseMax bound the pause between rounds of trying
	// to append an outcome or a void.
	appendPauseMin = 200 * time.Millisecond
	appendPauseMax = 5 * time.Second
)

var errNotYet = errors.New("once: record waits for the log")

// claimAt asks the owner of a partition about an intent, then the next owner, and
// this instance itself if neither answers. Asking several about the same intent is
// harmless: its copies in the log count once, and each reads the same decision.
//
// A reply without a decision is kept for when nobody has a better one: of a key that
// is known to be taken it must not be said that the log is all that fails.
//
// An owner that cannot reach the log is no reason to serve the partition here: were
// the log down for all, every instance would turn to it.
func (s *Service) claimAt(ctx context.Context, number int, req claimRequest) (claimReply, error) {
	owners, self := s.peers.owners(number)
	mayBeInLog := false
	var undecided *claimReply
	for _, m := range owners {
		reply, err := s.askOwner(ctx, m, number, req)
		mayBeInLog = mayBeInLog || !reply.notAppended
		reply.notAppended = !mayBeInLog
		switch {
		case ctx.Err() != nil:
			return reply, ctx.Err()
		case err != nil:
			s.peers.suspect(m)
		case reply.state != stateUnavailable && !reply.stale:
			return reply, nil
		case undecided == nil || reply.stale:
			undecided = &reply
		}
	}
	if undecided != nil && !self {
		undecided.notAppended = !mayBeInLog
		return *undecided, nil
	}
	reply, err := s.claimHere(ctx, number, req)
	reply.notAppended = reply.notAppended && !mayBeInLog
	if undecided != nil && reply.state == stateUnavailable {
		undecided.notAppended = reply.notAppended
		return *undecided, nil
	}
	return reply, err
}

// askOwner asks one owner until the log has decided.
func (s *Service) askOwner(ctx context.Context, m request.Holder, number int, req claimRequest) (claimReply, error) {
	asked := false
	for {
		reply, err := s.claimThere(ctx, m, number, req)
		reply.notAppended = reply.notAppended && !asked
		if err != nil || reply.state != statePending {
			return reply, err
		}
		asked = true
	}
}

func (s *Service) claimThere(ctx context.Context, m request.Holder, number int, req claimRequest) (claimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTryTimeout)
	defer cancel()
	resp, err := s.peers.client(m).Claim(ctx, connect.NewRequest(&oncev1.ClaimRequest{
		Partition: uint32(number), Record: req.intent, LookupOnly: req.lookupOnly,
	}))
	if err != nil {
		return claimReply{}, err
	}
	return replyOf(resp.Msg)
}

// appendAt appends an outcome or a void through the owner of its partition, the
// next owner or this instance, until it stands in the log or the service stops.
// Copies of such a record count once.
func (s *Service) appendAt(number int, record *oncev1.Record) error {
	pause := appendPauseMin
	for {
		running := s.context()
		if running == nil {
			return errNotRunning
		}
		err := s.appendRound(running, number, record)
		if err == nil || running.Err() != nil {
			return err
		}
		sleep(running, pause)
		pause = min(2*pause, appendPauseMax)
	}
}

func (s *Service) appendRound(running context.Context, number int, record *oncev1.Record) error {
	owners, self := s.peers.owners(number)
	taken := false
	for _, m := range owners {
		resp, err := s.appendThere(running, m, number, record)
		switch {
		case err != nil:
			s.peers.suspect(m)
		case resp.Appended:
			return nil
		case !resp.LogFailing:
			return errNotYet
		default:
			taken = true
		}
	}
	if taken && !self {
		return errNotYet
	}
	return s.appendHere(running, number, record)
}

func (s *Service) appendThere(ctx context.Context, m request.Holder, number int, record *oncev1.Record) (*oncev1.AppendResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTryTimeout)
	defer cancel()
	resp, err := s.peers.client(m).Append(ctx, connect.NewRequest(&oncev1.AppendRequest{Partition: uint32(number), Record: record}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// context returns the context of the running service, or nil.
func (s *Service) context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
