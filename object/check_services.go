package object

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// callMethods lists the HTTP methods that rules of plain services may match.
var callMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// checkServices checks every service, and that no model name belongs to two services.
func (c *checker) checkServices() {
	seen := make(map[string]Ref)
	for i, s := range c.set.Services {
		ref := Ref{TypeService, s.Name}
		c.checkServiceNumbers(ref, c.raw.Services[i])
		switch s.Kind {
		case KindModel:
			c.checkModels(ref, s, seen)
			c.checkServiceFieldUnset(ref, "calls", len(s.Calls) > 0, s.Kind)
		case KindPlain:
			c.checkCalls(ref, s)
			c.checkServiceFieldUnset(ref, "models", len(s.Models) > 0, s.Kind)
		default:
			c.add(Fault{Kind: FaultBadValue, Object: ref, Field: "kind", Given: string(s.Kind), Allowed: "model, plain"})
		}
		c.checkRequiredRoles(ref, s)
	}
}

func (c *checker) checkServiceNumbers(ref Ref, s Service) {
	c.checkNotNegative(ref, "max_prompt_tokens", int64(s.MaxPromptTokens))
	c.checkNotNegative(ref, "max_output_tokens", int64(s.MaxOutputTokens))
	c.checkNotNegative(ref, "first_byte_ms", int64(s.FirstByteMS))
	c.checkNotNegative(ref, "max_wait_ms", int64(s.MaxWaitMS))
	c.checkNotNegative(ref, "max_body_bytes", s.MaxBodyBytes)
}

func (c *checker) checkNotNegative(ref Ref, field string, value int64) {
	if value < 0 {
		c.add(outOfRange(ref, field, value, "0 for the default, or more"))
	}
}

func (c *checker) checkServiceFieldUnset(ref Ref, field string, set bool, kind Kind) {
	if set {
		c.add(Fault{Kind: FaultNotApplicable, Object: ref, Field: field, Allowed: "no value for kind " + string(kind)})
	}
}

func (c *checker) checkModels(ref Ref, s Service, seen map[string]Ref) {
	if len(s.Models) == 0 && !s.Discovered {
		c.add(Fault{Kind: FaultMissing, Object: ref, Field: "models", Allowed: "at least one model name"})
	}
	for _, model := range s.Models {
		if model == "" {
			c.add(Fault{Kind: FaultMissing, Object: ref, Field: "models", Allowed: "model names that are not empty"})
			continue
		}
		if other, taken := seen[model]; taken {
			c.add(Fault{Kind: FaultDuplicate, Object: ref, Other: other, Field: "models", Given: model, Allowed: "each model in one service"})
			continue
		}
		seen[model] = ref
	}
}

func (c *checker) checkCalls(ref Ref, s Service) {
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
		c.checkShadowed(ref, s.Calls[:i], call, field)
	}
}

// checkShadowed reports a rule that can never apply because an earlier one matches all of
// its calls. If only the earlier rule is idempotent, calls that must run at most once
// would be retried, and the only symptom would be duplicate effects, such as a booking
// made twice.
func (c *checker) checkShadowed(ref Ref, earlier []CallRule, call CallRule, field string) {
	for i, e := range earlier {
		if e.Method == call.Method && e.matchesPath(call.Path) {
			c.add(Fault{Kind: FaultShadowed, Object: ref, Other: ref, Field: field,
				Given: call.Method + " " + call.Path, Allowed: fmt.Sprintf("a position before calls[%d]", i)})
			return
		}
	}
}

// matchesPath reports whether the rule matches a path.
func (c *CallRule) matchesPath(path string) bool {
	if strings.HasSuffix(c.Path, "/") {
		return strings.HasPrefix(path, c.Path)
	}
	return path == c.Path
}

// Match returns the first rule of a plain service that matches a call.
func (s *Service) Match(method, path string) (CallRule, bool) {
	for _, call := range s.Calls {
		if call.Method == method && call.matchesPath(path) {
			return call, true
		}
	}
	return CallRule{}, false
}

// requiredRoles returns the roles of which a service of a kind needs upstreams.
func requiredRoles(kind Kind) []Role {
	switch kind {
	case KindModel:
		return []Role{RolePrefill, RoleDecode}
	case KindPlain:
		return []Role{RolePlain}
	default:
		return nil
	}
}

// checkRequiredRoles reports services without any upstream of a required role, which
// could never serve a request. Leaving upstreams count, because all upstreams of a
// service are leaving while it is being retired.
func (c *checker) checkRequiredRoles(ref Ref, s Service) {
	if s.Discovered {
		return
	}
	for _, role := range requiredRoles(s.Kind) {
		has := slices.ContainsFunc(c.set.Upstreams, func(u Upstream) bool {
			return u.Service == s.Name && u.Role == role
		})
		if !has {
			c.add(Fault{Kind: FaultNoUpstream, Object: ref, Field: "upstreams", Given: "none of role " + string(role),
				Allowed: "at least one upstream of role " + string(role)})
		}
	}
}
