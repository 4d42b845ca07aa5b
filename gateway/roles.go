package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/split"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Limits and timings of role changes.
const (
	// roleCheckInterval is how often the split between prefill and decode engines is checked.
	roleCheckInterval = time.Second
	// roleConfirmations is the number of consecutive checks that must call for a change.
	roleConfirmations = 2
	// missingRoleConfirmations is the same for changes that rest on the list of engines alone. After
	// the store was unavailable, entries of working engines may be missing for two seconds.
	missingRoleConfirmations = 4
	// roleSettleTime is how long no further change is made after a change, in addition to the time
	// that the engine is unavailable, so that the pools' loads can settle.
	roleSettleTime = 2 * time.Second
	// unansweredOrderPause is how long no change is made after an order without an answer, which
	// may be executed seconds later.
	unansweredOrderPause = 20 * time.Second
	// missingRolePause is how long no change is tried after one failed while a role has no engines.
	missingRolePause = 2 * time.Second
	// roleCallTimeout limits each call of a change.
	roleCallTimeout = time.Second
	// orderCandidates is the number of engines asked per engine to change: some may have crashed or
	// be leaving.
	orderCandidates = 2
)

// EngineState is the state reported by an engine.
type EngineState struct {
	Role upstream.Role
	// Busy is set while an order is being executed.
	Busy bool
	// Orders is the number of orders that the engine has accepted.
	Orders int64
}

// Order is an order to an engine to change its role.
type Order struct {
	Role upstream.Role
	// Holder is the name of the lease holder. Token is a fencing token that grows with each new
	// holder; engines that check it refuse lower ones.
	Holder string
	Token  uint64
	// Expect is the number of accepted orders on which this order is based. The engine must ignore
	// an order that arrives late, after others.
	Expect int64
}

// EngineController is the set of calls that change engines' roles.
type EngineController interface {
	State(ctx context.Context, e upstream.Entry) (EngineState, error)
	Order(ctx context.Context, e upstream.Entry, o Order) error
}

// RoleOptions configures RunRoles.
type RoleOptions struct {
	Engines EngineController
	Log     port.KeyedLog
	// Holder is the name of this instance. Leases of its earlier runs, which have ended, count as
	// its own.
	Holder string
	// IsLeader reports whether this instance should act for a service: among instances that can
	// reach each other, only one should try.
	IsLeader func(service string) bool
	// Lease is the lease duration, within which the holder must not change.
	Lease time.Duration
	// FirstStart is set if the fleet starts for the first time, so that there is no other holder.
	FirstStart bool
	// MayLead reports whether this instance may become the leader; nil means always.
	MayLead func() bool
}

// roleController changes engines' roles if that lets the service handle more requests. Any instance
// may do this for a service; a conditional write decides which one does.
type roleController struct {
	RoleOptions
	gateway *Gateway
	// confirmations counts the consecutive checks that called for a change, by service.
	confirmations map[string]int
	pausedUntil   map[string]time.Duration
	observed      map[string]holderObservation
	// awaited holds the engines whose earlier change was awaited once in place of ordering another engine.
	awaited map[string]bool
	// era is the era of the store in which the leases were read last. Of its leases, those that may be missing in it
	// have ended by eraSettled.
	era        uint64
	eraKnown   bool
	eraSettled time.Duration
}

func newRoleController(g *Gateway, o RoleOptions) *roleController {
	return &roleController{
		RoleOptions: o, gateway: g, confirmations: make(map[string]int), pausedUntil: make(map[string]time.Duration),
		observed: make(map[string]holderObservation), awaited: make(map[string]bool),
	}
}

// RunRoles checks the split of engines periodically until ctx ends.
func (g *Gateway) RunRoles(ctx context.Context, o RoleOptions) error {
	c := newRoleController(g, o)
	if !o.FirstStart {
		c.eraSettled = boottime.Now() + o.Lease
	}
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	observed := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !observed && (c.MayLead == nil || c.MayLead()) {
			observed = c.observeHolders(ctx)
		}
		for _, d := range g.modelDispatchers() {
			c.reconcile(ctx, d)
		}
	}
}

