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

// ObservePeerVersion tells the follower that a peer holds a version.
func (f *Follower) ObservePeerVersion(peerAddress string, version uint64) {
	if f.note(peerAddress, version) {
		f.poke()
	}
}

// note remembers a version that a peer is said to hold, if that is news.
func (f *Follower) note(peerAddress string, version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.held.version() || version <= f.notices[peerAddress].version {
		return false
	}
	f.notices[peerAddress] = notice{version: version, heard: time.Now()}
	return true
}

func (f *Follower) poke() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// followPeers fetches from peers what the log does not deliver.
func (f *Follower) followPeers(ctx context.Context) error {
	tick := time.NewTicker(peerInterval)
	defer tick.Stop()
	var fresh start
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.wake:
		case <-tick.C:
		}
		f.noticePeers()
		switch {
		case f.Ready():
			f.fetchHigher(ctx)
		case f.readToEnd():
			f.fetchHigher(ctx)
			f.becomeReady()
		case f.askPeersToStart():
			f.startFromPeers(ctx, &fresh)
		}
	}
}

// noticePeers takes the versions that membership knows, and forgets failed claims
// of peers that it no longer names. It wakes nobody: a peer that cannot be reached
// would be asked again without a pause.
func (f *Follower) noticePeers() {
	listed := make(map[string]bool)
	for _, p := range f.peers() {
		listed[p.Address] = true
		f.note(p.Address, p.Version)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, n := range f.notices {
		if n.failed() && !listed[address] {
			delete(f.notices, address)
		}
	}
}

func (f *Follower) peers() []Peer {
	if f.cfg.Peers == nil || f.cfg.Dial == nil {
		return nil
	}
	return f.cfg.Peers()
}

// fetchHigher fetches the highest noticed version from one of the peers that hold
// it. While the log answers, the version is left some time to arrive that way.
func (f *Follower) fetchHigher(ctx context.Context) {
	address, ok := f.chooseNotice(time.Now())
	if !ok {
		return
	}
	_ = f.fetch(ctx, address)
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, ok := f.notices[address]; ok && n.version > f.held.version() {
		n.retry = time.Now().Add(noticeRetry)
		f.notices[address] = n
	}
}

// chooseNotice drops notices of versions that arrived meanwhile and picks one of
// the peers that hold the highest.
func (f *Follower) chooseNotice(now time.Time) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best uint64
	var first time.Time
	var addresses []string
	for address, n := range f.notices {
		switch {
		case n.version <= f.held.version():
			delete(f.notices, address)
		case now.Before(n.retry):
		case n.version > best:
			best, first, addresses = n.version, n.heard, []string{address}
		case n.version == best:
			addresses = append(addresses, address)
			if n.heard.Before(first) {
				first = n.heard
			}
		}
	}
	if len(addresses) == 0 || !f.logDown && now.Sub(first) < noticeGrace {
		return "", false
	}
	slices.Sort(addresses)
	return addresses[f.rand.IntN(len(addresses))], true
}

// fetch asks one peer for what is newer than the held version.
func (f *Follower) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	have := f.wantedAbove(time.Now())
	resp, err := f.cfg.Dial(address).Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{HaveVersion: have}))
	if err != nil {
		f.scope.Counter("fetch_errors").Inc(1)
		return oops.With("peer", address).Wrapf(err, "fetch configuration")
	}
	if resp.Msg.GetVersion() <= have {
		return nil
	}
	return f.takeRecord(address, resp.Msg)
}

// takeRecord checks a peer's record as strictly as one from the log.
func (f *Follower) takeRecord(address string, msg *peerv1.FetchResponse) error {
	decoded, err := decodeRecord(msg.GetRecord())
	if h := decoded.header; err == nil && (h.Kind != KindRepublish || h.Base != msg.GetVersion()) {
		err = oops.Errorf("the record is a %s on version %d", h.Kind, h.Base)
	}
	if err == nil && len(object.Check(decoded.set)) > 0 {
		err = oops.Errorf("the set has faults")
	}
	if err != nil {
		f.scope.Counter("fetch_void").Inc(1)
		f.refuseVersion(msg.GetVersion())
		f.log.Warn("configuration from peer refused", zap.String("peer", address), zap.Uint64("version", msg.GetVersion()), errorField(err))
		return err
	}
	f.offer(msg.GetVersion(), decoded.set, "peer")
	return nil
}

// refuseVersion remembers a version that could not be used. Peers that run a newer
// program may hold one that this instance cannot read; asked for twice a second
// it would fill the link with whole sets.
func (f *Follower) refuseVersion(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused = notice{version: version, heard: time.Now()}
}

// wantedAbove is the version above which peers are asked for theirs.
func (f *Follower) wantedAbove(now time.Time) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.refused.heard) < refusedAgain {
		return max(f.held.version(), f.refused.version)
	}
	return f.held.version()
}

// start is what a fresh instance remembers while it asks its peers.
type start struct {
	addresses []string
	since     time.Time
	// answered holds the peers that have answered. They are asked again only when
	// membership knows them at a higher version: if a whole fleet starts while the
	// log is down, everybody asking everybody twice a second would fill the links.
	answered map[string]bool
}

// stable tells whether the same peers, at least one, have been known for
// peersSettle.
func (s *start) stable(addresses []string, now time.Time) bool {
	if !slices.Equal(addresses, s.addresses) {
		s.addresses, s.since = addresses, now
	}
	return len(addresses) > 0 && now.Sub(s.since) >= peersSettle
}

// startFromPeers asks every known peer. The instance becomes ready once it has
// known and asked the same peers for a while: membership fills its list while the
// instance starts, and the first peer that it names may be the one that is behind.
func (f *Follower) startFromPeers(ctx context.Context, s *start) {
	peers := f.peers()
	f.askAll(ctx, peers, s)
	addresses := make([]string, len(peers))
	for i, p := range peers {
		addresses[i] = p.Address
	}
	slices.Sort(addresses)
	if s.stable(addresses, time.Now()) && ctx.Err() == nil && f.heldVersion() > 0 {
		f.deliver()
		f.log.Info("configuration ready", zap.String("source", "peers"))
	}
}

// askAll fetches from the peers that have not answered yet or are known to hold
// more. The one with the highest version is asked first, so that the others have
// nothing to send.
func (f *Follower) askAll(ctx context.Context, peers []Peer, s *start) {
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Address, b.Address))
	})
	ok := make([]bool, len(peers))
	var group errgroup.Group
	group.SetLimit(fetchParallel)
	for i, p := range peers {
		ok[i] = s.answered[p.Address] && p.Version <= f.heldVersion()
		if ok[i] {
			continue
		}
		if i == 0 {
			ok[i] = f.fetch(ctx, p.Address) == nil
			continue
		}
		group.Go(func() error {
			ok[i] = f.fetch(ctx, p.Address) == nil
			return nil
		})
	}
	_ = group.Wait()
	s.answered = make(map[string]bool, len(peers))
	for i, p := range peers {
		s.answered[p.Address] = ok[i]
	}
}
