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

// protocol is the actor that owns the gossip state.
type protocol struct {
	service *Service
	node    *gossip.Node
}

// Receive implements actor.Actor.
func (p *protocol) Receive(ctx actor.Context) {
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
	p.report()
}

// report publishes the new state and tells the owner of events.
func (p *protocol) report() {
	events := p.node.TakeEvents()
	before := p.service.snapshot.Load().all
	if events.RecordsUpdated {
		p.service.publish(p.node)
	}
	if events.NewIncarnation != nil {
		p.service.renewed(*events.NewIncarnation)
	}
	if events.MembersChanged {
		p.service.changed(before)
	}
	if events.NewerConfig != nil {
		p.service.behind(*events.NewerConfig)
	}
}

func newNode(cfg Config) *gossip.Node {
	figures := cfg.Protocol
	figures.Seeds = cfg.Seeds
	figures.Self = recordOf(Member{
		Holder:          cfg.Holder,
		DataCentre:      cfg.DataCentre,
		OperatorAddress: cfg.OperatorAddress,
	})
	return gossip.NewNode(figures, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now())
}

func (s *Service) renewed(r gossip.IncarnationChange) {
	s.metrics.renewals.Inc(1)
	s.log.Warn("declared dead, new incarnation", zap.Uint64("old", r.Old), zap.Uint64("new", r.New))
	for _, f := range s.registered().renewed {
		f(r.Old, r.New)
	}
}

func (s *Service) changed(before []Member) {
	members := s.Members()
	s.metrics.members.Update(float64(len(members)))
	s.logChanges(before, s.snapshot.Load().all)
	for _, f := range s.registered().change {
		f(members)
	}
}

func (s *Service) behind(b gossip.NewerConfig) {
	for _, f := range s.registered().version {
		f(memberOf(b.Peer), b.Version)
	}
}
