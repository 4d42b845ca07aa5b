package object

import "strconv"

// limits checks the figures of every limit and then whether each organisation's
// limit leaves room for the requests of the services it may use.
func (c *checker) limits() {
	for _, l := range c.set.Limits {
		ref := Ref{TypeLimit, l.Name}
		c.tokens(ref, "tokens_per_second", l.TokensPerSecond)
		c.tokens(ref, "burst", l.Burst)
	}
	limits := make(map[string]Limit, len(c.set.Limits))
	for _, l := range c.set.Limits {
		limits[l.Name] = l
	}
	reported := make(map[[2]string]bool)
	for _, o := range c.set.Organisations {
		if limit, ok := limits[o.Limit]; ok && limit.Burst > 0 {
			c.burstCovers(o, limit, reported)
		}
	}
}

func (c *checker) tokens(ref Ref, field string, value int64) {
	if value < 1 || value > maxTokens {
		c.add(outOfRange(ref, field, value, "1 to "+strconv.FormatInt(maxTokens, 10)))
	}
}

// burstCovers finds services whose largest request costs more than the whole
// burst. Such a request could never be admitted however long its caller waited,
// while each refusal would promise that asking again later can help. Thousands of
// organisations may share a limit; each pair of limit and service is reported once.
func (c *checker) burstCovers(o Organisation, limit Limit, reported map[[2]string]bool) {
	for _, s := range c.set.Services {
		pair := [2]string{limit.Name, s.Name}
		need := s.leastBurst()
		if s.Discovered || limit.Burst >= need || reported[pair] || !o.MayUse(s.Name) {
			continue
		}
		reported[pair] = true
		c.add(Fault{
			Kind:   FaultBurstTooSmall,
			Object: Ref{TypeLimit, limit.Name}, Other: Ref{TypeService, s.Name},
			Field: "burst", Given: strconv.FormatInt(limit.Burst, 10),
			Allowed: "at least " + strconv.FormatInt(need, 10) + ", the least charge of the service's largest request",
		})
	}
}

// leastBurst is the smallest burst under which every call of the service, or its
// longest prompt with one token of output, can be admitted.
func (s *Service) leastBurst() int64 {
	if s.Kind == KindModel {
		return int64(s.MaxPromptTokens) + 1
	}
	need := uint64(DefaultCallCost)
	for _, call := range s.Calls {
		need = max(need, call.Cost)
	}
	return int64(min(need, maxTokens))
}

// MayUse tells whether the organisation may use a service.
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
