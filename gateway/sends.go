package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// sends are the sends of one call to upstreams, and what they have charged to the retry budget. A call's first run is
// free, and so is the first of its prefills that an upstream accepts; all other arrivals are charged before they are
// sent. An upstream may refuse the first prefill: the call's next send is then charged for both.
type sends struct {
	service string

	mu sync.Mutex
	// runs and prefills are the numbers of sends that may have arrived.
	runs, prefills int
	// prefilled is set once an upstream has, or may have, accepted a prefill.
	prefilled bool
	// unpaid is the number of arrivals that have not been charged yet.
	unpaid int
	// reserved are the charges that were taken for further runs.
	reserved []time.Duration
}

// sender sends callers' requests to upstreams. All sends of the gateway pass it: first ones, retries, resumed streams
// and prefills, directly and over other instances. It charges those that are repeated to the retry budget.
type sender struct {
	Upstreams
	budgets *retryBudgets
	metrics *observe.Metrics
	now     boottime.Clock

	mu sync.Mutex
	// refusing holds the times at which upstreams have last refused a prefill, by ID.
	refusing map[string]time.Duration
}

func newSender(u Upstreams, budgets *retryBudgets, metrics *observe.Metrics, now boottime.Clock) *sender {
	return &sender{Upstreams: u, budgets: budgets, metrics: metrics, now: now, refusing: make(map[string]time.Duration)}
}

// Run implements Upstreams. It refuses a run that the retry budget does not allow.
func (s *sender) Run(ctx context.Context, to upstream.Entry, c *Call, o RunOptions) (*Answer, error) {
	charges, ok := s.chargeRun(&c.sends)
	if !ok {
		return nil, s.refusal(c, observe.SendRun)
	}
	answer, err := s.Upstreams.Run(ctx, to, c, o)
	c.sends.mu.Lock()
	defer c.sends.mu.Unlock()
	if !arrived(err) {
		c.sends.reserved = append(charges, c.sends.reserved...)
		return answer, err
	}
	s.metrics.CountArrival(c.sends.service, observe.SendRun, len(charges) > 0)
	c.sends.runs, c.sends.unpaid = c.sends.runs+1, 0
	return answer, err
}

// chargeRun charges a run, preferably from what was reserved, and returns the charges.
func (s *sender) chargeRun(c *sends) (charges []time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	need := c.unpaid
	if c.runs > 0 {
		need++
	}
	from := min(need, len(c.reserved))
	charges, c.reserved = c.reserved[:from:from], c.reserved[from:]
	if missing := need - from; missing > 0 {
		at, ok := s.budgets.take(c.service, missing, 1)
		if !ok {
			c.reserved = append(charges, c.reserved...)
			return nil, false
		}
		for range missing {
			charges = append(charges, at)
		}
	}
	return charges, true
}

// reserveRun charges a further run of a call that is decided on before it is sent. It reports whether the budget
// allows the run.
func (s *sender) reserveRun(c *Call) bool {
	c.sends.mu.Lock()
	defer c.sends.mu.Unlock()
	if missing := c.sends.unpaid + 1 - len(c.sends.reserved); missing > 0 {
		at, ok := s.budgets.take(c.sends.service, missing, 1)
		if !ok {
			s.metrics.CountBudgetSpent(c.sends.service, observe.SendRun)
			return false
		}
		for range missing {
			c.sends.reserved = append(c.sends.reserved, at)
		}
	}
	return true
}

// release gives back what was reserved for runs of a call that has ended.
func (s *sender) release(c *Call) {
	c.sends.mu.Lock()
	defer c.sends.mu.Unlock()
	for _, at := range c.sends.reserved {
		s.budgets.giveBack(c.sends.service, at)
	}
	c.sends.reserved = nil
}

// Prefill implements Upstreams. It refuses a prefill that the retry budget does not allow.
func (s *sender) Prefill(ctx context.Context, to upstream.Entry, c *Call) (string, error) {
	charges, ok := s.chargePrefill(to, &c.sends)
	if !ok {
		return "", s.refusal(c, observe.SendPrefill)
	}
	handle, err := s.Upstreams.Prefill(ctx, to, c)
	s.settlePrefill(to, &c.sends, charges, err)
	return handle, err
}

// chargePrefill charges a prefill and returns the charges. A call's first prefill is free unless the engine is likely
// to refuse it.
func (s *sender) chargePrefill(to upstream.Entry, c *sends) (charges []time.Duration, ok bool) {
	refusing := s.isRefusing(to.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	need := 1 + c.unpaid
	if c.runs == 0 && c.prefills == 0 && !refusing {
		need = 0
	}
	if need == 0 {
		return nil, true
	}
	at, ok := s.budgets.take(c.service, need, prefillShare)
	for range need {
		charges = append(charges, at)
	}
	return charges, ok
}

// settlePrefill settles the charges of a prefill with its outcome.
func (s *sender) settlePrefill(to upstream.Entry, c *sends, charges []time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !arrived(err) {
		for _, at := range charges {
			s.budgets.giveBack(c.service, at)
		}
		return
	}
	c.prefills++
	if len(charges) > 0 {
		c.unpaid = 0
	}
	refused := refusedByUpstream(err)
	s.setRefusing(to.ID, refused)
	free := !refused && !c.prefilled
	c.prefilled = c.prefilled || !refused
	switch {
	case free && len(charges) > 0:
		s.budgets.giveBack(c.service, charges[0])
	case refused && len(charges) == 0:
		c.unpaid = 1
	}
	s.metrics.CountArrival(c.service, observe.SendPrefill, !free)
}

// refusingFor is how long an engine that has refused a prefill is expected to refuse others.
const refusingFor = refusalWithdrawal

// isRefusing reports whether an engine has refused the last prefill shortly before.
func (s *sender) isRefusing(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, refused := s.refusing[id]
	return refused && s.now()-at < refusingFor
}

func (s *sender) setRefusing(id string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.refusing, id)
	if refused {
		s.refusing[id] = s.now()
	}
}

// sweep removes expired state.
func (s *sender) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for id, at := range s.refusing {
		if now-at >= refusingFor {
			delete(s.refusing, id)
		}
	}
}

// refusal returns the refusal of a send that the retry budget does not allow.
func (s *sender) refusal(c *Call, send string) *verdict.Verdict {
	s.metrics.CountBudgetSpent(c.sends.service, send)
	v := verdict.Refuse(verdict.ReasonRetryBudgetSpent, plainRetryAfter(c.ID), "%s takes no more repeated sends at the moment", c.sends.service)
	v.Unsent = true
	return v
}

// arrived reports whether a send with the given result may have arrived.
func arrived(err error) bool { return err == nil || !verdict.From(err).Unsent }

// refusedByUpstream reports whether an upstream has refused a request that arrived.
func refusedByUpstream(err error) bool {
	if err == nil {
		return false
	}
	switch verdict.From(err).Reason {
	case verdict.ReasonUpstreamRefused, verdict.ReasonUpstreamBackoff, verdict.ReasonWrongUpstream:
		return true
	}
	return false
}
