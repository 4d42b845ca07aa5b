// Package liveness determines which engines of a service answer.
//
// Load pattern: an engine ends, hangs or is cut off, and its entry stays in the list of upstreams, for
// three heartbeats or for as long as another writer renews it. Where it was the last one of its role, no
// request of the service is served.
//
// Without it: the list alone decides which roles have engines, and a role whose engines are all listed and
// answer nothing is never given another one (TestSilentRoleIsRestored).
//
// Engines that run requests show by that that they answer. Engines that fail all of them do not, whatever they say
// when asked. Others are asked: a single one of a role while none has failed to answer, and all of them after that.
package liveness

import (
	"cmp"
	"slices"
	"time"
)

const (
	// answerTTL is how long an engine counts as answering after a sign of life.
	answerTTL = 2 * time.Second
	// failureTTL is how long an engine counts as silent after it failed to answer.
	failureTTL = 10 * time.Second
	// maxAsked bounds the number of engines that are asked at once.
	maxAsked = 8
)

// Run identifies one run of an engine.
type Run struct {
	ID      string
	Started int64
}

// Tracker holds what is known of the engines of one service. It is not safe for concurrent use.
type Tracker struct{ runs map[Run]*record }

type record struct {
	// answered is when the engine last showed that it answers, failed when it was last asked without an answer, and
	// failingSince when it was first asked without one after that.
	answered, failed, failingSince time.Duration
	hasAnswered, failing           bool
	// requestsFailing is set if all requests that the engine has got since it last worked have failed: the first one of
	// them at requestsFailingSince and the last one at requestFailed.
	requestFailed, requestsFailingSince time.Duration
	requestsFailing                     bool
}

// failsRequests reports whether an engine has failed requests lately and has answered none since.
func (r *record) failsRequests(now time.Duration) bool {
	return r.requestsFailing && now-r.requestFailed <= failureTTL
}

// doesNotAnswer reports whether an engine has failed to answer when it was asked lately.
func (r *record) doesNotAnswer(now time.Duration) bool {
	return r.failing && now-r.failed <= failureTTL
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker { return &Tracker{runs: make(map[Run]*record)} }

func (t *Tracker) at(run Run) *record {
	r, known := t.runs[run]
	if !known {
		r = &record{}
		t.runs[run] = r
	}
	return r
}

// Worked records that an engine has worked on a request.
func (t *Tracker) Worked(at time.Duration, run Run) {
	if r := t.at(run); r.requestsFailing && at >= r.requestFailed {
		r.requestsFailing = false
	}
	t.Answered(at, run)
}

// FailedRequests records that an engine has failed several requests from first to last, and answered none since.
func (t *Tracker) FailedRequests(first, last time.Duration, run Run) {
	r := t.at(run)
	r.requestsFailing, r.requestsFailingSince, r.requestFailed = true, first, last
}

// Answered records a sign of life.
func (t *Tracker) Answered(at time.Duration, run Run) {
	r := t.at(run)
	if r.hasAnswered && at <= r.answered {
		return
	}
	r.answered, r.hasAnswered = at, true
	if r.failing && at > r.failed {
		r.failing = false
	}
}

// Failed records that an engine that was asked at a time has not answered.
func (t *Tracker) Failed(asked, now time.Duration, run Run) {
	r := t.at(run)
	if r.hasAnswered && r.answered > asked {
		return
	}
	if !r.failing || asked-r.failed > failureTTL {
		r.failing, r.failingSince = true, asked
	}
	r.failed = now
}

// Retain drops all runs that are not listed.
func (t *Tracker) Retain(listed []Run) {
	for run := range t.runs {
		if !slices.Contains(listed, run) {
			delete(t.runs, run)
		}
	}
}

// Answers reports whether an engine has shown lately that it answers.
func (t *Tracker) Answers(now time.Duration, run Run) bool {
	r, known := t.runs[run]
	return known && r.hasAnswered && !r.failing && !r.failsRequests(now) && now-r.answered <= answerTTL
}

// Silent reports whether an engine has failed to answer, or failed all requests, lately and has shown no sign of the contrary
// since.
func (t *Tracker) Silent(now time.Duration, run Run) bool {
	r, known := t.runs[run]
	return known && (r.doesNotAnswer(now) || r.failsRequests(now))
}

// silentSince returns since when an engine that is silent has been so.
func (r *record) silentSince(now time.Duration) time.Duration {
	switch {
	case !r.doesNotAnswer(now):
		return r.requestsFailingSince
	case !r.failsRequests(now):
		return r.failingSince
	default:
		return min(r.failingSince, r.requestsFailingSince)
	}
}

// SilentSince returns since when none of the engines of a role has answered. ok is false if one may answer.
func (t *Tracker) SilentSince(now time.Duration, role []Run) (since time.Duration, ok bool) {
	for _, run := range role {
		if !t.Silent(now, run) {
			return 0, false
		}
		since = max(since, t.runs[run].silentSince(now))
	}
	return since, len(role) > 0
}

// Due returns the engines of a role to ask, so that it becomes known whether any of them answers.
func (t *Tracker) Due(now time.Duration, role []Run) []Run {
	silent := 0
	var due []Run
	for _, run := range role {
		if t.Answers(now, run) {
			return nil
		}
		if t.Silent(now, run) {
			silent++
		}
		if r, known := t.runs[run]; !known || !r.failsRequests(now) {
			due = append(due, run)
		}
	}
	// The engines of which nothing is known come first, then those that were asked longest ago.
	slices.SortStableFunc(due, func(a, b Run) int { return cmp.Compare(t.lastKnown(a), t.lastKnown(b)) })
	if silent == 0 {
		return due[:min(1, len(due))]
	}
	return due[:min(maxAsked, len(due))]
}

func (t *Tracker) lastKnown(run Run) time.Duration {
	r, known := t.runs[run]
	if !known {
		return -1
	}
	return max(r.answered, r.failed)
}
