// Package prefill estimates how long a prefill takes on each upstream with a free
// slot, from which the group scheduler selects the one that finishes first.
//
// Load pattern: prompts with long common prefixes, from many organisations, on
// upstreams that each cache some of these prefixes. Without prefix affinity, the same
// prefix is computed on every upstream; with too much of it, requests queue at one
// upstream while others are idle.
//
// Prefix affinity counts only as the time it saves. It is estimated only for upstreams
// with a free slot, so that a cached prefix never makes a request queue.
package prefill

import "time"

// Initial values, used until outcomes are known.
const (
	// InitialTimePerToken is the prefill time per token: 10,000 tokens per second, the
	// order of magnitude of an engine with 8 accelerators and a model of 70 billion
	// weights.
	InitialTimePerToken = 100 * time.Microsecond
	// FixedOverhead is the part of a prefill call's duration that does not depend on
	// the prompt length: a round trip between data centres and one scheduling step of
	// the engine.
	FixedOverhead = 10 * time.Millisecond
	// CrossDataCentreDelay is the cost of an upstream outside the data centre of the
	// caller's instance: a round trip at the platform's one millisecond each way.
	CrossDataCentreDelay = 2 * time.Millisecond
)

const (
	// smoothingFactor is the weight of a new outcome in the exponential moving average.
	// A twentieth follows a lasting change within about twenty requests (one or two
	// seconds of a service at peak) and smooths out single ones.
	smoothingFactor = 0.05
	// upstreamSmoothingFactor is higher than smoothingFactor, because a single upstream
	// has few of the group's outcomes and must be followed within a few of them.
	upstreamSmoothingFactor = 0.2
	// maxFactor and minFactor bound the ratio of an upstream's prefill time to the
	// group's. Without bounds, one stalled call would exclude the upstream from
	// selection, and no further outcome could correct the estimate.
	maxFactor = 8
	minFactor = 0.25
)

// GroupEstimator estimates prefill times for a group of upstreams.
type GroupEstimator struct {
	secondsPerToken float64
}

// NewGroupEstimator returns an estimator with the initial values.
func NewGroupEstimator() *GroupEstimator {
	return &GroupEstimator{secondsPerToken: InitialTimePerToken.Seconds()}
}

// Estimate is the expected prefill time of that many uncached tokens on an average
// upstream.
func (g *GroupEstimator) Estimate(uncached int) time.Duration {
	return FixedOverhead + seconds(g.secondsPerToken*float64(uncached))
}

// Learn updates the estimate with a finished prefill.
func (g *GroupEstimator) Learn(uncached int, took time.Duration) {
	if uncached <= 0 || took <= FixedOverhead {
		return
	}
	observed := (took - FixedOverhead).Seconds() / float64(uncached)
	// Weight by length: the time of a short prompt is mostly fixed overhead and says
	// little about the time per token.
	weight := smoothingFactor * min(1, float64(uncached)/fullWeightTokens)
	g.secondsPerToken += weight * (observed - g.secondsPerToken)
}

// fullWeightTokens is the number of uncached tokens from which an outcome has its full
// weight. The time of a shorter prefill says little about the time per token.
const fullWeightTokens = 512

// UpstreamEstimator estimates the prefill times of one upstream.
type UpstreamEstimator struct {
	// factor is the ratio of the upstream's prefill time to the group's.
	factor float64
}

// NewUpstreamEstimator returns an estimator for an upstream of average speed.
func NewUpstreamEstimator() *UpstreamEstimator { return &UpstreamEstimator{factor: 1} }

// Learn updates the estimate with a finished prefill and the group's estimate for it.
func (u *UpstreamEstimator) Learn(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := took.Seconds() / estimate.Seconds()
	u.factor += upstreamSmoothingFactor * (ratio - u.factor)
	u.factor = min(max(u.factor, minFactor), maxFactor)
}

// Estimate is the expected prefill time on this upstream, given the group's estimate.
func (u *UpstreamEstimator) Estimate(group time.Duration) time.Duration {
	return time.Duration(float64(group) * u.factor)
}

// IndexPrecision is the fraction of the tokens cached according to the Index that were
// actually cached. Cache events are delayed and can be lost, so that some entries are
// wrong. Without this correction, prefills would end long after the time for which
// their transfers are booked.
type IndexPrecision struct {
	precision float64
}

// NewIndexPrecision returns a precision of one half, used until outcomes are known.
func NewIndexPrecision() *IndexPrecision { return &IndexPrecision{precision: 0.5} }

// ExpectedUncached is the number of tokens that are expected to be computed.
func (p *IndexPrecision) ExpectedUncached(promptTokens, uncached int) int {
	return promptTokens - int(p.precision*float64(promptTokens-uncached))
}

// Learn updates the precision with the duration of a prefill, compared with its
// estimates without any cached tokens and with all tokens cached that the Index reports.
func (p *IndexPrecision) Learn(estimateUncached, estimateCached, took time.Duration) {
	if estimateUncached <= estimateCached {
		return
	}
	saved := float64(estimateUncached-took) / float64(estimateUncached-estimateCached)
	p.precision += smoothingFactor * (min(max(saved, 0), 1) - p.precision)
}

// UncachedTokens is the number of prompt tokens to compute if the first matched of
// hashes blocks are cached. A block has blockTokens tokens; 0 means that the hashes
// divide the prompt evenly. At least one token is always computed.
func UncachedTokens(promptTokens, hashes, matched, blockTokens int) int {
	if matched == 0 {
		return promptTokens
	}
	if blockTokens == 0 {
		blockTokens = promptTokens / hashes
	}
	return max(1, promptTokens-matched*blockTokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
