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
	// relocateWait is the pause before a scheduler is looked up again after one
	// could not be reached. A death is noticed within about two seconds.
	relocateWait = 50 * time.Millisecond
	// callTimeout bounds a renewal or a release.
	callTimeout = time.Second
)

// ClientConfig is what the client needs from its instance.
type ClientConfig struct {
	// Self returns this instance with its present incarnation.
	Self       func() request.Holder
	DataCentre string
	// Home returns the instance that schedules a service.
	Home func(service string) (request.Holder, bool)
	// Dial returns the client of the scheduler at a peer's address; for this
	// instance's own address it may be the Server itself.
	Dial    func(address string) peerv1connect.SchedulerServiceClient
	Log     *zap.Logger
	Metrics *observe.Metrics
}

// Client implements route.Placer against the schedulers of the fleet.
type Client struct {
	cfg ClientConfig

	mu   sync.Mutex
	held map[attemptKey]*heldLease
}

// heldLease is a grant this instance uses, with the scheduler that gave it.
type heldLease struct {
	grant        *route.Grant
	organisation string
	granter      request.Holder
	lost         chan struct{}
}

// NewClient returns a client that holds no grants. Run renews them.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, held: make(map[attemptKey]*heldLease)}
}

// Reserve implements route.Placer. A scheduler that cannot be reached is looked
// up again until the deadline: the fleet moves it within seconds.
func (c *Client) Reserve(ctx context.Context, req *request.Request, attempt uint32, avoid []string) (*route.Grant, error) {
	for {
		budget := time.Until(req.Deadline)
		if budget <= 0 {
			return nil, verdict.Refuse(verdict.ReasonQueueTimeout, time.Second, "no place before the deadline")
		}
		home, ok := c.cfg.Home(req.Service)
		if ok {
			grant, err := c.ask(ctx, home, req, attempt, avoid, budget)
			if err == nil || !unavailable(err) {
				return grant, err
			}
			c.cfg.Log.Info("scheduler unreachable", zap.String("request", req.ID), zap.String("instance", home.Instance), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil, verdict.Refuse(verdict.ReasonCancelled, 0, "cancelled while waiting for a place")
		case <-time.After(min(relocateWait, budget)):
		}
	}
}

func (c *Client) ask(ctx context.Context, home request.Holder, req *request.Request, attempt uint32, avoid []string, budget time.Duration) (*route.Grant, error) {
	// The margin lets the scheduler's own refusal, with its true retry time,
	// arrive before this side gives up.
	ctx, stop := context.WithTimeout(ctx, budget+callTimeout)
	defer stop()
	resp, err := c.cfg.Dial(home.Address).Reserve(ctx, connect.NewRequest(&peerv1.ReserveRequest{
		Holder: wireHolder(c.cfg.Self()), Service: req.Service, Organisation: req.Organisation, RequestId: req.ID,
		Class: uint32(req.Class), PromptTokens: uint32(req.PromptTokens), MaxTokens: uint32(req.MaxTokens),
		PrefixHashes: req.PrefixHashes, BudgetMs: uint32(budget.Milliseconds()), Fingerprint: req.Fingerprint,
		Attempt: attempt, Avoid: avoid, KeyId: req.KeyID, ConfigVersion: req.ConfigVersion, DataCentre: c.cfg.DataCentre,
	}))
	if err != nil {
		return nil, reserveError(ctx, err)
	}
	if resp.Msg.Refusal != nil {
		return nil, refusalOf(resp.Msg.Refusal)
	}
	return c.hold(home, req, attempt, resp.Msg.Grant), nil
}

// reserveError turns a failed call into a verdict. Nothing has been sent to an
// upstream, so it is always "not run".
func reserveError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return verdict.Refuse(verdict.ReasonCancelled, 0, "cancelled while waiting for a place")
	}
	v := verdict.Refuse(verdict.ReasonSchedulerUnavailable, time.Second, "the service's scheduler cannot be reached")
	v.Cause = err
	return v
}

func unavailable(err error) bool {
	return verdict.From(err).Reason == verdict.ReasonSchedulerUnavailable
}

func (c *Client) hold(home request.Holder, req *request.Request, attempt uint32, g *peerv1.Grant) *route.Grant {
	lost := make(chan struct{})
	grant := &route.Grant{
		ID: g.Id, Service: req.Service, RequestID: req.ID, Attempt: attempt, Prefill: g.Prefill, Decode: g.Decode,
		Lost: lost, TransferAfter: time.Now().Add(time.Duration(g.TransferAfterMs) * time.Millisecond),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[attemptKey{req.ID, attempt}] = &heldLease{grant, req.Organisation, home, lost}
	return grant
}

// PrefillDone implements route.Placer.
func (c *Client) PrefillDone(grant *route.Grant) {
	key := attemptKey{grant.RequestID, grant.Attempt}
	c.mu.Lock()
	held := c.held[key]
	c.mu.Unlock()
	if held == nil {
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), callTimeout)
		defer stop()
		_, err := c.cfg.Dial(held.granter.Address).PrefillDone(ctx, connect.NewRequest(&peerv1.PrefillDoneRequest{
			Service: grant.Service, RequestId: grant.RequestID, Attempt: grant.Attempt,
		}))
		if err != nil {
			c.cfg.Log.Debug("prefill end not told", zap.String("request", grant.RequestID), zap.Error(err))
		}
	}()
}

// Release implements route.Placer. The scheduler in charge and the one that gave
// the grant are both told; a release that reaches neither is covered by the lease.
func (c *Client) Release(grant *route.Grant, outcome route.Outcome) {
	key := attemptKey{grant.RequestID, grant.Attempt}
	c.mu.Lock()
	held := c.held[key]
	delete(c.held, key)
	c.mu.Unlock()
	if held == nil {
		return
	}
	for _, address := range c.schedulersOf(held) {
		go c.sendRelease(address, grant, outcome)
	}
}

func (c *Client) sendRelease(address string, grant *route.Grant, outcome route.Outcome) {
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	_, err := c.cfg.Dial(address).Release(ctx, connect.NewRequest(&peerv1.ReleaseRequest{
		Holder: wireHolder(c.cfg.Self()), Service: grant.Service, GrantId: grant.ID,
		RequestId: grant.RequestID, Attempt: grant.Attempt, Outcome: wireOutcome(outcome),
	}))
	if err != nil {
		c.cfg.Log.Info("release not sent", zap.String("request", grant.RequestID), zap.Error(err))
	}
}

// schedulersOf returns the addresses of the granting scheduler and of the one in
// charge now, which differ after a takeover.
func (c *Client) schedulersOf(held *heldLease) []string {
	addresses := []string{held.granter.Address}
	if home, ok := c.cfg.Home(held.grant.Service); ok && home.Address != held.granter.Address {
		addresses = append(addresses, home.Address)
	}
	return addresses
}

// Held returns the number of grants this instance uses.
func (c *Client) Held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}
