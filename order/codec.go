package order

import (
	"encoding/hex"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	orderv1 "github.com/cairnworks/cairnworks/gen/cairnworks/order/v1"
	"github.com/cairnworks/cairnworks/order/protocol"
	"github.com/cairnworks/cairnworks/port"
)

func claimEntry(c protocol.Claim) (port.Entry, error) {
	data, err := proto.Marshal(&orderv1.Record{Kind: &orderv1.Record_Claim{Claim: &orderv1.Claim{
		Id:          c.ID[:],
		Upstream:    c.Upstream,
		OrderKind:   c.Kind,
		OrderName:   c.Name,
		From:        c.BaseOffset,
		LeaseMs:     uint32(c.Lease.Milliseconds()),
		Instance:    c.Instance,
		Incarnation: c.Incarnation,
		Operator:    c.Operator,
	}}})
	return port.Entry{ID: "claim-" + hex.EncodeToString(c.ID[:]), Data: data}, err
}

func resultEntry(id protocol.ClaimID, r protocol.Result) (port.Entry, error) {
	data, err := proto.Marshal(&orderv1.Record{Kind: &orderv1.Record_Result{Result: &orderv1.Result{
		ClaimOffset: r.ClaimOffset,
		Upstream:    r.Upstream,
		Ran:         uint32(r.Ran),
		Confirmed:   r.Confirmed,
	}}})
	return port.Entry{ID: "result-" + hex.EncodeToString(id[:]), Data: data}, err
}

// decodeRecord returns the claim or the result that a record holds; the other is nil.
func decodeRecord(data []byte) (*protocol.Claim, *protocol.Result, error) {
	m := new(orderv1.Record)
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, nil, err
	}
	switch kind := m.Kind.(type) {
	case *orderv1.Record_Claim:
		return claimFromProto(kind.Claim), nil, nil
	case *orderv1.Record_Result:
		r := kind.Result
		return nil, &protocol.Result{ClaimOffset: r.ClaimOffset, Upstream: r.Upstream, Ran: uint8(r.Ran), Confirmed: r.Confirmed}, nil
	default:
		return nil, nil, fmt.Errorf("order: unknown record kind")
	}
}

func claimFromProto(m *orderv1.Claim) *protocol.Claim {
	c := &protocol.Claim{
		Upstream:    m.Upstream,
		Kind:        m.OrderKind,
		Name:        m.OrderName,
		BaseOffset:  m.From,
		Lease:       min(time.Duration(m.LeaseMs)*time.Millisecond, protocol.MaxLease),
		Instance:    m.Instance,
		Incarnation: m.Incarnation,
		Operator:    m.Operator,
	}
	copy(c.ID[:], m.Id)
	return c
}
