package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/group"
	"github.com/cairnworks/cairnworks/decision/quarantine"
	"github.com/cairnworks/cairnworks/verdict"
)

// judge learns from the end of an attempt how well its upstreams do and which
// prompts they survive. Every outcome of a service passes here, so that a prompt
// which its caller sends again through another instance is known.
func (a *serviceActor) judge(now time.Time, key attemptKey, outcome group.Outcome) {
	if l := a.byKey[key]; l != nil {
		a.health.observe(now, l, outcome)
	}
	switch outcome.Kind {
	case group.OutcomeDone:
		a.crashes.RecordSuccess(outcome.Fingerprint)
	case group.OutcomeUpstreamCrashed:
		crash := quarantine.Crash{
			Upstream: outcome.FailedUpstream, Process: a.processes[outcome.FailedUpstream],
			Running: a.runningOn(outcome.FailedUpstream, outcome.Fingerprint),
		}
		for _, fingerprint := range a.crashes.RecordCrash(now, crash) {
			a.metrics.Scope.Counter("prompts_quarantined").Inc(1)
			a.log.Warn("prompt quarantined", zap.Uint64("fingerprint", fingerprint), zap.String("upstream", crash.Upstream))
		}
	}
}

// runningOn returns the fingerprints that ran on an upstream, the reporter's own
// among them once.
func (a *serviceActor) runningOn(upstream string, own uint64) []uint64 {
	running := []uint64{own}
	for _, l := range a.byKey {
		onPrefill := l.prefill == upstream && !l.prefilled
		if (onPrefill || l.decode == upstream) && l.fingerprint != own && l.fingerprint != 0 {
			running = append(running, l.fingerprint)
		}
	}
	return running
}

// quarantined refuses a prompt that upstreams have died of.
func (a *serviceActor) quarantined(now time.Time, fingerprint uint64) *verdict.Verdict {
	until, blocked := a.crashes.BlockedUntil(now, fingerprint)
	if !blocked {
		return nil
	}
	return verdict.Refuse(verdict.ReasonQuarantined, until.Sub(now),
		"upstreams crashed each time they ran this prompt; it is not run before %s", until.UTC().Format(time.RFC3339))
}
