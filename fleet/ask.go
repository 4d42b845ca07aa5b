package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

// askTries are how long each try of an ask waits for the answer. An answer comes within a
// millisecond or two; a slow machine or a lost datagram takes the second.
var askTries = []time.Duration{25 * time.Millisecond, 50 * time.Millisecond}

// ErrUnanswered tells that a hub did not answer an ask. Whether it has taken the tokens is not
// known; they are not spent.
var ErrUnanswered = errors.New("the instance asked did not answer")

// Ask asks a hub for tokens.
func (x *Exchange) Ask(ctx context.Context, hub string, a Ask) (Grant, error) {
	a.ID = rand.Uint64()
	answer := make(chan Grant, 1)
	x.mu.Lock()
	p, known := x.peers[hub]
	x.pending[a.ID] = answer
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.pending, a.ID)
		x.mu.Unlock()
	}()
	if !known {
		return Grant{}, ErrUnanswered
	}
	for _, patience := range askTries {
		x.sendAlone(hub, p.address, &Report{Ask: &a})
		timer := time.NewTimer(patience)
		select {
		case g := <-answer:
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

// grant answers an ask.
func (x *Exchange) grant(now time.Duration, r *Report, from netip.AddrPort) {
	g := x.handler.HandleAsk(now, r.run(), *r.Ask)
	x.sendAlone(r.Instance, from, &Report{Grant: &g})
}

// sendAlone sends what stands alone in a datagram. Who waits for it sends again or goes elsewhere.
func (x *Exchange) sendAlone(to string, address netip.AddrPort, r *Report) {
	r.Instance, r.Incarnation, r.Fleet = x.self.Name, x.self.Incarnation, x.identity()
	data, err := r.marshal()
	if err != nil {
		x.logger.Error("datagram not sent", zap.String("peer", to), zap.Error(err))
		return
	}
	if _, err := x.conn.WriteToUDPAddrPort(data, address); err != nil {
		x.logger.Debug("datagram not sent", zap.String("peer", to), zap.Error(err))
	}
}

// granted hands an answer to the one who waits for it, if anybody does.
func (x *Exchange) granted(g Grant) {
	x.mu.Lock()
	answer := x.pending[g.ID]
	delete(x.pending, g.ID)
	x.mu.Unlock()
	if answer != nil {
		answer <- g
	}
}
