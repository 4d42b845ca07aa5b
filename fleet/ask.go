package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

// askTimeouts are the timeouts of the successive attempts of an ask. An answer normally arrives within
// one or two milliseconds; the second attempt covers a slow machine or a lost datagram.
var askTimeouts = []time.Duration{25 * time.Millisecond, 50 * time.Millisecond}

// ErrUnanswered is returned if a hub did not answer an ask or a claim. Whether the hub has deducted
// the tokens is unknown; the caller must not spend them.
var ErrUnanswered = errors.New("the instance asked did not answer")

// RequestTokens asks a hub for tokens.
func (x *Exchange) RequestTokens(ctx context.Context, hub string, a Ask) (Grant, error) {
	a.ID = rand.Uint64()
	grants := make(chan Grant, 1)
	x.mu.Lock()
	p, known := x.peers[hub]
	x.pendingAsks[a.ID] = grants
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.pendingAsks, a.ID)
		x.mu.Unlock()
	}()
	if !known {
		return Grant{}, ErrUnanswered
	}
	for _, timeout := range askTimeouts {
		x.sendSingle(hub, p.address, &Report{Ask: &a})
		timer := time.NewTimer(timeout)
		select {
		case g := <-grants:
			timer.Stop()
			return g, nil
		case <-ctx.Done():
			timer.Stop()
			return Grant{}, ctx.Err()
		case <-timer.C:
		}
	}
	return Grant{}, ErrUnanswered
}

// answerAsk sends the handler's grant to the instance that sent an ask.
func (x *Exchange) answerAsk(now time.Duration, r *Report, from netip.AddrPort) {
	g := x.handler.HandleAsk(now, r.run(), *r.Ask)
	x.sendSingle(r.Instance, from, &Report{Grant: &g})
}

// sendSingle sends a report that has a datagram to itself. Errors are only logged: the instance that
// waits for the datagram retries or asks another instance.
func (x *Exchange) sendSingle(to string, address netip.AddrPort, r *Report) {
	r.Instance, r.Incarnation, r.Fleet = x.self.Name, x.self.Incarnation, x.Identity()
	data, err := r.marshal()
	if err != nil {
		x.logger.Error("cannot send datagram", zap.String("peer", to), zap.Error(err))
		return
	}
	if _, err := x.conn.WriteToUDPAddrPort(data, address); err != nil {
		x.logger.Debug("cannot send datagram", zap.String("peer", to), zap.Error(err))
	}
}

// deliverGrant passes a grant to the pending ask, if there is one.
func (x *Exchange) deliverGrant(g Grant) {
	x.mu.Lock()
	answer := x.pendingAsks[g.ID]
	delete(x.pendingAsks, g.ID)
	x.mu.Unlock()
	if answer != nil {
		answer <- g
	}
}
