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

// Config configures a Service.
type Config struct {
	// Holder identifies this instance. Its Address is the peer address; gossip uses
	// the same IP and port over UDP. Port 0 selects a free port. Incarnation 0
	// selects the start time in milliseconds.
	Holder          request.Holder
	DataCentre      string
	OperatorAddress string
	// Seeds are the addresses of other instances, IP:port.
	Seeds []string
	// List is the platform's instance list, or nil if there is none.
	List port.InstanceList
	// Secret is the shared secret of the fleet that authenticates datagrams. It has
	// at least MinSecretBytes.
	Secret []byte
	// AdditionalSecrets are accepted in received datagrams but do not sign. A secret is
	// rotated in three rollouts: accept the new one, sign with it and accept the old
	// one, drop the old one. If it were replaced in a single rollout, the instances
	// already restarted and the others would declare each other dead.
	AdditionalSecrets [][]byte
	// Fleet distinguishes datagrams of this fleet from those of other fleets with the
	// same secret. If it is nil, datagrams of any instance with the secret are
	// accepted.
	Fleet *fleetid.Verifier
	// Hints returns additional addresses of instances, such as those recorded in the
	// fleet's log. It may be nil.
	Hints func() []string
	// Conn is the UDP socket. If it is nil, New listens on Holder.Address. Run closes
	// it.
	Conn net.PacketConn
	// Protocol overrides the protocol parameters in tests; its Self and Seeds are set
	// from the fields above.
	Protocol gossip.Config
	// System runs the protocol actor. If it is nil, New creates one.
	System  *actor.ActorSystem
	Logger  *zap.Logger
	Metrics tally.Scope
}

// MinSecretBytes is the minimum length of the shared secret. Shorter secrets can be
// found by brute force.
const MinSecretBytes = 16

func (c Config) validate() error {
	var errs []error
	if c.Holder.Instance == "" {
		errs = append(errs, errors.New("instance name is missing"))
	}
	for _, secret := range c.secrets() {
		if len(secret) < MinSecretBytes {
			errs = append(errs, errors.New("gossip secret is shorter than 16 bytes"))
		}
	}
	for _, address := range append([]string{c.Holder.Address}, c.Seeds...) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// secrets returns all accepted secrets; the first one signs.
func (c Config) secrets() [][]byte {
	return append([][]byte{c.Secret}, c.AdditionalSecrets...)
}
