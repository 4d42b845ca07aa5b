package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"net/url"

	"github.com/cairnworks/cairnworks/fleetid"
)

// Headers by which an instance shows that it belongs to the fleet. The secret is apart from
// Authorization, which belongs to callers and operators. Versions before the fleet's id send
// the secret under their fleet's name and neither of the other two.
const (
	secretHeader    = "Cairnworks-Peer-Secret"
	fleetIDHeader   = "Cairnworks-Fleet-Id"
	fleetNameHeader = "Cairnworks-Fleet-Name"
)

// Option changes a Transport or a server.
type Option func(*pass)

// WithFleet tells calls of this fleet from those of others that hold the same secret.
func WithFleet(fleet *fleetid.Verifier) Option { return func(p *pass) { p.fleet = fleet } }

// pass is what an instance shows and asks for between instances.
type pass struct {
	secret string
	// fleet is nil where the secret alone decides.
	fleet *fleetid.Verifier
}

func newPass(secret string, options []Option) pass {
	p := pass{secret: secret}
	for _, option := range options {
		option(&p)
	}
	return p
}

// show puts the pass into the headers of a call.
func (p pass) show(h http.Header) {
	if p.secret == "" {
		return
	}
	if p.fleet == nil {
		h.Set(secretHeader, p.secret)
		return
	}
	own := p.fleet.Identity()
	h.Set(secretHeader, fleetid.SigningKey(p.secret, own.Name))
	h.Set(fleetIDHeader, own.ID.String())
	h.Set(fleetNameHeader, url.PathEscape(own.Name))
}

// relationKey is the context's key of the caller's relation.
type relationKey struct{}

// check refuses calls without the secret: whoever can call a scheduler can take every slot,
// and whoever can call a rate home can empty every bucket. It also refuses those of another
// fleet, whose log tells something else.
func (p pass) check(next http.Handler) http.Handler {
	if p.secret == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		other, key := p.claimed(r.Header)
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(secretHeader)), []byte(key)) != 1 {
			http.Error(w, "the peers' secret is missing or wrong", http.StatusUnauthorized)
			return
		}
		if p.fleet == nil {
			next.ServeHTTP(w, r)
			return
		}
		relation := p.fleet.Check(other, "", r.RemoteAddr)
		if !relation.Member() {
			http.Error(w, "this instance belongs to fleet "+p.fleet.Identity().ID.String()+", not "+other.ID.String(), http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), relationKey{}, relation)))
	})
}

// claimed returns what a caller says of its fleet and the secret that goes with it.
func (p pass) claimed(h http.Header) (fleetid.Identity, string) {
	if p.fleet == nil {
		return fleetid.Identity{}, p.secret
	}
	other := fleetid.Identity{Name: p.fleet.Identity().Name}
	if name, err := url.PathUnescape(h.Get(fleetNameHeader)); err == nil && name != "" {
		other.Name = name
	}
	if id, err := fleetid.ParseID(h.Get(fleetIDHeader)); err == nil {
		other.ID = id
	}
	return other, fleetid.SigningKey(p.secret, other.Name)
}

// OneLog serves only callers that are known to use the log that this instance uses. It is
// for calls that decide by the log what may run once: were the caller's log another one, both
// logs would let the call run.
func OneLog(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if relation, judged := r.Context().Value(relationKey{}).(fleetid.Relation); judged && relation != fleetid.SameFleet {
			http.Error(w, "it is not known whether both use one log", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