// modelDispatchers returns the dispatchers of all configured model services. Requests for a service may
// all arrive at other instances than the one that changes its engines.
func (g *Gateway) modelDispatchers() (out []*dispatcher) {
	index := g.state.Index()
	if index == nil {
		return nil
	}
	for _, service := range index.Set().Services {
		if service.Kind != object.KindPlain {
			out = append(out, g.dispatchers.get(&service))
		}
	}
	return out
}

// reconcile changes engines of a service if enough consecutive checks have called for it.
func (c *roleController) reconcile(ctx context.Context, d *dispatcher) {
	if boottime.Now() < c.pausedUntil[d.service] || c.gateway.shutdown.started() {
		return
	}
	change := c.desiredChange(d)
	if change.count == 0 || !c.IsLeader(d.service) {
		c.confirmations[d.service] = 0
		return
	}
	if c.confirmations[d.service]++; c.confirmations[d.service] < change.confirmations() {
		return
	}
	work := d.workload()
	c.gateway.log.Info("role change planned", zap.String("service", d.service), zap.Stringer("to", change.to), zap.Int("engines", change.count),
		zap.Bool("role_missing", change.roleMissing), zap.Float64("samples", work.Samples), zap.Float64("prompt_tokens", work.MeanPrompt),
		zap.Float64("prefill_tokens_per_s", work.PrefillSpeed), zap.Float64("decode_engine_s", work.MeanDecodeWork))
	err := c.applyChange(ctx, d, change)
	if !errors.Is(err, errHeldByOther) && !errors.Is(err, errEraNotSettled) {
		c.confirmations[d.service] = 0
	}
	if err != nil {
		c.pausedUntil[d.service] = boottime.Now() + c.pauseAfter(d.service, change, err)
		c.gateway.log.Info("role change failed", zap.String("service", d.service), zap.Stringer("to", change.to), zap.Error(err))
	}
}

// pauseAfter returns how long no change is made after one failed.
func (c *roleController) pauseAfter(service string, change roleChange, err error) time.Duration {
	switch {
	case errors.Is(err, errEraNotSettled):
		return c.eraSettled - boottime.Now()
	case errors.Is(err, errHeldByOther):
		return c.observed[service].firstSeen + takeoverLeases*c.Lease - boottime.Now()
	case change.roleMissing:
		return missingRolePause
	default:
		return takeoverLeases * c.Lease
	}
}

// roleChange is a number of engines that should change their role.
type roleChange struct {
	to    upstream.Role
	count int
	// roleMissing is set if the change follows from a role without engines, and not from
	// measurements.
	roleMissing bool
}

func (r roleChange) confirmations() int {
	if r.roleMissing {
		return missingRoleConfirmations
	}
	return roleConfirmations
}

// desiredChange returns how many engines should change, and to which role.
func (c *roleController) desiredChange(d *dispatcher) (change roleChange) {
	prefill, decode := 0, 0
	entries := c.gateway.state.Directory.Service(d.service)
	ended := endedRuns(entries)
	for _, e := range entries {
		switch {
		case e.Leaving || ended[e.ID]:
		case e.Role == upstream.Prefill:
			prefill++
		case e.Role == upstream.Decode:
			decode++
		}
	}
	want, measured := d.desiredPrefill(prefill+decode, prefill)
	if !measured {
		want = split.BothRoles(prefill+decode, prefill)
	}
	if want > prefill {
		return roleChange{to: upstream.Prefill, count: want - prefill, roleMissing: !measured}
	}
	return roleChange{to: upstream.Decode, count: prefill - want, roleMissing: !measured}
}

// endedRuns returns the entries whose process has ended, since a later run is listed at the same address. An
// engine that crashed stays listed until its heartbeats are missed, which may be after its next run is.
func endedRuns(entries []upstream.Entry) map[string]bool {
	latest := make(map[string]upstream.Entry, len(entries))
	ended := make(map[string]bool)
	for _, e := range entries {
		other, known := latest[e.Address]
		switch {
		case !known:
			latest[e.Address] = e
		case other.Started < e.Started:
			ended[other.ID] = true
			latest[e.Address] = e
		case other.Started > e.Started:
			ended[e.ID] = true
		}
	}
	return ended
}

