package routed

import (
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/relay"
)

// relayNetwork provides the instances that can relay requests.
type relayNetwork struct{ *fleet.Exchange }

// Peers implements relay.Network.
func (n relayNetwork) Peers() []relay.Peer {
	members := n.Working()
	peers := make([]relay.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, relay.Peer{Name: m.Name, Address: m.Address})
	}
	return peers
}

// HasPeers implements relay.Network.
func (n relayNetwork) HasPeers() bool { return n.KnowsOthers() }

// relayBodyFraction is the fraction of the memory for request bodies that those of requests relayed for
// others may use.
const relayBodyFraction = 0.25

// connectRelay lets the transport use other instances.
func (i *Instance) connectRelay() {
	i.adapters.Transport.Connect(relay.Options{
		Instance: i.settings.Instance, Network: relayNetwork{i.exchange}, Directory: i.state.Directory, Log: i.log, Scope: i.metrics.Scope,
		MaxBodyBytes: int64(relayBodyFraction * float64(i.maxBufferedBodyBytes())),
	})
}
