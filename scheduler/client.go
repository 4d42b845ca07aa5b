package scheduler

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

const (
	// lookupRetryInterval is the delay before a scheduler is looked up again after a lookup failed
	// or the scheduler could not be reached. The failure of an instance is detected within about
	// two seconds.
	lookupRetryInterval = 50 * time.Millisecond
	// callTimeout is the timeout of the calls PrefillDone, Release and Renew.
	callTimeout = time.Second
)

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	// Self returns this instance with its current incarnation.
	Self       func() request.Holder
	DataCentre string
	// Home returns the instance that schedules a service.
	Home func(service string) (request.Holder, bool)
	// Dial returns a client for the scheduler at a peer's address. For this instance's own address,
	// it may be the Server itself.
	Dial    func(address string) peerv1connect.SchedulerServiceClient
	Log     *zap.Logger
	Metrics *observe.Metrics
}

// Client implements route.Scheduler using the schedulers of the fleet.
type Client struct {
	cfg ClientConfig

	mu     sync.Mutex
	grants map[attemptKey]*clientGrant
}

// clientGrant is a grant in use by this instance, with the scheduler that granted it.
type clientGrant struct {
	grant        *route.Grant
	organisation string
	scheduler    request.Holder
	lost         chan struct{}
}

// NewClient returns a client without grants. Run must be called to renew the grants it obtains.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, grants: make(map[attemptKey]*clientGrant)}
}

// Reserve implements route.Scheduler. If a scheduler cannot be reached, it is looked up again
// until the deadline, since the fleet assigns the service to another instance within seconds.
func (c *Client) Reserve(ctx context.Context, req *request.Request, attempt uint32, avoid []string) (*route.Grant, error) {
	for {
		budget := time.Until(req.Deadline)
		if budget <= 0 {
			return nil, verdict.Refuse(verdict.ReasonQueueTimeout, time.Second, "no grant before the deadline")
		}
		home, ok := c.cfg.Home(req.Service)
		if ok {
			grant, err := c.reserveFrom(ctx, home, req, attempt, avoid, budget)
			if err == nil || !isSchedulerUnavailable(err) {
				return grant, err
			}
			c.cfg.Log.Info("scheduler unreachable", zap.String("request", req.ID), zap.String("instance", home.Instance), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil, verdict.Refuse(verdict.ReasonCancelled, 0, "cancelled while waiting for a grant")
		case <-time.After(min(lookupRetryInterval, budget)):
		}
	}
}

func (c *Client) reserveFrom(ctx context.Context, home request.Holder, req *request.Request, attempt uint32, avoid []string, budget time.Duration) (*route.Grant, error) {
	// The additional time allows the scheduler's own refusal, with its accurate retry time, to
	// arrive before the call times out here.
	ctx, cancel := context.WithTimeout(ctx, budget+callTimeout)
	defer cancel()
	resp, err := c.cfg.Dial(home.Address).Reserve(ctx, connect.NewRequest(&peerv1.ReserveRequest{
		Holder: holderToProto(c.cfg.Self()), Service: req.Service, Organisation: req.Organisation, RequestId: req.ID,
		Class: uint32(req.Class), PromptTokens: uint32(req.PromptTokens), MaxTokens: uint32(req.MaxTokens),
		PrefixHashes: req.PrefixHashes, BudgetMs: uint32(budget.Milliseconds()), Fingerprint: req.Fingerprint,
		Attempt: attempt, Avoid: avoid, KeyId: req.KeyID, ConfigVersion: req.ConfigVersion, DataCentre: c.cfg.DataCentre,
	}))
	if err != nil {
		return nil, reserveError(ctx, err)
	}
	if resp.Msg.Refusal != nil {
		return nil, refusalFromProto(resp.Msg.Refusal)
	}
	return c.addGrant(home, req, attempt, resp.Msg.Grant), nil
}

// reserveError converts the error of a failed call to a verdict. Since nothing has been sent to an
// upstream yet, the verdict is always "not run".
func reserveError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return verdict.Refuse(verdict.ReasonCancelled, 0, "cancelled while waiting for a grant")
	}
	v := verdict.Refuse(verdict.ReasonSchedulerUnavailable, time.Second, "the service's scheduler cannot be reached")
	v.Cause = err
	return v
}

func isSchedulerUnavailable(err error) bool {
	return verdict.From(err).Reason == verdict.ReasonSchedulerUnavailable
}

func (c *Client) addGrant(home request.Holder, req *request.Request, attempt uint32, g *peerv1.Grant) *route.Grant {
	lost := make(chan struct{})
	grant := &route.Grant{
		ID: g.Id, Service: req.Service, RequestID: req.ID, Attempt: attempt, Prefill: g.Prefill, Decode: g.Decode,
		Lost: lost, TransferAfter: time.Now().Add(time.Duration(g.TransferAfterMs) * time.Millisecond),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grants[attemptKey{req.ID, attempt}] = &clientGrant{grant, req.Organisation, home, lost}
	return grant
}

// PrefillDone implements route.Scheduler.
func (c *Client) PrefillDone(grant *route.Grant) {
	key := attemptKey{grant.RequestID, grant.Attempt}
	c.mu.Lock()
	held := c.grants[key]
	c.mu.Unlock()
	if held == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := c.cfg.Dial(held.scheduler.Address).PrefillDone(ctx, connect.NewRequest(&peerv1.PrefillDoneRequest{
			Service: grant.Service, RequestId: grant.RequestID, Attempt: grant.Attempt,
		}))
		if err != nil {
			c.cfg.Log.Debug("cannot report end of prefill to scheduler", zap.String("request", grant.RequestID), zap.Error(err))
		}
	}()
}

// Release implements route.Scheduler. It notifies both the current scheduler and the one that gave
// the grant. If the release reaches neither, the grant ends when its lease expires.
func (c *Client) Release(grant *route.Grant, outcome route.Outcome) {
	key := attemptKey{grant.RequestID, grant.Attempt}
	c.mu.Lock()
	held := c.grants[key]
	delete(c.grants, key)
	c.mu.Unlock()
	if held == nil {
		return
	}
	for _, address := range c.schedulersOf(held) {
		go c.sendRelease(address, grant, outcome)
	}
}

func (c *Client) sendRelease(address string, grant *route.Grant, outcome route.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := c.cfg.Dial(address).Release(ctx, connect.NewRequest(&peerv1.ReleaseRequest{
		Holder: holderToProto(c.cfg.Self()), Service: grant.Service, GrantId: grant.ID,
		RequestId: grant.RequestID, Attempt: grant.Attempt, Outcome: outcomeToProto(outcome),
	}))
	if err != nil {
		c.cfg.Log.Info("cannot send release to scheduler", zap.String("request", grant.RequestID), zap.Error(err))
	}
}

// schedulersOf returns the addresses of the scheduler that gave the grant and of the current one,
// which differ after a takeover.
func (c *Client) schedulersOf(held *clientGrant) []string {
	addresses := []string{held.scheduler.Address}
	if home, ok := c.cfg.Home(held.grant.Service); ok && home.Address != held.scheduler.Address {
		addresses = append(addresses, home.Address)
	}
	return addresses
}

// GrantCount returns the number of grants in use by this instance.
func (c *Client) GrantCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.grants)
}
