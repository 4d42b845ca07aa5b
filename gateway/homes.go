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

// homeTries is how many homes are asked for a place before the request goes by what is known
// here: a second one has taken the place of a first that does not answer.
const homeTries = 2

// PlacementHomes is how instances of a large fleet reach the one that places a service's requests.
type PlacementHomes interface {
	// Home is the instance that places a service's requests, and whether it is this one.
	Home(service string) (fleet.Hub, bool)
	// Claim asks it for a place and waits until that is given or refused.
	Claim(ctx context.Context, hub string, c fleet.Claim) (fleet.Place, error)
	// TellLoads tells it what is placed at some engines now.
	TellLoads(hub string, loads map[fleet.Hash]fleet.Load)
	// Suspect makes another take the place of one that does not answer.
	Suspect(hub string)
}

// Connect sets the way to the homes of services. It must be called before any request.
func (g *Gateway) Connect(h PlacementHomes) { g.homes = h }

// homeOf is the instance that places a service's requests, and whether this one does. In a small
// fleet each instance hears at once of what the others place.
func (g *Gateway) homeOf(service string) (fleet.Hub, bool) {
	if g.homes == nil || !g.reportsLate() {
		return fleet.Hub{}, true
	}
	return g.homes.Home(service)
}

// want is what a request asks of a place.
type want struct {
	item *waiting.Item
	// except are engines that are not to be given, full those that have just refused to set
	// memory aside.
	except, full map[string]bool
}

// place waits for a place at a decode engine.
func (k *desk) place(ctx context.Context, w want) (upstream.Entry, *verdict.Verdict) {
	for range homeTries {
		home, own := k.gateway.homeOf(k.service)
		if own {
			break
		}
		if entry, refused, ok := k.placeAt(ctx, home, w); ok {
			return entry, refused
		}
	}
	return k.placeHere(ctx, w)
}

// placeAt waits for a place that another instance gives. It reports false if that one does not
// answer.
func (k *desk) placeAt(ctx context.Context, home fleet.Hub, w want) (upstream.Entry, *verdict.Verdict, bool) {
	suspects := k.gateway.suspects.among(k.gateway.state.Directory.Service(k.service))
	item := w.item
	place, ok := k.claimAt(ctx, home, fleet.Claim{
		Organisation: fleet.HashOf(item.Organisation), Priority: item.Priority, Tokens: item.Tokens, Output: item.Output,
		Waited: time.Since(item.Arrived), Objective: item.Objective, Left: time.Until(item.Deadline), Point: item.Point,
		Except: shortHashes(w.except), Avoid: shortHashes(suspects), Full: shortHashes(w.full),
	})
	if ctx.Err() != nil {
		return upstream.Entry{}, gone(ctx), true
	}
	if !ok {
		return upstream.Entry{}, nil, false
	}
	if place.State == fleet.PlaceRefused {
		return upstream.Entry{}, noRoom(item, place.Retry), true
	}
	entry, known := k.decode.hold(place.Upstream, room.Need{Tokens: item.Tokens, Output: item.Output})
	return entry, nil, known
}

// claimAt sends a claim to a home, and notes it if that does not answer.
func (k *desk) claimAt(ctx context.Context, home fleet.Hub, c fleet.Claim) (fleet.Place, bool) {
	c.Service = fleet.HashOf(k.service)
	place, err := k.gateway.homes.Claim(ctx, home.Name, c)
	if err != nil && ctx.Err() == nil {
		k.gateway.homes.Suspect(home.Name)
		k.gateway.log.Info("home of places silent", zap.String("service", k.service), zap.String("home", home.Name), zap.Error(err))
	}
	return place, err == nil
}

// claimPrefill claims a place at a prefill engine. Those in tried are left out.
func (k *desk) claimPrefill(ctx context.Context, tokens int, tried map[string]bool) (upstream.Entry, bool) {
	suspects := k.gateway.suspects.among(k.gateway.state.Directory.Service(k.service))
	if home, own := k.gateway.homeOf(k.service); !own {
		place, ok := k.claimAt(ctx, home, fleet.Claim{Prefill: true, Tokens: tokens, Except: shortHashes(tried), Avoid: shortHashes(suspects)})
		if ok && place.State == fleet.PlaceRefused {
			return upstream.Entry{}, false
		}
		if ok {
			if entry, known := k.prefill.hold(place.Upstream, room.Need{Tokens: tokens}); known {
				return entry, true
			}
		}
	}
	if entry, ok := k.prefill.claim(room.Need{Tokens: tokens}, union(suspects, tried)); ok {
		return entry, true
	}
	return k.prefill.claim(room.Need{Tokens: tokens}, tried)
}

// tell tells the home of the service's places what this instance has at an engine now.
func (k *desk) tell(p *pool, id string) {
	if home, own := k.gateway.homeOf(k.service); !own {
		k.gateway.homes.TellLoads(home.Name, map[fleet.Hash]fleet.Load{fleet.ShortHashOf(id): p.own(id)})
	}
	k.gateway.changed()
}

func shortHashes(ids map[string]bool) []fleet.Hash {
	out := make([]fleet.Hash, 0, len(ids))
	for id := range ids {
		out = append(out, fleet.ShortHashOf(id))
	}
	return out
}
