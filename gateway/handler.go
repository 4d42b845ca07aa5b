package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Options configures a Gateway.
type Options struct {
	Codec     Codec
	Upstreams Upstreams
	State     *State
	Quotas    *Quotas
	Log       *zap.Logger
	Metrics   *observe.Metrics
	// ApplyTimeout is the time within which a new configuration must take effect.
	ApplyTimeout time.Duration
	// DataCentre is the data centre of this instance.
	DataCentre string
	// TriggerReport requests a report to the other instances after a change.
	TriggerReport func()
	// Announce requests an immediate report to the other instances, also in a large fleet.
	Announce func()
	// Instance is the name of this instance.
	Instance string
	// MaxBufferedBodyBytes limits the total size of buffered request bodies.
	MaxBufferedBodyBytes int64
	// MaxReadAheadBytes limits the total size of what is read ahead of callers that read slowly; 0 means that nothing is.
	MaxReadAheadBytes int64
	// RetryBudget limits the load that repeated sends add to a service's upstreams.
	RetryBudget RetryBudget
	// FleetSize returns the number of instances.
	FleetSize func() fleet.Size
	// Features are the optional parts that are on.
	Features Features
	// FleetView returns the number of instances that share the retry budget.
	FleetView func() FleetView
}

// Features switches the optional parts of a gateway on; see settings.Routed for their effects.
type Features struct {
	PlainQueue, EjectFailing, QuotaOrder, LateAnswers, UpstreamSpeed bool
}

// Gateway is the HTTP handler for routed requests.
type Gateway struct {
	Options
	state             *State
	quotas            *Quotas
	log               *zap.Logger
	dispatchers       *dispatcherSet
	plainPools        *plainPools
	outliers          *outlierDetector
	statements        *upstreamStatements
	retryBudgets      *retryBudgets
	sender            *sender
	crashes           *crashTracker
	quotaReporter     *quotaReporter
	placementHomes    PlacementHomes
	bufferedBodyBytes atomic.Int64
	answerMemory      *answerMemory
	shutdown          *shutdown
}

// New returns a gateway. Call Close to release its resources.
func New(o Options) *Gateway {
	g := &Gateway{Options: o, state: o.State, quotas: o.Quotas, log: o.Log, answerMemory: &answerMemory{limit: o.MaxReadAheadBytes}, shutdown: newShutdown()}
	if g.quotas != nil {
		g.quotas.SetInOrder(o.Features.QuotaOrder)
	}
	g.outliers = newOutlierDetector(boottime.Now)
	g.statements = newUpstreamStatements(boottime.Now, o.Quotas, o.State.Directory, o.Log)
	g.statements.onLeaving = g.triggerReport
	g.retryBudgets = newRetryBudgets(o.RetryBudget, o.FleetView, boottime.Now)
	g.sender = newSender(o.Upstreams, g.retryBudgets, o.Metrics, boottime.Now)
	g.Upstreams = g.sender
	g.Upstreams.Guard(g.admit, g.statements.record)
	g.Upstreams.OnLinkCut(g.outliers.recordSuccess)
	g.quotaReporter = newQuotaReporter(g.log, g.Metrics)
	g.plainPools = newPlainPools(g)
	g.dispatchers = newDispatcherSet(g)
	g.crashes = newCrashTracker(boottime.Now, g.log, g.Metrics, g.Upstreams.CheckReachable)
	g.crashes.trialDelay = g.trialDelay
	g.crashes.onChange = g.announceCrash
	return g
}

// Close stops the dispatchers.
func (g *Gateway) Close() { g.dispatchers.close() }

// triggerReport requests a report to the other instances.
func (g *Gateway) triggerReport() {
	if g.TriggerReport != nil {
		g.TriggerReport()
	}
}

// admit decides, immediately before anything is sent to an upstream, whether it may be.
func (g *Gateway) admit(to upstream.Entry, out upstream.Outgoing) error {
	v := g.statements.check(to, out.Use)
	if v == nil {
		v = g.crashes.admit(to, out)
	}
	if v == nil {
		return nil
	}
	v.Unsent = true
	return v
}

