package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/upstream"
)

// budgetedRequests is the number of requests of the tests of the retry budget, at a ratio of allowedRatio.
const (
	budgetedRequests = 100
	allowedRatio     = 0.2
)

// arrivalCounter counts what arrives at the fake upstreams.
type arrivalCounter struct{ runs, refusedPrefills, acceptedPrefills atomic.Int64 }

// newBudgetedGateway returns a gateway with a retry budget of allowedRatio and no slack, and the arrivals at its
// upstreams. prefill and run decide on the n-th call of each kind.
func newBudgetedGateway(t *testing.T, prefill func(n int64) error, run func(n int64, o RunOptions) (*Answer, error)) (*testGateway, *arrivalCounter) {
	gw, c := newTestGateway(t), &arrivalCounter{}
	gw.gateway.retryBudgets = newRetryBudgets(RetryBudget{Ratio: allowedRatio, Window: time.Hour, FirstStart: true}, fleetViewOf(1), boottime.Now)
	gw.gateway.sender.budgets = gw.gateway.retryBudgets
	var prefills atomic.Int64
	gw.prefill = func(upstream.Entry) (string, error) {
		if err := prefill(prefills.Add(1)); err != nil {
			c.refusedPrefills.Add(1)
			return "", err
		}
		c.acceptedPrefills.Add(1)
		return "handle", nil
	}
	gw.run = func(_ context.Context, _ upstream.Entry, _ *Call, o RunOptions) (*Answer, error) {
		return run(c.runs.Add(1), o)
	}
	return gw, c
}

// repeated returns the number of arrivals beyond one run and one accepted prefill for each request.
func (c *arrivalCounter) repeated() int64 {
	return c.runs.Load() + c.refusedPrefills.Load() + c.acceptedPrefills.Load() - 2*budgetedRequests
}

func acceptedPrefill(int64) error { return nil }

// Guards against a retry that is charged once and arrives twice, as a prefill and as a run.
func TestPromptsPrefilledAgainAreChargedToTheBudget(t *testing.T) {
	gw, c := newBudgetedGateway(t, acceptedPrefill, func(_ int64, o RunOptions) (*Answer, error) {
		if o.LastEventID == "" {
			return &Answer{Status: http.StatusOK, Body: &truncatedBody{events(1, 3)}, Length: -1, EndStated: true}, nil
		}
		return newAnswer(http.StatusOK, events(4, 6))
	})
	for n := range budgetedRequests {
		gw.request("/resumable/1", map[string]string{"Id": fmt.Sprint(n), "Tokens": tokenCounts})
	}
	assert.Assert(t, c.repeated() > 0)
	assert.Assert(t, float64(c.repeated()) <= allowedRatio*budgetedRequests, "%d arrivals beyond the first of each request", c.repeated())
}

// Guards against prefill engines that refuse every prompt, so that each request arrives twice.
func TestRefusedPrefillsAreChargedToTheBudget(t *testing.T) {
	gw, c := newBudgetedGateway(t, func(int64) error { return refusedError() }, func(int64, RunOptions) (*Answer, error) {
		return newAnswer(http.StatusOK, events(1, 2))
	})
	served := 0
	for n := range budgetedRequests {
		if rec, _ := gw.request("/draft/1", map[string]string{"Id": fmt.Sprint(n), "Tokens": tokenCounts}); rec.Code == http.StatusOK {
			served++
		}
	}
	// No prefill is accepted, so that only the run of each request is not a repeated arrival.
	repeated := c.refusedPrefills.Load() + c.runs.Load() - budgetedRequests
	assert.Assert(t, float64(repeated) <= allowedRatio*budgetedRequests, "%d arrivals beyond the first of each request", repeated)
	assert.Assert(t, served >= 0.9*budgetedRequests, "%d requests were served by decode engines that read the prompts", served)
}

// testBudget is a budget with a clock and a fleet that tests set.
type testBudget struct {
	*retryBudgets
	at   time.Duration
	view FleetView
}

