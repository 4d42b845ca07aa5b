package object

import "strconv"

// checkLimits checks the values of every limit, and that each organisation's limit admits
// the largest requests of the services that the organisation may use.
func (c *checker) checkLimits() {
	for _, l := range c.set.Limits {
		ref := Ref{TypeLimit, l.Name}
		c.checkTokens(ref, "tokens_per_second", l.TokensPerSecond)
		c.checkTokens(ref, "burst", l.Burst)
	}
	limits := make(map[string]Limit, len(c.set.Limits))
	for _, l := range c.set.Limits {
		limits[l.Name] = l
	}
	reported := make(map[[2]string]bool)
	for _, o := range c.set.Organisations {
		if limit, ok := limits[o.Limit]; ok && limit.Burst > 0 {
			c.checkBurst(o, limit, reported)
		}
	}
}

func (c *checker) checkTokens(ref Ref, field string, value int64) {
	if value < 1 || value > maxTokens {
		c.add(outOfRange(ref, field, value, "1 to "+strconv.FormatInt(maxTokens, 10)))
	}
}

// checkBurst reports services whose largest request costs more than the burst. Such a
// request could never be admitted, while each refusal would advise a retry.
// Thousands of organisations may share a limit, so that each pair of limit and service
// is reported once.
func (c *checker) checkBurst(o Organisation, limit Limit, reported map[[2]string]bool) {
	for _, s := range c.set.Services {
		pair := [2]string{limit.Name, s.Name}
		required := s.minBurst()
		if s.Discovered || limit.Burst >= required || reported[pair] || !o.MayUse(s.Name) {
			continue
		}
		reported[pair] = true
		c.add(Fault{
			Kind:   FaultBurstTooSmall,
			Object: Ref{TypeLimit, limit.Name}, Other: Ref{TypeService, s.Name},
			Field: "burst", Given: strconv.FormatInt(limit.Burst, 10),
			Allowed: "at least " + strconv.FormatInt(required, 10) + ", the least charge of the service's largest request",
		})
	}
}

// minBurst returns the smallest burst that admits every call of a plain service, or the
// longest prompt of a model service with one token of output.
func (s *Service) minBurst() int64 {
	if s.Kind == KindModel {
		return int64(s.MaxPromptTokens) + 1
	}
	required := uint64(DefaultCallCost)
	for _, call := range s.Calls {
		required = max(required, call.Cost)
	}
	return int64(min(required, maxTokens))
}

// MayUse reports whether the organisation may use a service.
func (o *Organisation) MayUse(service string) bool {
	if len(o.Services) == 0 {
		return true
	}
	for _, name := range o.Services {
		if name == service {
			return true
		}
	}
	return false
}

func outOfRange(ref Ref, field string, value int64, allowed string) Fault {
	return Fault{Kind: FaultOutOfRange, Object: ref, Field: field, Given: strconv.FormatInt(value, 10), Allowed: allowed}
}
