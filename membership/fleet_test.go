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

// newFleetService returns a service of the fleet with the given id and name that can only
// encode and decode datagrams.
func newFleetService(t *testing.T, id fleetid.ID, name string) *Service {
	t.Helper()
	cfg := Config{Secret: []byte("0123456789abcdef"), Fleet: fleetidtest.Verifier(t, id, name)}
	return &Service{cfg: cfg, codec: newCodec(cfg), metrics: newMetrics(tally.NoopScope)}
}

// accepts reports whether one instance accepts a datagram of another.
func accepts(t *testing.T, to, from *Service) bool {
	t.Helper()
	datagram, err := from.codec.encode(gossip.Packet{Kind: gossip.Ping, From: "b"})
	assert.NilError(t, err)
	_, ok := to.decodeDatagram(datagram, "127.0.0.1:1")
	return ok
}

// Members are instances that use the same log, whatever name they give the fleet. If the name
// decided, instances that reach one log at different addresses would reject each other though
// they must decide together, and an instance of another log with the same name would take part
// in decisions that it lacks the data for. Until the log has been read, the name decides;
// otherwise no instance could restart while the log is down.
func TestMembersUseSameLog(t *testing.T) {
	own := newFleetService(t, 7, "rota")
	for _, test := range []struct {
		name     string
		other    *Service
		accepted bool
	}{
		{"same log", newFleetService(t, 7, "rota"), true},
		{"same log by another name", newFleetService(t, 7, "log.example"), true},
		{"another log by the same name", newFleetService(t, 8, "rota"), false},
		{"log not read yet", newFleetService(t, 0, "rota"), true},
		{"log not read yet, another name", newFleetService(t, 0, "tickets"), false},
	} {
		assert.Equal(t, accepts(t, own, test.other), test.accepted, test.name)
		assert.Equal(t, accepts(t, test.other, own), test.accepted, test.name)
	}
}

// Versions from before fleet ids sign with a key derived from the fleet name and send neither
// id nor name. In a rolling upgrade, both versions must accept each other's datagrams;
// otherwise they would form two fleets on one log.
func TestVersionsWithoutFleetIDAreAcceptedByKey(t *testing.T) {
	own := newFleetService(t, 7, "rota")
	oldDatagram := func(name string) []byte {
		body, err := proto.Marshal(&membershipv1.Packet{Kind: membershipv1.Kind_KIND_PING, From: "b"})
		assert.NilError(t, err)
		return append(body, mac([]byte(fleetid.SigningKey("0123456789abcdef", name)), body)...)
	}
	_, ok := own.decodeDatagram(oldDatagram("rota"), "127.0.0.1:1")
	assert.Assert(t, ok)
	_, ok = own.decodeDatagram(oldDatagram("tickets"), "127.0.0.1:1")
	assert.Assert(t, !ok)

	datagram, err := own.codec.encode(gossip.Packet{Kind: gossip.Ping, From: "a"})
	assert.NilError(t, err)
	body := datagram[:len(datagram)-macBytes]
	assert.DeepEqual(t, datagram[len(body):], mac([]byte(fleetid.SigningKey("0123456789abcdef", "rota")), body))
}

// A datagram whose MAC was made with the key of another fleet name than the one it contains is
// forged and must be rejected.
func TestFleetNameIsAuthenticated(t *testing.T) {
	own := newFleetService(t, 7, "rota")
	body, err := proto.Marshal(&membershipv1.Packet{Kind: membershipv1.Kind_KIND_PING, From: "b", FleetId: 7, FleetName: "tickets"})
	assert.NilError(t, err)
	forged := append(body, mac([]byte(fleetid.SigningKey("0123456789abcdef", "rota")), body)...)
	_, ok := own.decodeDatagram(forged, "127.0.0.1:1")
	assert.Assert(t, !ok)
}
