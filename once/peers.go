package once

import (
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/cairnworks/cairnworks/gen/cairnworks/once/v1/oncev1connect"
	"github.com/cairnworks/cairnworks/request"
)

// Dialer returns the HTTP client and base URL for the service of another instance.
type Dialer func(request.Holder) (client connect.HTTPClient, baseURL string)

const (
	// ownersAsked is how many instances are asked before an instance serves a
	// partition itself: the owner, and the one that takes over from it. While the
	// list of members still names a dead owner, its successor gathers the appends,
	// and not every instance of the fleet on its own.
	ownersAsked = 2
	// maxRanked leaves two more to ask when the first two did not answer lately.
	maxRanked = ownersAsked + 2
	// suspectTime is how long an instance that did not answer is passed over.
	suspectTime = 2 * time.Second
	// maxClients bounds the clients kept, of which every restarted instance leaves
	// one behind.
	maxClients = 1024
)

// peers picks the owners of partitions and keeps their clients. Nothing depends
// on all instances picking the same: the log's order decides between claims.
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

// owners returns whom to ask about a partition, in order, and whether this instance
// is the next to serve it.
func (p *peers) owners(partition int) (ask []request.Holder, self bool) {
	if p.dial == nil {
		return nil, true
	}
	for _, m := range rank(p.members(), partition) {
		// Members are compared by name: what they tell of this instance's address or
		// incarnation may be old.
		if m.Instance == p.self.Instance {
			return ask, true
		}
		if !p.suspected(m) {
			ask = append(ask, m)
		}
		if len(ask) == ownersAsked {
			break
		}
	}
	return ask, len(ask) == 0
}

// owner reports whether this instance ranks first for a partition.
func (p *peers) owner(partition int) bool {
	if p.dial == nil {
		return true
	}
	ranked := rank(p.members(), partition)
	return len(ranked) > 0 && ranked[0].Instance == p.self.Instance
}

// rank returns the members that rank highest for a partition by rendezvous hashing,
// at most maxRanked of them: when one leaves, only its partitions move.
func rank(members []request.Holder, partition int) []request.Holder {
	prefix := streamName(partition) + "/"
	ranked := make([]request.Holder, 0, maxRanked+1)
	weights := make([]uint64, 0, maxRanked+1)
	for _, m := range members {
		weight := xxhash.Sum64String(prefix + m.Instance)
		at := len(ranked)
		for at > 0 && weight > weights[at-1] {
			at--
		}
		if at == maxRanked {
			continue
		}
		ranked = slices.Insert(ranked, at, m)
		weights = slices.Insert(weights, at, weight)
		ranked = ranked[:min(len(ranked), maxRanked)]
		weights = weights[:len(ranked)]
	}
	return ranked
}

func (p *peers) suspected(m request.Holder) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.suspects[m]
	if ok && p.clock().After(until) {
		delete(p.suspects, m)
		return false
	}
	return ok
}

// suspect passes over an instance that did not answer for a while.
func (p *peers) suspect(m request.Holder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspects[m] = p.clock().Add(suspectTime)
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
		client = oncev1connect.NewOnceServiceClient(httpClient, baseURL)
		p.clients[m] = client
	}
	return client
}
