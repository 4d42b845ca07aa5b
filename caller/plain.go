package caller

import (
	"net/http"
	"strings"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

// maxIdempotencyKey is the maximum length of an idempotency key in bytes. The key is meant to
// be an identifier; longer ones would fill the log.
const maxIdempotencyKey = 200

// callPlainService handles a call of a plain service.
func (s *Server) callPlainService(x *exchange) error {
	name := x.r.PathValue("service")
	service, ok := x.index.Service(name)
	if !ok || service.Kind != object.KindPlain || !mayUse(x.organisation, name) {
		return verdict.Refuse(verdict.ReasonUnknownService, 0, "the service %q is unknown", name)
	}
	x.service = name
	path := strings.TrimPrefix(x.r.URL.Path, "/services/"+name)
	rule, err := findCallRule(service, x.r.Method, path)
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
		s.Rate.Settle(charge, usedCost(cost, err))
		return err
	}
	s.Rate.Settle(charge, cost)
	return x.writePlainResponse(answer)
}

func usedCost(cost uint64, err error) uint64 {
	if verdict.From(err).Ran == verdict.NotRun {
		return 0
	}
	return cost
}

// findCallRule returns the first rule that matches the call. A service without rules accepts
// any call: GET, HEAD and OPTIONS are idempotent as defined by HTTP, and all other methods are
// treated as not idempotent.
func findCallRule(service *object.Service, method, path string) (object.CallRule, error) {
	if len(service.Calls) == 0 {
		return object.CallRule{Idempotent: method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions}, nil
	}
	pathMatched := false
	for _, rule := range service.Calls {
		if rule.Path != path && !(strings.HasSuffix(rule.Path, "/") && strings.HasPrefix(path, rule.Path)) {
			continue
		}
		if rule.Method == method {
			return rule, nil
		}
		pathMatched = true
	}
	if pathMatched {
		return object.CallRule{}, verdict.Refuse(verdict.ReasonMethodNotAllowed, 0, "%s is not allowed on %s", method, path)
	}
	return object.CallRule{}, verdict.Refuse(verdict.ReasonUnknownService, 0, "service %s has no call %s", service.Name, path)
}

// serviceRequest builds the upstream call from an allow-list of headers. Copying all headers
// could disclose a credential to the upstream.
func (x *exchange) serviceRequest(path string, body []byte) (port.ServiceRequest, error) {
	key := x.r.Header.Get("Idempotency-Key")
	if len(key) > maxIdempotencyKey {
		return port.ServiceRequest{}, verdict.Refuse(verdict.ReasonIdempotencyKeyInvalid, 0,
			"the Idempotency-Key has %d bytes; the limit is %d", len(key), maxIdempotencyKey)
	}
	return port.ServiceRequest{
		RequestID: x.id, Organisation: x.organisation.Name, IdempotencyKey: key,
		Method: x.r.Method, Path: path, RawQuery: x.r.URL.RawQuery,
		ContentType: x.r.Header.Get("Content-Type"), Accept: x.r.Header.Get("Accept"), Body: body,
	}, nil
}

func (x *exchange) writePlainResponse(answer route.PlainAnswer) error {
	header := x.w.Header()
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	if answer.Replayed {
		header.Set("Idempotency-Replayed", "true")
	}
	if !answer.EndStated {
		// The body ends with the connection, as the service's did. net/http adds no length or chunks then.
		header.Set("Transfer-Encoding", "identity")
	}
	x.w.WriteHeader(answer.Status)
	_, err := x.w.Write(answer.Body)
	return wrapWriteError(err)
}
