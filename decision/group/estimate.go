package group

import (
	"math"
	"time"

	"github.com/cairnworks/cairnworks/decision/prefill"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
)

const (
	// learnRate is the weight of one outcome: a lasting change is followed within
	// some twenty outcomes, a second or two of a service at peak.
	learnRate = 0.05
	// deviations is how many mean deviations are added to the expected time to the
	// first token: for a normal spread two of them are 1.6 standard deviations,
	// which 95 in 100 stay under, as the target asks.
	deviations = 2.0
	// startDeviation is a guess at that spread before outcomes are known.
	startDeviation = 50 * time.Millisecond
	// learntOutcomes is how many outcomes replace the start values by learnRate.
	learntOutcomes = 20
	// loadWindow is the time over which the load by interactive requests is
	// averaged, a few decodes long.
	loadWindow = 10 * time.Second
)

// estimates are learnt from outcomes; all times are in seconds.
type estimates struct {
	plain         bool
	speed         *prefill.GroupEstimator
	betweenTokens float64
	outputRatio   float64
	call          float64
	// firstError and firstSpread are mean and mean deviation of the first token's
	// time against what the grant expected.
	firstError  float64
	firstSpread float64
	deviations  float64
	// hold, prefillTime and meanCost are means over released requests,
	// transferTime is the mean over bookings.
	hold         float64
	prefillTime  float64
	meanCost     float64
	transferTime float64
	outcomes     int
	// interactive is the engine time granted to interactive requests, decayed over
	// loadWindow.
	interactive   float64
	interactiveAt time.Time
}

func newEstimates(cfg Config) *estimates {
	e := &estimates{
		plain:         cfg.Kind == object.KindPlain,
		speed:         prefill.NewGroupEstimator(),
		betweenTokens: cfg.Initial.BetweenTokens.Seconds(),
		outputRatio:   cfg.Initial.OutputRatio,
		call:          cfg.Initial.Call.Seconds(),
		firstSpread:   startDeviation.Seconds(),
		deviations:    cfg.tune.deviations,
	}
	if e.plain {
		e.hold, e.meanCost = e.call, e.call
		return e
	}
	e.prefillTime = e.speed.Estimate(startPrompt).Seconds()
	decode := float64(cfg.Initial.OutputTokens) * e.betweenTokens
	e.hold = e.prefillTime + decode
	e.meanCost = e.prefillTime + decode*startEngineShare
	return e
}

// Start values of a mean request: a prompt of a thousand tokens that takes one of
// twenty slots.
const (
	startPrompt      = 1024
	startEngineShare = 0.05
)

// learnt reports whether the estimates rest on outcomes. A new scheduler of a small
// service would otherwise refuse requests on the start values alone, though its
// places may come free in time; until then only the latest start bounds the wait.
func (e *estimates) learnt() bool { return e.outcomes >= learntOutcomes }

func learnInto(mean *float64, observed float64) { *mean += learnRate * (observed - *mean) }

// cost is the engine time in seconds that a request is expected to use: its
// prefill alone on an engine, its decode on a share of one.
func (e *estimates) cost(w *waiter, engineShare float64) float64 {
	if e.plain {
		return e.call * engineShare
	}
	return e.speed.Estimate(w.PromptTokens).Seconds() + e.decodeTime(w.MaxTokens).Seconds()*engineShare
}

// decodeTime is how long the decode of an answer is expected to last.
func (e *estimates) decodeTime(maxTokens int) time.Duration {
	if e.plain {
		return seconds(e.call)
	}
	return seconds(e.outputRatio * float64(maxTokens) * e.betweenTokens)
}

// step is the time of the first decode step.
func (e *estimates) step() time.Duration { return seconds(e.betweenTokens) }

// needed is the time from grant to first token that 95 in 100 such requests need.
func (e *estimates) needed(w *waiter) time.Duration {
	margin := seconds(e.firstError + e.deviations*e.firstSpread)
	if e.plain {
		return seconds(e.call) + margin
	}
	return e.speed.Estimate(w.PromptTokens) + e.step() + margin
}

// drainTime is how long so much engine time takes to be granted when a request is
// granted every interval.
func (e *estimates) drainTime(engineSeconds, interval float64) time.Duration {
	return seconds((engineSeconds/e.meanCost + 1) * interval)
}

// interactiveLoad is the part of the capacity that interactive requests take.
func (e *estimates) interactiveLoad(now time.Time, interval float64) float64 {
	return e.decayed(now) / loadWindow.Seconds() * interval / e.meanCost
}

func (e *estimates) decayed(now time.Time) float64 {
	return e.interactive * math.Exp(-now.Sub(e.interactiveAt).Seconds()/loadWindow.Seconds())
}

// granted notes a grant.
func (e *estimates) granted(now time.Time, w *waiter) {
	if w.Class == request.Deferrable {
		return
	}
	e.interactive = e.decayed(now) + w.cost
	e.interactiveAt = now
}

func (e *estimates) prefillHeld(took time.Duration) { learnInto(&e.prefillTime, took.Seconds()) }

// booked notes the length of a transfer's booking.
func (e *estimates) booked(length time.Duration) { learnInto(&e.transferTime, length.Seconds()) }

// released notes how long a grant was held and what it cost.
func (e *estimates) released(took time.Duration, cost float64) {
	e.outcomes++
	learnInto(&e.hold, took.Seconds())
	learnInto(&e.meanCost, max(cost, 1e-6))
}

// answered notes a whole answer.
func (e *estimates) answered(h *held, out Outcome) {
	if e.plain {
		learnInto(&e.call, out.Decode.Seconds())
		e.learnFirst(out.Decode.Seconds() - e.call)
		return
	}
	if out.OutputTokens > 1 && out.Decode > 0 {
		learnInto(&e.betweenTokens, out.Decode.Seconds()/float64(out.OutputTokens-1))
	}
	if h.maxTokens > 0 {
		learnInto(&e.outputRatio, min(1, float64(out.OutputTokens)/float64(h.maxTokens)))
	}
	if out.FirstToken > 0 {
		e.learnFirst((out.FirstToken - h.firstToken).Seconds())
	}
}

func (e *estimates) learnFirst(diff float64) {
	learnInto(&e.firstSpread, math.Abs(diff-e.firstError))
	learnInto(&e.firstError, diff)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
