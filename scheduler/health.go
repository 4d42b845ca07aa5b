package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/balance"
	"github.com/cairnworks/cairnworks/decision/group"
	"github.com/cairnworks/cairnworks/decision/health"
	"github.com/cairnworks/cairnworks/object"
)

// Expected durations to which measured latencies are compared. Only their ratios matter, since an
// upstream is rated relative to its peers. A prefill has a fixed cost and a cost per token; the
// rate is on the order of 8,000 tokens per second.
const (
	expectedPrefillBase     = 10 * time.Millisecond
	expectedPrefillPerToken = 125 * time.Microsecond
	expectedDecodePerToken  = 50 * time.Millisecond
	expectedPlainCall       = 50 * time.Millisecond
	// minRatedTokens is the minimum number of output tokens for the decode rate to be meaningful.
	minRatedTokens = 8
)

// upstreamHealth rates a service's upstreams by the outcomes of their attempts. Each upstream is
// compared to those of the same role.
type upstreamHealth struct {
	monitors map[object.Role]*health.Monitor
	roles    map[string]object.Role
	// probing is the set of upstreams that have full weight until their next outcome. With its
	// regular weight, an upstream in state "out" would not receive a request as long as others have
	// capacity.
	probing      map[string]bool
	loggedStates map[string]health.State
	// advisor determines which pool is the bottleneck.
	advisor    *balance.Advisor
	lastSample time.Time
}

func newUpstreamHealth() *upstreamHealth {
	h := &upstreamHealth{
		monitors: make(map[object.Role]*health.Monitor), probing: make(map[string]bool),
		loggedStates: make(map[string]health.State), advisor: balance.New(balance.DefaultConfig()),
	}
	for _, role := range []object.Role{object.RolePrefill, object.RoleDecode, object.RolePlain} {
		h.monitors[role] = health.New(health.DefaultConfig())
	}
	return h
}

func (h *upstreamHealth) configure(upstreams []*object.Upstream) {
	names := make(map[object.Role][]string)
	h.roles = make(map[string]object.Role, len(upstreams))
	for _, u := range upstreams {
		names[u.Role] = append(names[u.Role], u.Name)
		h.roles[u.Name] = u.Role
	}
	for role, monitor := range h.monitors {
		monitor.SetUpstreams(names[role])
	}
}

// observe records the outcome of an attempt.
func (h *upstreamHealth) observe(now time.Time, l *lease, o group.Outcome) {
	switch o.Kind {
	case group.OutcomePrefillFailed, group.OutcomeTransferFailed, group.OutcomeDecodeFailed, group.OutcomeUpstreamCrashed:
		h.record(now, o.FailedUpstream, false, 0, 0)
	case group.OutcomeDone:
		if h.roles[l.decode] == object.RolePlain {
			h.record(now, l.decode, true, o.FirstToken, expectedPlainCall)
			return
		}
		h.record(now, l.prefill, true, o.Prefill, expectedPrefillBase+time.Duration(l.promptTokens)*expectedPrefillPerToken)
		if o.OutputTokens >= minRatedTokens {
			h.record(now, l.decode, true, o.Decode, time.Duration(o.OutputTokens)*expectedDecodePerToken)
		}
	}
}

func (h *upstreamHealth) record(now time.Time, upstream string, ok bool, latency, expected time.Duration) {
	monitor := h.monitors[h.roles[upstream]]
	if monitor == nil {
		return
	}
	delete(h.probing, upstream)
	monitor.Observe(now, upstream, ok, latency, expected)
}

// updateWeights passes the health weights to the group and logs state changes.
func (a *serviceActor) updateWeights(now time.Time) {
	for _, monitor := range a.health.monitors {
		if name, due := monitor.NextProbe(now); due {
			a.health.probing[name] = true
		}
		for _, w := range monitor.Weights() {
			weight := w.Weight
			if a.health.probing[w.Upstream] {
				weight = 1
			}
			a.group.SetHealth(now, w.Upstream, weight)
			a.recordStateChange(w)
		}
	}
}

func (a *serviceActor) recordStateChange(w health.Weight) {
	if a.health.loggedStates[w.Upstream] == w.State {
		return
	}
	a.health.loggedStates[w.Upstream] = w.State
	a.metrics.Scope.Tagged(map[string]string{"upstream": w.Upstream, "state": w.State.String()}).Counter("upstream_health_changes").Inc(1)
	a.log.Info("upstream health", zap.String("upstream", w.Upstream), zap.String("state", w.State.String()), zap.Float64("weight", w.Weight))
}

// stateNames returns the name of each upstream's state, as used in the log.
func (h *upstreamHealth) stateNames() map[string]string {
	states := make(map[string]string, len(h.roles))
	for _, monitor := range h.monitors {
		for _, w := range monitor.Weights() {
			states[w.Upstream] = w.State.String()
		}
	}
	return states
}

// balanceSampleInterval is the interval between samples of the pools' utilisation.
const balanceSampleInterval = time.Second

// sampleBalance passes the current utilisation of the pools to the advisor.
func (a *serviceActor) sampleBalance(now time.Time) {
	if a.isPlain || now.Sub(a.health.lastSample) < balanceSampleInterval {
		return
	}
	a.health.lastSample = now
	var sample []balance.Upstream
	for _, u := range a.group.Status(now).Upstreams {
		role := balance.Prefill
		if u.Role == object.RoleDecode {
			role = balance.Decode
		}
		sample = append(sample, balance.Upstream{Name: u.Name, Role: role, Utilisation: utilisation(u), Ineligible: u.Leaving})
	}
	a.health.advisor.Observe(now, sample)
}

// utilisation returns the used fraction of slots or memory, whichever is higher.
func utilisation(u group.UpstreamStatus) float64 {
	used := 0.0
	if u.Slots > 0 {
		used = float64(u.Running) / float64(u.Slots)
	}
	if u.Pieces > 0 {
		used = max(used, float64(u.PiecesUsed)/float64(u.Pieces))
	}
	return min(used, 1)
}

// advice returns a recommendation for operators, or an empty string if the pools are balanced.
func (a *serviceActor) advice() string {
	advice, ok := a.health.advisor.Advice()
	if !ok {
		return ""
	}
	return "change the role of " + advice.Upstream + " to " + advice.To.String()
}
