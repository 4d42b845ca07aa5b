package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"
)

// claimRefresh is how often a claim that waits is sent again. It keeps the claim alive, and
// brings the answer if that was lost.
const claimRefresh = 100 * time.Millisecond

// answersHeld is how many answers to one claim may wait to be read; further ones say the same.
const answersHeld = 4

// ClaimTTL is how long a claim that is not sent again waits at its home: three refreshes in a
// row are seldom lost.
const ClaimTTL = 3*claimRefresh + 50*time.Millisecond

// Claim asks a hub for a place at an engine, and waits until it is given or refused.
func (x *Exchange) Claim(ctx context.Context, hub string, c Claim) (Place, error) {
	c.ID = rand.Uint64()
	answers := make(chan Place, answersHeld)
	x.mu.Lock()
	p, known := x.peers[hub]
	x.claims[c.ID] = answers
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.claims, c.ID)
		x.mu.Unlock()
	}()
	if !known {
		return Place{}, ErrUnanswered
	}
	place, err := x.awaitPlace(ctx, p, &c, answers)
	if ctx.Err() != nil && (err != nil || place.State != PlaceGiven) {
		c.Over = true
		x.sendAlone(hub, p.address, &Report{Claim: &c})
		return Place{}, ctx.Err()
	}
	return place, err
}

// awaitPlace sends a claim until it is decided. A home that is silent for as long as one that
// does not answer asks counts as gone.
func (x *Exchange) awaitPlace(ctx context.Context, p *peer, c *Claim, answers <-chan Place) (Place, error) {
	begun := time.Now()
	waited, left := c.Waited, c.Left
	for tries := 0; tries < len(askTries); tries++ {
		passed := time.Since(begun)
		c.Waited, c.Left = waited+passed, left-passed
		x.sendAlone(p.Name, p.address, &Report{Claim: c})
		timer := time.NewTimer(askTries[tries])
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
				tries = -1
				timer.Reset(claimRefresh)
			case <-timer.C:
				pending = false
			}
		}
	}
	return Place{}, ErrUnanswered
}

// claimed hands a claim to the handler, which answers it once or more often.
func (x *Exchange) claimed(now time.Duration, r *Report, from netip.AddrPort) {
	if x.stalled(now) {
		// Who asked has gone elsewhere meanwhile.
		return
	}
	to := r.Instance
	x.handler.HandleClaim(now, to, *r.Claim, func(place Place) { x.sendAlone(to, from, &Report{Place: &place}) })
}

// placed hands an answer to the one who waits for it, if anybody does.
func (x *Exchange) placed(p Place) {
	x.mu.Lock()
	answers := x.claims[p.ID]
	x.mu.Unlock()
	select {
	case answers <- p:
	default:
		// Nobody waits, or the same was answered several times.
	}
}

// TellLoads tells a hub at once what is placed at some upstreams now.
func (x *Exchange) TellLoads(hub string, loads map[Hash]Load) {
	x.mu.Lock()
	p, known := x.peers[hub]
	x.sequence++
	sequence := x.sequence
	x.mu.Unlock()
	if known {
		x.sendAlone(hub, p.address, &Report{Sequence: sequence, Partial: true, Loads: loads})
	}
}

// takeLoads takes in what has changed at another instance. What proofs are dated by stays that of
// its last report.
func (x *Exchange) takeLoads(now time.Duration, r *Report) {
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

// Home is the hub that decides on a subject, and whether that is this instance. Of hubs that
// all know the same, all name the same one.
func (x *Exchange) Home(subject string) (Hub, bool) {
	best, lowest := Hub{Name: x.self.Name, Run: RunOf(x.self.Name, x.self.Incarnation)}, Hash(0)
	for i, h := range x.Hubs() {
		if rank := HashOf(subject + h.Name); i == 0 || rank < lowest {
			best, lowest = h, rank
		}
	}
	return best, best.Name == x.self.Name
}
