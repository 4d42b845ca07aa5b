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

// Figures of crashes.
const (
	// probeDelay is how long after a broken request its upstream is tried: a crashed
	// process no longer listens by then, and is back only after seconds.
	probeDelay = 30 * time.Millisecond
	// probePatience bounds the trial.
	probePatience = 500 * time.Millisecond
	// crashTold is how long a crash is told to the others, so that instances that
	// start meanwhile and lost reports do not hide it.
	crashTold = 30 * time.Second
	// maxCrashesTold bounds the crashes in a report; twenty requests end with an engine.
	maxCrashesTold = 64
)

// crashes remembers which requests ran on upstreams that ended under them, with what
// the other instances tell. It is safe for concurrent use.
type crashes struct {
	log   *zap.Logger
	reach func(ctx context.Context, to upstream.Entry) error

	mu     sync.Mutex
	ledger *quarantine.Tracker
	told   []toldCrash
	heard  map[heardCrash]bool
}

type toldCrash struct {
	at time.Duration
	fleet.Crash
}

type heardCrash struct {
	fingerprint uint64
	upstream    fleet.Hash
}

func newCrashes(log *zap.Logger, reach func(context.Context, upstream.Entry) error) *crashes {
	return &crashes{log: log, reach: reach, ledger: quarantine.New(quarantine.DefaultConfig()), heard: make(map[heardCrash]bool)}
}

// fingerprint identifies a request that comes again: by its path, caller and body.
func fingerprint(c *Call) uint64 {
	h := xxhash.New()
	for _, part := range []string{c.Method, c.Target, c.Organisation} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// clock is the time since boot in the form that the ledger takes.
func clock(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// blocked refuses a request that has crashed upstreams.
func (k *crashes) blocked(c *Call) *verdict.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger.Len() == 0 {
		return nil
	}
	return k.ledger.Refusal(clock(boottime.Now()), fingerprint(c))
}

// broke notes a request whose upstream ended its connection without a whole answer. A
// lost answer looks the same, so that the upstream is tried: only a process that is
// gone has crashed.
func (k *crashes) broke(c *Call, entry upstream.Entry, changed func()) {
	print := fingerprint(c)
	time.AfterFunc(probeDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), probePatience)
		defer cancel()
		if err := k.reach(ctx, entry); err == nil {
			return
		}
		k.crashed(boottime.Now(), fleet.Crash{Fingerprint: print, Upstream: fleet.HashOf(fmt.Sprintf("%s/%d", entry.ID, entry.Started))}, true)
		k.log.Info("request ended with its upstream", zap.String("request", c.ID), zap.String("upstream", entry.ID), zap.Uint64("fingerprint", print))
		changed()
	})
}

// crashed charges a crash to a request, and sees to it that others are told.
func (k *crashes) crashed(now time.Duration, c fleet.Crash, tell bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := heardCrash{c.Fingerprint, c.Upstream}
	if k.heard[key] {
		return
	}
	k.heard[key] = true
	if tell {
		k.told = append(k.told, toldCrash{now - c.Age, c})
	}
	at := clock(now - c.Age)
	// Each request is charged by itself: instances tell of those that ran with them, and
	// none knows all that ran on the process.
	process := fmt.Sprintf("%x/%x", c.Upstream, c.Fingerprint)
	for _, print := range k.ledger.RecordCrash(at, quarantine.Crash{Upstream: process, Process: process, Running: []uint64{c.Fingerprint}}) {
		k.log.Warn("request quarantined", zap.Uint64("fingerprint", print))
	}
}

// succeeded clears a request that was answered whole.
func (k *crashes) succeeded(c *Call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger.Len() > 0 {
		k.ledger.RecordSuccess(fingerprint(c))
	}
}

// fill adds what this instance knows to a report.
func (k *crashes) fill(now time.Duration, r *fleet.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	kept := k.told[:0]
	for _, t := range k.told {
		if now-t.at < crashTold {
			kept = append(kept, t)
		}
	}
	k.told = kept
	for i := len(kept) - 1; i >= 0 && len(r.Crashes) < maxCrashesTold; i-- {
		c := kept[i].Crash
		c.Age = now - kept[i].at
		r.Crashes = append(r.Crashes, c)
	}
}

// take takes in what another instance tells. A hub tells it to others.
func (k *crashes) take(now time.Duration, r *fleet.Report, tell bool) {
	for _, c := range r.Crashes {
		k.crashed(now, c, tell)
	}
}
