package observe

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/cairnworks/cairnworks/verdict"
)

// reportInterval is how often counters are moved to the scrape page. One second
// is far below any usual scrape interval, so that a scrape is never stale.
const reportInterval = time.Second

// Metrics counts what happens; Handler serves it to scrapers.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer

	mu       sync.Mutex
	refusals map[Refusal]uint64
}

// Refusal is one kind of refusal or failure.
type Refusal struct {
	Stage  string         `json:"stage"`
	Reason verdict.Reason `json:"reason"`
	// Ran is the verdict's wire form.
	Ran string `json:"ran"`
}

// RefusalCount is how often a kind of refusal was given since the start.
type RefusalCount struct {
	Refusal
	Count uint64 `json:"count"`
}

// NewMetrics returns a fresh metric registry for one program.
func NewMetrics() *Metrics {
	// A registry of its own: several instances share a process in embedded mode,
	// and the library's default registry would mix their counters.
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "cairnworks",
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer, refusals: make(map[Refusal]uint64)}
}

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// CountRefusal counts a refusal or failure by reason, verdict and stage.
func (m *Metrics) CountRefusal(stage string, v *verdict.Verdict) {
	m.mu.Lock()
	m.refusals[Refusal{stage, v.Reason, v.Ran.String()}]++
	m.mu.Unlock()
	m.Scope.Tagged(map[string]string{
		"stage": stage, "reason": string(v.Reason), "ran": v.Ran.String(),
	}).Counter("refusals").Inc(1)
}

// Refusals returns the refusals given so far, the most frequent first.
func (m *Metrics) Refusals() []RefusalCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make([]RefusalCount, 0, len(m.refusals))
	for refusal, count := range m.refusals {
		counts = append(counts, RefusalCount{refusal, count})
	}
	slices.SortFunc(counts, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Stage, b.Stage),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Ran, b.Ran))
	})
	return counts
}

// latencyBuckets are the bounds of all latency histograms: from a connection on the
// same machine, a millisecond, to the longest that callers wait.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// RecordStageDuration records how long a stage of a request took.
func (m *Metrics) RecordStageDuration(stage, service string, d time.Duration) {
	m.Scope.Tagged(map[string]string{"stage": stage, "service": service}).Histogram("stage_seconds", latencyBuckets).RecordDuration(d)
}

// CountAnswer counts an answer of an upstream that was handed on, by its status.
func (m *Metrics) CountAnswer(service string, status int) {
	m.Scope.Tagged(map[string]string{"service": service, "status": strconv.Itoa(status)}).Counter("answers").Inc(1)
}

// CountQuotaDecision counts a decision on an organisation's quota: "admitted", "refused", or "waited"
// for others' word on what was spent before.
func (m *Metrics) CountQuotaDecision(decision string) {
	m.Scope.Tagged(map[string]string{"decision": decision}).Counter("quota").Inc(1)
}

// RecordStoreCall records a call of the platform's store.
func (m *Metrics) RecordStoreCall(topic, call, result string, d time.Duration) {
	scope := m.Scope.Tagged(map[string]string{"topic": topic, "call": call, "result": result})
	scope.Counter("store_calls").Inc(1)
	scope.Histogram("store_seconds", latencyBuckets).RecordDuration(d)
}

// RecordQuotaWait records how long a request waited for tokens.
func (m *Metrics) RecordQuotaWait(d time.Duration) {
	m.Scope.Histogram("quota_wait_seconds", latencyBuckets).RecordDuration(d)
}

// SetInstanceState sets what an instance believes now.
func (m *Metrics) SetInstanceState(b InstanceState) {
	flag := func(set bool) float64 {
		if set {
			return 1
		}
		return 0
	}
	m.Scope.Gauge("ready").Update(flag(b.Ready))
	m.Scope.Gauge("configuration_version").Update(float64(b.ConfigurationVersion))
	m.Scope.Gauge("configuration_age_seconds").Update(b.ConfigurationAge.Seconds())
	m.Scope.Gauge("upstreams").Update(float64(b.Upstreams))
	m.Scope.Gauge("instances").Update(float64(b.Instances))
	m.Scope.Gauge("hubs").Update(float64(b.Hubs))
	m.Scope.Gauge("hub").Update(flag(b.IsHub))
}

// InstanceState are what an instance goes by.
type InstanceState struct {
	Ready bool
	// ConfigurationVersion of the configuration in force, and the age of the proof that no newer
	// one exists.
	ConfigurationVersion uint64
	ConfigurationAge     time.Duration
	// Upstreams and Instances that are known. No instances are while it is not known who is in
	// the fleet.
	Upstreams, Instances int
	// Hubs are those that this instance reports to; Hub tells that it is one.
	Hubs  int
	IsHub bool
}

// CountRetry counts a retry by the reason of the failed attempt.
func (m *Metrics) CountRetry(service string, reason verdict.Reason) {
	m.Scope.Tagged(map[string]string{"service": service, "reason": string(reason)}).Counter("retries").Inc(1)
}
