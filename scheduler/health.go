package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/balance"
	"github.com/cairnworks/cairnworks/decision/group"
	"github.com/cairnworks/cairnworks/decision/health"
	"github.com/cairnworks/cairnworks/object"
)

// Work that one outcome is held against. Only the proportions count, since an
// upstream is judged by its peers: a prefill takes a fixed part and a part for each
// token, of the order of 8,000 tokens a second.
const (
	prefillBase     = 10 * time.Millisecond
	prefillPerToken = 125 * time.Microsecond
	decodePerToken  = 50 * time.Millisecond
	plainCall       = 50 * time.Millisecond
	// minJudgedTokens is the shortest answer whose pace says something.
	minJudgedTokens = 8
)

// upstreamHealth judges a service's upstreams by the outcomes of their attempts,
// each role among its like, and carries the weights to the group.
type upstreamHealth struct {
	monitors map[object.Role]*health.Monitor
	roles    map[string]object.Role
	// trials are upstreams that get full weight until their next outcome: by
	// weight alone an upstream that is out would not be tried while others have room.
	trials map[string]bool
	states map[string]health.State
	// advisor watches which pool is the bottleneck.
	advisor *balance.Advisor
	advised time.Time
}

func newUpstreamHealth() *upstreamHealth {
	h := &upstreamHealth{
		monitors: make(map[object.Role]*health.Monitor), trials: make(map[string]bool),
		states: make(map[string]health.State), advisor: balance.New(balance.DefaultConfig()),
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

// observe takes in the end of an attempt.
func (h *upstreamHealth) observe(now time.Time, l *lease, o group.Outcome) {
	switch o.Kind {
	case group.OutcomePrefillFailed, group.OutcomeTransferFailed, group.OutcomeDecodeFailed, group.OutcomeUpstreamCrashed:
		h.record(now, o.FailedUpstream, false, 0, 0)
	case group.OutcomeDone:
		if h.roles[l.decode] == object.RolePlain {
			h.record(now, l.decode, true, o.FirstToken, plainCall)
			return
		}
		h.record(now, l.prefill, true, o.Prefill, prefillBase+time.Duration(l.promptTokens)*prefillPerToken)
		if o.OutputTokens >= minJudgedTokens {
			h.record(now, l.decode, true, o.Decode, time.Duration(o.OutputTokens)*decodePerToken)
		}
	}
}

func (h *upstreamHealth) record(now time.Time, upstream string, ok bool, latency, expected time.Duration) {
	monitor := h.monitors[h.roles[upstream]]
	if monitor == nil {
		return
	}
	delete(h.trials, upstream)
	monitor.Observe(now, upstream, ok, latency, expected)
}

// carry gives the group the weights, and logs each change of state.
func (a *serviceActor) carryHealth(now time.Time) {
	for _, monitor := range a.health.monitors {
		if name, due := monitor.NextProbe(now); due {
			a.health.trials[name] = true
		}
		for _, w := range monitor.Weights() {
			weight := w.Weight
			if a.health.trials[w.Upstream] {
				weight = 1
			}
			a.group.SetHealth(now, w.Upstream, weight)
			a.logHealth(w)
		}
	}
}

func (a *serviceActor) logHealth(w health.Weight) {
	if a.health.states[w.Upstream] == w.State {
		return
	}
	a.health.states[w.Upstream] = w.State
	a.metrics.Scope.Tagged(map[string]string{"upstream": w.Upstream, "state": w.State.String()}).Counter("upstream_health_changes").Inc(1)
	a.log.Info("upstream health", zap.String("upstream", w.Upstream), zap.String("state", w.State.String()), zap.Float64("weight", w.Weight))
}

// describe returns each upstream's state in the words of the log.
func (h *upstreamHealth) describe() map[string]string {
	states := make(map[string]string, len(h.roles))
	for _, monitor := range h.monitors {
		for _, w := range monitor.Weights() {
			states[w.Upstream] = w.State.String()
		}
	}
	return states
}

// adviseInterval is how often the pools' balance is sampled.
const adviseInterval = time.Second

// sampleBalance lets the advisor see how busy the pools are.
func (a *serviceActor) sampleBalance(now time.Time) {
	if a.plain || now.Sub(a.health.advised) < adviseInterval {
		return
	}
	a.health.advised = now
	var sample []balance.Upstream
	for _, u := range a.group.Status(now).Upstreams {
		role := balance.Prefill
		if u.Role == object.RoleDecode {
			role = balance.Decode
		}
		sample = append(sample, balance.Upstream{Name: u.Name, Role: role, Utilisation: busyShare(u), Ineligible: u.Leaving})
	}
	a.health.advisor.Observe(now, sample)
}

// busyShare is the used share of slots or memory, whichever is higher.
func busyShare(u group.UpstreamStatus) float64 {
	busy := 0.0
	if u.Slots > 0 {
		busy = float64(u.Running) / float64(u.Slots)
	}
	if u.Pieces > 0 {
		busy = max(busy, float64(u.PiecesUsed)/float64(u.Pieces))
	}
	return min(busy, 1)
}

// advice is a sentence for operators, empty when the pools are balanced.
func (a *serviceActor) advice() string {
	advice, ok := a.health.advisor.Advice()
	if !ok {
		return ""
	}
	return "change the role of " + advice.Upstream + " to " + advice.To.String()
}
