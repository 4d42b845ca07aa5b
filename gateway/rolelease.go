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
	// renewing before it is replaced.
	takeoverLeases = 3
)

// roleRecord is the stored record of a service's lease holder.
type roleRecord struct {
	Holder string `json:"holder"`
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
// Another holder is replaced only if this instance has watched it for several leases without seeing
// a renewal.
func (c *roleController) acquireLease(ctx context.Context, service string) (token uint64, until time.Duration, err error) {
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
		if record.Key == service && !c.canTakeOver(record) {
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
	// The position plus one is the fencing token, which does not fall with the offsets when the store comes back from a
	// copy; engines treat 0 as no holder.
	return next + 1, started + time.Duration(leaseUseRatio*float64(c.Lease)), nil
}

// canTakeOver reports whether a record's holder is this instance, or gone.
func (c *roleController) canTakeOver(record port.KeyedRecord) bool {
	var lease roleRecord
	if err := json.Unmarshal(record.Value, &lease); err == nil && lease.Holder == c.Holder {
		return true
	}
	now := boottime.Now()
	if seen, known := c.observed[record.Key]; !known || seen.position != record.Offset {
		c.observed[record.Key] = holderObservation{record.Offset, now}
		return false
	}
	return now-c.observed[record.Key].firstSeen > takeoverLeases*c.Lease
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
		c.canTakeOver(record)
	}
	return true
}
