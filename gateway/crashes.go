package gateway

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/quarantine"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Limits and timings of crash detection.
const (
	// crashProbeDelay is the delay before the upstream of a broken-off request is probed. By then a
	// crashed process no longer listens, and it takes seconds to restart.
	crashProbeDelay = 30 * time.Millisecond
	// crashProbeTimeout limits a probe.
	crashProbeTimeout = 500 * time.Millisecond
	// trialInterval is the mean time between the trials of two instances after a quarantine, so that a trial that
	// crashes its upstream is usually known before the next one.
	trialInterval = 3 * time.Second
)

// crashTracker records which requests were running on upstreams when these crashed, including
// crashes reported by other instances, and refuses those that crash upstreams. It is safe for concurrent use.
type crashTracker struct {
	now            boottime.Clock
	log            *zap.Logger
	metrics        *observe.Metrics
	checkReachable func(ctx context.Context, to upstream.Entry) (upstream.Reach, error)
	// trialDelay returns the time after the end of a quarantine at which this instance tries a request.
	trialDelay func(quarantine.Attribute) time.Duration
	// onChange is called after a crash was recorded by this instance, and when a quarantine has begun.
	onChange func()
	// active is set while there are quarantines, and watching while there are crashes or quarantines.
	active, watching atomic.Bool

	mu         sync.Mutex
	quarantine *quarantine.Tracker
	toReport   []reportedCrash
	known      map[crashKey]time.Duration
}

type reportedCrash struct {
	at time.Duration
	fleet.Crash
}

type crashKey struct {
	fingerprint quarantine.Attribute
	upstream    fleet.Hash
}

func newCrashTracker(now boottime.Clock, log *zap.Logger, metrics *observe.Metrics, checkReachable func(context.Context, upstream.Entry) (upstream.Reach, error)) *crashTracker {
	t := &crashTracker{now: now, log: log, metrics: metrics, checkReachable: checkReachable, quarantine: quarantine.New(quarantine.DefaultConfig()), known: make(map[crashKey]time.Duration)}
	t.quarantine.TrialDelay = func(a quarantine.Attribute) time.Duration {
		if t.trialDelay == nil {
			return 0
		}
		return t.trialDelay(a)
	}
	return t
}

// fingerprint identifies repetitions of a request by method, target, organisation and body.
func fingerprint(r *upstream.Request) quarantine.Attribute {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Target, r.Organisation} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return quarantine.Attribute(h.Sum64())
}

// partAttribute returns the attribute of a part of prompts.
func partAttribute(id string) quarantine.Attribute {
	return quarantine.Attribute(xxhash.Sum64String("part\x00" + id))
}

// partAttributes returns the attributes of the parts of a request's prompt.
func partAttributes(r *upstream.Request) []quarantine.Attribute {
	ids := r.PromptParts[:min(len(r.PromptParts), quarantine.MaxParts)]
	out := make([]quarantine.Attribute, 0, len(ids))
	for _, id := range ids {
		out = append(out, partAttribute(id))
	}
	return out
}

// attributesOf returns the attributes of a request.
func attributesOf(r *upstream.Request) quarantine.Request {
	return quarantine.Request{Whole: fingerprint(r), Parts: partAttributes(r)}
}

// asTime converts the time since boot to the type used by the quarantine tracker.
func asTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// refusal returns a refusal if the call must not be sent because it, or a part of its prompt, crashes upstreams.
func (t *crashTracker) refusal(c *Call) *verdict.Verdict {
	if !t.active.Load() {
		return nil
	}
	return t.refusalOf(attributesOf(c.identity()))
}

func (t *crashTracker) refusalOf(r quarantine.Request) *verdict.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantine.Refusal(asTime(t.now()), r)
}

// admit returns a refusal if a request that is about to be sent, perhaps on behalf of another instance, crashes
// upstreams.
func (t *crashTracker) admit(to upstream.Entry, out upstream.Outgoing) *verdict.Verdict {
	if out.Request == nil || !t.active.Load() {
		return nil
	}
	r := attributesOf(out.Request)
	if to.Role == upstream.Plain {
		r.Parts = nil
	}
	if v := t.refusalOf(r); v != nil {
		v.Cause = errNotSent
		return v
	}
	return nil
}

