package object

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// callMethods are the methods that a plain service can be called with.
var callMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// services checks every service and that no two answer to one model name.
func (c *checker) services() {
	claimed := make(map[string]Ref)
	for i, s := range c.set.Services {
		ref := Ref{TypeService, s.Name}
		c.serviceNumbers(ref, c.given.Services[i])
		switch s.Kind {
		case KindModel:
			c.models(ref, s, claimed)
			c.notApplicable(ref, "calls", len(s.Calls) > 0, s.Kind)
		case KindPlain:
			c.calls(ref, s)
			c.notApplicable(ref, "models", len(s.Models) > 0, s.Kind)
		default:
			c.add(Fault{Kind: FaultBadValue, Object: ref, Field: "kind", Given: string(s.Kind), Allowed: "model, plain"})
		}
		c.neededRoles(ref, s)
	}
}

func (c *checker) serviceNumbers(ref Ref, s Service) {
	c.notNegative(ref, "max_prompt_tokens", int64(s.MaxPromptTokens))
	c.notNegative(ref, "max_output_tokens", int64(s.MaxOutputTokens))
	c.notNegative(ref, "first_byte_ms", int64(s.FirstByteMS))
	c.notNegative(ref, "max_wait_ms", int64(s.MaxWaitMS))
	c.notNegative(ref, "max_body_bytes", s.MaxBodyBytes)
}

func (c *checker) notNegative(ref Ref, field string, value int64) {
	if value < 0 {
		c.add(outOfRange(ref, field, value, "0 for the default, or more"))
	}
}

func (c *checker) notApplicable(ref Ref, field string, set bool, kind Kind) {
	if set {
		c.add(Fault{Kind: FaultNotApplicable, Object: ref, Field: field, Allowed: "nothing for kind " + string(kind)})
	}
}

func (c *checker) models(ref Ref, s Service, claimed map[string]Ref) {
	if len(s.Models) == 0 && !s.Discovered {
		c.add(Fault{Kind: FaultMissing, Object: ref, Field: "models", Allowed: "at least one model name"})
	}
	for _, model := range s.Models {
		if model == "" {
			c.add(Fault{Kind: FaultMissing, Object: ref, Field: "models", Allowed: "model names that are not empty"})
			continue
		}
		if other, taken := claimed[model]; taken {
			c.add(Fault{Kind: FaultDuplicate, Object: ref, Other: other, Field: "models", Given: model, Allowed: "each model in one service"})
			continue
		}
		claimed[model] = ref
	}
}

func (c *checker) calls(ref Ref, s Service) {
	for i, call := range s.Calls {
		field := fmt.Sprintf("calls[%d]", i)
		if !slices.Contains(callMethods, call.Method) {
			c.add(Fault{Kind: FaultBadValue, Object: ref, Field: field + ".method", Given: call.Method, Allowed: strings.Join(callMethods, ", ")})
		}
		if !strings.HasPrefix(call.Path, "/") {
			c.add(Fault{Kind: FaultBadValue, Object: ref, Field: field + ".path", Given: call.Path, Allowed: "a path that begins with /"})
		}
		if call.Cost > maxTokens {
			c.add(Fault{Kind: FaultOutOfRange, Object: ref, Field: field + ".cost", Given: strconv.FormatUint(call.Cost, 10),
				Allowed: "0 to " + strconv.FormatInt(maxTokens, 10)})
		}
		c.shadowed(ref, s.Calls[:i], call, field)
	}
}

// shadowed finds a rule that an earlier one always beats. If the earlier rule
// says idempotent and the later one does not, calls that must run at most once
// would be repeated, and nothing but a doubled booking would show it.
func (c *checker) shadowed(ref Ref, earlier []Call, call Call, field string) {
	for i, e := range earlier {
		if e.Method == call.Method && e.covers(call.Path) {
			c.add(Fault{Kind: FaultShadowed, Object: ref, Other: ref, Field: field,
				Given: call.Method + " " + call.Path, Allowed: fmt.Sprintf("a place before calls[%d]", i)})
			return
		}
	}
}

// covers tells whether the rule matches a path.
func (c *Call) covers(path string) bool {
	if strings.HasSuffix(c.Path, "/") {
		return strings.HasPrefix(path, c.Path)
	}
	return path == c.Path
}

// Match returns the first rule of a plain service for a call.
func (s *Service) Match(method, path string) (Call, bool) {
	for _, call := range s.Calls {
		if call.Method == method && call.covers(path) {
			return call, true
		}
	}
	return Call{}, false
}

// rolesOf lists the roles that a service of a kind needs.
func rolesOf(kind Kind) []Role {
	switch kind {
	case KindModel:
		return []Role{RolePrefill, RoleDecode}
	case KindPlain:
		return []Role{RolePlain}
	default:
		return nil
	}
}

// neededRoles finds services that nothing could ever answer for. Leaving
// upstreams count: a service that is being retired passes through a state in
// which all of its upstreams leave.
func (c *checker) neededRoles(ref Ref, s Service) {
	if s.Discovered {
		return
	}
	for _, role := range rolesOf(s.Kind) {
		has := slices.ContainsFunc(c.set.Upstreams, func(u Upstream) bool {
			return u.Service == s.Name && u.Role == role
		})
		if !has {
			c.add(Fault{Kind: FaultNoUpstream, Object: ref, Field: "upstreams", Given: "none of role " + string(role),
				Allowed: "at least one upstream of role " + string(role)})
		}
	}
}
