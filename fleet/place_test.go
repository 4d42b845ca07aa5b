package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// claimers are two instances: one that claims places and its home.
func claimers(t *testing.T, claim func(c Claim, answer func(Place))) (a *Exchange, home *taker) {
	t.Helper()
	a, _ = newExchange(t, "a")
	b, home := newExchange(t, "b")
	home.claim = claim
	a.SetMembers([]Member{{Name: "b", Incarnation: 1, Address: b.self.Address}})
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go func() { _ = a.Run(ctx) }()
	go func() { _ = b.Run(ctx) }()
	return a, home
}

// Guards against a request that goes elsewhere while its home lets it wait for room.
func TestClaimWaitsUntilItIsDecided(t *testing.T) {
	var heard atomic.Int32
	a, home := claimers(t, func(c Claim, answer func(Place)) {
		state := PlaceWaiting
		if heard.Add(1) > 3 {
			state = PlaceGiven
		}
		answer(Place{ID: c.ID, State: state, Upstream: 9})
	})
	place, err := a.Claim(t.Context(), "b", Claim{Service: 1, Tokens: 5, Left: time.Minute})
	assert.NilError(t, err)
	assert.Equal(t, place.State, PlaceGiven)
	assert.Equal(t, place.Upstream, Hash(9))
	home.mu.Lock()
	defer home.mu.Unlock()
	first, last := home.claims[0], home.claims[len(home.claims)-1]
	assert.Equal(t, first.ID, last.ID)
	assert.Assert(t, last.Waited > first.Waited && last.Left < first.Left)
}

// Guards against a request that waits for good since its answer was lost.
func TestLostPlaceIsAnsweredAgain(t *testing.T) {
	var heard atomic.Int32
	a, _ := claimers(t, func(c Claim, answer func(Place)) {
		if heard.Add(1) > 1 {
			answer(Place{ID: c.ID, State: PlaceRefused, Retry: time.Second})
		}
	})
	place, err := a.Claim(t.Context(), "b", Claim{})
	assert.NilError(t, err)
	assert.Equal(t, place.State, PlaceRefused)
	assert.Equal(t, place.Retry, time.Second)
}

// Guards against requests that hang on a home that has ended.
func TestClaimAtASilentHomeEnds(t *testing.T) {
	a, _ := claimers(t, nil)
	_, err := a.Claim(t.Context(), "b", Claim{})
	assert.ErrorIs(t, err, ErrUnanswered)
	_, err = a.Claim(t.Context(), "nobody", Claim{})
	assert.ErrorIs(t, err, ErrUnanswered)
	a.placed(Place{ID: 7})
}

// Guards against memory that is claimed for callers who have left.
func TestClaimOfACallerWhoLeftIsWithdrawn(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	a, home := claimers(t, func(c Claim, answer func(Place)) {
		answer(Place{ID: c.ID, State: PlaceWaiting})
		leave()
	})
	_, err := a.Claim(ctx, "b", Claim{})
	assert.ErrorIs(t, err, context.Canceled)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		home.mu.Lock()
		defer home.mu.Unlock()
		if home.claims[len(home.claims)-1].Over {
			return poll.Success()
		}
		return poll.Continue("not withdrawn yet")
	}, poll.WithTimeout(30*time.Second))
}

// Guards against proofs that are dated by a datagram that only tells of loads.
func TestLoadsLeaveTheDateOfTheLastReport(t *testing.T) {
	x, k := newExchange(t, "a")
	defer x.conn.Close()
	r := &Report{Instance: "b", Incarnation: 1, Sequence: 5, Made: time.Second}
	now := x.wake()
	assert.Assert(t, x.accept(now, r))
	x.takeLoads(now, &Report{Instance: "b", Incarnation: 1, Sequence: 6, Loads: map[Hash]Load{3: {Requests: 1, Tokens: 2}}})
	assert.Equal(t, x.heardOf(now, r.run()).Made, time.Second)
	assert.Equal(t, len(k.loads), 1)
	x.takeLoads(now, &Report{Instance: "b", Incarnation: 1, Sequence: 4})
	x.takeLoads(now, &Report{Instance: "stranger", Incarnation: 1, Sequence: 9})
	assert.Equal(t, len(k.loads), 1, "overtaken and unknown ones are dropped")
}

// Guards against instances that ask different homes though they know the same hubs, and against
// a home that is not the one that orders changes of roles.
func TestAllNameTheSameHome(t *testing.T) {
	var all []Member
	for _, name := range []string{"a", "b", "c", "d"} {
		all = append(all, Member{Name: name, Incarnation: 1, Address: "127.0.0.1:9"})
	}
	homes := make(map[string]bool)
	for i, m := range all {
		x, _ := newExchange(t, m.Name)
		x.SetMembers(append(append([]Member{}, all[:i]...), all[i+1:]...))
		home, own := x.Home("drafts")
		homes[home.Name] = true
		assert.Equal(t, own, x.Rank("drafts") == 0)
		assert.NilError(t, x.conn.Close())
	}
	assert.Equal(t, len(homes), 1)
}
