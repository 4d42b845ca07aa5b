package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/port"
)

const (
	// leaseUseRatio is the fraction of the lease during which the holder gives orders. The rest is
	// for orders in transit.
	leaseUseRatio = 0.5
	// takeoverLeases is the number of leases for which another holder must not have been seen
	// renewing before it is replaced for a change that follows from measurements.
	takeoverLeases = 3
)

// roleRecord is the stored record of a service's lease holder.
type roleRecord struct {
	Holder string `json:"holder"`
	// Released is set once an order of another holder can no longer follow one of the holder within a lease.
	Released bool `json:"released,omitempty"`
}

// heldLease is a lease of this instance.
type heldLease struct {
	position  uint64
	releaseAt time.Duration
}

// holderObservation is when this instance first saw a record.
type holderObservation struct {
	position  uint64
	firstSeen time.Duration
}

var (
	errHeldByOther   = errors.New("another instance holds the lease")
	errEraNotSettled = errors.New("the store may have lost a lease that has not ended")
)

// settleEra records the era of the store in which the leases were read. It returns an error while a holder that the
// store has lost may still give orders.
func (c *roleController) settleEra(era uint64) error {
	now := boottime.Now()
	if c.eraKnown && era != c.era {
		c.eraSettled = now + c.Lease
	}
	c.era, c.eraKnown = era, true
	if now < c.eraSettled {
		return errEraNotSettled
	}
	return nil
}

// acquireLease makes this instance the holder for a service, by a write that succeeds only if
// nothing was written since the topic was read. The holder must stop giving orders at until.
// Another holder is replaced only if this instance has watched it for the takeover delay without seeing
// a renewal, or if it has released the lease and a role is missing.
func (c *roleController) acquireLease(ctx context.Context, service string, change roleChange) (token uint64, until time.Duration, err error) {
	call, cancel := context.WithTimeout(ctx, roleCallTimeout)
	defer cancel()
	records, next, err := c.Log.Newest(call, port.TopicRoles)
	if err != nil {
		return 0, 0, err
	}
	if err := c.settleEra(port.EraOf(next)); err != nil {
		return 0, 0, err
	}
	for _, record := range records {
		if record.Key == service && !c.canTakeOver(record, change) {
			return 0, 0, errHeldByOther
		}
	}
	value, err := json.Marshal(roleRecord{Holder: c.Holder})
	if err != nil {
		return 0, 0, err
	}
	started := boottime.Now()
	if err := c.Log.PutAt(call, port.TopicRoles, next, service, value); err != nil {
		return 0, 0, err
	}
	c.held[service] = heldLease{next, started + c.lastOrderDelay() + c.Lease}
	// The position plus one is the fencing token, which does not fall with the offsets when the store comes back from a
	// copy; engines treat 0 as no holder.
	return next + 1, started + time.Duration(leaseUseRatio*float64(c.Lease)), nil
}

// lastOrderDelay is the time from the acquisition of a lease within which all orders of its holder have arrived.
func (c *roleController) lastOrderDelay() time.Duration {
	return time.Duration(leaseUseRatio*float64(c.Lease)) + roleCallTimeout
}

// takeoverDelay is the time for which another holder must not have been seen renewing before it is replaced. After
// lastOrderDelay and a lease, the orders of the two holders are a lease apart. A change that follows from measurements
// waits until those of the other holder have taken effect as well.
func (c *roleController) takeoverDelay(change roleChange) time.Duration {
	if change.roleMissing() {
		return c.lastOrderDelay() + c.Lease
	}
	return takeoverLeases * c.Lease
}

// canTakeOver reports whether a record's holder is this instance, or gone.
func (c *roleController) canTakeOver(record port.KeyedRecord, change roleChange) bool {
	var lease roleRecord
	if err := json.Unmarshal(record.Value, &lease); err == nil && (lease.Holder == c.Holder || lease.Released && change.roleMissing()) {
		return true
	}
	now := boottime.Now()
	if seen, known := c.observed[record.Key]; !known || seen.position != record.Offset {
		c.observed[record.Key] = holderObservation{record.Offset, now}
		return false
	}
	return now-c.observed[record.Key].firstSeen > c.takeoverDelay(change)
}

// keepLease puts off the release of a lease, because an order may still be executed.
func (c *roleController) keepLease(service string, delay time.Duration) {
	if held, is := c.held[service]; is {
		held.releaseAt = max(held.releaseAt, boottime.Now()+delay)
		c.held[service] = held
	}
}

// releaseIfUnused records that this instance gives no more orders under a lease, so that any other may acquire it at once.
func (c *roleController) releaseIfUnused(ctx context.Context, service string) {
	held, is := c.held[service]
	if !is || boottime.Now() < held.releaseAt {
		return
	}
	if err := c.release(ctx, service, held); err != nil {
		held.releaseAt = boottime.Now() + takeoverLeases*c.Lease
		c.held[service] = held
		c.gateway.log.Info("cannot release the lease of role changes", zap.String("service", service), zap.Error(err))
		return
	}
	delete(c.held, service)
}

func (c *roleController) release(ctx context.Context, service string, held heldLease) error {
	call, cancel := context.WithTimeout(ctx, roleCallTimeout)
	defer cancel()
	records, next, err := c.Log.Newest(call, port.TopicRoles)
	if err != nil {
		return err
	}
	for _, record := range records {
		if record.Key != service || record.Offset != held.position {
			continue
		}
		value, err := json.Marshal(roleRecord{Holder: c.Holder, Released: true})
		if err != nil {
			return err
		}
		return c.Log.PutAt(call, port.TopicRoles, next, service, value)
	}
	return nil
}

// observeHolders records the current lease holders. The earlier a holder's last renewal is
// observed, the sooner it can be replaced after it is gone. It returns false if they cannot be read.
func (c *roleController) observeHolders(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, roleCallTimeout)
	defer cancel()
	records, next, err := c.Log.Newest(call, port.TopicRoles)
	if err != nil {
		c.gateway.log.Info("cannot read role lease holders", zap.Error(err))
		return false
	}
	c.era, c.eraKnown = port.EraOf(next), true
	for _, record := range records {
		c.canTakeOver(record, roleChange{})
	}
	return true
}
