package membership

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/fleetid"
	membershipv1 "github.com/cairnworks/cairnworks/gen/cairnworks/membership/v1"
	"github.com/cairnworks/cairnworks/membership/gossip"
	"github.com/cairnworks/cairnworks/observe"
)

const (
	// tickInterval is the resolution of the protocol's timeouts.
	tickInterval = 50 * time.Millisecond
	// listInterval is how often the platform's list is read. It is a hint that
	// lags anyway, and seeds and dead members are tried every second without it.
	listInterval = 5 * time.Second
	// maxDatagram is above every packet the protocol builds.
	maxDatagram = 2048
)

// Service takes part in the gossip and answers who is there.
type Service struct {
	cfg     Config
	conn    net.PacketConn
	codec   codec
	log     *zap.Logger
	metrics metrics
	system  *actor.ActorSystem
	ownsSys bool
	pid     *actor.PID

	snapshot atomic.Pointer[snapshot]

	mu        sync.Mutex
	callbacks callbacks
}

type snapshot struct {
	self    Member
	all     []Member
	members []Member
}

type callbacks struct {
	change  []func([]Member)
	version []func(Member, uint64)
	renewed []func(old, renewed uint64)
}

// New checks the configuration and binds the socket; the protocol starts with
// Run, which also frees the socket and must therefore be called.
func New(cfg Config) (*Service, error) {
	if err := cfg.check(); err != nil {
		return nil, oops.In("membership").Wrap(err)
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.Holder.Incarnation == 0 {
		cfg.Holder.Incarnation = uint64(time.Now().UnixMilli())
	}
	s := &Service{
		cfg:     cfg,
		codec:   newCodec(cfg),
		log:     cfg.Logger,
		metrics: newMetrics(cfg.Metrics),
		system:  cfg.System,
	}
	if err := s.bind(); err != nil {
		return nil, err
	}
	if s.system == nil {
		s.system = observe.NewActorSystem()
		s.ownsSys = true
	}
	node := newNode(s.cfg)
	s.publish(node)
	s.pid = s.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor {
		return &protocol{service: s, node: node}
	}))
	return s, nil
}

// bind opens the socket and completes the own address when the port was left open.
func (s *Service) bind() error {
	s.conn = s.cfg.Conn
	if s.conn == nil {
		conn, err := net.ListenPacket("udp", s.cfg.Holder.Address)
		if err != nil {
			return oops.In("membership").Wrapf(err, "gossip socket")
		}
		s.conn = conn
	}
	own, err := netip.ParseAddrPort(s.cfg.Holder.Address)
	if err != nil || own.Port() != 0 {
		return err
	}
	if bound, ok := s.conn.LocalAddr().(*net.UDPAddr); ok {
		s.cfg.Holder.Address = netip.AddrPortFrom(own.Addr(), uint16(bound.Port)).String()
	}
	return nil
}

// Run takes part in the gossip until ctx ends. Its error is nil then.
func (s *Service) Run(ctx context.Context) error {
	var work sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	work.Go(func() { s.tick(ctx) })
	work.Go(func() { s.followHints(ctx) })
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	err := s.receive(ctx)
	cancel()
	work.Wait()
	s.conn.Close()
	stopErr := s.system.Root.StopFuture(s.pid).Wait()
	if s.ownsSys {
		s.system.Shutdown()
	}
	return errors.Join(err, stopErr)
}

func (s *Service) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.system.Root.Send(s.pid, &tickMessage{now: now})
		}
	}
}

// followHints feeds the addresses of the platform's list and further hints to the protocol.
func (s *Service) followHints(ctx context.Context) {
	if s.cfg.List == nil && s.cfg.Hints == nil {
		return
	}
	var listed []string
	for {
		if current, ok := s.listed(ctx); ok {
			listed = current
		}
		addresses := slices.Clone(listed)
		if s.cfg.Hints != nil {
			addresses = append(addresses, s.cfg.Hints()...)
		}
		s.system.Root.Send(s.pid, &hintsMessage{addresses: addresses})
		select {
		case <-ctx.Done():
			return
		case <-time.After(listInterval):
		}
	}
}

// listed returns the addresses in the platform's list. Errors are counted and otherwise
// ignored: the list is only a hint, and the last one read stays.
func (s *Service) listed(ctx context.Context) ([]string, bool) {
	if s.cfg.List == nil {
		return nil, false
	}
	instances, err := s.cfg.List.Instances(ctx)
	if err != nil {
		s.metrics.listErrors.Inc(1)
		return nil, false
	}
	var addresses []string
	for _, instance := range instances {
		if _, err := netip.ParseAddrPort(instance.Address); err == nil && !instance.Leaving {
			addresses = append(addresses, instance.Address)
		}
	}
	return addresses, true
}

// receive reads datagrams until ctx ends or the socket fails for good.
func (s *Service) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := s.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return oops.In("membership").Wrapf(err, "gossip socket")
		}
		if err != nil {
			// An ICMP answer to an earlier datagram surfaces here; it says nothing
			// about the socket.
			s.metrics.readErrors.Inc(1)
			continue
		}
		s.metrics.received(size)
		if packet, ok := s.read(buffer[:size], from.String()); ok {
			s.system.Root.Send(s.pid, &packetMessage{now: time.Now(), from: from.String(), packet: packet})
		}
	}
}

// read returns the packet of a datagram that counts: one of this fleet that is authentic and
// whole.
func (s *Service) read(datagram []byte, from string) (gossip.Packet, bool) {
	message, err := s.codec.open(datagram)
	if errors.Is(err, errUnauthenticated) {
		s.metrics.unauthenticated.Inc(1)
		return gossip.Packet{}, false
	}
	var packet gossip.Packet
	if err == nil {
		packet, err = packetFromProto(message)
	}
	if err != nil {
		s.metrics.malformed.Inc(1)
		return gossip.Packet{}, false
	}
	return packet, s.ownFleet(message, from)
}

// ownFleet reports whether a packet comes from an instance of this fleet. Taken for a member,
// an instance that reads another log would decide by it on calls that may run once.
func (s *Service) ownFleet(message *membershipv1.Packet, from string) bool {
	if s.cfg.Fleet == nil {
		return true
	}
	other := fleetid.Identity{ID: fleetid.ID(message.FleetId), Name: message.FleetName}
	return s.cfg.Fleet.Check(other, message.From, from).Member()
}

// transmit sends packets; a failed send is a lost datagram.
func (s *Service) transmit(packets []gossip.Outgoing) {
	for _, out := range packets {
		datagram, err := s.codec.encode(out.Packet)
		if err != nil {
			s.metrics.malformed.Inc(1)
			continue
		}
		to, err := netip.ParseAddrPort(out.To)
		if err != nil {
			s.metrics.malformed.Inc(1)
			continue
		}
		if _, err := s.conn.WriteTo(datagram, net.UDPAddrFromAddrPort(to)); err != nil {
			s.metrics.sendErrors.Inc(1)
			continue
		}
		s.metrics.sent(out.Packet.Kind, len(datagram))
	}
}
