package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/room"
	"github.com/cairnworks/cairnworks/decision/waiting"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Numbers of homes asked before a request is placed by local information.
const (
	// homeAttempts is for model services. The second home has replaced a first that did not answer.
	homeAttempts = 2
	// plainHomeAttempts is for plain services, whose objectives leave no time for a second home.
	plainHomeAttempts = 1
)

// PlacementHomes connects instances of a large fleet to a service's home: the instance that places
// its requests.
type PlacementHomes interface {
	// Home returns the home of a service and whether it is this instance.
	Home(service string) (fleet.Hub, bool)
	// RequestPlace asks a home for an engine and waits until it is assigned or refused.
	RequestPlace(ctx context.Context, hub string, c fleet.Claim) (fleet.Place, error)
	// SendLoads sends a home this instance's current loads at some engines.
	SendLoads(hub string, loads map[fleet.Hash]fleet.Load)
	// MarkSuspect marks a home that does not answer, so that another replaces it.
	MarkSuspect(hub string)
	// EndClaim tells a home that a claim is over, without an answer.
	EndClaim(hub string, c fleet.Claim)
	// Offers reports whether an instance has announced features.
	Offers(instance string, features fleet.Features) bool
}

// Connect sets the connection to the homes of services. It must be called before any request.
func (g *Gateway) Connect(h PlacementHomes) { g.placementHomes = h }

// homeOf returns the home of a service and whether it is this instance. A small fleet has no homes:
// each instance is informed immediately of the others' loads.
func (g *Gateway) homeOf(service string) (fleet.Hub, bool) {
	if g.placementHomes == nil || !g.reportsViaHubs() {
		return fleet.Hub{}, true
	}
	return g.placementHomes.Home(service)
}

// placementRequest is a request for a place at a decode engine or a plain upstream.
type placementRequest struct {
	item *waiting.Item
	// except holds engines that must not be assigned; full holds those that have just refused a
	// reservation.
	except, full map[string]bool
	// repeatable is set if the request may run more than once.
	repeatable bool
	// refusal returns a refusal once the request must not be sent any more.
	refusal func() *verdict.Verdict
}

// remoteHome returns the other instance that assigns places of the service, if there is one.
func (d *dispatcher) remoteHome() (fleet.Hub, bool) {
	home, isLocal := d.gateway.homeOf(d.service)
	if isLocal {
		return home, false
	}
	return home, !d.isPlain() || d.gateway.placementHomes.Offers(home.Name, fleet.PlainPlaces)
}

// place waits for a place at a decode engine or a plain upstream.
func (d *dispatcher) place(ctx context.Context, request placementRequest) (upstream.Entry, *verdict.Verdict) {
	if entry, refusal, ok := d.placeAtHome(ctx, request); ok {
		return entry, refusal
	}
	return d.placeLocally(ctx, request)
}

// placeAtHome waits for a place assigned by the home, if that is another instance. It reports false if this instance
// must decide by itself.
func (d *dispatcher) placeAtHome(ctx context.Context, request placementRequest) (upstream.Entry, *verdict.Verdict, bool) {
	if request.except == nil {
		request.except = make(map[string]bool)
	}
	attempts := homeAttempts
	if d.isPlain() {
		attempts = plainHomeAttempts
	}
	for range attempts {
		home, isRemote := d.remoteHome()
		if !isRemote {
			break
		}
		if entry, refusal, ok := d.placeRemotely(ctx, home, request); ok {
			return entry, refusal, true
		}
	}
	return upstream.Entry{}, nil, false
}

