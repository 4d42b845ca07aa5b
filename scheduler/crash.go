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
		a.crashTracker.RecordSuccess(outcome.Fingerprint)
	case group.OutcomeUpstreamCrashed:
		crash := quarantine.Crash{
			Upstream: outcome.FailedUpstream, Process: a.processes[outcome.FailedUpstream],
			Running: a.fingerprintsRunningOn(outcome.FailedUpstream, outcome.Fingerprint),
		}
		for _, fingerprint := range a.crashTracker.RecordCrash(now, crash) {
			a.metrics.Scope.Counter("prompts_quarantined").Inc(1)
			a.log.Warn("prompt quarantined", zap.Uint64("fingerprint", fingerprint), zap.String("upstream", crash.Upstream))
		}
	}
}

// fingerprintsRunningOn returns the fingerprints of the prompts running on an upstream. It contains
// own, the fingerprint of the reported attempt, exactly once.
func (a *serviceActor) fingerprintsRunningOn(upstream string, own uint64) []uint64 {
	running := []uint64{own}
	for _, l := range a.leases {
		onPrefill := l.prefill == upstream && !l.prefillDone
		if (onPrefill || l.decode == upstream) && l.fingerprint != own && l.fingerprint != 0 {
			running = append(running, l.fingerprint)
		}
	}
	return running
}

// checkQuarantine returns a refusal if the prompt is quarantined for crashing upstreams.
func (a *serviceActor) checkQuarantine(now time.Time, fingerprint uint64) *verdict.Verdict {
	until, blocked := a.crashTracker.BlockedUntil(now, fingerprint)
	if !blocked {
		return nil
	}
	return verdict.Refuse(verdict.ReasonQuarantined, until.Sub(now),
		"upstreams crashed each time they ran this prompt; it is not run before %s", until.UTC().Format(time.RFC3339))
}