func newTestBudget(limit RetryBudget, instances int) *testBudget {
	b := &testBudget{at: time.Minute}
	b.view = FleetView{Instances: instances, AsOf: b.at}
	b.retryBudgets = newRetryBudgets(limit, func() FleetView { return b.view }, func() time.Duration { return b.at })
	return b
}

// advance lets time pass while the size of the fleet remains known.
func (b *testBudget) advance(d time.Duration) {
	for end := b.at + d; b.at < end; {
		b.at += time.Second
		b.view.AsOf = b.at
		b.sweep()
	}
}

// spend takes as much as the budget allows and returns the number of charges.
func (b *testBudget) spend(service string) int {
	n := 0
	for {
		if _, ok := b.take(service, 1, 1); !ok {
			return n
		}
		n++
	}
}

// Guards against instances whose shares of the slack grow when others end that have used theirs up.
func TestSharesOfEndedInstancesAreNotUsedAgain(t *testing.T) {
	const slack, before, after = 90.0, 9, 1
	budgets := make([]*testBudget, before)
	used := 0
	for i := range budgets {
		budgets[i] = newTestBudget(RetryBudget{Window: 10 * time.Second, Slack: slack, FirstStart: true}, before)
		used += budgets[i].spend("s")
	}
	survivor := budgets[0]
	survivor.view.Instances = after
	survivor.advance(time.Second)
	used += survivor.spend("s")
	assert.Assert(t, used > 0 && float64(used) <= slack, "%d retries from a slack of %v", used, slack)
	survivor.advance(survivor.limit.Window + maxArrivalDelay + fleetListMaxAge + 2*time.Second)
	assert.Equal(t, survivor.spend("s"), int(budgetUseRatio*slack), "the survivor has the whole slack in the end")
}

// Retries are limited in proportion to requests, so that a failing service does not get three times its load.
func TestRetryBudget(t *testing.T) {
	b := newTestBudget(RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 9, FirstStart: true}, 3)
	for range 100 {
		b.countRequest("s")
	}
	assert.Equal(t, b.spend("s"), 18) // 0.8 × (0.2 × 100 requests + 9/3 slack)
	assert.Assert(t, b.spend("other") > 0, "a service's share of the slack")
}

// All instances are killed at once after using up their shares of the slack. With new shares after the restart they
// would send twice the retries that the window allows, while the upstreams are most overloaded.
func TestRestartDoesNotRenewTheRetrySlack(t *testing.T) {
	b := newTestBudget(RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 90}, 3)
	for range 100 {
		b.countRequest("s")
	}
	assert.Equal(t, b.spend("s"), 16) // 0.8 × 0.2 × 100 requests
	b.advance(b.limit.Window + maxArrivalDelay + fleetListMaxAge + time.Second)
	assert.Equal(t, b.spend("s"), 24) // 0.8 × 90/3 slack
}

// Guards against an instance that is cut off and uses its share while others take its place.
func TestSlackIsNotUsedWithoutTheListOfInstances(t *testing.T) {
	b := newTestBudget(RetryBudget{Window: 10 * time.Second, Slack: 90, FirstStart: true}, 9)
	b.advance(time.Second)
	b.at += fleetListMaxAge + time.Second
	assert.Equal(t, b.spend("s"), 0)
	b.advance(time.Second)
	assert.Equal(t, b.spend("s"), 0, "others may have used the share meanwhile")
}

// Guards against charges for sends that did not take place, which would leave callers without retries.
func TestUnsentRetriesAreNotCharged(t *testing.T) {
	gw := newTestGateway(t)
	gw.gateway.retryBudgets = newRetryBudgets(RetryBudget{Window: time.Hour, Slack: 4, FirstStart: true}, fleetViewOf(1), boottime.Now)
	gw.gateway.sender.budgets = gw.gateway.retryBudgets
	gw.run = func(_ context.Context, _ upstream.Entry, c *Call, _ RunOptions) (*Answer, error) {
		if c.sends.runs == 0 {
			return nil, refusedError()
		}
		return nil, unreachableError()
	}
	for n := range 10 {
		gw.request("/read/1", map[string]string{"Id": fmt.Sprint(n)})
	}
	assert.Equal(t, len(gw.gateway.retryBudgets.window("plain", boottime.Now()).charges), 0)
}
