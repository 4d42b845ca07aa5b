package membership

import (
	"testing"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/fleetid/fleetidtest"
	membershipv1 "github.com/cairnworks/cairnworks/gen/cairnworks/membership/v1"
	"github.com/cairnworks/cairnworks/membership/gossip"
)

// inFleet returns a service's side that hears datagrams, of a fleet with an id and a name.
func inFleet(t *testing.T, id fleetid.ID, name string) *Service {
	t.Helper()
	cfg := Config{Secret: []byte("0123456789abcdef"), Fleet: fleetidtest.Verifier(t, id, name)}
	return &Service{cfg: cfg, codec: newCodec(cfg), metrics: newMetrics(tally.NoopScope)}
}

// hears reports whether one instance takes a datagram of another.
func hears(t *testing.T, to, from *Service) bool {
	t.Helper()
	datagram, err := from.codec.encode(gossip.Packet{Kind: gossip.Ping, From: "b"})
	assert.NilError(t, err)
	_, ok := to.read(datagram, "127.0.0.1:1")
	return ok
}

// An instance is a member by the log that it uses, whatever it calls the fleet: by another
// address of the log it would be refused though both must decide together, and by the same
// name on another log it would decide what it cannot know. Before the log has been read the
// name has to do, or nobody could restart while the log is down.
func TestMembersAreThoseOfOneLog(t *testing.T) {
	own := inFleet(t, 7, "rota")
	for _, test := range []struct {
		what  string
		other *Service
		heard bool
	}{
		{"same log", inFleet(t, 7, "rota"), true},
		{"same log by another name", inFleet(t, 7, "log.example"), true},
		{"another log by the same name", inFleet(t, 8, "rota"), false},
		{"log not read yet", inFleet(t, 0, "rota"), true},
		{"log not read yet, another name", inFleet(t, 0, "tickets"), false},
	} {
		assert.Equal(t, hears(t, own, test.other), test.heard, test.what)
		assert.Equal(t, hears(t, test.other, own), test.heard, test.what)
	}
}

// Versions before the fleet's id sign under the fleet's name and tell neither. In a rolling
// upgrade both versions must hear one another, or they are two fleets on one log.
func TestVersionsThatTellNoFleetAreHeardByTheirKey(t *testing.T) {
	own := inFleet(t, 7, "rota")
	before := func(name string) []byte {
		body, err := proto.Marshal(&membershipv1.Packet{Kind: membershipv1.Kind_KIND_PING, From: "b"})
		assert.NilError(t, err)
		return append(body, mac([]byte(fleetid.SigningKey("0123456789abcdef", name)), body)...)
	}
	_, ok := own.read(before("rota"), "127.0.0.1:1")
	assert.Assert(t, ok)
	_, ok = own.read(before("tickets"), "127.0.0.1:1")
	assert.Assert(t, !ok)

	datagram, err := own.codec.encode(gossip.Packet{Kind: gossip.Ping, From: "a"})
	assert.NilError(t, err)
	body := datagram[:len(datagram)-macBytes]
	assert.DeepEqual(t, datagram[len(body):], mac([]byte(fleetid.SigningKey("0123456789abcdef", "rota")), body))
}

// A name that is told and not signed under is a forgery.
func TestTheNameIsSigned(t *testing.T) {
	own := inFleet(t, 7, "rota")
	body, err := proto.Marshal(&membershipv1.Packet{Kind: membershipv1.Kind_KIND_PING, From: "b", FleetId: 7, FleetName: "tickets"})
	assert.NilError(t, err)
	forged := append(body, mac([]byte(fleetid.SigningKey("0123456789abcdef", "rota")), body)...)
	_, ok := own.read(forged, "127.0.0.1:1")
	assert.Assert(t, !ok)
}
