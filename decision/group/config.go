package group

import (
	"time"

	"github.com/cairnworks/cairnworks/decision/placement"
	"github.com/cairnworks/cairnworks/decision/queue"
	"github.com/cairnworks/cairnworks/object"
)

// Config sets a group up. Zero fields take the defaults below.
type Config struct {
	// Kind of the service; empty means model.
	Kind object.Kind
	// FirstGrantID is the first grant id to use. A new scheduler starts above
	// every id that its predecessors gave, so that a late release of an old grant
	// cannot free a new one.
	FirstGrantID uint64
	// FirstToken is the target from arrival to first token or byte. It bounds the
	// wait of interactive requests; deferrable ones wait until their deadline.
	FirstToken time.Duration
	// BetweenTokens is the target between tokens.
	BetweenTokens time.Duration
	// KVExpiry is how long a prefill result lives.
	KVExpiry time.Duration
	// KVBytesPerToken is the size of a prompt token's KV cache on a link.
	KVBytesPerToken int64
	// PrefixBlockTokens is the length of the blocks of Request.PrefixHashes.
	PrefixBlockTokens int
	// DeferrableShare is the part of the engine time for deferrable requests while
	// interactive ones wait.
	DeferrableShare float64
	// PreferenceLead is how many engine-seconds an organisation's interactive
	// requests may put it ahead of one whose deferrable requests wait.
	PreferenceLead float64
	// Initial are the estimates used before outcomes are known.
	Initial InitialEstimates

	// tune holds what only the sweeps of the tests change.
	tune tuning
}

// tuning are the constants below whose sweeps stand in docs/LOAD.md.
type tuning struct {
	kvSafePart float64
	waitPart   float64
	deviations float64
	maxParked  int
	maxMisses  int
	maxResumed int
	limit      placement.LimitPolicy
	// noAffinity ignores prefix caches, noClaims never gathers memory.
	noAffinity bool
	noClaims   bool
}

// InitialEstimates stand in until outcomes are known. Each is replaced by what
// outcomes show within some twenty of them.
type InitialEstimates struct {
	// BetweenTokens is the time between tokens.
	BetweenTokens time.Duration
	// OutputRatio is the part of MaxTokens that an answer uses.
	OutputRatio float64
	// OutputTokens is the length of an answer, for the first estimate of how long
	// a decode slot is held.
	OutputTokens int
	// Call is the duration of a plain call.
	Call time.Duration
}

const (
	// DefaultFirstToken and DefaultBetweenTokens are the product's targets, for 95
	// requests in 100.
	DefaultFirstToken    = 1700 * time.Millisecond
	DefaultBetweenTokens = 53 * time.Millisecond
	// DefaultKVExpiry is below the second that platforms state at most.
	DefaultKVExpiry = 800 * time.Millisecond
	// DefaultKVBytesPerToken is the KV cache of a token in a model of 80 layers
	// with 8 key-value heads of 128 values in 8 bits: 80*8*128*2 bytes.
	DefaultKVBytesPerToken = 163840
	// DefaultPrefixBlockTokens is the length of the blocks that callers' instances
	// hash.
	DefaultPrefixBlockTokens = 64
)

// defaultStart: tokens come a little faster than the target on a healthy engine;
// answers use about half of what callers allow; a plain lookup takes tens of
// milliseconds.
var defaultStart = InitialEstimates{
	BetweenTokens: 40 * time.Millisecond,
	OutputRatio:   0.5,
	OutputTokens:  200,
	Call:          50 * time.Millisecond,
}

const (
	// kvSafePart is the part of KVExpiry within which a result's transfer, with its
	// wait for the links, is planned to end. The rest is for prefills that end late
	// and for the transfers that they push back.
	kvSafePart = 0.4
	// waitPart is the least part of a request's time to its deadline that it may
	// wait. Without it a prompt whose prefill alone takes the whole target would
	// be refused for ever while anything is queued, and an estimate that is once
	// too long would refuse all and never be corrected by an outcome.
	waitPart = 0.25
	// maxParked bounds the requests taken from the queue that wait for memory or a
	// link, because each is tried again at each decision.
	maxParked = 8
	// maxMisses bounds the requests that one decision tries in vain; the rest is
	// tried after parkedRetry.
	maxMisses = 4
	// maxResumed is how many keys that were passed over get another turn when a
	// grant is released: what one release frees seldom serves more.
	maxResumed = 4
	// parkedRetry is how often parked requests are tried when nothing else
	// happens: a small part of the time that a link booking lasts.
	parkedRetry = 10 * time.Millisecond
	// claimRetry is how often a parked request seeks memory to claim, because it
	// looks at the grants of every decode upstream.
	claimRetry = 100 * time.Millisecond
	// noUpstreamRetry is the advice when no upstream is usable: health probes and
	// changes of configuration take effect within seconds.
	noUpstreamRetry = 2 * time.Second
	// prefillGrace is by how much a prefill place is kept beyond its estimate when
	// the driver does not tell the end of prefills.
	prefillGrace = 1.25
	// dataCentreFill is how much fuller an upstream in the near data centre may be
	// and still be preferred: a hop of a millisecond is worth no more than that.
	dataCentreFill = 0.02
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
	setDefault(&c.tune.kvSafePart, kvSafePart)
	setDefault(&c.tune.waitPart, waitPart)
	setDefault(&c.tune.deviations, deviations)
	setDefault(&c.tune.maxParked, maxParked)
	setDefault(&c.tune.maxMisses, maxMisses)
	setDefault(&c.tune.maxResumed, maxResumed)
	setDefault(&c.tune.limit, placement.DefaultLimitPolicy)
	setDefault(&c.Initial.BetweenTokens, defaultStart.BetweenTokens)
	setDefault(&c.Initial.OutputRatio, defaultStart.OutputRatio)
	setDefault(&c.Initial.OutputTokens, defaultStart.OutputTokens)
	setDefault(&c.Initial.Call, defaultStart.Call)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
