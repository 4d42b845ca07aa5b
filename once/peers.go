package once

import (
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/cairnworks/cairnworks/gen/cairnworks/once/v1/oncev1connect"
	"github.com/cairnworks/cairnworks/peer"
	"github.com/cairnworks/cairnworks/request"
)

// Dialer returns the HTTP client and base URL for the service of another instance.
type Dialer func(request.Holder) (client connect.HTTPClient, baseURL string)

const (
	// maxOwnersAsked is the number of other instances asked before an instance serves a
	// partition itself: the owner and its successor. While the member list still contains a
	// dead owner, the successor batches the appends, instead of every instance on its own.
	maxOwnersAsked = 2
	// maxRankedOwners adds two instances that are asked if the first two did not respond
	// recently.
	maxRankedOwners = maxOwnersAsked + 2
	// suspectDuration is how long an instance that did not respond is skipped.
	suspectDuration = 2 * time.Second
	// maxClients limits the number of cached clients. Every instance that restarts leaves an
	// unused one.
	maxClients = 1024
)

// peers selects the owners of partitions and caches their clients. Correctness does not depend on
// all instances selecting the same owner, because the order of the log decides between claims.
type peers struct {
	self    request.Holder
	members func() []request.Holder
	dial    Dialer
	clock   func() time.Time

	mu       sync.Mutex
	clients  map[request.Holder]oncev1connect.OnceServiceClient
	suspects map[request.Holder]time.Time
}

func newPeers(cfg Config) *peers {
	return &peers{
		self:     cfg.Self,
		members:  cfg.Members,
		dial:     cfg.Dial,
		clock:    cfg.Clock,
		clients:  make(map[request.Holder]oncev1connect.OnceServiceClient),
		suspects: make(map[request.Holder]time.Time),
	}
}

// owners returns the instances to ask about a partition, in order, and whether this instance is the
// next one to serve it.
func (p *peers) owners(partition int) (ask []request.Holder, self bool) {
	if p.dial == nil {
		return nil, true
	}
	for _, m := range rank(p.members(), partition) {
		// Compare names only: the member list may contain an outdated address or incarnation
		// of this instance.
		if m.Instance == p.self.Instance {
			return ask, true
		}
		if !p.isSuspect(m) {
			ask = append(ask, m)
		}
		if len(ask) == maxOwnersAsked {
			break
		}
	}
	return ask, len(ask) == 0
}

// isOwner reports whether this instance ranks first for a partition.
func (p *peers) isOwner(partition int) bool {
	if p.dial == nil {
		return true
	}
	ranked := rank(p.members(), partition)
	return len(ranked) > 0 && ranked[0].Instance == p.self.Instance
}

// rank returns at most maxRankedOwners members that rank highest for a partition by rendezvous
// hashing. When a member leaves, only its own partitions move.
func rank(members []request.Holder, partition int) []request.Holder {
	prefix := streamName(partition) + "/"
	ranked := make([]request.Holder, 0, maxRankedOwners+1)
	weights := make([]uint64, 0, maxRankedOwners+1)
	for _, m := range members {
		weight := xxhash.Sum64String(prefix + m.Instance)
		at := len(ranked)
		for at > 0 && weight > weights[at-1] {
			at--
		}
		if at == maxRankedOwners {
			continue
		}
		ranked = slices.Insert(ranked, at, m)
		weights = slices.Insert(weights, at, weight)
		ranked = ranked[:min(len(ranked), maxRankedOwners)]
		weights = weights[:len(ranked)]
	}
	return ranked
}

func (p *peers) isSuspect(m request.Holder) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.suspects[m]
	if ok && p.clock().After(until) {
		delete(p.suspects, m)
		return false
	}
	return ok
}

// markSuspect excludes an instance that did not respond for suspectDuration.
func (p *peers) markSuspect(m request.Holder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspects[m] = p.clock().Add(suspectDuration)
	delete(p.clients, m)
}

func (p *peers) client(m request.Holder) oncev1connect.OnceServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, ok := p.clients[m]
	if !ok {
		if len(p.clients) >= maxClients {
			clear(p.clients)
		}
		httpClient, baseURL := p.dial(m)
		client = oncev1connect.NewOnceServiceClient(httpClient, baseURL, peer.ClientOptions())
		p.clients[m] = client
	}
	return client
}
