package scheduler

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
)

// Run renews this instance's grants until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			c.renewAll(ctx)
		}
	}
}

// renewAll sends each scheduler a single renewal for all of its grants.
func (c *Client) renewAll(ctx context.Context) {
	byScheduler := make(map[string][]*peerv1.HeldGrant)
	c.mu.Lock()
	for key, held := range c.grants {
		grant := &peerv1.HeldGrant{
			Id: held.grant.ID, Service: held.grant.Service, RequestId: key.request, Attempt: key.attempt,
			Prefill: held.grant.Prefill, Decode: held.grant.Decode, Organisation: held.organisation,
		}
		for _, address := range c.schedulersOf(held) {
			byScheduler[address] = append(byScheduler[address], grant)
		}
	}
	c.mu.Unlock()
	for address, grants := range byScheduler {
		go c.renew(ctx, address, grants)
	}
}

func (c *Client) renew(ctx context.Context, address string, grants []*peerv1.HeldGrant) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.cfg.Dial(address).Renew(ctx, connect.NewRequest(&peerv1.RenewRequest{
		Holder: holderToProto(c.cfg.Self()), Grants: grants,
	}))
	if err != nil {
		c.cfg.Log.Info("grant renewal failed", zap.String("scheduler", address), zap.Error(err))
		return
	}
	lost := make(map[uint64]bool, len(resp.Msg.Lost))
	for _, id := range resp.Msg.Lost {
		lost[id] = true
	}
	c.dropLost(lost)
}

// dropLost ends the attempts whose grants the scheduler has revoked.
func (c *Client) dropLost(lost map[uint64]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, held := range c.grants {
		if lost[held.grant.ID] {
			delete(c.grants, key)
			close(held.lost)
		}
	}
}

// DropAll ends all attempts. It is called when this instance learns that the fleet has declared it
// dead, because its slots have then been granted to others.
func (c *Client) DropAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, held := range c.grants {
		delete(c.grants, key)
		close(held.lost)
	}
}
