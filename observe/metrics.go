package observe

import (
	"io"
	"net/http"
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
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Refused counts a refusal or failure by reason, verdict and stage.
func (m *Metrics) Refused(stage string, v *verdict.Verdict) {
	m.Scope.Tagged(map[string]string{
		"stage": stage, "reason": string(v.Reason), "ran": v.Ran.String(),
	}).Counter("refusals").Inc(1)
}

// Retried counts a retry by the reason of the failed attempt.
func (m *Metrics) Retried(service string, reason verdict.Reason) {
	m.Scope.Tagged(map[string]string{"service": service, "reason": string(reason)}).Counter("retries").Inc(1)
}
