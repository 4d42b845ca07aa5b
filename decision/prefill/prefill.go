// Package prefill estimates how long a prefill takes on each upstream that has a
// free place, from which the group scheduler picks the earliest.
//
// Load pattern: prompts that share long beginnings, from many organisations, on
// upstreams that each cache some of them. Without prefix affinity the same prefix
// is computed on every upstream; with too much of it, requests queue at one
// upstream while others are idle.
//
// Affinity is counted as the time that it saves and nothing more. It is an
// estimate for upstreams with a free place only, so that a cached prefix never
// draws a request into a queue.
package prefill

import "time"

// Start values until outcomes are known.
const (
	// InitialTimePerToken is the prefill time of a token: 10,000 tokens a second, the
	// order of one engine of 8 accelerators with a model of 70 billion weights.
	InitialTimePerToken = 100 * time.Microsecond
	// FixedOverhead is the part of a prefill call that does not depend on its length: a
	// round trip between data centres and one scheduling step of the engine.
	FixedOverhead = 10 * time.Millisecond
	// CrossDataCentreDelay is the cost of leaving the data centre of the caller's instance: a
	// round trip at the platform's millisecond, there and back.
	CrossDataCentreDelay = 2 * time.Millisecond
)

const (
	// learnRate is the weight of a new outcome in an estimate. A twentieth
	// follows a lasting change within some twenty requests (a second or two of a
	// service at peak) and smooths single ones.
	learnRate = 0.05
	// upstreamLearnRate is higher than learnRate, because one upstream has few of
	// the group's outcomes and must still be followed within a few of them.
	upstreamLearnRate = 0.2
	// slowestFactor and fastestFactor bound how far one upstream is believed to
	// differ from the group. Without bounds one stalled call would shut an
	// upstream out, and then no outcome could ever correct the estimate.
	slowestFactor = 8
	fastestFactor = 0.25
)

// GroupEstimator is the learnt prefill speed of a group.
type GroupEstimator struct {
	perToken float64
}

// NewGroupEstimator returns the start values.
func NewGroupEstimator() *GroupEstimator {
	return &GroupEstimator{perToken: InitialTimePerToken.Seconds()}
}

// Estimate is the time of a prefill of so many uncached tokens on an average upstream.
func (s *GroupEstimator) Estimate(uncached int) time.Duration {
	return FixedOverhead + seconds(s.perToken*float64(uncached))
}

// Learn takes in a finished prefill.
func (s *GroupEstimator) Learn(uncached int, took time.Duration) {
	if uncached <= 0 || took <= FixedOverhead {
		return
	}
	observed := (took - FixedOverhead).Seconds() / float64(uncached)
	// Weighted by length: short prompts are mostly fixed cost and say little
	// about the time of a token.
	weight := learnRate * min(1, float64(uncached)/shortPrompt)
	s.perToken += weight * (observed - s.perToken)
}

// shortPrompt is the length in tokens below which a prefill's time says little
// about the time of a token.
const shortPrompt = 512

// UpstreamEstimator is what is known of one prefill upstream's speed.
type UpstreamEstimator struct {
	factor float64
}

// NewUpstreamEstimator returns an upstream of average speed.
func NewUpstreamEstimator() *UpstreamEstimator { return &UpstreamEstimator{factor: 1} }

// Learn takes in a finished prefill and the group's estimate for it.
func (u *UpstreamEstimator) Learn(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := took.Seconds() / estimate.Seconds()
	u.factor += upstreamLearnRate * (ratio - u.factor)
	u.factor = min(max(u.factor, fastestFactor), slowestFactor)
}

// Estimate is the time of a prefill on this upstream, given the group's.
func (u *UpstreamEstimator) Estimate(group time.Duration) time.Duration {
	return time.Duration(float64(group) * u.factor)
}

// IndexPrecision is the part of the believed cached tokens that proved to be cached. Events
// come late and with gaps, so that a part of the beliefs is wrong; taken at face
// value they would make prefills end long after their transfers were booked.
type IndexPrecision struct {
	part float64
}

// NewIndexPrecision believes half until outcomes are known.
func NewIndexPrecision() *IndexPrecision { return &IndexPrecision{part: 0.5} }

// ExpectedUncached is the number of tokens that are expected to be computed.
func (t *IndexPrecision) ExpectedUncached(promptTokens, uncached int) int {
	return promptTokens - int(t.part*float64(promptTokens-uncached))
}

// Learn takes in a prefill that took so long, between what was estimated without
// any cached token and with all that were believed.
func (t *IndexPrecision) Learn(without, with, took time.Duration) {
	if without <= with {
		return
	}
	saved := float64(without-took) / float64(without-with)
	t.part += learnRate * (min(max(saved, 0), 1) - t.part)
}

// UncachedTokens is the number of prompt tokens to compute when matched of hashes
// leading blocks are cached. Blocks are blockTokens long; 0 means that the
// hashes divide the prompt evenly. At least one token is always computed.
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
