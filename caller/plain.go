package caller

import (
	"net/http"
	"strings"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

// maxIdempotencyKey bounds an idempotency key in bytes; longer ones would fill
// the log with something that is meant to be an identifier.
const maxIdempotencyKey = 200

// plain answers a call of a plain service.
func (s *Server) plain(x *exchange) error {
	name := x.r.PathValue("service")
	service, ok := x.directory.Service(name)
	if !ok || service.Kind != object.KindPlain || !mayUse(x.organisation, name) {
		return verdict.Refuse(verdict.ReasonUnknownService, 0, "the service %q is not known", name)
	}
	x.service = name
	path := strings.TrimPrefix(x.r.URL.Path, "/services/"+name)
	rule, err := callRule(service, x.r.Method, path)
	if err != nil {
		return err
	}
	body, err := readBody(x.r, service.MaxBodyBytes)
	if err != nil {
		return err
	}
	call, err := x.serviceRequest(path, body)
	if err != nil {
		return err
	}
	cost := max(rule.Cost, 1)
	charge, err := s.Rate.Admit(x.ctx, x.organisation.Name, cost)
	if err != nil {
		return err
	}
	answer, err := s.Plain.Run(x.ctx, route.PlainCall{Request: x.request(service), Call: call, Idempotent: rule.Idempotent})
	if err != nil {
		s.Rate.Settle(charge, usedPlain(cost, err))
		return err
	}
	s.Rate.Settle(charge, cost)
	return x.writePlain(answer)
}

func usedPlain(cost uint64, err error) uint64 {
	if verdict.From(err).Ran == verdict.NotRun {
		return 0
	}
	return cost
}

// callRule finds the first rule that matches. A service without rules takes any
// call; GET, HEAD and OPTIONS are idempotent by HTTP's own definition, and
// everything else is taken as one that may not be repeated.
func callRule(service *object.Service, method, path string) (object.Call, error) {
	if len(service.Calls) == 0 {
		return object.Call{Idempotent: method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions}, nil
	}
	pathKnown := false
	for _, rule := range service.Calls {
		if rule.Path != path && !(strings.HasSuffix(rule.Path, "/") && strings.HasPrefix(path, rule.Path)) {
			continue
		}
		if rule.Method == method {
			return rule, nil
		}
		pathKnown = true
	}
	if pathKnown {
		return object.Call{}, verdict.Refuse(verdict.ReasonMethodNotAllowed, 0, "%s is not allowed on %s", method, path)
	}
	return object.Call{}, verdict.Refuse(verdict.ReasonUnknownService, 0, "service %s has no call %s", service.Name, path)
}

// serviceRequest builds the upstream call from an allow-list. Headers are never
// copied as a whole: one of them may carry a credential that the upstream must
// not see.
func (x *exchange) serviceRequest(path string, body []byte) (port.ServiceRequest, error) {
	key := x.r.Header.Get("Idempotency-Key")
	if len(key) > maxIdempotencyKey {
		return port.ServiceRequest{}, verdict.Refuse(verdict.ReasonIdempotencyKeyInvalid, 0,
			"the Idempotency-Key has %d bytes; %d are allowed", len(key), maxIdempotencyKey)
	}
	return port.ServiceRequest{
		RequestID: x.id, Organisation: x.organisation.Name, IdempotencyKey: key,
		Method: x.r.Method, Path: path, RawQuery: x.r.URL.RawQuery,
		ContentType: x.r.Header.Get("Content-Type"), Accept: x.r.Header.Get("Accept"), Body: body,
	}, nil
}

func (x *exchange) writePlain(answer route.PlainAnswer) error {
	header := x.w.Header()
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	if answer.Replayed {
		header.Set("Idempotency-Replayed", "true")
	}
	x.w.WriteHeader(answer.Status)
	_, err := x.w.Write(answer.Body)
	return callerGone(err)
}
