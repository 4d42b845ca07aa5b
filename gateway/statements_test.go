package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/upstream"
)

// Bound on the requests at an upstream that names a limit: in any limitWindow, limitOver times what the
// limit allows, and limitSlack.
const (
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
)

func allowedByLimit(perSecond float64) int {
	return int(limitOver*perSecond*limitWindow.Seconds()) + limitSlack
}

// maxInWindow returns the largest number of times within limitWindow.
func maxInWindow(times []time.Duration) int {
	most, first := 0, 0
	for last, at := range times {
		for at-times[first] > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against instances that each send an upstream as many requests as it takes from all together.
func TestFleetKeepsToALimit(t *testing.T) {
	for _, n := range []int{1, 9, 18} {
		for _, perSecond := range []float64{0, 0.3, 4.9, 40} {
			f := newQuotaFleet(n)
			entry := upstream.Entry{ID: "u", Started: 7}
			var limits []*upstreamStatements
			for _, m := range f.members {
				l := newUpstreamStatements(func() time.Duration { return f.now }, m.Quotas, upstream.NewDirectory(), zap.NewNop())
				l.recordLimit(entry, upstream.RequestLimit{Named: true, PerSecond: perSecond})
				limits = append(limits, l)
			}
			rng := rand.New(rand.NewPCG(uint64(n), 1))
			var sent []time.Duration
			const duration = 12 * time.Second
			for start := f.now; f.now < start+duration; f.run(100 * time.Millisecond) {
				for range 10 {
					if _, ok := limits[rng.IntN(n)].take(t.Context(), entry); ok {
						sent = append(sent, f.now)
					}
				}
			}
			most := maxInWindow(sent)
			assert.Assert(t, most <= allowedByLimit(perSecond), "%d instances: %d requests in %v at a limit of %v a second", n, most, limitWindow, perSecond)
			assert.Assert(t, float64(len(sent)) >= 0.7*perSecond*duration.Seconds(), "%d instances: only %d requests at a limit of %v a second", n, len(sent), perSecond)
			assert.Assert(t, len(sent) > 0)
		}
	}
}

// Guards against a limit that is known only to the instance to which it was named, or that other
// instances keep when it has ended.
func TestLimitsReachOtherInstances(t *testing.T) {
	f := newQuotaFleet(2)
	clock := func() time.Duration { return f.now }
	a, b := newUpstreamStatements(clock, f.members[0].Quotas, upstream.NewDirectory(), zap.NewNop()), newUpstreamStatements(clock, f.members[1].Quotas, upstream.NewDirectory(), zap.NewNop())
	entry := upstream.Entry{ID: "u", Started: 7}
	tell := func(from, to *upstreamStatements) {
		r := &fleet.Report{}
		from.fillReport(f.now, r)
		f.now += 50 * time.Millisecond
		to.applyReport(f.now, r)
	}
	isLimited := func(l *upstreamStatements) bool {
		_, limited := l.table.Limit(runKey(entry))
		return limited
	}
	a.recordLimit(entry, upstream.RequestLimit{Named: true, PerSecond: 0.5})
	tell(a, b)
	assert.Assert(t, isLimited(b))
	f.now += time.Second
	b.recordLimit(entry, upstream.RequestLimit{})
	tell(b, a)
	assert.Assert(t, !isLimited(a) && !isLimited(b))
	// Another run of the upstream has said nothing.
	a.recordLimit(entry, upstream.RequestLimit{Named: true})
	next := entry
	next.Started++
	_, ok := a.take(t.Context(), next)
	assert.Assert(t, ok)
	f.now += time.Second
	a.sweep()
	assert.Assert(t, !isLimited(a), "the upstream is gone")
}

// countSends returns the number of sends to an upstream.
func (f *fakeUpstreams) countSends(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, sent := range f.sends {
		if sent == id {
			n++
		}
	}
	return n
}

// nameLimit lets an upstream name a limit.
func (gw *testGateway) nameLimit(t *testing.T, id string, perSecond float64) {
	t.Helper()
	entry, ok := gw.state.Directory.Current(id)
	assert.Assert(t, ok)
	gw.record(entry, upstream.Statement{Limit: &upstream.RequestLimit{Named: true, PerSecond: perSecond}})
}

func answerOK(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
	return newAnswer(http.StatusOK, "ok")
}

// Guards against requests beyond an upstream's limit that are refused although another one has room.
func TestRestOfALimitGoesElsewhere(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = answerOK
	gw.nameLimit(t, "plain 0", 0.5)
	for range 40 {
		rec, _ := gw.request("/book/1", nil)
		assert.Equal(t, rec.Code, http.StatusOK)
	}
	assert.Assert(t, gw.countSends("plain 0") <= allowedByLimit(0.5), "%d requests", gw.countSends("plain 0"))
}

// Guards against requests that wait, or that come back too early, if no upstream takes them.
func TestRestOfAllLimitsIsRefused(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = answerOK
	gw.nameLimit(t, "plain 0", 0)
	gw.nameLimit(t, "plain 1", 0)
	refused := 0
	for range 40 {
		rec, _ := gw.request("/book/1", nil)
		if rec.Code == http.StatusOK {
			continue
		}
		refused++
		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(rec.Body.String(), "upstream_limited") && strings.Contains(rec.Body.String(), "not_run"), rec.Body.String())
		after, err := strconv.ParseFloat(rec.Header().Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 0)
	}
	assert.Assert(t, refused >= 40-2*limitSlack, "%d requests refused", refused)
}

// Guards against repeated sends beyond a limit.
func TestRepeatedSendKeepsToALimit(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = func(_ context.Context, to upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
		if to.ID == "plain 0" {
			return newAnswer(http.StatusInternalServerError, "failed")
		}
		return newAnswer(http.StatusOK, "ok")
	}
	gw.nameLimit(t, "plain 1", 0)
	for range 20 {
		rec, _ := gw.request("/read/1", nil)
		assert.Assert(t, rec.Code == http.StatusInternalServerError || rec.Code == http.StatusOK, "status %d", rec.Code)
	}
	assert.Assert(t, gw.countSends("plain 1") <= limitSlack, "%d requests", gw.countSends("plain 1"))
}

// Guards against prompts and streams beyond a limit.
func TestModelRequestsKeepToLimits(t *testing.T) {
	gw := newTestGateway(t)
	gw.run = answerOK
	prefills := make(map[string]int)
	gw.prefill = func(to upstream.Entry) (string, error) {
		gw.mu.Lock()
		defer gw.mu.Unlock()
		prefills[to.ID]++
		return "handle", nil
	}
	gw.nameLimit(t, "prefill 2", 0)
	gw.nameLimit(t, "decode 4", 0)
	for i := range 12 {
		rec, _ := gw.request("/draft/1", map[string]string{"Tokens": "50 50", "Id": fmt.Sprint(i)})
		assert.Equal(t, rec.Code, http.StatusOK)
	}
	assert.Assert(t, prefills["prefill 2"] <= limitSlack, "%d prompts", prefills["prefill 2"])
	assert.Assert(t, gw.countSends("decode 4") <= limitSlack, "%d requests", gw.countSends("decode 4"))
	gw.nameLimit(t, "decode 5", 0)
	before := gw.countSends("decode 5")
	refused := 0
	for i := range 12 {
		rec, _ := gw.request("/draft/1", map[string]string{"Tokens": "50 50", "Id": fmt.Sprint("b", i)})
		if rec.Code == http.StatusServiceUnavailable && strings.Contains(rec.Body.String(), "upstream_limited") {
			refused++
		}
	}
	assert.Assert(t, gw.countSends("decode 5")-before <= limitSlack)
	assert.Assert(t, refused > 0)
}
