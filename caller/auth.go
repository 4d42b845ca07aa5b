package caller

import (
	"slices"
	"strings"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/verdict"
)

// authenticate finds the organisation by the key and removes the key from the
// request, so that nothing further along can send it to an upstream or log it.
func (s *Server) authenticate(x *exchange) error {
	header := x.r.Header.Get("Authorization")
	x.r.Header.Del("Authorization")
	x.directory = s.Index()
	if x.directory == nil {
		return verdict.Refuse(verdict.ReasonNoConfiguration, time.Second, "this instance has no configuration yet")
	}
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || token == "" {
		return verdict.Refuse(verdict.ReasonUnauthenticated, 0, "send the key as 'Authorization: Bearer KEY'")
	}
	key, organisation, ok := x.directory.KeyByHash(object.HashKey(token))
	if !ok {
		return verdict.Refuse(verdict.ReasonUnauthenticated, 0, "the key is not known")
	}
	x.key, x.organisation = key, organisation
	if key.Withdrawn {
		return WithdrawnVerdict(key.Name)
	}
	return nil
}

// WithdrawnVerdict is the refusal for a withdrawn key.
func WithdrawnVerdict(keyID string) *verdict.Verdict {
	return verdict.Refuse(verdict.ReasonKeyWithdrawn, 0, "key %s has been withdrawn", keyID)
}

// mayUse reports whether the organisation may use the service.
func mayUse(organisation *object.Organisation, service string) bool {
	return len(organisation.Services) == 0 || slices.Contains(organisation.Services, service)
}
