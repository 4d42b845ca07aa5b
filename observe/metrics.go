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

// reportInterval is how often metrics are exported to the Prometheus registry. One second is far
// below any usual scrape interval, so that scraped values are recent.
const reportInterval = time.Second

// Metrics collects the metrics of a program. Handler serves them in the Prometheus format.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer

	mu       sync.Mutex
	refusals map[Refusal]uint64
}

// Refusal identifies refusals or failures of the same stage, reason and verdict.
type Refusal struct {
	Stage  string         `json:"stage"`
	Reason verdict.Reason `json:"reason"`
	// Ran is the wire form of the verdict's Ran field.
	Ran string `json:"ran"`
}

// RefusalCount is the number of refusals of one kind since the program started.
type RefusalCount struct {
	Refusal
	Count uint64 `json:"count"`
}

// NewMetrics returns metrics with a new registry.
func NewMetrics() *Metrics {
	// The library's default registry is not used: in embedded mode, several instances share a
	// process, and their metrics would be mixed.
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "cairnworks",
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer, refusals: make(map[Refusal]uint64)}
}

// Close stops the export of metrics.
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

// Refusals returns the counts of refusals since the program started, in descending order.
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

// latencyBuckets are the buckets of all latency histograms. They range from the time of a
// connection on the same machine, 1 ms, to the longest time that callers wait.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// RecordStageDuration records the duration of one stage of a request.
func (m *Metrics) RecordStageDuration(stage, service string, d time.Duration) {
	m.Scope.Tagged(map[string]string{"stage": stage, "service": service}).Histogram("stage_seconds", latencyBuckets).RecordDuration(d)
}

// CountAnswer counts an upstream's answer that was forwarded to the caller, by status.
func (m *Metrics) CountAnswer(service string, status int) {
	m.Scope.Tagged(map[string]string{"service": service, "status": strconv.Itoa(status)}).Counter("answers").Inc(1)
}

// Ends of answers for CountAnswerEnd.
const (
	EndStated    = "stated"
	EndNotStated = "not_stated"
	EndBrokenOff = "broken_off"
)

// CountAnswerEnd counts an upstream's answer that was forwarded, by whether the upstream stated where it
// ends, or whether it was broken off.
func (m *Metrics) CountAnswerEnd(service, end string) {
	m.Scope.Tagged(map[string]string{"service": service, "end": end}).Counter("answer_ends").Inc(1)
}

// CountQuotaDecision counts a decision on an organisation's quota: "admitted", "refused", or
// "unanswered" if no home of the quota answered.
func (m *Metrics) CountQuotaDecision(decision string) {
	m.Scope.Tagged(map[string]string{"decision": decision}).Counter("quota").Inc(1)
}

// RecordStoreCall counts a call to the platform's store and records its duration.
func (m *Metrics) RecordStoreCall(topic, call, result string, d time.Duration) {
	scope := m.Scope.Tagged(map[string]string{"topic": topic, "call": call, "result": result})
	scope.Counter("store_calls").Inc(1)
	scope.Histogram("store_seconds", latencyBuckets).RecordDuration(d)
}

// CountStoreBytes counts the bytes of the records that a call to the platform's store returned.
func (m *Metrics) CountStoreBytes(topic, call string, bytes int) {
	m.Scope.Tagged(map[string]string{"topic": topic, "call": call}).Counter("store_read_bytes").Inc(int64(bytes))
}

// RecordQuotaWait records how long a request waited for tokens of its quota.
func (m *Metrics) RecordQuotaWait(d time.Duration) {
	m.Scope.Histogram("quota_wait_seconds", latencyBuckets).RecordDuration(d)
}

// CountQuotaWait counts a request that waited for reserved tokens of its quota: "granted", "refused", or
// "unanswered" if the home did not answer any more.
func (m *Metrics) CountQuotaWait(outcome string) {
	m.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("quota_waits").Inc(1)
}

// CountQuotaReservations counts reservations of tokens at this instance by outcome.
func (m *Metrics) CountQuotaReservations(outcome string, n int64) {
	m.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("quota_reservations").Inc(n)
}

// SetQuotaReservations sets the number of current reservations and of organisations that have some.
func (m *Metrics) SetQuotaReservations(reservations, organisations int) {
	m.Scope.Gauge("quota_reserved").Update(float64(reservations))
	m.Scope.Gauge("quota_queues").Update(float64(organisations))
}

// SetInstanceState sets the gauges that describe the instance.
func (m *Metrics) SetInstanceState(s InstanceState) {
	boolValue := func(value bool) float64 {
		if value {
			return 1
		}
		return 0
	}
	m.Scope.Gauge("ready").Update(boolValue(s.Ready))
	m.Scope.Gauge("configuration_version").Update(float64(s.ConfigurationVersion))
	m.Scope.Gauge("configuration_age_seconds").Update(s.ConfigurationAge.Seconds())
	m.Scope.Gauge("upstreams").Update(float64(s.Upstreams))
	m.Scope.Gauge("instances").Update(float64(s.Instances))
	m.Scope.Gauge("hubs").Update(float64(s.Hubs))
	m.Scope.Gauge("hub").Update(boolValue(s.IsHub))
	m.Scope.Gauge("cut_links").Update(float64(s.CutLinks))
	m.Scope.Gauge("quarantines").Update(float64(s.Quarantines))
}

