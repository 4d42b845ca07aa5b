package instance

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/membership"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/peer"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/settings"
	"github.com/cairnworks/cairnworks/tlsfile"
)

// loopbackSecret authenticates instances when the settings name no secret file,
// which they may leave out on loopback addresses only.
const loopbackSecret = "loopback addresses only"

// fleetSecret is the secret that instances of one fleet share. The fleet's name is part of
// it. An instance of a second fleet, such as a test system with the same secret or an old
// seed address that another fleet uses by now, would otherwise become a member: it decides
// on idempotency keys by another log, and a call that may run once runs once a log. One
// would notice by two addresses of one name that declare each other dead in turn. Refused so,
// it shows as unauthenticated datagrams.
func fleetSecret(s settings.Settings) (string, error) {
	secret, err := readSecret(s.Peers.SecretFile)
	if err != nil {
		return "", err
	}
	switch {
	case secret == "":
		secret = loopbackSecret
	case len(secret) < membership.MinSecret:
		return "", oops.In("instance").With("file", s.Peers.SecretFile).Errorf("the secret has fewer than %d bytes", membership.MinSecret)
	}
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte(s.FleetName()))
	return hex.EncodeToString(h.Sum(nil)), nil
}

// joinFleet prepares membership and the configuration's follower.
func (i *Instance) joinFleet(secret string) error {
	clientTLS, err := tlsfile.Client(i.settings.Peers.TLS)
	if err != nil {
		return err
	}
	i.peers = peer.NewTransport(clientTLS, secret)
	i.members, err = membership.New(membership.Config{
		Holder: request.Holder{
			Instance: i.settings.Instance, Incarnation: uint64(time.Now().UnixMilli()), Address: i.Addresses().Peers,
		},
		DataCentre: i.settings.DataCentre, OperatorAddress: i.Addresses().Operators,
		Seeds: i.settings.Peers.Seeds, List: i.platform.list, Secret: []byte(secret), System: i.actors,
		Logger: i.log, Metrics: i.metrics.Scope,
	})
	if err != nil {
		return err
	}
	i.started = i.self()
	i.follower = config.NewFollower(config.FollowerConfig{
		Log: i.platform.log, Self: i.Addresses().Peers, Peers: i.configPeers, Dial: i.dialConfig,
		Retention: i.logRetention(), Seed: uint64(time.Now().UnixNano()), Logger: i.log, Metrics: i.metrics,
	})
	i.subscribe()
	return nil
}

// subscribe connects what changes in the fleet with those who must know.
func (i *Instance) subscribe() {
	i.follower.Subscribe(i.applyConfig)
	i.members.OnConfigVersion(func(peer membership.Member, version uint64) {
		i.follower.Notice(peer.Address, version)
	})
	i.members.OnChange(func([]membership.Member) { i.refreshSchedulers() })
	i.members.OnRenewed(func(old, renewed uint64) {
		i.log.Warn("declared dead while paused", zap.Uint64("old_incarnation", old), zap.Uint64("incarnation", renewed))
		i.placer.DropAll()
	})
}

// applyConfig takes a new object set into force.
func (i *Instance) applyConfig(index *object.Index) {
	i.members.SetConfigVersion(index.Version())
	ended := i.open.apply(index)
	i.refreshSchedulers()
	i.log.Info("configuration in force", zap.Uint64("version", index.Version()), zap.Int("requests_ended", ended))
}

func (i *Instance) refreshSchedulers() {
	if index := i.index(); index != nil && i.sched != nil {
		i.sched.Refresh(index.Set().Services)
	}
}

// configPeers are the peers that a configuration can be fetched from.
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
