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
	// claimServerTimeout is how long an owner waits for the log before it returns "pending";
	// claimClientTimeout is how long other instances wait for the owner. The difference
	// distinguishes an owner that waits for a slow log from a dead one; without it, a slow log
	// would make every instance append on its own. A dead owner leaves more than half of the
	// claim timeout for the next one.
	claimServerTimeout = 400 * time.Millisecond
	claimClientTimeout = 600 * time.Millisecond
	// appendServerTimeout and appendClientTimeout are the same for outcomes and voids.
	appendServerTimeout = 3 * time.Second
	appendClientTimeout = 5 * time.Second
	// recordRetryMin and recordRetryMax limit the backoff between attempts to append an outcome
	// or a void.
	recordRetryMin = 200 * time.Millisecond
	recordRetryMax = 5 * time.Second
)

var errAppendPending = errors.New("once: record is not in the log yet")

// claimAtOwners sends an intent to the owner of a partition, then to the next owner, and processes
// it locally if neither responds. Sending the same intent to several instances is harmless: copies
// in the log count once, and all instances read the same decision.
//
// A reply without a current decision is returned only if no instance has a better one. In
// particular, a key that is known to be claimed must not be reported as a mere log failure.
//
// If an owner cannot reach the log, the partition is served locally only if this instance is next in
// rank. Otherwise, if the log were down for all, every instance would send requests to it.
func (s *Service) claimAtOwners(ctx context.Context, number int, req claimRequest) (claimReply, error) {
	owners, self := s.peers.owners(number)
	mayBeInLog := false
	var undecided *claimReply
	for _, m := range owners {
		reply, err := s.claimFromOwner(ctx, m, number, req)
		mayBeInLog = mayBeInLog || !reply.notAppended
		reply.notAppended = !mayBeInLog
		switch {
		case ctx.Err() != nil:
			return reply, ctx.Err()
		case err != nil:
			s.peers.markSuspect(m)
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
	reply, err := s.claimLocal(ctx, number, req)
	reply.notAppended = reply.notAppended && !mayBeInLog
	if undecided != nil && reply.state == stateUnavailable {
		undecided.notAppended = reply.notAppended
		return *undecided, nil
	}
	return reply, err
}

// claimFromOwner sends the claim to one owner and repeats it while the result is pending.
func (s *Service) claimFromOwner(ctx context.Context, m request.Holder, number int, req claimRequest) (claimReply, error) {
	asked := false
	for {
		reply, err := s.claimRemote(ctx, m, number, req)
		reply.notAppended = reply.notAppended && !asked
		if err != nil || reply.state != statePending {
			return reply, err
		}
		asked = true
	}
}

func (s *Service) claimRemote(ctx context.Context, m request.Holder, number int, req claimRequest) (claimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimClientTimeout)
	defer cancel()
	resp, err := s.peers.client(m).Claim(ctx, connect.NewRequest(&oncev1.ClaimRequest{
		Partition: uint32(number), Record: req.intent, LookupOnly: req.lookupOnly,
	}))
	if err != nil {
		return claimReply{}, err
	}
	return fromClaimResponse(resp.Msg)
}

// appendWithRetry appends an outcome or a void through the owner of its partition, the next owner
// or this instance. It retries until the record is in the log or the service stops. Copies of the
// record count once.
func (s *Service) appendWithRetry(number int, record *oncev1.Record) error {
	backoff := recordRetryMin
	for {
		running := s.runningContext()
		if running == nil {
			return errNotRunning
		}
		err := s.tryAppend(running, number, record)
		if err == nil || running.Err() != nil {
			return err
		}
		sleep(running, backoff)
		backoff = min(2*backoff, recordRetryMax)
	}
}

// tryAppend makes one attempt of appendWithRetry. It returns errAppendPending if an owner has
// accepted the record but has not appended it yet.
func (s *Service) tryAppend(running context.Context, number int, record *oncev1.Record) error {
	owners, self := s.peers.owners(number)
	accepted := false
	for _, m := range owners {
		resp, err := s.appendRemote(running, m, number, record)
		switch {
		case err != nil:
			s.peers.markSuspect(m)
		case resp.Appended:
			return nil
		case !resp.LogFailing:
			return errAppendPending
		default:
			accepted = true
		}
	}
	if accepted && !self {
		return errAppendPending
	}
	return s.appendLocal(running, number, record)
}

func (s *Service) appendRemote(ctx context.Context, m request.Holder, number int, record *oncev1.Record) (*oncev1.AppendResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, appendClientTimeout)
	defer cancel()
	resp, err := s.peers.client(m).Append(ctx, connect.NewRequest(&oncev1.AppendRequest{Partition: uint32(number), Record: record}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// runningContext returns the context of the running service, or nil if it is not running.
func (s *Service) runningContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCtx
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