// InstanceState is an instance's current view of the system.
type InstanceState struct {
	Ready bool
	// ConfigurationVersion is the version of the configuration in force. ConfigurationAge is the
	// time since the instance last verified that no newer version exists.
	ConfigurationVersion uint64
	ConfigurationAge     time.Duration
	// Upstreams and Instances are the numbers of known upstreams and instances. Instances is 0
	// while the members of the fleet are not known.
	Upstreams, Instances int
	// Hubs is the number of hubs that this instance reports to. IsHub reports whether it is a hub.
	Hubs  int
	IsHub bool
	// CutLinks is the number of upstreams that this instance cannot reach and another one can.
	CutLinks int
	// Quarantines is the number of requests and parts of prompts that are refused because upstreams crashed.
	Quarantines int
}

// CountQuarantine counts a quarantine that begins or becomes longer: of a request, or of a part of prompts.
func (m *Metrics) CountQuarantine(of string) {
	m.Scope.Tagged(map[string]string{"of": of}).Counter("quarantined").Inc(1)
}

// CountSlowCaller counts an answer that is read ahead of a caller that reads slowly.
func (m *Metrics) CountSlowCaller(service string) {
	m.Scope.Tagged(map[string]string{"service": service}).Counter("slow_callers").Inc(1)
}

// CountEjection counts a change of an upstream that fails requests: "ejected", "tried" or "returned".
func (m *Metrics) CountEjection(service, role, change string) {
	m.Scope.Tagged(map[string]string{"service": service, "role": role, "change": change}).Counter("failing_upstreams").Inc(1)
}

// CountRefusedConnection counts a connection that was closed because of overload before its request was read.
func (m *Metrics) CountRefusedConnection() { m.Scope.Counter("refused_connections").Inc(1) }

// Kinds of sends for CountArrival.
const (
	SendRun     = "run"
	SendPrefill = "prefill"
)

// CountArrival counts a request that may have arrived at an upstream: its run, or the prefill of its prompt. repeated is
// set if it is charged to the retry budget.
func (m *Metrics) CountArrival(service, send string, repeated bool) {
	m.Scope.Tagged(map[string]string{"service": service, "send": send, "repeated": strconv.FormatBool(repeated)}).Counter("arrivals").Inc(1)
}

// Results of requests for a place at an upstream of a plain service, for RecordPlainPlace.
const (
	// PlaceAssigned means that the home has assigned the place, PlaceLocal that the instance has decided without it.
	PlaceAssigned = "assigned"
	PlaceLocal    = "local"
	PlaceRefused  = "refused"
)

// RecordPlainPlace counts a request for a place at an upstream of a plain service and records how long it waited.
func (m *Metrics) RecordPlainPlace(service, result string, waited time.Duration) {
	m.Scope.Tagged(map[string]string{"service": service, "result": result}).Counter("plain_places").Inc(1)
	m.Scope.Tagged(map[string]string{"service": service}).Histogram("plain_wait_seconds", latencyBuckets).RecordDuration(waited)
}

// PlainQueueLength returns a function that sets the number of requests that wait for a place of a plain service here.
func (m *Metrics) PlainQueueLength(service string) func(int) {
	length := m.Scope.Tagged(map[string]string{"service": service}).Gauge("plain_queue_length")
	return func(n int) { length.Update(float64(n)) }
}

// CountStoreEra counts that the store has come back from a copy.
func (m *Metrics) CountStoreEra() { m.Scope.Counter("store_eras").Inc(1) }

// CountMalformedResponse counts a response of an upstream or of the store that could not be used.
func (m *Metrics) CountMalformedResponse(sender, fault string) {
	m.Scope.Tagged(map[string]string{"sender": sender, "fault": fault}).Counter("malformed_responses").Inc(1)
}

// CountBudgetSpent counts a send that is not made because the service's retry budget does not allow it.
func (m *Metrics) CountBudgetSpent(service, send string) {
	m.Scope.Tagged(map[string]string{"service": service, "send": send}).Counter("retry_budget_spent").Inc(1)
}

// Outcomes for CountQueueOutcome.
const (
	QueuePlaced       = "placed"
	QueuePlacedLate   = "placed_late"
	QueueRefused      = "refused"
	QueueRefusedEarly = "refused_early"
	QueueBooked       = "booked"
	QueueReturned     = "returned"
)

// CountQueueOutcome counts requests in a service's queue that were placed or refused, whose retry times were
// booked, or that returned at a booked time.
func (m *Metrics) CountQueueOutcome(service, outcome string, n int) {
	m.Scope.Tagged(map[string]string{"service": service, "outcome": outcome}).Counter("queue_outcomes").Inc(int64(n))
}

// SetUpstreamSlowness sets the time that an upstream takes for its work, relative to the median of its pool.
func (m *Metrics) SetUpstreamSlowness(service, role, address string, slowness float64) {
	m.Scope.Tagged(map[string]string{"service": service, "role": role, "address": address}).Gauge("upstream_slowness").Update(slowness)
}

// CountRetry counts a retry by the reason of the failed attempt.
func (m *Metrics) CountRetry(service string, reason verdict.Reason) {
	m.Scope.Tagged(map[string]string{"service": service, "reason": string(reason)}).Counter("retries").Inc(1)
}
