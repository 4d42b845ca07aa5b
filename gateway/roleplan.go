package gateway

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/split"
	"github.com/cairnworks/cairnworks/upstream"
)

// roleChange is a number of engines that should change their role.
type roleChange struct {
	to     upstream.Role
	count  int
	reason changeReason
	// silentSince is since when the engines of the role have been silent.
	silentSince time.Duration
}

// changeReason is what calls for a change.
type changeReason int

const (
	// measuredWork is the work that requests were measured to be.
	measuredWork changeReason = iota
	// noEngine is a role without engines, and silentEngines one whose engines are all listed and answer nothing.
	noEngine
	silentEngines
)

func (r changeReason) String() string {
	return [...]string{"measured work", "no engine", "silent engines"}[r]
}

// roleMissing reports whether the change gives an engine to a role that has none.
func (r roleChange) roleMissing() bool { return r.reason != measuredWork }

// pendingChange is a change that consecutive checks have called for.
type pendingChange struct {
	roleChange
	// since is when the role began to be missing, as far as this instance has seen.
	since time.Duration
}

// confirm counts a check that calls for a change. Instances that do not lead count as well: one that begins to lead need
// not begin to count.
func (c *roleController) confirm(service string, change roleChange) {
	now := boottime.Now()
	since := now
	if change.reason == silentEngines {
		since = change.silentSince
	}
	last := c.pending[service]
	switch {
	case c.confirmations[service] == 0 || last.to != change.to || last.roleMissing() != change.roleMissing():
		c.confirmations[service] = 0
	default:
		// The entries of silent engines may have been removed meanwhile.
		since = min(since, last.since)
	}
	c.pending[service] = pendingChange{change, since}
	c.confirmations[service]++
}

// confirmed reports whether enough checks have called for the pending change.
func (c *roleController) confirmed(service string) bool {
	count, change := c.confirmations[service], c.pending[service]
	if !change.roleMissing() {
		return count >= roleConfirmations
	}
	const missingTime = (missingRoleConfirmations - 1) * roleCheckInterval
	return count >= missingRoleConfirmations || count >= roleConfirmations && boottime.Now()-change.since >= missingTime
}

// from returns the role that loses engines.
func (r roleChange) from() upstream.Role {
	if r.to == upstream.Prefill {
		return upstream.Decode
	}
	return upstream.Prefill
}

// desiredChange returns how many engines should change, and to which role. ask is set if engines of which nothing is known
// are to be asked whether they answer.
func (c *roleController) desiredChange(ctx context.Context, d *dispatcher, ask bool) roleChange {
	engines := c.enginesByRole(d)
	prefill, decode := len(engines[upstream.Prefill]), len(engines[upstream.Decode])
	reason, silentSince := noEngine, time.Duration(0)
	want, measured := d.desiredPrefill(prefill+decode, prefill)
	if prefill > 0 && decode > 0 && ask {
		var silent upstream.Role
		var found bool
		if silent, silentSince, found = c.silentRole(ctx, d, engines); found {
			reason, measured = silentEngines, false
			if silent == upstream.Prefill {
				prefill = 0
			} else {
				decode = 0
			}
		}
	}
	if measured {
		reason = measuredWork
	} else {
		want = split.BothRoles(prefill+decode, prefill)
	}
	if want > prefill {
		return roleChange{to: upstream.Prefill, count: want - prefill, reason: reason, silentSince: silentSince}
	}
	return roleChange{to: upstream.Decode, count: prefill - want, reason: reason, silentSince: silentSince}
}

// enginesByRole returns the listed engines of a service that have not ended and are not leaving.
func (c *roleController) enginesByRole(d *dispatcher) map[upstream.Role][]upstream.Entry {
	entries := c.gateway.state.Directory.Service(d.service)
	ended := endedRuns(entries)
	out := make(map[upstream.Role][]upstream.Entry)
	for _, e := range entries {
		if !e.Leaving && !ended[e.ID] {
			out[e.Role] = append(out[e.Role], e)
		}
	}
	return out
}

// endedRuns returns the entries whose process has ended, since a later run is listed at the same address. An
// engine that crashed stays listed until its heartbeats are missed, which may be after its next run is.
func endedRuns(entries []upstream.Entry) map[string]bool {
	latest := make(map[string]upstream.Entry, len(entries))
	ended := make(map[string]bool)
	for _, e := range entries {
		other, known := latest[e.Address]
		switch {
		case !known:
			latest[e.Address] = e
		case other.Started < e.Started:
			ended[other.ID] = true
			latest[e.Address] = e
		case other.Started > e.Started:
			ended[e.ID] = true
		}
	}
	return ended
}
