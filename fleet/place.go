package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"
)

// claimRefreshInterval is how often a waiting claim is sent again. This keeps the claim alive and
// recovers from a lost answer.
const claimRefreshInterval = 100 * time.Millisecond

// placeBufferSize is the number of unread answers to one claim that are buffered; any further ones
// have the same content.
const placeBufferSize = 4

// ClaimTTL is how long the home keeps a waiting claim that is not refreshed. Three refreshes in a row
// are rarely lost.
const ClaimTTL = 3*claimRefreshInterval + 50*time.Millisecond

// RequestPlace asks a hub for a place at an engine and waits until one is assigned or refused.
func (x *Exchange) RequestPlace(ctx context.Context, hub string, c Claim) (Place, error) {
	c.ID = rand.Uint64()
	answers := make(chan Place, placeBufferSize)
	x.mu.Lock()
	p, known := x.peers[hub]
	x.pendingClaims[c.ID] = answers
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.pendingClaims, c.ID)
		x.mu.Unlock()
	}()
	if !known {
		return Place{}, ErrUnanswered
	}
	place, err := x.waitForPlace(ctx, p, &c, answers)
	if ctx.Err() != nil && (err != nil || place.State != PlaceGiven) {
		x.EndClaim(hub, c)
		return Place{}, ctx.Err()
	}
	if err != nil && c.Once {
		// The home may have received the claim, and only its answer is lost. Without this message it would hold
		// the place until the next report.
		x.EndClaim(hub, c)
	}
	return place, err
}

// EndClaim tells a hub that a claim is over. It is not answered.
func (x *Exchange) EndClaim(hub string, c Claim) {
	x.mu.Lock()
	p, known := x.peers[hub]
	x.mu.Unlock()
	if known {
		c.Over = true
		x.sendSingle(hub, p.address, &Report{Claim: &c})
	}
}

// Offers reports whether the last report of another instance has announced all of the given features.
func (x *Exchange) Offers(instance string, features Features) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p, known := x.peers[instance]
	return known && p.features&features == features
}

// waitForPlace sends a claim until it is decided. It returns ErrUnanswered if the home does not answer
// within the timeouts of an ask.
func (x *Exchange) waitForPlace(ctx context.Context, p *peer, c *Claim, answers <-chan Place) (Place, error) {
	started := time.Now()
	waited, left := c.Waited, c.Left
	timeouts := askTimeouts
	if c.Once {
		timeouts = timeouts[:1]
	}
	for tries := 0; tries < len(timeouts); tries++ {
		passed := time.Since(started)
		c.Waited, c.Left = waited+passed, left-passed
		x.sendSingle(p.Name, p.address, &Report{Claim: c})
		timer := time.NewTimer(timeouts[tries])
		for pending := true; pending; {
			select {
			case <-ctx.Done():
				timer.Stop()
				return Place{}, ctx.Err()
			case place := <-answers:
				if place.State != PlaceWaiting {
					timer.Stop()
					return place, nil
				}
				tries, timeouts = -1, askTimeouts
				timer.Reset(claimRefreshInterval)
			case <-timer.C:
				pending = false
			}
		}
	}
	return Place{}, ErrUnanswered
}

// handleClaim passes a claim to the handler, which answers it one or more times.
func (x *Exchange) handleClaim(now time.Duration, r *Report, from netip.AddrPort) {
	if x.stalled(now) {
		// The sender has asked another instance in the meantime.
		return
	}
	to := r.Instance
	x.handler.HandleClaim(now, to, *r.Claim, func(place Place) { x.sendSingle(to, from, &Report{Place: &place}) })
}

// deliverPlace passes an answer to the pending claim, if there is one.
func (x *Exchange) deliverPlace(p Place) {
	x.mu.Lock()
	answers := x.pendingClaims[p.ID]
	x.mu.Unlock()
	select {
	case answers <- p:
	default:
		// No claim is pending, or the buffer is full of answers with the same content.
	}
}

// SendLoads immediately sends a hub the current loads of some upstreams.
func (x *Exchange) SendLoads(hub string, loads map[Hash]Load) {
	x.mu.Lock()
	p, known := x.peers[hub]
	x.sequence++
	sequence := x.sequence
	x.mu.Unlock()
	if known {
		x.sendSingle(hub, p.address, &Report{Sequence: sequence, Partial: true, Loads: loads})
	}
}

// handleLoads processes loads that have changed at another instance. It leaves the times of the
// sender's last complete report unchanged, because as-of times are computed from them.
func (x *Exchange) handleLoads(now time.Duration, r *Report) {
	if x.stalled(now) {
		return
	}
	x.mu.Lock()
	last, heard := x.last[r.run()]
	newer := heard && r.Sequence > last.sequence
	if newer {
		last.sequence = r.Sequence
		x.last[r.run()] = last
	}
	x.mu.Unlock()
	if newer {
		x.handler.HandleLoads(now, r.Instance, r.Loads)
	}
}

// Home returns the hub that is responsible for a subject, such as a service, and whether it is this
// instance. Instances that know the same hubs return the same one.
func (x *Exchange) Home(subject string) (Hub, bool) {
	best, lowest := Hub{Name: x.self.Name, Run: RunOf(x.self.Name, x.self.Incarnation)}, Hash(0)
	for i, h := range x.Hubs() {
		if rank := HashOf(subject + h.Name); i == 0 || rank < lowest {
			best, lowest = h, rank
		}
	}
	return best, best.Name == x.self.Name
}
