package fleet

import (
	"context"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/fleetid/fleetidtest"
)

// of returns an exchange of a fleet with an id and a name.
func of(t *testing.T, instance string, id fleetid.ID, name string) (*Exchange, *taker) {
	t.Helper()
	x, taken := newExchange(t, instance)
	x.SetFleet(fleetidtest.Verifier(t, id, name))
	t.Cleanup(func() { x.conn.Close() })
	return x, taken
}

// sent returns a report of an instance as it arrives at another.
func sent(t *testing.T, from *Exchange, nameless bool) *Report {
	t.Helper()
	r := &Report{Instance: from.self.Name, Incarnation: from.self.Incarnation, Sequence: 1, Fleet: from.identity()}
	if nameless {
		r.Fleet.Name = ""
	}
	data, err := r.marshal()
	assert.NilError(t, err)
	got, err := unmarshal(data)
	assert.NilError(t, err)
	return got
}

func boundTo(x *Exchange) netip.AddrPort { return netip.MustParseAddrPort(x.self.Address) }

// Another deployment's instance was given an address that this one's list still names, and
// each sends its reports there. Taken for one of the fleet it is counted in quotas and engine
// memory, and each deployment applies the other's configuration.
func TestReportsOfAnotherFleetAreNotTaken(t *testing.T) {
	own, _ := of(t, "a", 7, "10.0.0.1:1")
	for _, test := range []struct {
		what  string
		id    fleetid.ID
		name  string
		heard bool
	}{
		{"same store", 7, "10.0.0.1:1", true},
		{"same store at another address", 7, "10.9.9.9:1", true},
		{"another store at the same address", 8, "10.0.0.1:1", false},
		{"store not reached yet", 0, "10.0.0.1:1", false},
		{"store not reached yet, another address", 0, "10.9.9.9:1", false},
	} {
		other, _ := of(t, "b", test.id, test.name)
		assert.Equal(t, own.ownFleet(sent(t, other, false), boundTo(other)), test.heard, test.what)
		assert.Equal(t, other.ownFleet(sent(t, own, false), boundTo(own)), test.heard, test.what)
	}
	fresh, _ := of(t, "b", 0, "10.0.0.1:1")
	for _, nameless := range []bool{false, true} {
		assert.Assert(t, !fresh.ownFleet(sent(t, own, nameless), boundTo(own)), "heard without an id")
	}
	known, _ := of(t, "b", 7, "10.0.0.1:1")
	assert.Assert(t, known.ownFleet(sent(t, own, true), boundTo(own)))
}

// The same over sockets: the stranger goes on sending, a member joins, and only the member's
// reports are taken and introduce anybody.
func TestAStrangerIsNotIntroduced(t *testing.T) {
	own, taken := of(t, "a", 7, "store")
	introduced := make(chan string, 100)
	own.OnReport(func(m Member) { introduced <- m.Name })
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	stranger, _ := of(t, "stranger", 8, "store")
	member, _ := of(t, "member", 7, "store")
	for _, x := range []*Exchange{stranger, member} {
		x.SetMembers([]Member{{Name: "a", Incarnation: 1, Address: own.self.Address}})
	}
	for range 3 {
		stranger.send(true)
	}
	go func() { _ = own.Run(ctx) }()
	go func() { _ = member.Run(ctx) }()
	<-taken.got
	assert.Equal(t, <-introduced, "member")
	taken.mu.Lock()
	defer taken.mu.Unlock()
	for _, r := range taken.taken {
		assert.Equal(t, r.Instance, "member")
	}
}

// Versions before the fleet's id tell nothing of their fleet. In a rolling upgrade they are
// known by the store's list: unheard, both versions would spend every quota by themselves.
func TestReportsWithoutAFleetNeedAnEntry(t *testing.T) {
	own, _ := of(t, "a", 7, "store")
	before, _ := newExchange(t, "b")
	defer before.conn.Close()
	assert.Assert(t, !own.ownFleet(sent(t, before, false), boundTo(before)))
	own.SetMembers([]Member{{Name: "b", Incarnation: 1, Address: before.self.Address}})
	assert.Assert(t, own.ownFleet(sent(t, before, false), boundTo(before)))
	own.SetMembers([]Member{{Name: "b", Incarnation: 2, Address: before.self.Address}})
	assert.Assert(t, !own.ownFleet(sent(t, before, false), boundTo(before)), "an earlier run")
}
