package group

import (
	"math"
	"time"

	"github.com/cairnworks/cairnworks/decision/prefill"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
)

const (
	// averagingWeight is the weight of one outcome in the exponential moving
	// averages. They follow a lasting change within about twenty outcomes, which is a
	// second or two of a service at peak load.
	averagingWeight = 0.05
	// deviationMultiplier is the number of mean deviations added to the expected time
	// to the first token. For a normal distribution two of them are 1.6 standard
	// deviations, which is the 95th percentile that the target is stated for.
	deviationMultiplier = 2.0
	// initialDeviation is the assumed mean deviation until outcomes are observed.
	initialDeviation = 50 * time.Millisecond
	// minOutcomes is the number of outcomes after which averagingWeight has replaced
	// the initial estimates.
	minOutcomes = 20
	// loadWindow is the time constant of the average interactive load, the length of
	// a few decodes.
	loadWindow = 10 * time.Second
)

// estimates are exponential moving averages over outcomes. Times are in seconds.
type estimates struct {
	plain         bool
	speed         *prefill.GroupEstimator
	betweenTokens float64
	outputRatio   float64
	callTime      float64
	// firstTokenError is the mean difference between the actual and the expected time
	// to the first token, and firstTokenDeviation is the mean deviation from it.
	firstTokenError     float64
	firstTokenDeviation float64
	deviationMultiplier float64
	// holdTime is the mean time that a grant is held, prefillTime that of a prefill
	// slot, meanCost the mean engine time of a request, and transferTime the mean
	// duration of a link booking.
	holdTime     float64
	prefillTime  float64
	meanCost     float64
	transferTime float64
	outcomes     int
	// interactiveWork is the engine time granted to interactive requests, with an
	// exponential decay over loadWindow, as of interactiveWorkAt.
	interactiveWork   float64
	interactiveWorkAt time.Time
}

func newEstimates(cfg Config) *estimates {
	e := &estimates{
		plain:               cfg.Kind == object.KindPlain,
		speed:               prefill.NewGroupEstimator(),
		betweenTokens:       cfg.Initial.BetweenTokens.Seconds(),
		outputRatio:         cfg.Initial.OutputRatio,
		callTime:            cfg.Initial.Call.Seconds(),
		firstTokenDeviation: initialDeviation.Seconds(),
		deviationMultiplier: cfg.tuning.deviationMultiplier,
	}
	if e.plain {
		e.holdTime, e.meanCost = e.callTime, e.callTime
		return e
	}
	e.prefillTime = e.speed.Estimate(initialPromptTokens).Seconds()
	decode := float64(cfg.Initial.OutputTokens) * e.betweenTokens
	e.holdTime = e.prefillTime + decode
	e.meanCost = e.prefillTime + decode*initialEngineShare
	return e
}

// A mean request is initially assumed to have about a thousand prompt tokens and to
// use one of twenty slots.
const (
	initialPromptTokens = 1024
	initialEngineShare  = 0.05
)

// hasEnoughOutcomes reports whether the estimates are based on observed outcomes.
// Until then only latestStart limits the wait of a request: the new scheduler of a
// small service would otherwise refuse requests because of its initial estimates
// although slots may become free in time.
func (e *estimates) hasEnoughOutcomes() bool { return e.outcomes >= minOutcomes }

func updateMean(mean *float64, observed float64) { *mean += averagingWeight * (observed - *mean) }

// cost is the engine time in seconds that a request is expected to use. A prefill
// counts as a whole engine and a decode as the given share of one.
func (e *estimates) cost(w *waiter, engineShare float64) float64 {
	if e.plain {
		return e.callTime * engineShare
	}
	return e.speed.Estimate(w.PromptTokens).Seconds() + e.decodeTime(w.MaxTokens).Seconds()*engineShare
}

// decodeTime is the expected duration of the decode of an answer.
func (e *estimates) decodeTime(maxTokens int) time.Duration {
	if e.plain {
		return seconds(e.callTime)
	}
	return seconds(e.outputRatio * float64(maxTokens) * e.betweenTokens)
}

// stepTime is the expected duration of a decode step.
func (e *estimates) stepTime() time.Duration { return seconds(e.betweenTokens) }

// timeToFirstToken is the estimated 95th percentile of the time from the grant to
// the first token.
func (e *estimates) timeToFirstToken(w *waiter) time.Duration {
	margin := seconds(e.firstTokenError + e.deviationMultiplier*e.firstTokenDeviation)
	if e.plain {
		return seconds(e.callTime) + margin
	}
	return e.speed.Estimate(w.PromptTokens) + e.stepTime() + margin
}

// drainTime is how long it takes to grant requests with the given total cost if one
// mean request is granted every interval.
func (e *estimates) drainTime(engineSeconds, interval float64) time.Duration {
	return seconds((engineSeconds/e.meanCost + 1) * interval)
}

// interactiveLoad is the fraction of the capacity that interactive requests use.
func (e *estimates) interactiveLoad(now time.Time, interval float64) float64 {
	return e.decayedInteractiveWork(now) / loadWindow.Seconds() * interval / e.meanCost
}

func (e *estimates) decayedInteractiveWork(now time.Time) float64 {
	return e.interactiveWork * math.Exp(-now.Sub(e.interactiveWorkAt).Seconds()/loadWindow.Seconds())
}

// observeGrant adds the cost of an interactive request to the interactive load.
func (e *estimates) observeGrant(now time.Time, w *waiter) {
	if w.Class == request.Deferrable {
		return
	}
	e.interactiveWork = e.decayedInteractiveWork(now) + w.cost
	e.interactiveWorkAt = now
}

func (e *estimates) observePrefill(duration time.Duration) {
	updateMean(&e.prefillTime, duration.Seconds())
}

// observeTransfer records the duration of a link booking.
func (e *estimates) observeTransfer(duration time.Duration) {
	updateMean(&e.transferTime, duration.Seconds())
}

// observeRelease records how long a grant was held and how much it cost.
func (e *estimates) observeRelease(held time.Duration, cost float64) {
	e.outcomes++
	updateMean(&e.holdTime, held.Seconds())
	updateMean(&e.meanCost, max(cost, 1e-6))
}

// observeAnswer records a complete answer.
func (e *estimates) observeAnswer(rec *grantRecord, out Outcome) {
	if e.plain {
		updateMean(&e.callTime, out.Decode.Seconds())
		e.observeFirstToken(out.Decode.Seconds() - e.callTime)
		return
	}
	if out.OutputTokens > 1 && out.Decode > 0 {
		updateMean(&e.betweenTokens, out.Decode.Seconds()/float64(out.OutputTokens-1))
	}
	if rec.maxTokens > 0 {
		updateMean(&e.outputRatio, min(1, float64(out.OutputTokens)/float64(rec.maxTokens)))
	}
	if out.FirstToken > 0 {
		e.observeFirstToken((out.FirstToken - rec.expectedFirstToken).Seconds())
	}
}

func (e *estimates) observeFirstToken(difference float64) {
	updateMean(&e.firstTokenDeviation, math.Abs(difference-e.firstTokenError))
	updateMean(&e.firstTokenError, difference)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
