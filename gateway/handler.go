package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/verdict"
)

// Options of a gateway.
type Options struct {
	Codec     Codec
	Upstreams Upstreams
	State     *State
	Quotas    *Quotas
	Log       *zap.Logger
	Metrics   *observe.Metrics
	// ApplyTimeout is the time in which a new configuration must be in force.
	ApplyTimeout time.Duration
	// DataCentre of this instance.
	DataCentre string
	// TriggerReport asks for a report to the other instances, since something changed.
	TriggerReport func()
	// MaxBufferedBodyBytes is the most bytes of request bodies held at once.
	MaxBufferedBodyBytes int64
	// RetryBudget is what repeated sends may add to an upstream service's load.
	RetryBudget RetryBudget
	// FleetSize is how many instances share the budget.
	FleetSize func() fleet.Size
}

// Gateway is the callers' door for routed requests.
type Gateway struct {
	Options
	state    *State
	quotas   *Quotas
	log      *zap.Logger
	desks    *desks
	plain    *plainRooms
	suspects *suspects
	budget   *budgets
	crashes  *crashes
	homes    PlacementHomes
	bodies   atomic.Int64
	draining atomic.Bool
}

// New returns a gateway. Close ends its parts.
func New(o Options) *Gateway {
	g := &Gateway{Options: o, state: o.State, quotas: o.Quotas, log: o.Log}
	g.suspects = newSuspects(boottime.Now)
	g.plain = newPlainRooms()
	g.desks = newDesks(g)
	g.crashes = newCrashes(g.log, g.Upstreams.CheckReachable)
	g.budget = newBudgets(o.RetryBudget, o.FleetSize)
	return g
}

// Close ends the gateway's parts.
func (g *Gateway) Close() { g.desks.close() }

// Drain makes answers tell callers to open another connection.
func (g *Gateway) Drain() { g.draining.Store(true) }

// changed asks for a report to the others.
func (g *Gateway) changed() {
	if g.TriggerReport != nil {
		g.TriggerReport()
	}
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if g.draining.Load() || len(r.TransferEncoding) > 0 {
		// Of two lengths in one message the server takes the chunks and drops the other
		// without a word. What follows the chunks may then be a request that was hidden
		// in a body, so that a connection is not read on after a chunked one.
		w.Header().Set("Connection", "close")
	}
	call, key, err := g.Codec.Decode(r)
	if err != nil {
		g.refuse(w, nil, verdict.From(err))
		return
	}
	call.Arrived = arrived
	a, v := g.find(call, key)
	if v != nil {
		g.refuse(w, call, v)
		return
	}
	release, v := g.readBody(r, a)
	defer release()
	if v != nil {
		g.refuse(w, call, v)
		return
	}
	if v := g.crashes.blocked(call); v != nil {
		g.refuse(w, call, v)
		return
	}
	if v := g.charge(r.Context(), a); v != nil {
		g.refuse(w, call, v)
		return
	}
	g.Metrics.Took("admission", a.service.Name, time.Since(arrived))
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	g.serve(ctx, w, a)
}

// serve runs an admitted request.
func (g *Gateway) serve(ctx context.Context, w http.ResponseWriter, a *admitted) {
	g.budget.asked(a.service.Name)
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
	g.refuse(w, a.call, v)
}

// bodyChunk is the unit in which bodies without a length are counted, in bytes.
const bodyChunk = 64 << 10

// readBody reads the request's body. Several upstreams may be sent it, so that it is
// kept; what all requests keep together is bounded, since bodies of megabytes on
// thousands of connections would otherwise pass the process's memory. The returned
// function ends the count and is never nil.
func (g *Gateway) readBody(r *http.Request, a *admitted) (func(), *verdict.Verdict) {
	if r.ContentLength == 0 {
		return func() {}, nil
	}
	limit := maxBody(a)
	if r.ContentLength > limit {
		return func() {}, verdict.Refuse(verdict.ReasonBodyTooLarge, 0, "the body has %d bytes, allowed are %d", r.ContentLength, limit)
	}
	counted := r.ContentLength
	if counted < 0 {
		counted = bodyChunk
	}
	g.bodies.Add(counted)
	release := func() { g.bodies.Add(-counted) }
	if g.bodies.Load() > g.MaxBufferedBodyBytes {
		return release, verdict.Refuse(verdict.ReasonQueueTimeout, time.Second, "too many request bodies at once")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return release, g.bodyError(err)
	}
	if int64(len(body)) > limit {
		return release, verdict.Refuse(verdict.ReasonBodyTooLarge, 0, "the body has more than %d bytes", limit)
	}
	if extra := int64(len(body)) - counted; extra > 0 {
		g.bodies.Add(extra)
		counted += extra
	}
	a.call.Body = body
	return release, nil
}

func (g *Gateway) bodyError(err error) *verdict.Verdict {
	if errors.Is(err, context.Canceled) {
		return verdict.Refuse(verdict.ReasonCancelled, 0, "the caller left")
	}
	return &verdict.Verdict{Ran: verdict.NotRun, Reason: verdict.ReasonBadRequest, Detail: "the body cannot be read", Cause: err}
}

// maxBody is the largest body of a request's service in bytes.
func maxBody(a *admitted) int64 { return a.service.MaxBodyBytes }

// hashPoint spreads requests evenly over a route's targets.
func hashPoint(id string) uint64 { return xxhash.Sum64String(id) }

// reportsLate reports whether the fleet is so large that reports go by way of hubs.
func (g *Gateway) reportsLate() bool { return g.FleetSize().Large() }

// FillReport completes a report to other instances.
func (g *Gateway) FillReport(now time.Duration, r *fleet.Report) {
	r.Loads = make(map[fleet.Hash]fleet.Load)
	g.plain.fill(r.Loads)
	g.desks.fill(r)
	g.crashes.fill(now, r)
}

// FillReportFor completes a report by what is for one receiver.
func (g *Gateway) FillReportFor(now time.Duration, to fleet.Run, r *fleet.Report) {
	g.quotas.FillReportFor(now, to, r)
}

// FillPollAnswer completes the answer to a poll.
func (g *Gateway) FillPollAnswer(now time.Duration, poll, r *fleet.Report) {
	g.quotas.FillPollAnswer(r)
	if !r.Whole {
		return
	}
	r.Loads = make(map[fleet.Hash]fleet.Load)
	g.plain.fillAll(poll.Instance, r.Loads)
	g.desks.fillAll(poll.Instance, r)
	g.crashes.fill(now, r)
}

// HandleClaim takes in another instance's claim of a place.
func (g *Gateway) HandleClaim(now time.Duration, instance string, c fleet.Claim, answer func(fleet.Place)) {
	g.desks.claimed(now, instance, c, answer)
}

// ApplyLoads takes in what has just changed of what another instance has placed.
func (g *Gateway) ApplyLoads(now time.Duration, instance string, loads map[fleet.Hash]fleet.Load) {
	g.desks.takeLoads(now, instance, loads)
}

// Sweep drops what is no longer needed.
func (g *Gateway) Sweep() { g.desks.sweep() }

// ApplyReport takes in a report of another instance.
func (g *Gateway) ApplyReport(now time.Duration, r *fleet.Report) {
	g.quotas.ApplyReport(now, r)
	if r.Answer && !r.Whole {
		return
	}
	g.plain.take(r)
	g.desks.take(r)
	g.crashes.take(now, r, !r.Answer && g.reportsLate())
}
