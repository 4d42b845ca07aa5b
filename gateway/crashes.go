package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/quarantine"
	"github.com/cairnworks/cairnworks/fleet"
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
	// crashReportTTL is how long a crash is included in reports, so that it also reaches instances
	// that started later or missed reports.
	crashReportTTL = 30 * time.Second
	// maxReportedCrashes limits the crashes in a report; a crash of one engine ends about twenty
	// requests.
	maxReportedCrashes = 64
)

// crashTracker records which requests were running on upstreams when these crashed, including
// crashes reported by other instances. It is safe for concurrent use.
type crashTracker struct {
	log            *zap.Logger
	checkReachable func(ctx context.Context, to upstream.Entry) (upstream.Reach, error)

	mu         sync.Mutex
	quarantine *quarantine.Tracker
	toReport   []reportedCrash
	known      map[crashKey]bool
}

type reportedCrash struct {
	at time.Duration
	fleet.Crash
}

type crashKey struct {
	fingerprint uint64
	upstream    fleet.Hash
}

func newCrashTracker(log *zap.Logger, checkReachable func(context.Context, upstream.Entry) (upstream.Reach, error)) *crashTracker {
	return &crashTracker{log: log, checkReachable: checkReachable, quarantine: quarantine.New(quarantine.DefaultConfig()), known: make(map[crashKey]bool)}
}

// fingerprint identifies repetitions of a request by method, target, organisation and body.
func fingerprint(c *Call) uint64 {
	h := xxhash.New()
	for _, part := range []string{c.Method, c.Target, c.Organisation} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// asTime converts the time since boot to the type used by the quarantine tracker.
func asTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// quarantineRefusal returns a refusal if the request has crashed upstreams.
func (t *crashTracker) quarantineRefusal(c *Call) *verdict.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.quarantine.Len() == 0 {
		return nil
	}
	return t.quarantine.Refusal(asTime(boottime.Now()), fingerprint(c))
}

// recordBrokenOff handles a request whose upstream closed the connection without a complete answer. A
// lost answer looks the same, and so does a link of this instance that is cut, so the upstream is probed:
// it counts as crashed only if its process is gone.
func (t *crashTracker) recordBrokenOff(c *Call, entry upstream.Entry, onCrash func()) {
	hash := fingerprint(c)
	time.AfterFunc(crashProbeDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		if reach, _ := t.checkReachable(ctx, entry); reach != upstream.Unreachable {
			t.log.Info("request broken off without a crash", zap.String("request", c.ID), zap.String("upstream", entry.ID), zap.Stringer("reached", reach))
			return
		}
		t.recordCrash(boottime.Now(), fleet.Crash{Fingerprint: hash, Upstream: fleet.HashOf(fmt.Sprintf("%s/%d", entry.ID, entry.Started))}, true)
		t.log.Info("upstream crashed while running request", zap.String("request", c.ID), zap.String("upstream", entry.ID), zap.Uint64("fingerprint", hash))
		onCrash()
	})
}

// recordCrash records a crash against a request. If report is set, the crash is included in this
// instance's reports.
func (t *crashTracker) recordCrash(now time.Duration, c fleet.Crash, report bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := crashKey{c.Fingerprint, c.Upstream}
	if t.known[key] {
		return
	}
	t.known[key] = true
	if report {
		t.toReport = append(t.toReport, reportedCrash{now - c.Age, c})
	}
	at := asTime(now - c.Age)
	// Each request is recorded separately: instances report the requests that they had running, and
	// no instance knows all requests that ran on the process.
	process := fmt.Sprintf("%x/%x", c.Upstream, c.Fingerprint)
	for _, hash := range t.quarantine.RecordCrash(at, quarantine.Crash{Upstream: process, Process: process, Running: []uint64{c.Fingerprint}}) {
		t.log.Warn("request quarantined", zap.Uint64("fingerprint", hash))
	}
}

// recordSuccess clears a request that was answered completely.
func (t *crashTracker) recordSuccess(c *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.quarantine.Len() > 0 {
		t.quarantine.RecordSuccess(fingerprint(c))
	}
}

// addReport adds the recorded crashes to a report.
func (t *crashTracker) addReport(now time.Duration, r *fleet.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.toReport[:0]
	for _, crash := range t.toReport {
		if now-crash.at < crashReportTTL {
			kept = append(kept, crash)
		}
	}
	t.toReport = kept
	for i := len(kept) - 1; i >= 0 && len(r.Crashes) < maxReportedCrashes; i-- {
		c := kept[i].Crash
		c.Age = now - kept[i].at
		r.Crashes = append(r.Crashes, c)
	}
}

// applyReport records crashes reported by another instance. A hub passes them on (report).
func (t *crashTracker) applyReport(now time.Duration, r *fleet.Report, report bool) {
	for _, c := range r.Crashes {
		t.recordCrash(now, c, report)
	}
}
