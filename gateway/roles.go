package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Figures of changes of role.
const (
	// roleInterval is how often the division of engines is looked at.
	roleInterval = time.Second
	// roleConfirm is how often in a row the same change must be wanted.
	roleConfirm = 2
	// roleSettle is how long after a change nothing is changed, beyond the time that
	// the engine is away: what the pools are given settles meanwhile.
	roleSettle = 2 * time.Second
	// roleUnknown is how long nothing is changed after an order without an answer,
	// which may be carried out seconds late.
	roleUnknown = 20 * time.Second
	// roleCall bounds each call that belongs to a change.
	roleCall = time.Second
	// orderTries is how many engines are asked for each that is to change: some have crashed
	// or are leaving.
	orderTries = 2
	// holdShare is the part of the lease in which a holder gives orders. The rest covers
	// an order on its way.
	holdShare = 0.5
	// takeover is how many leases another holder must not have been seen renewing before
	// its place is taken.
	takeover = 3
)

// EngineState is what an engine says of itself when it is asked.
type EngineState struct {
	Role upstream.Role
	// Busy tells that an order is being carried out.
	Busy bool
	// Orders is the number of orders that the engine has accepted.
	Orders int64
}

// Order changes an engine's role.
type Order struct {
	Role upstream.Role
	// Holder names who gives orders; Token grows with each new holder, and engines that
	// check refuse lower ones.
	Holder string
	Token  uint64
	// Expect is the number of accepted orders that the order was decided on. An order
	// that is carried out late, after others, is void.
	Expect int64
}

// EngineController are the calls that change engines.
type EngineController interface {
	State(ctx context.Context, e upstream.Entry) (EngineState, error)
	Order(ctx context.Context, e upstream.Entry, o Order) error
}

// RoleOptions say who gives orders.
type RoleOptions struct {
	Engines EngineController
	Log     port.KeyedLog
	// Holder names this instance. Its earlier runs have ended and hold in its name.
	Holder string
	// IsLeader reports whether this instance is the one that should act for a service: of
	// those that hear one another only one should try.
	IsLeader func(service string) bool
	// Lease is the time within which two holders must not take turns.
	Lease time.Duration
	// MayLead reports whether this instance may come to lead; nil means always.
	MayLead func() bool
}

// roleRecord is what stands in the store of a service's holder.
type roleRecord struct {
	Holder string `json:"holder"`
}

// roleKeeper changes engines' roles where that serves more requests. Any instance may
// do it for a service; who does is settled by a conditional write.
type roleKeeper struct {
	RoleOptions
	gateway *Gateway
	// wanted counts how often in a row a change was wanted, by service.
	wanted map[string]int
	quiet  map[string]time.Duration
	seen   map[string]sighting
}

// sighting is when this instance first saw a record.
type sighting struct {
	offset uint64
	at     time.Duration
}

// RunRoles watches the division of engines until ctx ends.
func (g *Gateway) RunRoles(ctx context.Context, o RoleOptions) error {
	k := &roleKeeper{RoleOptions: o, gateway: g, wanted: make(map[string]int), quiet: make(map[string]time.Duration), seen: make(map[string]sighting)}
	ticker := time.NewTicker(roleInterval)
	defer ticker.Stop()
	watched := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !watched && (k.MayLead == nil || k.MayLead()) {
			k.watch(ctx)
			watched = true
		}
		for _, d := range g.desks.all() {
			k.look(ctx, d)
		}
	}
}

// watch notes who gives orders now. A holder that is gone can be replaced the sooner the
// earlier its last renewal was seen.
func (k *roleKeeper) watch(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, roleCall)
	defer cancel()
	records, _, err := k.Log.Newest(call, port.TopicRoles)
	if err != nil {
		k.gateway.log.Info("holders of orders not read", zap.Error(err))
		return
	}
	for _, record := range records {
		k.free(record)
	}
}

// look changes one engine of a service if that has been wanted for long enough.
func (k *roleKeeper) look(ctx context.Context, d *desk) {
	if boottime.Now() < k.quiet[d.service] || k.gateway.draining.Load() {
		return
	}
	to, count := k.change(d)
	if count == 0 || !k.IsLeader(d.service) {
		k.wanted[d.service] = 0
		return
	}
	if k.wanted[d.service]++; k.wanted[d.service] < roleConfirm {
		return
	}
	k.wanted[d.service] = 0
	work := d.workView()
	k.gateway.log.Info("role change wanted", zap.String("service", d.service), zap.Stringer("to", to), zap.Int("engines", count),
		zap.Float64("samples", work.Samples), zap.Float64("prompt_tokens", work.Prompt), zap.Float64("prefill_tokens_per_s", work.Speed),
		zap.Float64("decode_engine_s", work.Decode))
	if err := k.carryOut(ctx, d, to, count); err != nil {
		k.quiet[d.service] = boottime.Now() + takeover*k.Lease
		k.gateway.log.Info("role not changed", zap.String("service", d.service), zap.Stringer("to", to), zap.Error(err))
	}
}

