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
	// listInterval is how often the platform's list is read. The list is only a hint
	// and may be stale anyway, and seeds and dead members are pinged every second
	// without it.
	listInterval = 5 * time.Second
	// maxDatagramBytes is larger than any packet of the protocol.
	maxDatagramBytes = 2048
)

// Service takes part in the gossip protocol and answers queries about the members.
type Service struct {
	cfg        Config
	conn       net.PacketConn
	codec      codec
	log        *zap.Logger
	metrics    metrics
	system     *actor.ActorSystem
	ownsSystem bool
	pid        *actor.PID

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
	onChange         []func([]Member)
	onNewerConfig    []func(Member, uint64)
	onNewIncarnation []func(previous, current uint64)
}

// New validates the configuration and binds the socket. Run starts the protocol and must
// be called because it also closes the socket.
func New(cfg Config) (*Service, error) {
	if err := cfg.validate(); err != nil {
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
		s.ownsSystem = true
	}
	node := newNode(s.cfg)
	s.publishSnapshot(node)
	s.pid = s.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor {
		return &protocolActor{service: s, node: node}
	}))
	return s, nil
}

// bind opens the socket and, if the configured port is 0, sets the port in this instance's
// address.
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

// Run takes part in the gossip protocol until ctx is done, and then returns nil unless
// stopping fails.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { s.tick(ctx) })
	wg.Go(func() { s.pollHints(ctx) })
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	err := s.receive(ctx)
	cancel()
	wg.Wait()
	s.conn.Close()
	stopErr := s.system.Root.StopFuture(s.pid).Wait()
	if s.ownsSystem {
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

// pollHints regularly passes the addresses from the platform's list and Config.Hints to the
// protocol.
func (s *Service) pollHints(ctx context.Context) {
	if s.cfg.List == nil && s.cfg.Hints == nil {
		return
	}
	var listed []string
	for {
		if current, ok := s.listedAddresses(ctx); ok {
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

// listedAddresses returns the addresses in the platform's list. Errors are only counted: the
// list is a hint, and the caller keeps using the last one read.
func (s *Service) listedAddresses(ctx context.Context) ([]string, bool) {
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

// receive reads datagrams until ctx is done or the socket is closed.
func (s *Service) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := s.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return oops.In("membership").Wrapf(err, "gossip socket")
		}
		if err != nil {
			// An ICMP error caused by an earlier datagram is reported here; it does
			// not mean that the socket has failed.
			s.metrics.readErrors.Inc(1)
			continue
		}
		s.metrics.countReceived(size)
		if packet, ok := s.decodeDatagram(buffer[:size], from.String()); ok {
			s.system.Root.Send(s.pid, &packetMessage{now: time.Now(), from: from.String(), packet: packet})
		}
	}
}

// decodeDatagram returns the packet of a datagram, or false if it is unauthenticated,
// malformed or from another fleet.
func (s *Service) decodeDatagram(datagram []byte, from string) (gossip.Packet, bool) {
	message, err := s.codec.authenticate(datagram)
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
	return packet, s.fromOwnFleet(message, from)
}

// fromOwnFleet reports whether a packet comes from an instance of this fleet. An instance that
// reads another log must not become a member: it would decide by that log on calls that may
// run only once.
func (s *Service) fromOwnFleet(message *membershipv1.Packet, from string) bool {
	if s.cfg.Fleet == nil {
		return true
	}
	other := fleetid.Identity{ID: fleetid.ID(message.FleetId), Name: message.FleetName}
	return s.cfg.Fleet.Check(other, message.From, from).Member()
}

// transmit sends packets. A packet that cannot be sent is dropped and counted, like a lost
// datagram.
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
		s.metrics.countSent(out.Packet.Kind, len(datagram))
	}
}
