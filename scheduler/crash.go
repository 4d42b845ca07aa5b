package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/group"
	"github.com/cairnworks/cairnworks/decision/quarantine"
	"github.com/cairnworks/cairnworks/verdict"
)

// recordOutcome updates the health of the upstreams and the crash tracker with the outcome of an
// attempt. The outcomes of all instances are recorded here, so that a prompt is recognised if its
// caller resends it through another instance.
func (a *serviceActor) recordOutcome(now time.Time, key attemptKey, outcome group.Outcome) {
	if l := a.leases[key]; l != nil {
		a.health.observe(now, l, outcome)
	}
	switch outcome.Kind {
	case group.OutcomeDone:
		a.crashTracker.RecordSuccess(now, promptOf(outcome.Fingerprint))
	case group.OutcomeUpstreamCrashed:
		crash := quarantine.Crash{
			Upstream: outcome.FailedUpstream, Process: a.processes[outcome.FailedUpstream],
			Running: a.promptsRunningOn(outcome.FailedUpstream, outcome.Fingerprint),
		}
		for _, q := range a.crashTracker.RecordCrash(now, crash) {
			a.metrics.Scope.Counter("prompts_quarantined").Inc(1)
			a.log.Warn("prompt quarantined", zap.Stringer("fingerprint", q.Attribute), zap.String("upstream", crash.Upstream))
		}
	}
}

// promptOf returns the attributes of a prompt. Callers of this interface do not name the parts of their prompts, so a
// prompt is blamed as a whole only.
func promptOf(fingerprint uint64) quarantine.Request {
	return quarantine.Request{Whole: quarantine.Attribute(fingerprint)}
}

// promptsRunningOn returns the prompts running on an upstream. It contains that with the fingerprint own, of the
// reported attempt, exactly once.
func (a *serviceActor) promptsRunningOn(upstream string, own uint64) []quarantine.Request {
	running := []quarantine.Request{promptOf(own)}
	for _, l := range a.leases {
		onPrefill := l.prefill == upstream && !l.prefillDone
		if (onPrefill || l.decode == upstream) && l.fingerprint != own && l.fingerprint != 0 {
			running = append(running, promptOf(l.fingerprint))
		}
	}
	return running
}

// checkQuarantine returns a refusal if the prompt is quarantined for crashing upstreams.
func (a *serviceActor) checkQuarantine(now time.Time, fingerprint uint64) *verdict.Verdict {
	until, blocked := a.crashTracker.BlockedUntil(now, promptOf(fingerprint))
	if !blocked {
		return nil
	}
	return verdict.Refuse(verdict.ReasonQuarantined, until.Sub(now),
		"upstreams crashed each time they ran this prompt; it is not run before %s", until.UTC().Format(time.RFC3339))
}
