package once

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	oncev1 "github.com/cairnworks/cairnworks/gen/cairnworks/once/v1"
	"github.com/cairnworks/cairnworks/gen/cairnworks/once/v1/oncev1connect"
	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/peer"
)

var errWrongPartition = errors.New("once: record does not belong to the partition")

// maxMessageBytes limits a message between instances, which contains at most one recorded response
// and its metadata.
const maxMessageBytes = 2 * MaxAnswerBytes

// handler implements OnceService for other instances.
type handler struct{ service *Service }

// Handler returns the path and the handler of the service for other instances. It must be served
// only on the peer listener.
func (s *Service) Handler() (string, http.Handler) {
	return oncev1connect.NewOnceServiceHandler(handler{service: s}, connect.WithReadMaxBytes(maxMessageBytes), peer.HandlerOptions())
}

// Claim implements OnceServiceHandler.
func (h handler) Claim(ctx context.Context, req *connect.Request[oncev1.ClaimRequest]) (*connect.Response[oncev1.ClaimResponse], error) {
	number, rec, err := checkRecord(req.Msg.Partition, req.Msg.Record, protocol.KindIntent)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	waitCtx, cancel := context.WithTimeout(ctx, claimServerTimeout)
	defer cancel()
	reply, err := h.service.claimLocal(waitCtx, number, claimRequest{intent: req.Msg.Record, rec: rec, lookupOnly: req.Msg.LookupOnly})
	if errors.Is(err, context.DeadlineExceeded) {
		reply, err = claimReply{state: statePending}, nil
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(toClaimResponse(reply)), nil
}

// Append implements OnceServiceHandler.
func (h handler) Append(ctx context.Context, req *connect.Request[oncev1.AppendRequest]) (*connect.Response[oncev1.AppendResponse], error) {
	number, _, err := checkRecord(req.Msg.Partition, req.Msg.Record, protocol.KindOutcome, protocol.KindVoid)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	waitCtx, cancel := context.WithTimeout(ctx, appendServerTimeout)
	defer cancel()
	err = h.service.appendLocal(waitCtx, number, req.Msg.Record)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&oncev1.AppendResponse{Appended: err == nil, LogFailing: h.service.appendsFailing(number)}), nil
}

// checkRecord rejects records that no instance of this version sends. A record in the wrong stream
// would never be found.
func checkRecord(partition uint32, m *oncev1.Record, kinds ...protocol.Kind) (int, protocol.Record, error) {
	if m == nil {
		return 0, protocol.Record{}, errWrongPartition
	}
	rec, err := protocolRecord(m)
	if err != nil {
		return 0, rec, err
	}
	number := partitionOf(rec.Key)
	if uint32(number) != partition {
		return 0, rec, errWrongPartition
	}
	for _, kind := range kinds {
		if rec.Kind == kind {
			return number, rec, nil
		}
	}
	return 0, rec, errors.New("once: record of the wrong kind")
}

func toClaimResponse(reply claimReply) *oncev1.ClaimResponse {
	resp := &oncev1.ClaimResponse{
		State:        wireStates[reply.state],
		Offset:       reply.offset,
		RetryAfterMs: uint32(reply.retryAfter.Milliseconds()),
		NotAppended:  reply.notAppended,
		Stale:        reply.stale,
	}
	if reply.state == stateClaimed || reply.state == stateDone || reply.state == stateKeyReused {
		resp.Holder = intentRecord(protocol.Record{
			ID: reply.holder.ID, Body: reply.holder.Body, Owner: reply.holder.Owner, ClaimedMS: reply.holder.ClaimedMS,
		})
		resp.OutcomeOffset = reply.holder.Outcome
		resp.AnswerDropped = reply.holder.AnswerDropped
	}
	return resp
}

// fromClaimResponse decodes the response of an owner. An unknown state is an error, so that the next
// owner is asked.
func fromClaimResponse(resp *oncev1.ClaimResponse) (claimReply, error) {
	reply := claimReply{
		offset:      resp.Offset,
		notAppended: resp.NotAppended,
		stale:       resp.Stale,
		retryAfter:  time.Duration(resp.RetryAfterMs) * time.Millisecond,
	}
	known := false
	for state, wire := range wireStates {
		if wire == resp.State {
			reply.state = state
			known = true
		}
	}
	if !known {
		return reply, errors.New("once: unknown claim state")
	}
	if resp.Holder == nil {
		return reply, nil
	}
	reply.holder = protocol.Holder{
		Owner:         protocol.Owner{Instance: resp.Holder.GetIntent().GetInstance(), Incarnation: resp.Holder.GetIntent().GetIncarnation()},
		ClaimedMS:     resp.Holder.GetIntent().GetClaimedUnixMs(),
		Outcome:       resp.OutcomeOffset,
		AnswerDropped: resp.AnswerDropped,
	}
	copy(reply.holder.ID[:], resp.Holder.IntentId)
	copy(reply.holder.Body[:], resp.Holder.BodyHash)
	return reply, nil
}

var wireStates = map[claimState]oncev1.ClaimResponse_State{
	stateUnavailable: oncev1.ClaimResponse_STATE_UNAVAILABLE,
	stateFree:        oncev1.ClaimResponse_STATE_FREE,
	stateWon:         oncev1.ClaimResponse_STATE_WON,
	stateClaimed:     oncev1.ClaimResponse_STATE_CLAIMED,
	stateDone:        oncev1.ClaimResponse_STATE_DONE,
	stateKeyReused:   oncev1.ClaimResponse_STATE_KEY_REUSED,
	stateIncomplete:  oncev1.ClaimResponse_STATE_CANNOT_VOUCH,
	statePending:     oncev1.ClaimResponse_STATE_PENDING,
	stateFull:        oncev1.ClaimResponse_STATE_FULL,
}