// recordBrokenOff handles a request whose upstream closed the connection without a complete answer. A
// lost answer looks the same, and so does a link of this instance that is cut, so the upstream is probed:
// it counts as crashed only if its process is gone.
func (t *crashTracker) recordBrokenOff(c *Call, entry upstream.Entry) {
	at := t.now()
	time.AfterFunc(crashProbeDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		if reach, _ := t.checkReachable(ctx, entry); reach != upstream.Unreachable {
			t.log.Info("request broken off without a crash", zap.String("request", c.ID), zap.String("upstream", entry.ID), zap.Stringer("reached", reach))
			return
		}
		r := attributesOf(c.identity())
		process := fleet.HashOf(fmt.Sprintf("%s/%d", entry.ID, entry.Started))
		t.log.Info("upstream crashed while running request", zap.String("request", c.ID), zap.String("upstream", entry.ID),
			zap.Stringer("fingerprint", r.Whole), zap.Strings("parts", c.PromptParts))
		t.recordCrashes(t.now(), []fleet.Crash{{Fingerprint: r.Whole, Upstream: process, Age: t.now() - at, Parts: r.Parts}}, true)
		if t.onChange != nil {
			t.onChange()
		}
	})
}

// recordCrashes records crashes against requests. If report is set, they are included in this instance's reports.
func (t *crashTracker) recordCrashes(now time.Duration, crashes []fleet.Crash, report bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, at := range t.known {
		if now-at >= crashKnownTime {
			delete(t.known, key)
		}
	}
	byProcess := make(map[fleet.Hash]*quarantine.Crash)
	at := make(map[fleet.Hash]time.Duration)
	for _, c := range crashes {
		key := crashKey{c.Fingerprint, c.Upstream}
		if _, known := t.known[key]; known || len(t.known) >= maxKnownCrashes {
			continue
		}
		t.known[key] = now
		if report {
			t.toReport = append(t.toReport, reportedCrash{now - c.Age, c})
		}
		if byProcess[c.Upstream] == nil {
			process := fmt.Sprintf("%x", c.Upstream)
			byProcess[c.Upstream] = &quarantine.Crash{Upstream: process, Process: process}
			at[c.Upstream] = now - c.Age
		}
		crash := byProcess[c.Upstream]
		crash.Running = append(crash.Running, quarantine.Request{Whole: c.Fingerprint, Parts: c.Parts})
		at[c.Upstream] = min(at[c.Upstream], now-c.Age)
	}
	for upstream, c := range byProcess {
		t.logQuarantines(t.quarantine.RecordCrash(asTime(at[upstream]), *c))
	}
	t.updateFlags()
}

// logQuarantines logs and counts quarantines that begin or become longer.
func (t *crashTracker) logQuarantines(began []quarantine.Quarantine) {
	for _, q := range began {
		fields := []zap.Field{zap.Stringer("attribute", q.Attribute), zap.Int("crashes", q.Crashes), zap.Duration("left", q.Until.Sub(asTime(t.now())))}
		if q.Part {
			t.metrics.CountQuarantine("part")
			t.log.Warn("part of prompts quarantined", fields...)
		} else {
			t.metrics.CountQuarantine("request")
			t.log.Warn("request quarantined", fields...)
		}
	}
}

// logEnded logs quarantines that have ended because of an answer.
func (t *crashTracker) logEnded(ended []quarantine.Quarantine) {
	for _, q := range ended {
		t.log.Info("quarantine ended by an answer", zap.Stringer("attribute", q.Attribute), zap.Bool("part", q.Part), zap.Int("crashes", q.Crashes))
	}
}

// updateFlags sets the flags that are read without the lock. The caller must hold the lock.
func (t *crashTracker) updateFlags() {
	t.active.Store(t.quarantine.Len() > 0)
	t.watching.Store(!t.quarantine.IsEmpty())
}

// recordSuccess records that a call was answered completely.
func (t *crashTracker) recordSuccess(c *Call) {
	identity := c.identity()
	watching := t.watching.Load()
	if !watching && len(identity.PromptParts) == 0 {
		return
	}
	r := quarantine.Request{Parts: partAttributes(identity)}
	if watching {
		r.Whole = fingerprint(identity)
	}
	t.mu.Lock()
	ended := t.quarantine.RecordSuccess(asTime(t.now()), r)
	t.logEnded(ended)
	t.updateFlags()
	t.mu.Unlock()
	if len(ended) > 0 && t.onChange != nil {
		t.onChange()
	}
}

// quarantines reports whether there are any.
func (t *crashTracker) quarantines() bool { return t.active.Load() }

// sweep removes what no longer counts.
func (t *crashTracker) sweep() {
	if !t.watching.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantine.RemoveExpired(asTime(t.now()))
	t.updateFlags()
}

// Quarantines returns the number of requests and parts of prompts that are refused, or will be tried next.
func (g *Gateway) Quarantines() int {
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	return g.crashes.quarantine.Len()
}

// trialDelay returns the time after the end of a quarantine at which this instance tries a request. It is different
// at each instance, so that usually one of them tries.
func (g *Gateway) trialDelay(a quarantine.Attribute) time.Duration {
	instances, _ := g.FleetSize().Instances()
	share := float64(hashPoint(g.Instance+a.String())) / (1 << 64)
	return time.Duration(share * float64(max(instances-1, 0)) * float64(trialInterval))
}
