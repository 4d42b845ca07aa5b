package membership

import (
	"errors"
	"net"
	"net/netip"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/membership/gossip"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
)

// Config is what a Service needs.
type Config struct {
	// Holder is this instance. Its Address is the peer address; gossip is sent
	// from and received at the same IP and port over UDP. A port of 0 takes a free
	// one. An Incarnation of 0 takes the start time in milliseconds.
	Holder          request.Holder
	DataCentre      string
	OperatorAddress string
	// Seeds are addresses of other instances, IP:port.
	Seeds []string
	// List is the platform's list, nil when there is none.
	List port.InstanceList
	// Secret authenticates the datagrams; it is shared by the fleet and has at
	// least MinSecret bytes.
	Secret []byte
	// AlsoAccepted are further secrets that received datagrams may carry. A secret
	// is replaced in three rollouts: accept the new one, sign with it and accept the
	// old one, drop the old one. Replaced in one, it would split the fleet into
	// those that have restarted and those that haven't, each declaring the other
	// dead.
	AlsoAccepted [][]byte
	// Fleet tells datagrams of this fleet from those of others that hold the same secret;
	// nil hears whoever holds it.
	Fleet *fleetid.Verifier
	// Hints returns further addresses of instances, such as those that the fleet's log
	// names; nil has none.
	Hints func() []string
	// Conn is the UDP socket; nil listens at Holder.Address. Run closes it.
	Conn net.PacketConn
	// Protocol overrides the protocol's figures in tests; its Self and Seeds are
	// set from the fields above.
	Protocol gossip.Config
	// System runs the actor; nil makes one.
	System  *actor.ActorSystem
	Logger  *zap.Logger
	Metrics tally.Scope
}

// MinSecret is the least length of the shared secret in bytes. Shorter ones can be
// found by trying.
const MinSecret = 16

func (c Config) check() error {
	var errs []error
	if c.Holder.Instance == "" {
		errs = append(errs, errors.New("instance name missing"))
	}
	for _, secret := range c.secrets() {
		if len(secret) < MinSecret {
			errs = append(errs, errors.New("gossip secret shorter than 16 bytes"))
		}
	}
	for _, address := range append([]string{c.Holder.Address}, c.Seeds...) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// secrets returns all that are accepted, the one that signs first.
func (c Config) secrets() [][]byte {
	return append([][]byte{c.Secret}, c.AlsoAccepted...)
}