// announceCrash tells the other instances of a crash, and refuses the requests that are queued and must not be sent
// any more.
func (g *Gateway) announceCrash() {
	if g.Announce != nil {
		g.Announce()
	}
	for _, d := range g.dispatchers.all() {
		d.recheck()
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	g.shutdown.calls.Add(1)
	defer g.shutdown.calls.Add(-1)
	if g.shutdown.started() || len(r.TransferEncoding) > 0 {
		// If a message has both a length and chunked encoding, net/http uses the chunks and
		// silently drops the length. What follows the chunks may be a smuggled request, so the
		// connection is not reused after a chunked request.
		w.Header().Set("Connection", "close")
	}
	call, key, err := g.Codec.Decode(r)
	if err != nil {
		g.refuseUnread(w, nil, verdict.From(err))
		return
	}
	call.Arrived = arrived
	a, v := g.resolveCall(call, key)
	if v != nil {
		g.refuseUnread(w, call, v)
		return
	}
	release, v := g.readBody(w, r, a)
	defer release()
	if v != nil {
		g.refuseUnread(w, call, v)
		return
	}
	if v := g.shutdown.refusal(call); v != nil {
		g.refuse(w, call, v)
		return
	}
	if v := g.crashes.refusal(call); v != nil {
		g.refuse(w, call, v)
		return
	}
	if v := g.chargeQuota(r.Context(), a); v != nil {
		g.refuse(w, call, v)
		return
	}
	g.Metrics.RecordStageDuration("admission", a.service.Name, time.Since(arrived))
	ctx, cancel := g.shutdown.callContext(r.Context(), call)
	defer cancel()
	g.serve(ctx, w, a)
}

// serve runs an admitted request.
func (g *Gateway) serve(ctx context.Context, w http.ResponseWriter, a *admittedCall) {
	g.retryBudgets.countRequest(a.service.Name)
	defer g.sender.release(a.call)
	var v *verdict.Verdict
	if a.service.Kind == object.KindModel {
		v = g.serveModel(ctx, w, a)
	} else {
		v = g.servePlain(ctx, w, a)
	}
	if v == nil {
		return
	}
	if v.Ran == verdict.NotRun {
		g.refund(a)
	}
	g.refuse(w, a.call, attributeCancel(ctx, v))
}

// maxBody returns the body size limit of the request's service in bytes.
func maxBody(a *admittedCall) int64 { return a.service.MaxBodyBytes }

// hashPoint maps a request ID to a uniformly distributed hash, used to pick a route's target.
func hashPoint(id string) uint64 { return xxhash.Sum64String(id) }

// reportsViaHubs reports whether the fleet is large enough that instances report through hubs, so
// that the loads known here lag behind.
func (g *Gateway) reportsViaHubs() bool { return g.FleetSize().Large() }

// FillReport adds this instance's loads, workload and crashes to a report for other instances.
func (g *Gateway) FillReport(now time.Duration, r *fleet.Report) {
	r.Features = g.offered()
	r.Loads = make(map[fleet.Hash]fleet.Load)
	g.plainPools.addLoads(r.Loads)
	g.dispatchers.addReport(r)
	g.crashes.addReport(now, r, true)
	g.statements.fillReport(now, r)
	if g.quotas != nil {
		g.quotas.FillReport(now, r)
	}
}

// offered returns what this instance does for others.
func (g *Gateway) offered() fleet.Features {
	if g.Features.PlainQueue {
		return fleet.PlainPlaces
	}
	return 0
}

// FillReportFor adds the parts of a report that depend on its receiver.
func (g *Gateway) FillReportFor(now time.Duration, to fleet.Run, r *fleet.Report) {
	g.quotas.FillReportFor(now, to, r)
}

// FillPollAnswer adds the gateway's data to the answer to a poll.
func (g *Gateway) FillPollAnswer(now time.Duration, poll, r *fleet.Report) {
	r.Features = g.offered()
	g.quotas.FillPollAnswer(r)
	g.statements.fillReport(now, r)
	if !r.Whole {
		return
	}
	r.Loads = make(map[fleet.Hash]fleet.Load)
	g.plainPools.addLoadsExcept(poll.Instance, r.Loads)
	g.dispatchers.addPollAnswer(poll.Instance, r)
	g.crashes.addReport(now, r, false)
}

// HandleClaim handles another instance's claim for an engine.
func (g *Gateway) HandleClaim(now time.Duration, instance string, c fleet.Claim, answer func(fleet.Place)) {
	g.dispatchers.handleClaim(now, instance, c, answer)
}

// ApplyLoads applies changes of another instance's loads.
func (g *Gateway) ApplyLoads(now time.Duration, instance string, loads map[fleet.Hash]fleet.Load) {
	if g.Features.PlainQueue {
		g.plainPools.applyLoads(now, instance, loads)
	}
	g.dispatchers.applyLoads(now, instance, loads)
}

// Sweep removes expired state.
func (g *Gateway) Sweep() {
	g.dispatchers.sweep()
	g.dispatchers.preparePlain()
	g.statements.sweep()
	g.crashes.sweep()
	g.retryBudgets.sweep()
	g.quotaReporter.report(g.quotas)
	g.sender.sweep()
	g.recordSpeeds()
}

// ApplyReport applies a report of another instance.
func (g *Gateway) ApplyReport(now time.Duration, r *fleet.Report) {
	g.quotas.ApplyReport(now, r)
	g.statements.applyReport(now, r)
	if r.Answer && !r.Whole {
		return
	}
	g.plainPools.applyReport(r)
	g.dispatchers.applyReport(r)
	g.crashes.applyReport(now, r, !r.Answer && g.reportsViaHubs())
}