// change tells how many engines should change, and to which role.
func (k *roleKeeper) change(d *desk) (to upstream.Role, count int) {
	prefill, decode := 0, 0
	for _, e := range k.gateway.state.Directory.Service(d.service) {
		switch {
		case e.Leaving:
		case e.Role == upstream.Prefill:
			prefill++
		case e.Role == upstream.Decode:
			decode++
		}
	}
	want, ok := d.wantedPrefill(prefill+decode, prefill)
	switch {
	case !ok:
		return 0, 0
	case want > prefill:
		return upstream.Prefill, want - prefill
	default:
		return upstream.Decode, prefill - want
	}
}

// carryOut becomes the holder and gives the orders.
func (k *roleKeeper) carryOut(ctx context.Context, d *desk, to upstream.Role, count int) error {
	token, until, err := k.become(ctx, d.service)
	if err != nil {
		return err
	}
	k.quiet[d.service] = boottime.Now() + time.Duration(d.shape().RoleChangeMS)*time.Millisecond + roleSettle
	from, pool := upstream.Decode, d.decode
	if to == upstream.Decode {
		from, pool = upstream.Prefill, d.prefill
	}
	passed := union(k.gateway.suspects.among(k.gateway.state.Directory.Service(d.service)), map[string]bool{})
	done, last := 0, fmt.Errorf("no %s engine can change", from)
	for tries := 0; done < count && tries < orderTries*count; tries++ {
		entry, ok := pool.idlest(passed)
		if !ok {
			break
		}
		passed[entry.ID] = true
		err := k.order(ctx, d, roleOrder{entry: entry, pool: pool, from: from, to: to, token: token, until: until})
		if errors.Is(err, errLeaseOver) {
			return err
		}
		if err != nil {
			k.gateway.log.Info("engine passed over", zap.String("service", d.service), zap.String("upstream", entry.ID), zap.Error(err))
			last = err
			continue
		}
		done++
	}
	if done == 0 {
		return last
	}
	return nil
}

// errLeaseOver tells that this instance may give no more orders.
var errLeaseOver = errors.New("the lease is over")

// roleOrder is one engine's part of a change.
type roleOrder struct {
	entry    upstream.Entry
	pool     *pool
	from, to upstream.Role
	token    uint64
	until    time.Duration
}

// order changes the role of one engine. An error says that it got no order.
func (k *roleKeeper) order(ctx context.Context, d *desk, o roleOrder) error {
	entry, pool, from, to, token, until := o.entry, o.pool, o.from, o.to, o.token, o.until
	call, cancel := context.WithTimeout(ctx, roleCall)
	defer cancel()
	state, err := k.Engines.State(call, entry)
	if err != nil {
		return err
	}
	if state.Busy || state.Role != from {
		return errors.New("the engine is changing already")
	}
	if boottime.Now() >= until {
		// Another may have become the holder while this machine was suspended or slow.
		return errLeaseOver
	}
	pool.withdraw(entry.ID, awayLimit)
	k.gateway.changed()
	err = k.Engines.Order(call, entry, Order{Role: to, Holder: k.Holder, Token: token, Expect: state.Orders})
	k.gateway.log.Info("role ordered", zap.String("service", d.service), zap.String("upstream", entry.ID), zap.Stringer("to", to),
		zap.Uint64("token", token), zap.Int64("expect", state.Orders), zap.Error(err))
	switch {
	case err == nil:
	case verdict.From(err).Ran == verdict.NotRun:
		pool.restore(entry.ID)
	default:
		k.quiet[d.service] = boottime.Now() + roleUnknown
	}
	return nil
}

var errHeld = errors.New("another instance gives the orders")

// become makes this instance the one that gives orders to a service's engines, by a
// write that only takes effect if nobody else has written since the topic was read.
// until is when it must stop. Another holder's place is taken only when it has not
// renewed it for several leases, all of which this instance has watched.
func (k *roleKeeper) become(ctx context.Context, service string) (token uint64, until time.Duration, err error) {
	call, cancel := context.WithTimeout(ctx, roleCall)
	defer cancel()
	records, next, err := k.Log.Newest(call, port.TopicRoles)
	if err != nil {
		return 0, 0, err
	}
	for _, record := range records {
		if record.Key == service && !k.free(record) {
			return 0, 0, errHeld
		}
	}
	value, err := json.Marshal(roleRecord{Holder: k.Holder})
	if err != nil {
		return 0, 0, err
	}
	begun := boottime.Now()
	if err := k.Log.PutAt(call, port.TopicRoles, next, service, value); err != nil {
		return 0, 0, err
	}
	// The offset names the holder; engines take 0 for none.
	return next + 1, begun + time.Duration(holdShare*float64(k.Lease)), nil
}

// free reports whether a record's holder is this instance, or gone.
func (k *roleKeeper) free(record port.KeyedRecord) bool {
	var held roleRecord
	if err := json.Unmarshal(record.Value, &held); err == nil && held.Holder == k.Holder {
		return true
	}
	now := boottime.Now()
	if s, known := k.seen[record.Key]; !known || s.offset != record.Offset {
		k.seen[record.Key] = sighting{record.Offset, now}
		return false
	}
	return now-k.seen[record.Key].at > takeover*k.Lease
}
