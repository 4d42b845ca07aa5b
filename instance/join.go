package instance

import (
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/membership"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/peer"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/tlsfile"
)

// loopbackSecret authenticates heartbeats when the settings name no secret file,
// which they may leave out on loopback addresses only.
const loopbackSecret = "loopback addresses only"

// joinFleet prepares membership and the configuration's follower.
func (i *Instance) joinFleet(secret string) error {
	clientTLS, err := tlsfile.Client(i.settings.Peers.TLS)
	if err != nil {
		return err
	}
	i.peers = peer.NewTransport(clientTLS, secret)
	if secret == "" {
		secret = loopbackSecret
	}
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
