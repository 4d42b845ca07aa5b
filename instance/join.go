package instance

import (
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/membership"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/peer"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/settings"
	"github.com/cairnworks/cairnworks/tlsfile"
)

// loopbackSecret is the peer secret if the settings name no secret file, which is allowed on
// loopback addresses only.
const loopbackSecret = "loopback addresses only"

// peerSecret returns the secret that the instances of the fleet share.
func peerSecret(s settings.Settings) (string, error) {
	secret, err := readSecret(s.Peers.SecretFile)
	if err != nil {
		return "", err
	}
	switch {
	case secret == "":
		secret = loopbackSecret
	case len(secret) < membership.MinSecretBytes:
		return "", oops.In("instance").With("file", s.Peers.SecretFile).Errorf("the peer secret is shorter than %d bytes", membership.MinSecretBytes)
	}
	return secret, nil
}

// buildFleetID creates the verifier of the fleet ID, which distinguishes this fleet's instances from
// those of other fleets.
func (i *Instance) buildFleetID() {
	store := fleetid.NewLogStore(i.platform.log, i.logRetention())
	i.fleetID = fleetid.NewVerifier(fleetid.VerifierConfig{
		Store: store, Name: i.settings.FleetName(), Interval: store.Interval(), Logger: i.log, Metrics: i.metrics.Scope,
	})
}

// buildMembership creates the membership service and the configuration follower.
func (i *Instance) buildMembership(secret string) error {
	clientTLS, err := tlsfile.Client(i.settings.Peers.TLS)
	if err != nil {
		return err
	}
	i.peers = peer.NewTransport(clientTLS, secret, peer.WithFleet(i.fleetID))
	i.members, err = membership.New(membership.Config{
		Holder: request.Holder{
			Instance: i.settings.Instance, Incarnation: uint64(time.Now().UnixMilli()), Address: i.Addresses().Peers,
		},
		DataCentre: i.settings.DataCentre, OperatorAddress: i.Addresses().Operators,
		Seeds: i.settings.Peers.Seeds, List: i.platform.list, Secret: []byte(secret), Fleet: i.fleetID, Hints: i.rateHomeAddresses,
		Conn: i.listeners.gossip, System: i.actors,
		Logger: i.log, Metrics: i.metrics.Scope,
	})
	if err != nil {
		return err
	}
	i.initialRun = i.self()
	i.follower = config.NewFollower(config.FollowerConfig{
		Log: i.platform.log, Self: i.Addresses().Peers, Peers: i.configPeers, Dial: i.dialConfig,
		Retention: i.logRetention(), Seed: uint64(time.Now().UnixNano()), Logger: i.log, Metrics: i.metrics,
	})
	i.registerCallbacks()
	return nil
}

// registerCallbacks registers the handlers for changes of the configuration and the membership.
func (i *Instance) registerCallbacks() {
	i.follower.Subscribe(i.applyConfig)
	i.members.OnNewerConfig(func(peer membership.Member, version uint64) {
		i.follower.ObservePeerVersion(peer.Address, version)
	})
	i.members.OnChange(func([]membership.Member) { i.refreshSchedulers() })
	i.members.OnNewIncarnation(func(previous, current uint64) {
		i.log.Warn("declared dead while paused", zap.Uint64("old_incarnation", previous), zap.Uint64("incarnation", current))
		i.schedulerClient.DropAll()
	})
}

// applyConfig activates a new object set.
func (i *Instance) applyConfig(index *object.Index) {
	i.members.SetConfigVersion(index.Version())
	cancelled := i.openRequests.cancelUnusable(index)
	i.refreshSchedulers()
	i.log.Info("configuration in force", zap.Uint64("version", index.Version()), zap.Int("requests_ended", cancelled))
}

func (i *Instance) refreshSchedulers() {
	if index := i.index(); index != nil && i.scheduler != nil {
		i.scheduler.Refresh(index.Set().Services)
	}
}

// configPeers returns the peers from which a configuration can be fetched.
func (i *Instance) configPeers() []config.Peer {
	var peers []config.Peer
	self := i.self()
	for _, m := range i.members.Members() {
		if m.Instance != self.Instance {
			peers = append(peers, config.Peer{Address: m.Address, Version: m.ConfigVersion})
		}
	}
	return peers
}

func (i *Instance) dialConfig(address string) peerv1connect.ConfigServiceClient {
	return peerv1connect.NewConfigServiceClient(i.peers, i.peers.URL(address))
}
