// Package reach decides which way an instance takes to an upstream: its own link, or another instance.
//
// Load pattern: some instances, or all of a data centre, lose their links to upstreams for seconds,
// while callers and other instances reach them. New connections hang or are refused, and open ones are
// reset, go silent or live on.
//
// Without it: each request learns anew that a connection fails, and the failures count against
// upstreams that work.
//
// Rules:
//   - A link is cut if a connection over it fails and another instance opens one to the same upstream
//     at the same time. A failure alone says nothing about the link.
//   - A cut link is not used until a probe over it succeeds. Probes are made while it is needed.
//   - Other instances are taken at random from those that were not found to fail, so that their load is
//     spread.
package reach

import (
	"slices"
	"time"
)

// Config holds the parameters of links and of other instances.
type Config struct {
	// ProbeInterval is the time between two probes of a cut link.
	ProbeInterval time.Duration
	// Retention is how long a link that is not used is remembered.
	Retention time.Duration
	// FailureRetention is how long another instance that failed is not used for the service.
	FailureRetention time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{ProbeInterval: 250 * time.Millisecond, Retention: 10 * time.Second, FailureRetention: 500 * time.Millisecond}
}

// Links holds the state of this instance's links, by the address of the upstream. It is not safe for
// concurrent use.
type Links struct {
	cfg   Config
	links map[string]*link
	swept time.Duration
}

type link struct {
	// lastUse is when the link was last needed, lastContact when the upstream last responded over it.
	lastUse, lastContact time.Duration
	// contacted is set if the upstream has responded over the link.
	contacted bool
	cut       bool
	lastProbe time.Duration
}

// NewLinks returns links without state.
func NewLinks(cfg Config) *Links { return &Links{cfg: cfg, links: make(map[string]*link)} }

// Use returns the state of a link that is needed now. probe is set if the link is cut and a probe is due,
// which the caller must make.
func (l *Links) Use(now time.Duration, address string) (cut, probe bool) {
	l.sweep(now)
	s := l.get(address)
	s.lastUse = now
	if !s.cut || now-s.lastProbe < l.cfg.ProbeInterval {
		return s.cut, false
	}
	s.lastProbe = now
	return true, true
}

// RecordContact records a response or a new connection over a link, and reports whether the link was cut
// before.
func (l *Links) RecordContact(now time.Duration, address string) bool {
	s := l.get(address)
	restored := s.cut
	s.cut, s.contacted, s.lastContact, s.lastUse = false, true, now, max(s.lastUse, now)
	return restored
}

// RecordCut records that a link is cut, and reports whether it was not before. started is when the
// connection that failed was tried; a later contact shows that the link works.
func (l *Links) RecordCut(now, started time.Duration, address string) bool {
	s := l.get(address)
	if s.cut || s.contacted && s.lastContact >= started {
		return false
	}
	s.cut, s.lastProbe, s.lastUse = true, now, now
	return true
}

// Known reports whether the link to an address has been used recently.
func (l *Links) Known(address string) bool {
	_, known := l.links[address]
	return known
}

// HasContact reports whether an upstream responded over the link within the given time.
func (l *Links) HasContact(now time.Duration, address string, within time.Duration) bool {
	s, known := l.links[address]
	return known && s.contacted && now-s.lastContact <= within
}

// HasContactExcept reports whether any other upstream has responded over its link since a time. Older
// responses do not show that the links still work.
func (l *Links) HasContactExcept(since time.Duration, address string) bool {
	for other, s := range l.links {
		if other != address && s.contacted && s.lastContact >= since {
			return true
		}
	}
	return false
}

// Cut returns the addresses whose links are cut, sorted.
func (l *Links) Cut() []string { return l.addresses(true) }

// Usable returns the addresses whose links are not known to be cut, sorted.
func (l *Links) Usable() []string { return l.addresses(false) }

func (l *Links) addresses(cut bool) []string {
	var out []string
	for address, s := range l.links {
		if s.cut == cut {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

func (l *Links) get(address string) *link {
	s, known := l.links[address]
	if !known {
		s = &link{}
		l.links[address] = s
	}
	return s
}

// sweepsPerRetention is the number of sweeps within Config.Retention.
const sweepsPerRetention = 4

// sweep forgets the links that are no longer used.
func (l *Links) sweep(now time.Duration) {
	if now-l.swept < l.cfg.Retention/sweepsPerRetention {
		return
	}
	l.swept = now
	for address, s := range l.links {
		if now-s.lastUse > l.cfg.Retention {
			delete(l.links, address)
		}
	}
}
