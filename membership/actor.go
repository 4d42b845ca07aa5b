package membership

import (
	"math/rand/v2"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/membership/gossip"
)

// Messages of the protocol actor.
type (
	tickMessage struct {
		now time.Time
	}
	packetMessage struct {
		now    time.Time
		from   string
		packet gossip.Packet
	}
	hintsMessage struct {
		addresses []string
	}
	versionMessage struct {
		version uint64
	}
	drainMessage struct {
		draining bool
	}
	leaveMessage struct {
		now  time.Time
		done chan<- struct{}
	}
)

// protocolActor owns the gossip state and serialises access to it.
type protocolActor struct {
	service *Service
	node    *gossip.Node
}

// Receive implements actor.Actor.
func (p *protocolActor) Receive(ctx actor.Context) {
	switch message := ctx.Message().(type) {
	case *tickMessage:
		p.service.transmit(p.node.Tick(message.now))
	case *packetMessage:
		p.service.transmit(p.node.Receive(message.now, message.from, message.packet))
	case *hintsMessage:
		p.node.SetHints(message.addresses)
	case *versionMessage:
		p.node.SetConfigVersion(message.version)
	case *drainMessage:
		p.node.SetDraining(message.draining)
	case *leaveMessage:
		p.service.transmit(p.node.Leave(message.now))
		defer close(message.done)
	default:
		return
	}
	p.handleEvents()
}

// handleEvents publishes the new state and calls the registered callbacks.
func (p *protocolActor) handleEvents() {
	events := p.node.TakeEvents()
	before := p.service.snapshot.Load().all
	if events.RecordsUpdated {
		p.service.publishSnapshot(p.node)
	}
	if events.NewIncarnation != nil {
		p.service.notifyNewIncarnation(*events.NewIncarnation)
	}
	if events.MembersChanged {
		p.service.notifyMembersChanged(before)
	}
	if events.NewerConfig != nil {
		p.service.notifyNewerConfig(*events.NewerConfig)
	}
}

func newNode(cfg Config) *gossip.Node {
	protocolConfig := cfg.Protocol
	protocolConfig.Seeds = cfg.Seeds
	protocolConfig.Self = recordOf(Member{
		Holder:          cfg.Holder,
		DataCentre:      cfg.DataCentre,
		OperatorAddress: cfg.OperatorAddress,
	})
	return gossip.NewNode(protocolConfig, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now())
}

func (s *Service) notifyNewIncarnation(change gossip.IncarnationChange) {
	s.metrics.renewals.Inc(1)
	s.log.Warn("declared dead, new incarnation", zap.Uint64("old", change.Old), zap.Uint64("new", change.New))
	for _, f := range s.currentCallbacks().onNewIncarnation {
		f(change.Old, change.New)
	}
}

func (s *Service) notifyMembersChanged(before []Member) {
	members := s.Members()
	s.metrics.members.Update(float64(len(members)))
	s.logChanges(before, s.snapshot.Load().all)
	for _, f := range s.currentCallbacks().onChange {
		f(members)
	}
}

func (s *Service) notifyNewerConfig(newer gossip.NewerConfig) {
	for _, f := range s.currentCallbacks().onNewerConfig {
		f(memberOf(newer.Peer), newer.Version)
	}
}
