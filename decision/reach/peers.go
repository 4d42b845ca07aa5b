package reach

import (
	"slices"
	"time"
)

// Peers holds which other instances reach which subjects. A subject is an upstream, a service, or
// Everything. It is not safe for concurrent use.
type Peers struct {
	cfg   Config
	state map[peerKey]peerState
}

// Everything is the subject of failures of a peer itself.
const Everything = ""

type peerKey struct{ peer, subject string }

// peerState is the last outcome at a peer.
type peerState struct {
	at     time.Duration
	failed bool
}

// NewPeers returns peers of which nothing is known.
func NewPeers(cfg Config) *Peers { return &Peers{cfg: cfg, state: make(map[peerKey]peerState)} }

// RecordSuccess records that a peer has reached a subject.
func (p *Peers) RecordSuccess(now time.Duration, peer, subject string) {
	p.state[peerKey{peer, subject}] = peerState{at: now}
}

// RecordFailure records that a peer does not reach a subject.
func (p *Peers) RecordFailure(now time.Duration, peer, subject string) {
	p.state[peerKey{peer, subject}] = peerState{at: now, failed: true}
}

// Select returns the peers that may reach an upstream of a service, in random order: those known to reach
// the service, and those of which nothing is known. If there are neither, those that have failed count as
// unknown: what made the last one fail may be over. shuffle permutes n elements with swap.
func (p *Peers) Select(now time.Duration, peers []string, service, upstream string, shuffle func(n int, swap func(i, j int))) (good, unknown []string) {
	p.expire(now)
	peers = slices.Clone(peers)
	shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var failed []string
	for _, peer := range peers {
		state, known := p.state[peerKey{peer, service}]
		switch {
		case state.failed || p.state[peerKey{peer, upstream}].failed || p.state[peerKey{peer, Everything}].failed:
			failed = append(failed, peer)
		case known:
			good = append(good, peer)
		default:
			unknown = append(unknown, peer)
		}
	}
	if len(good)+len(unknown) == 0 {
		return nil, failed
	}
	return good, unknown
}

// expire forgets outcomes that are too old.
func (p *Peers) expire(now time.Duration) {
	for key, s := range p.state {
		retention := p.cfg.Retention
		if s.failed {
			retention = p.cfg.FailureRetention
		}
		if now-s.at > retention {
			delete(p.state, key)
		}
	}
}
