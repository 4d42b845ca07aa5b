package caller

import (
	"slices"
	"strings"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/verdict"
)

// authenticate looks up the organisation by the API key. It removes the key from the request
// headers so that later stages cannot log it or send it to an upstream.
func (s *Server) authenticate(x *exchange) error {
	header := x.r.Header.Get("Authorization")
	x.r.Header.Del("Authorization")
	x.index = s.Index()
	if x.index == nil {
		return verdict.Refuse(verdict.ReasonNoConfiguration, time.Second, "this instance has not loaded a configuration yet")
	}
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || token == "" {
		return verdict.Refuse(verdict.ReasonUnauthenticated, 0, "the API key is missing; expected 'Authorization: Bearer KEY'")
	}
	key, organisation, ok := x.index.KeyByHash(object.HashKey(token))
	if !ok {
		return verdict.Refuse(verdict.ReasonUnauthenticated, 0, "the API key is unknown")
	}
	x.key, x.organisation = key, organisation
	if key.Withdrawn {
		return WithdrawnVerdict(key.Name)
	}
	return nil
}

// WithdrawnVerdict returns the verdict for requests with a withdrawn API key.
func WithdrawnVerdict(keyID string) *verdict.Verdict {
	return verdict.Refuse(verdict.ReasonKeyWithdrawn, 0, "key %s has been withdrawn", keyID)
}

// mayUse reports whether the organisation may use the service. An organisation without a list
// of services may use all of them.
func mayUse(organisation *object.Organisation, service string) bool {
	return len(organisation.Services) == 0 || slices.Contains(organisation.Services, service)
}