// placeRemotely waits for a place assigned by another instance. It reports false if that instance
// does not answer.
func (d *dispatcher) placeRemotely(ctx context.Context, home fleet.Hub, request placementRequest) (upstream.Entry, *verdict.Verdict, bool) {
	// The home knows failing upstreams itself, and decides which request tries one.
	unreachable := d.gateway.outliers.ejectedByConnections(d.gateway.state.Directory.Service(d.service))
	item := request.item
	place, ok := d.claimFromHome(ctx, home, fleet.Claim{
		Organisation: fleet.HashOf(item.Organisation), Priority: item.Priority, Tokens: item.Tokens, Output: item.Output,
		Waited: time.Since(item.Arrived), Objective: item.Objective, Left: time.Until(item.Deadline), Point: item.RetrySeed,
		Except: shortHashes(union(request.except, d.gateway.unavailableUpstreams(d.service))), Avoid: shortHashes(unreachable), Full: shortHashes(request.full),
		RepeatKey: item.RepeatKey,
		Once:      d.isPlain(), Repeatable: request.repeatable,
	})
	if ctx.Err() != nil {
		return upstream.Entry{}, contextRefusal(ctx), true
	}
	if !ok {
		return upstream.Entry{}, nil, false
	}
	if place.State == fleet.PlaceRefused {
		return upstream.Entry{}, d.queueTimeout(item, place.Retry), true
	}
	entry, ok := d.acceptPlacement(d.decode, place, room.Demand{Tokens: item.Tokens, Output: item.Output})
	if !ok && entry.ID != "" {
		request.except[entry.ID] = true
	}
	return entry, nil, ok
}

// acceptPlacement records an engine that a home has assigned. It reports false if the engine is not
// known here, or takes no requests: the home may not know that yet.
func (d *dispatcher) acceptPlacement(p *pool, place fleet.Place, n room.Demand) (upstream.Entry, bool) {
	entry, known := p.recordPlacement(place, n)
	if !known {
		return upstream.Entry{}, false
	}
	if d.gateway.accepts(entry) {
		return entry, true
	}
	p.release(entry.ID, n.Tokens)
	d.reportLoad(p, entry.ID)
	return entry, false
}

// claimFromHome sends a claim to a home, and marks the home as suspect if it does not answer.
func (d *dispatcher) claimFromHome(ctx context.Context, home fleet.Hub, c fleet.Claim) (fleet.Place, bool) {
	c.Service = fleet.HashOf(d.service)
	place, err := d.gateway.placementHomes.RequestPlace(ctx, home.Name, c)
	if err != nil && ctx.Err() == nil {
		d.gateway.placementHomes.MarkSuspect(home.Name)
		d.gateway.log.Info("placement home did not answer", zap.String("service", d.service), zap.String("home", home.Name), zap.Error(err))
	}
	return place, err == nil
}

// claimPrefill claims capacity at a prefill engine that is not in tried.
func (d *dispatcher) claimPrefill(ctx context.Context, tokens int, tried map[string]bool) (upstream.Entry, bool) {
	entries := d.gateway.state.Directory.Service(d.service)
	tried = union(tried, d.gateway.unavailableUpstreams(d.service))
	if home, isLocal := d.gateway.homeOf(d.service); !isLocal {
		place, ok := d.claimFromHome(ctx, home, fleet.Claim{Prefill: true, Tokens: tokens, Except: shortHashes(tried), Avoid: shortHashes(d.gateway.outliers.ejectedByConnections(entries))})
		if ok && place.State == fleet.PlaceRefused {
			return upstream.Entry{}, false
		}
		if ok {
			if entry, accepted := d.acceptPlacement(d.prefill, place, room.Demand{Tokens: tokens}); accepted {
				return entry, true
			}
		}
	}
	if entry, ok := d.prefill.claim(room.Demand{Tokens: tokens}, union(d.gateway.outliers.ejected(entries), tried)); ok {
		return entry, true
	}
	return d.prefill.claim(room.Demand{Tokens: tokens}, union(d.gateway.outliers.unusable(entries), tried))
}

// reportLoad sends this instance's load at an engine to the service's home.
func (d *dispatcher) reportLoad(p *pool, id string) {
	if home, isRemote := d.remoteHome(); isRemote {
		// A load must not be sent after a newer one: the home would count a request that has ended until the next
		// complete report.
		d.reporting.Lock()
		d.gateway.placementHomes.SendLoads(home.Name, map[fleet.Hash]fleet.Load{fleet.ShortHashOf(id): p.ownLoad(id)})
		d.reporting.Unlock()
	}
	d.gateway.triggerReport()
}

func shortHashes(ids map[string]bool) []fleet.Hash {
	out := make([]fleet.Hash, 0, len(ids))
	for id := range ids {
		out = append(out, fleet.ShortHashOf(id))
	}
	return out
}
