package group

import (
	"time"

	"github.com/cairnworks/cairnworks/decision/placement"
	"github.com/cairnworks/cairnworks/decision/queue"
	"github.com/cairnworks/cairnworks/object"
)

// Config configures a Group. Zero fields take the defaults below.
type Config struct {
	// Kind of the service; empty means model.
	Kind object.Kind
	// FirstGrantID is the first grant ID to use. A new scheduler starts above every
	// ID that its predecessors issued, so that a late release of an old grant cannot
	// free a new one.
	FirstGrantID uint64
	// FirstToken is the target time from arrival to the first token or byte. It
	// limits the wait of interactive requests; deferrable ones may wait until their
	// deadline.
	FirstToken time.Duration
	// BetweenTokens is the target time between tokens.
	BetweenTokens time.Duration
	// KVExpiry is how long an engine keeps a prefill result until it is transferred.
	KVExpiry time.Duration
	// KVBytesPerToken is the number of KV cache bytes transferred per prompt token.
	KVBytesPerToken int64
	// PrefixBlockTokens is the block length of Request.PrefixHashes in tokens.
	PrefixBlockTokens int
	// DeferrableShare is the share of the engine time that deferrable requests get
	// while interactive ones wait.
	DeferrableShare float64
	// PreferenceLead limits, in engine-seconds, how far an organisation's interactive
	// requests may put it ahead of an organisation whose deferrable requests wait.
	PreferenceLead float64
	// Initial are the estimates used until outcomes have been observed.
	Initial InitialEstimates

	// tuning holds constants that only the parameter sweeps in the tests change.
	tuning tuning
}

// tuning holds constants defined below. docs/LOAD.md shows their parameter sweeps.
type tuning struct {
	transferBudgetShare float64
	minWaitShare        float64
	deviationMultiplier float64
	maxParked           int
	maxFailedPlacements int
	maxResumedKeys      int
	limitPolicy         placement.LimitPolicy
	// disablePrefixAffinity ignores prefix caches; disableReservations never reserves
	// memory for parked requests.
	disablePrefixAffinity bool
	disableReservations   bool
}

// InitialEstimates are used until outcomes have been observed. About twenty
// outcomes replace each of them.
type InitialEstimates struct {
	// BetweenTokens is the mean time between tokens.
	BetweenTokens time.Duration
	// OutputRatio is the fraction of Request.MaxTokens that an answer uses.
	OutputRatio float64
	// OutputTokens is the length of an answer, for the first estimate of how long a
	// request holds a decode slot.
	OutputTokens int
	// Call is the duration of a plain call.
	Call time.Duration
}

const (
	// DefaultFirstToken and DefaultBetweenTokens are the product's targets at the
	// 95th percentile.
	DefaultFirstToken    = 1700 * time.Millisecond
	DefaultBetweenTokens = 53 * time.Millisecond
	// DefaultKVExpiry is below the second that platforms state as the maximum.
	DefaultKVExpiry = 800 * time.Millisecond
	// DefaultKVBytesPerToken is the KV cache size per token of a model with 80
	// layers and 8 key-value heads of 128 8-bit values: 80*8*128*2 bytes.
	DefaultKVBytesPerToken = 163840
	// DefaultPrefixBlockTokens is the length of the blocks that instances hash.
	DefaultPrefixBlockTokens = 64
)

// defaultInitialEstimates assumes that a healthy engine is a little faster than the
// target between tokens, that answers use about half of the tokens that callers
// allow, and that a plain lookup takes tens of milliseconds.
var defaultInitialEstimates = InitialEstimates{
	BetweenTokens: 40 * time.Millisecond,
	OutputRatio:   0.5,
	OutputTokens:  200,
	Call:          50 * time.Millisecond,
}

const (
	// transferBudgetShare is the fraction of KVExpiry within which the transfer of a
	// prefill result, including its wait for the links, is planned to end. The rest
	// is a margin for prefills that end late and for the transfers that they delay.
	transferBudgetShare = 0.4
	// minWaitShare is the fraction of the time to its deadline that a request may
	// always wait. Without it a prompt whose prefill alone takes the whole target
	// would always be refused while anything is queued, and an estimate that became
	// too long would cause every request to be refused, so that no outcome could
	// correct it.
	minWaitShare = 0.25
	// maxParked limits the requests that were taken from the queue and wait for
	// memory or a link, because each decision retries all of them.
	maxParked = 8
	// maxFailedPlacements limits the requests that one decision fails to place; the
	// others are tried after parkedRetryInterval.
	maxFailedPlacements = 4
	// maxResumedKeys is how many suspended keys become eligible again when a grant is
	// released: one release seldom frees enough for more.
	maxResumedKeys = 4
	// parkedRetryInterval is how often parked requests are retried when nothing else
	// happens. It is short compared to the booking of a link.
	parkedRetryInterval = 10 * time.Millisecond
	// reserveRetryInterval is how often a parked request looks for memory to reserve. The
	// search is expensive because it reads the grants of every decode upstream.
	reserveRetryInterval = 100 * time.Millisecond
	// noUpstreamRetryAfter is the retry delay given to callers while no upstream is
	// usable: health probes and configuration changes take effect within seconds.
	noUpstreamRetryAfter = 2 * time.Second
	// prefillTimeoutFactor, times the expected duration of a prefill, is how long its
	// slot is kept when the caller does not report the end of prefills.
	prefillTimeoutFactor = 1.25
	// remoteDataCentrePenalty is how much fuller an upstream in the same data centre
	// may be and still be preferred to one in another. It is small because a network
	// hop between data centres costs only about a millisecond.
	remoteDataCentrePenalty = 0.02
)

func (c Config) withDefaults() Config {
	if c.Kind == "" {
		c.Kind = object.KindModel
	}
	setDefault(&c.FirstGrantID, 1)
	setDefault(&c.FirstToken, DefaultFirstToken)
	setDefault(&c.BetweenTokens, DefaultBetweenTokens)
	setDefault(&c.KVExpiry, DefaultKVExpiry)
	setDefault(&c.KVBytesPerToken, DefaultKVBytesPerToken)
	setDefault(&c.PrefixBlockTokens, DefaultPrefixBlockTokens)
	setDefault(&c.DeferrableShare, queue.DeferrableShare)
	setDefault(&c.PreferenceLead, queue.PreferenceLead)
	setDefault(&c.tuning.transferBudgetShare, transferBudgetShare)
	setDefault(&c.tuning.minWaitShare, minWaitShare)
	setDefault(&c.tuning.deviationMultiplier, deviationMultiplier)
	setDefault(&c.tuning.maxParked, maxParked)
	setDefault(&c.tuning.maxFailedPlacements, maxFailedPlacements)
	setDefault(&c.tuning.maxResumedKeys, maxResumedKeys)
	setDefault(&c.tuning.limitPolicy, placement.DefaultLimitPolicy)
	setDefault(&c.Initial.BetweenTokens, defaultInitialEstimates.BetweenTokens)
	setDefault(&c.Initial.OutputRatio, defaultInitialEstimates.OutputRatio)
	setDefault(&c.Initial.OutputTokens, defaultInitialEstimates.OutputTokens)
	setDefault(&c.Initial.Call, defaultInitialEstimates.Call)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
