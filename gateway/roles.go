package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/liveness"
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
	// missingRoleConfirmations is the same for roles without engines that answer. After the store was
	// unavailable, entries of working engines may be missing for two seconds.
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
	// confirmations counts the consecutive checks that called for the pending change, by service.
	confirmations map[string]int
	pending       map[string]pendingChange
	pausedUntil   map[string]time.Duration
	// restoring is set if the last order was to give an engine to a role that had none.
	restoring map[string]bool
	observed  map[string]holderObservation
	// held are the leases of this instance that are to be released.
	held map[string]heldLease
	// liveness holds what is known of the engines of each service.
	liveness map[string]*liveness.Tracker
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
		RoleOptions: o, gateway: g, confirmations: make(map[string]int), pending: make(map[string]pendingChange), pausedUntil: make(map[string]time.Duration),
		observed: make(map[string]holderObservation), restoring: make(map[string]bool), awaited: make(map[string]bool), held: make(map[string]heldLease),
		liveness: make(map[string]*liveness.Tracker),
	}
}

// RunRoles checks the split of engines periodically until ctx ends.
func (g *Gateway) RunRoles(ctx context.Context, o RoleOptions) error {
	c := newRoleController(g, o)
	if !o.FirstStart {
		c.eraSettled = boottime.Now() + o.Lease
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-g.state.Complete():
	}
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	observed := false
	for {
		if !observed && (c.MayLead == nil || c.MayLead()) {
			observed = c.observeHolders(ctx)
		}
		for _, d := range g.modelDispatchers() {
			c.reconcile(ctx, d)
			c.releaseIfUnused(ctx, d.service)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
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
	if c.gateway.shutdown.started() {
		return
	}
	paused := boottime.Now() < c.pausedUntil[d.service]
	leader := c.IsLeader(d.service)
	change := c.desiredChange(ctx, d, leader)
	if paused && (!change.roleMissing() || c.restoring[d.service]) {
		return
	}
	if change.count == 0 {
		c.confirmations[d.service] = 0
		return
	}
	c.confirm(d.service, change)
	if paused || !leader || !c.confirmed(d.service) {
		return
	}
	if change = c.limitToSpare(ctx, d, change); change.count == 0 {
		return
	}
	work := d.workload()
	c.gateway.log.Info("role change planned", zap.String("service", d.service), zap.Stringer("to", change.to), zap.Int("engines", change.count),
		zap.Stringer("reason", change.reason), zap.Float64("samples", work.Samples), zap.Float64("prompt_tokens", work.MeanPrompt),
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
		return c.observed[service].firstSeen + c.takeoverDelay(change) - boottime.Now()
	case change.roleMissing():
		return missingRolePause
	default:
		return takeoverLeases * c.Lease
	}
}

// applyChange acquires the lease and gives the orders.
func (c *roleController) applyChange(ctx context.Context, d *dispatcher, change roleChange) error {
	to, count := change.to, change.count
	token, until, err := c.acquireLease(ctx, d.service, change)
	if err != nil {
		return err
	}
	c.pausedUntil[d.service] = boottime.Now() + time.Duration(d.settings().RoleChangeMS)*time.Millisecond + roleSettleTime
	from, pool := change.from(), d.pool(change.from())
	d.sync()
	entries := c.gateway.state.Directory.Service(d.service)
	ejected := union(c.gateway.outliers.ejected(entries), endedRuns(entries))
	excluded := c.silentEngines(d, entries)
	for _, others := range []map[string]bool{ejected, c.gateway.unavailableUpstreams(d.service)} {
		maps.Copy(excluded, others)
	}
	ordered, lastErr := 0, fmt.Errorf("no %s engine can change", from)
	candidates := orderCandidates * count
	if change.roleMissing() {
		candidates = len(entries)
	}
	for attempt := 0; ordered < count && attempt < candidates; attempt++ {
		entry, ok := pool.leastLoaded(excluded)
		if !ok {
			break
		}
		excluded[entry.ID] = true
		err := c.orderChange(ctx, d, roleOrder{entry: entry, pool: pool, from: from, to: to, missing: change.roleMissing(), token: token, until: until})
		if errors.Is(err, errLeaseExpired) {
			return err
		}
		if change.roleMissing() && errors.Is(err, errRoleChanging) && !c.awaited[entry.ID] {
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
		c.restoring[d.service] = change.roleMissing()
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
	// missing is set if the role has no engines.
	missing bool
	token   uint64
	until   time.Duration
}

// orderChange orders one engine to change its role. An error means that no order was sent.
func (c *roleController) orderChange(ctx context.Context, d *dispatcher, o roleOrder) error {
	entry, pool, from, to, token, until := o.entry, o.pool, o.from, o.to, o.token, o.until
	call, cancel := context.WithTimeout(ctx, roleCallTimeout)
	defer cancel()
	state, err := c.state(call, d, entry)
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
		if !o.missing {
			// A second engine in the role costs less than none for as long.
			c.pausedUntil[d.service] = boottime.Now() + unansweredOrderPause
		}
		c.keepLease(d.service, unansweredOrderPause)
	}
	return nil
}
