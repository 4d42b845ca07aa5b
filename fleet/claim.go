package fleet

import (
	"time"

	fleetv1 "github.com/cairnworks/cairnworks/gen/cairnworks/fleet/v1"
)

// Claim asks the home of a service for a place at one of the service's engines.
type Claim struct {
	ID      uint64
	Service Hash
	// Prefill requests a place at a prefill engine, which is assigned or refused immediately.
	Prefill      bool
	Organisation Hash
	// Priority 0 is the highest.
	Priority int
	// Tokens is the engine memory that is needed, or the prompt length, in tokens. Output is the
	// part of it that is generated while the request runs.
	Tokens, Output int
	// Waited is how long the request has waited. Objective is the time within which its first event
	// is on time, or 0 if there is none. Left is how long the request still waits in any case.
	Waited, Objective, Left time.Duration
	// Point spreads the retry times of refused requests.
	Point uint64
	// Except are engines that must not be assigned, Avoid those that are assigned only as a last resort,
	// and Full those that have just refused to reserve memory; all are short hashes of engine IDs.
	Except, Avoid, Full []Hash
	// Over means that the sender no longer needs the place.
	Over bool
	// RepeatKey is what a request and its repetitions by the same organisation have in common, or 0.
	RepeatKey uint64
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Once means that the home is given up after one unanswered claim. It is not sent.
	Once bool
}

// PlaceState is the state of a claim.
type PlaceState int

// States of claims. A waiting claim is answered again later.
const (
	PlaceWaiting PlaceState = iota + 1
	PlaceGiven
	PlaceRefused
)

// Place answers a claim.
type Place struct {
	ID    uint64
	State PlaceState
	// Upstream is the short hash of the engine ID.
	Upstream Hash
	// Retry is the time after which the caller should retry.
	Retry time.Duration
}

func marshalClaim(c *Claim) *fleetv1.Claim {
	if c == nil {
		return nil
	}
	return &fleetv1.Claim{
		Id: c.ID, Service: uint64(c.Service), Prefill: c.Prefill, Organisation: uint64(c.Organisation),
		Priority: uint32(max(c.Priority, 0)), Tokens: uint32(max(c.Tokens, 0)), Output: uint32(max(c.Output, 0)), WaitedMs: milliseconds(c.Waited),
		ObjectiveMs: milliseconds(c.Objective), LeftMs: milliseconds(c.Left), Point: c.Point,
		Except: shortHashes(c.Except), Avoid: shortHashes(c.Avoid), Full: shortHashes(c.Full), Over: c.Over, RepeatKey: c.RepeatKey, Repeatable: c.Repeatable,
	}
}

func unmarshalClaim(m *fleetv1.Claim) *Claim {
	if m == nil {
		return nil
	}
	ms := func(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
	return &Claim{
		ID: m.Id, Service: Hash(m.Service), Prefill: m.Prefill, Organisation: Hash(m.Organisation),
		Priority: int(m.Priority), Tokens: int(m.Tokens), Output: int(m.Output), Waited: ms(m.WaitedMs), Objective: ms(m.ObjectiveMs), Left: ms(m.LeftMs),
		Point: m.Point, Except: hashes(m.Except), Avoid: hashes(m.Avoid), Full: hashes(m.Full), Over: m.Over, RepeatKey: m.RepeatKey, Repeatable: m.Repeatable,
	}
}

func marshalPlace(p *Place) *fleetv1.Place {
	if p == nil {
		return nil
	}
	return &fleetv1.Place{Id: p.ID, State: fleetv1.Place_State(p.State), Upstream: uint32(p.Upstream), RetryMs: milliseconds(p.Retry)}
}

func unmarshalPlace(m *fleetv1.Place) *Place {
	if m == nil {
		return nil
	}
	return &Place{ID: m.Id, State: PlaceState(m.State), Upstream: Hash(m.Upstream), Retry: time.Duration(m.RetryMs) * time.Millisecond}
}

func milliseconds(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }

func shortHashes(list []Hash) []uint32 {
	out := make([]uint32, len(list))
	for i, h := range list {
		out[i] = uint32(h)
	}
	return out
}

func hashes(list []uint32) []Hash {
	if len(list) == 0 {
		return nil
	}
	out := make([]Hash, len(list))
	for i, h := range list {
		out[i] = Hash(h)
	}
	return out
}