// applyChange acquires the lease and gives the orders.
func (c *roleController) applyChange(ctx context.Context, d *dispatcher, change roleChange) error {
	to, count := change.to, change.count
	token, until, err := c.acquireLease(ctx, d.service)
	if err != nil {
		return err
	}
	c.pausedUntil[d.service] = boottime.Now() + time.Duration(d.settings().RoleChangeMS)*time.Millisecond + roleSettleTime
	from, pool := upstream.Decode, d.decode
	if to == upstream.Decode {
		from, pool = upstream.Prefill, d.prefill
	}
	d.sync()
	entries := c.gateway.state.Directory.Service(d.service)
	ejected := union(c.gateway.outliers.ejected(entries), endedRuns(entries))
	excluded := union(union(ejected, c.gateway.unavailableUpstreams(d.service)), map[string]bool{})
	ordered, lastErr := 0, fmt.Errorf("no %s engine can change", from)
	candidates := orderCandidates * count
	if change.roleMissing {
		candidates = len(entries)
	}
	for attempt := 0; ordered < count && attempt < candidates; attempt++ {
		entry, ok := pool.leastLoaded(excluded)
		if !ok {
			break
		}
		excluded[entry.ID] = true
		err := c.orderChange(ctx, d, roleOrder{entry: entry, pool: pool, from: from, to: to, token: token, until: until})
		if errors.Is(err, errLeaseExpired) {
			return err
		}
		if change.roleMissing && errors.Is(err, errRoleChanging) && !c.awaited[entry.ID] {
			// An order of an earlier holder may be providing the missing role.
			c.awaited[entry.ID] = true
			return nil
		}
		if err != nil {
			c.gateway.log.Info("engine skipped for role change", zap.String("service", d.service), zap.String("upstream", entry.ID), zap.Error(err))
			lastErr = err
			continue
		}
		ordered++
		clear(c.awaited)
	}
	if ordered == 0 {
		return lastErr
	}
	return nil
}

var (
	// errLeaseExpired means that this instance may give no more orders.
	errLeaseExpired = errors.New("the lease has expired")
	errRoleChanging = errors.New("the engine is already changing its role")
)

// roleOrder is an order to change one engine, with its preconditions.
type roleOrder struct {
	entry    upstream.Entry
	pool     *pool
	from, to upstream.Role
	token    uint64
	until    time.Duration
}

// orderChange orders one engine to change its role. An error means that no order was sent.
func (c *roleController) orderChange(ctx context.Context, d *dispatcher, o roleOrder) error {
	entry, pool, from, to, token, until := o.entry, o.pool, o.from, o.to, o.token, o.until
	call, cancel := context.WithTimeout(ctx, roleCallTimeout)
	defer cancel()
	state, err := c.Engines.State(call, entry)
	if err != nil {
		return err
	}
	if state.Busy || state.Role != from {
		return errRoleChanging
	}
	if boottime.Now() >= until {
		// Another instance may hold the lease by now if this machine was suspended or slow.
		return errLeaseExpired
	}
	pool.withdraw(entry.ID, roleChangeWithdrawal)
	c.gateway.triggerReport()
	err = c.Engines.Order(call, entry, Order{Role: to, Holder: c.Holder, Token: token, Expect: state.Orders})
	c.gateway.log.Info("role change order sent", zap.String("service", d.service), zap.String("upstream", entry.ID), zap.Stringer("to", to),
		zap.Uint64("token", token), zap.Int64("expect", state.Orders), zap.Error(err))
	switch {
	case err == nil:
	case verdict.From(err).Ran == verdict.NotRun:
		pool.restore(entry.ID)
	default:
		c.pausedUntil[d.service] = boottime.Now() + unansweredOrderPause
	}
	return nil
}
