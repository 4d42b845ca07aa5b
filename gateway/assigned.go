package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/decision/room"
	"github.com/cairnworks/cairnworks/fleet"
)

const (
	// unconfirmedTTL is how long a place that was assigned to another instance counts without its confirmation. The
	// answer and the next load take some ms.
	unconfirmedTTL = 100 * time.Millisecond
	// confirmationTime is how long a place is confirmed in reports. A report may overtake another one.
	confirmationTime = 250 * time.Millisecond
)

// assignedPlace is a place that was assigned to another instance and that its loads do not contain yet.
type assignedPlace struct {
	upstream string
	tokens   int
	at       time.Duration
}

// assignedPlaces holds the unconfirmed places of other instances by instance and claim. An instance may report the end of
// a request at the same upstream while a place is on the way to it; its load would then hide the place, and one request
// too many would be sent to the upstream. It is not safe for concurrent use.
type assignedPlaces map[string]map[uint64]assignedPlace

func (a assignedPlaces) add(now time.Duration, instance string, claim uint64, id string, tokens int) {
	if a[instance] == nil {
		a[instance] = make(map[uint64]assignedPlace)
	}
	a[instance][claim] = assignedPlace{id, tokens, now}
}

func (a assignedPlaces) remove(instance string, claim uint64) { delete(a[instance], claim) }

// complete returns a reported load of an instance with the places that it does not contain.
func (a assignedPlaces) complete(now time.Duration, instance, id string, l fleet.Load) room.Load {
	out := room.Load{Requests: l.Requests, Tokens: l.Tokens}
	for claim, place := range a[instance] {
		switch {
		case place.upstream != id:
		case slices.Contains(l.Confirmed, claim) || now-place.at > unconfirmedTTL:
			delete(a[instance], claim)
		default:
			out.Requests, out.Tokens = out.Requests+1, out.Tokens+place.tokens
		}
	}
	return out
}

// addMissing adds the unconfirmed places at upstreams that a complete report does not list.
func (a assignedPlaces) addMissing(now time.Duration, instance string, loads map[string]room.Load) {
	for _, place := range slices.Collect(maps.Values(a[instance])) {
		if _, listed := loads[place.upstream]; listed {
			continue
		}
		if l := a.complete(now, instance, place.upstream, fleet.Load{}); l != (room.Load{}) {
			loads[place.upstream] = l
		}
	}
}

// confirmedPlaces holds the claims for which this instance was lately assigned an upstream, by upstream. It is not safe for
// concurrent use.
type confirmedPlaces map[string][]confirmedPlace

type confirmedPlace struct {
	claim uint64
	at    time.Duration
}

func (c confirmedPlaces) add(now time.Duration, id string, claim uint64) {
	c[id] = append(c[id], confirmedPlace{claim, now})
}

// at returns the claims to confirm for an upstream.
func (c confirmedPlaces) at(now time.Duration, id string) []uint64 {
	c[id] = slices.DeleteFunc(c[id], func(p confirmedPlace) bool { return now-p.at > confirmationTime })
	if len(c[id]) == 0 {
		delete(c, id)
		return nil
	}
	out := make([]uint64, len(c[id]))
	for i, p := range c[id] {
		out[i] = p.claim
	}
	return out
}
