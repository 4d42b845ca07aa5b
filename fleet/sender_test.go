package fleet

import (
	"context"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/fleetid/fleetidtest"
)

// newExchangeOf returns an exchange in a fleet with the given ID and name.
func newExchangeOf(t *testing.T, instance string, id fleetid.ID, name string) (*Exchange, *fakeHandler) {
	t.Helper()
	x, handler := newExchange(t, instance)
	x.SetFleet(fleetidtest.Verifier(t, id, name))
	t.Cleanup(func() { x.conn.Close() })
	return x, handler
}

// roundTrip returns a report of from, encoded and decoded. If nameless is set, the report does not
// contain the fleet name.
func roundTrip(t *testing.T, from *Exchange, nameless bool) *Report {
	t.Helper()
	r := &Report{Instance: from.self.Name, Incarnation: from.self.Incarnation, Sequence: 1, Fleet: from.Identity()}
	if nameless {
		r.Fleet.Name = ""
	}
	data, err := r.marshal()
	assert.NilError(t, err)
	got, err := unmarshal(data)
	assert.NilError(t, err)
	return got
}

func localAddr(x *Exchange) netip.AddrPort { return netip.MustParseAddrPort(x.self.Address) }

// If an instance of another deployment is assigned an address that this fleet still lists, each sends
// reports to the other. If it were accepted, it would be counted in quotas and engine memory, and each
// deployment would apply the other's configuration.
func TestReportsOfOtherFleetsAreRejected(t *testing.T) {
	own, _ := newExchangeOf(t, "a", 7, "10.0.0.1:1")
	for _, test := range []struct {
		what     string
		id       fleetid.ID
		name     string
		accepted bool
	}{
		{"same store", 7, "10.0.0.1:1", true},
		{"same store at another address", 7, "10.9.9.9:1", true},
		{"another store at the same address", 8, "10.0.0.1:1", false},
		{"store not reached yet", 0, "10.0.0.1:1", false},
		{"store not reached yet, another address", 0, "10.9.9.9:1", false},
	} {
		other, _ := newExchangeOf(t, "b", test.id, test.name)
		assert.Equal(t, own.inOwnFleet(roundTrip(t, other, false), localAddr(other)), test.accepted, test.what)
		assert.Equal(t, other.inOwnFleet(roundTrip(t, own, false), localAddr(own)), test.accepted, test.what)
	}
	fresh, _ := newExchangeOf(t, "b", 0, "10.0.0.1:1")
	for _, nameless := range []bool{false, true} {
		assert.Assert(t, !fresh.inOwnFleet(roundTrip(t, own, nameless), localAddr(own)), "accepted without an ID")
	}
	known, _ := newExchangeOf(t, "b", 7, "10.0.0.1:1")
	assert.Assert(t, known.inOwnFleet(roundTrip(t, own, true), localAddr(own)))
}

// Tests the rejection of other fleets over sockets: while the stranger keeps sending, a member joins,
// and only the member's reports are accepted and recorded.
func TestStrangerIsNotRecorded(t *testing.T) {
	own, handler := newExchangeOf(t, "a", 7, "store")
	introduced := make(chan string, 100)
	own.OnReport(func(m Member) { introduced <- m.Name })
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	stranger, _ := newExchangeOf(t, "stranger", 8, "store")
	member, _ := newExchangeOf(t, "member", 7, "store")
	for _, x := range []*Exchange{stranger, member} {
		x.SetMembers([]Member{{Name: "a", Incarnation: 1, Address: own.self.Address}})
	}
	for range 3 {
		stranger.send(true)
	}
	go func() { _ = own.Run(ctx) }()
	go func() { _ = member.Run(ctx) }()
	<-handler.received
	assert.Equal(t, <-introduced, "member")
	handler.mu.Lock()
	defer handler.mu.Unlock()
	for _, r := range handler.reports {
		assert.Equal(t, r.Instance, "member")
	}
}

// Versions without fleet IDs do not send their fleet. During a rolling upgrade they are recognised by
// the store's list. If they were rejected, both versions would each spend every quota separately.
func TestReportsWithoutFleetRequireKnownRun(t *testing.T) {
	own, _ := newExchangeOf(t, "a", 7, "store")
	before, _ := newExchange(t, "b")
	defer before.conn.Close()
	assert.Assert(t, !own.inOwnFleet(roundTrip(t, before, false), localAddr(before)))
	own.SetMembers([]Member{{Name: "b", Incarnation: 1, Address: before.self.Address}})
	assert.Assert(t, own.inOwnFleet(roundTrip(t, before, false), localAddr(before)))
	own.SetMembers([]Member{{Name: "b", Incarnation: 2, Address: before.self.Address}})
	assert.Assert(t, !own.inOwnFleet(roundTrip(t, before, false), localAddr(before)), "an earlier run")
}
