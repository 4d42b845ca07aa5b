package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"net/url"

	"github.com/cairnworks/cairnworks/fleetid"
)

// Headers that authenticate an instance as a member of the fleet. The secret has its own header
// because Authorization is used by callers and operators. Versions from before fleet ids send
// only the secret header, with a key derived from the secret and their fleet's name.
const (
	secretHeader    = "Cairnworks-Peer-Secret"
	fleetIDHeader   = "Cairnworks-Fleet-Id"
	fleetNameHeader = "Cairnworks-Fleet-Name"
)

// Option configures a Transport or a server.
type Option func(*credentials)

// WithFleet distinguishes calls of this fleet from those of other fleets with the same secret.
func WithFleet(fleet *fleetid.Verifier) Option { return func(c *credentials) { c.fleet = fleet } }

// credentials are what an instance sends with its calls to peers and requires of theirs.
type credentials struct {
	secret string
	// fleet is nil if only the secret is checked.
	fleet *fleetid.Verifier
}

func newCredentials(secret string, options []Option) credentials {
	c := credentials{secret: secret}
	for _, option := range options {
		option(&c)
	}
	return c
}

// setHeaders adds the credentials to the headers of a call.
func (c credentials) setHeaders(h http.Header) {
	if c.secret == "" {
		return
	}
	if c.fleet == nil {
		h.Set(secretHeader, c.secret)
		return
	}
	own := c.fleet.Identity()
	h.Set(secretHeader, fleetid.SigningKey(c.secret, own.Name))
	h.Set(fleetIDHeader, own.ID.String())
	h.Set(fleetNameHeader, url.PathEscape(own.Name))
}

// relationKey is the context key of the caller's fleetid.Relation.
type relationKey struct{}

// authenticate rejects calls without the secret: a client that can call a scheduler can reserve
// every decode slot, and one that can call a rate home can empty every organisation's token
// bucket. It also rejects calls from other fleets, whose log differs from this instance's.
func (c credentials) authenticate(next http.Handler) http.Handler {
	if c.secret == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		other, key := c.callerIdentity(r.Header)
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(secretHeader)), []byte(key)) != 1 {
			http.Error(w, "the peer secret is missing or invalid", http.StatusUnauthorized)
			return
		}
		if c.fleet == nil {
			next.ServeHTTP(w, r)
			return
		}
		relation := c.fleet.Check(other, "", r.RemoteAddr)
		if !relation.Member() {
			http.Error(w, "this instance belongs to fleet "+c.fleet.Identity().ID.String()+", not "+other.ID.String(), http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), relationKey{}, relation)))
	})
}

// callerIdentity returns the fleet identity that a caller claims and the key that it must send
// for it. A caller that sends no name is taken to use this instance's fleet name.
func (c credentials) callerIdentity(h http.Header) (fleetid.Identity, string) {
	if c.fleet == nil {
		return fleetid.Identity{}, c.secret
	}
	other := fleetid.Identity{Name: c.fleet.Identity().Name}
	if name, err := url.PathUnescape(h.Get(fleetNameHeader)); err == nil && name != "" {
		other.Name = name
	}
	if id, err := fleetid.ParseID(h.Get(fleetIDHeader)); err == nil {
		other.ID = id
	}
	return other, fleetid.SigningKey(c.secret, other.Name)
}

// RequireSameLog rejects callers that are not known to use the same log as this instance. It is
// for calls whose decision on what may run only once depends on the log: if the caller used
// another log, both logs would let the call run. A server without WithFleet serves all callers.
func RequireSameLog(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if relation, ok := r.Context().Value(relationKey{}).(fleetid.Relation); ok && relation != fleetid.SameFleet {
			http.Error(w, "it is not known whether both instances use the same log", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
