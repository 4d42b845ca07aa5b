package config

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/object"
)

// ObservePeerVersion records that a peer advertises a version.
func (f *Follower) ObservePeerVersion(peerAddress string, version uint64) {
	if f.addAdvertised(peerAddress, version) {
		f.wakePeerLoop()
	}
}

// addAdvertised records a version that a peer advertises and reports whether it is higher than
// the held version and any that this peer advertised before.
func (f *Follower) addAdvertised(peerAddress string, version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.held.version() || version <= f.advertised[peerAddress].version {
		return false
	}
	f.advertised[peerAddress] = advertisement{version: version, heardAt: time.Now()}
	return true
}

func (f *Follower) wakePeerLoop() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// followPeers fetches from peers the versions that the log does not deliver.
func (f *Follower) followPeers(ctx context.Context) error {
	tick := time.NewTicker(peerCheckInterval)
	defer tick.Stop()
	var startup peerStart
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.wake:
		case <-tick.C:
		}
		f.refreshPeerVersions()
		switch {
		case f.Ready():
			f.fetchNewest(ctx)
		case f.logCaughtUp():
			f.fetchNewest(ctx)
			f.activateIfComplete()
		case f.shouldStartFromPeers():
			f.startFromPeers(ctx, &startup)
		}
	}
}

// refreshPeerVersions reads the versions from the membership list and drops failed
// advertisements of peers that are no longer listed. It does not wake the peer loop: an
// unreachable peer would be asked again without a delay.
func (f *Follower) refreshPeerVersions() {
	listed := make(map[string]bool)
	for _, p := range f.peers() {
		listed[p.Address] = true
		f.addAdvertised(p.Address, p.Version)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, n := range f.advertised {
		if n.failed() && !listed[address] {
			delete(f.advertised, address)
		}
	}
}

func (f *Follower) peers() []Peer {
	if f.cfg.Peers == nil || f.cfg.Dial == nil {
		return nil
	}
	return f.cfg.Peers()
}

// fetchNewest fetches the highest advertised version from one of the peers that hold it. While
// the log is available, the version is first given time to arrive that way.
func (f *Follower) fetchNewest(ctx context.Context) {
	address, ok := f.choosePeer(time.Now())
	if !ok {
		return
	}
	_ = f.fetch(ctx, address)
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, ok := f.advertised[address]; ok && n.version > f.held.version() {
		n.retryAt = time.Now().Add(peerRetryDelay)
		f.advertised[address] = n
	}
}

// choosePeer drops advertisements of versions that have arrived in the meantime and picks one
// of the peers that hold the highest one.
func (f *Follower) choosePeer(now time.Time) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best uint64
	var firstHeard time.Time
	var addresses []string
	for address, n := range f.advertised {
		switch {
		case n.version <= f.held.version():
			delete(f.advertised, address)
		case now.Before(n.retryAt):
		case n.version > best:
			best, firstHeard, addresses = n.version, n.heardAt, []string{address}
		case n.version == best:
			addresses = append(addresses, address)
			if n.heardAt.Before(firstHeard) {
				firstHeard = n.heardAt
			}
		}
	}
	if len(addresses) == 0 || !f.logDown && now.Sub(firstHeard) < logDeliveryGrace {
		return "", false
	}
	slices.Sort(addresses)
	return addresses[f.rand.IntN(len(addresses))], true
}

// fetch asks one peer for a version newer than the held one.
func (f *Follower) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	have := f.fetchFloor(time.Now())
	resp, err := f.cfg.Dial(address).Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{HaveVersion: have}))
	if err != nil {
		f.scope.Counter("fetch_errors").Inc(1)
		return oops.With("peer", address).Wrapf(err, "fetch configuration")
	}
	if resp.Msg.GetVersion() <= have {
		return nil
	}
	return f.acceptPeerRecord(address, resp.Msg)
}

// acceptPeerRecord validates a peer's record as strictly as one from the log.
func (f *Follower) acceptPeerRecord(address string, msg *peerv1.FetchResponse) error {
	decoded, err := decodeRecord(msg.GetRecord())
	if h := decoded.header; err == nil && (h.Kind != KindRepublish || h.Base != msg.GetVersion()) {
		err = oops.Errorf("the record is of kind %s with base %d", h.Kind, h.Base)
	}
	if err == nil && len(object.Check(decoded.set)) > 0 {
		err = oops.Errorf("the set has faults")
	}
	if err != nil {
		f.scope.Counter("fetch_void").Inc(1)
		f.rejectVersion(msg.GetVersion())
		f.log.Warn("configuration record from peer rejected", zap.String("peer", address), zap.Uint64("version", msg.GetVersion()), errorField(err))
		return err
	}
	f.holdIfNewer(msg.GetVersion(), decoded.set, "peer")
	return nil
}

// rejectVersion records a version that could not be used. Peers that run a newer release may
// hold one that this instance cannot read; fetched twice a second, its full set would saturate
// the link.
func (f *Follower) rejectVersion(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejected = advertisement{version: version, heardAt: time.Now()}
}

// fetchFloor returns the version above which peers are asked for theirs.
func (f *Follower) fetchFloor(now time.Time) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.rejected.heardAt) < rejectedRetryDelay {
		return max(f.held.version(), f.rejected.version)
	}
	return f.held.version()
}

// peerStart is the state of a starting instance that loads its set from peers.
type peerStart struct {
	addresses   []string
	stableSince time.Time
	// answered holds the peers that have answered. They are asked again only when membership
	// lists them with a higher version: if a whole fleet starts while the log is unavailable,
	// fetches between all pairs twice a second would saturate the links.
	answered map[string]bool
}

// stable reports whether the list of peers has been non-empty and unchanged for
// peersStableTime.
func (s *peerStart) stable(addresses []string, now time.Time) bool {
	if !slices.Equal(addresses, s.addresses) {
		s.addresses, s.stableSince = addresses, now
	}
	return len(addresses) > 0 && now.Sub(s.stableSince) >= peersStableTime
}

// startFromPeers asks every known peer. The instance becomes ready once its list of peers has
// been unchanged for a while and all were asked: membership is still filling the list while
// the instance starts, and the first peer listed may be one with an old version.
func (f *Follower) startFromPeers(ctx context.Context, s *peerStart) {
	peers := f.peers()
	f.fetchFromAll(ctx, peers, s)
	addresses := make([]string, len(peers))
	for i, p := range peers {
		addresses[i] = p.Address
	}
	slices.Sort(addresses)
	if s.stable(addresses, time.Now()) && ctx.Err() == nil && f.heldVersion() > 0 {
		f.activateHeld()
		f.log.Info("configuration ready", zap.String("source", "peers"))
	}
}

// fetchFromAll fetches from the peers that have not answered yet or that advertise a higher
// version. The peer with the highest version is asked first, so that the others need not send
// theirs.
func (f *Follower) fetchFromAll(ctx context.Context, peers []Peer, s *peerStart) {
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Address, b.Address))
	})
	succeeded := make([]bool, len(peers))
	var group errgroup.Group
	group.SetLimit(maxParallelFetches)
	for i, p := range peers {
		succeeded[i] = s.answered[p.Address] && p.Version <= f.heldVersion()
		if succeeded[i] {
			continue
		}
		if i == 0 {
			succeeded[i] = f.fetch(ctx, p.Address) == nil
			continue
		}
		group.Go(func() error {
			succeeded[i] = f.fetch(ctx, p.Address) == nil
			return nil
		})
	}
	_ = group.Wait()
	s.answered = make(map[string]bool, len(peers))
	for i, p := range peers {
		s.answered[p.Address] = succeeded[i]
	}
}
