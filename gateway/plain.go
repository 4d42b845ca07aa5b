package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/room"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Figures of plain calls.
const (
	// plainDepth is how many requests are placed at a plain upstream for each of its
	// slots, those at work included; more would wait there for long while others may
	// have room.
	plainDepth = 4
	// plainRetry is when a caller is told to come back after a full service, on average.
	plainRetry = 400 * time.Millisecond
	// plainSpread is the part of it by which the times of two callers lie apart at most, half to
	// each side.
	plainSpread = 1.0
	// maxUnsent is how many upstreams that cannot be reached are passed over before a
	// request is refused. Nothing was sent to them.
	maxUnsent = 4
	// slowObjectives is after how many objectives an answer counts as lost.
	slowObjectives = 4
	// keptAnswer is the most bytes of an answer that are read before it is handed on.
	// An answer that ends early within them can still be replaced by an honest
	// failure, or asked for again.
	keptAnswer = 256 << 10
)

// plainRooms are the pools of plain services.
type plainRooms struct {
	mu    sync.Mutex
	pools map[string]*pool
}

func newPlainRooms() *plainRooms { return &plainRooms{pools: make(map[string]*pool)} }

func (p *plainRooms) get(service string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.pools[service]
	if !known {
		s = newPool()
		p.pools[service] = s
	}
	return s
}

func (p *plainRooms) all() []*pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*pool, 0, len(p.pools))
	for _, s := range p.pools {
		out = append(out, s)
	}
	return out
}

func (p *plainRooms) fill(loads map[fleet.Hash]fleet.Load) {
	for _, s := range p.all() {
		s.fill(loads)
	}
}

func (p *plainRooms) fillAll(but string, loads map[fleet.Hash]fleet.Load) {
	for _, s := range p.all() {
		s.fillAll(but, loads)
	}
}

func (p *plainRooms) take(r *fleet.Report) {
	now := boottime.Now()
	for _, s := range p.all() {
		s.take(now, r)
	}
}

// servePlain runs a request at one upstream, or at further ones where that is
// allowed, and hands the answer on.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, a *admitted) *verdict.Verdict {
	run := &plainRun{gateway: g, admitted: a, pool: g.plain.get(a.service.Name), tried: make(map[string]bool)}
	answer, v := run.answer(ctx)
	if v != nil {
		if v.Ran == verdict.NotRun && v.Reason.Retryable() && v.RetryAfter == 0 {
			v.RetryAfter = plainReturn(a.call.ID)
		}
		return v
	}
	g.deliver(w, a, answer)
	return nil
}

// plainReturn is when the caller of a refused request is told to come back. The times are spread,
// since upstreams that are full refuse many at once, which would return as one.
func plainReturn(id string) time.Duration {
	part := float64(hashPoint(id)) / math.MaxUint64
	return time.Duration((1 + plainSpread*(part-0.5)) * float64(plainRetry))
}

// plainRun is a plain request on its way.
type plainRun struct {
	gateway  *Gateway
	admitted *admitted
	pool     *pool
	// tried upstreams are not asked again.
	tried  map[string]bool
	sent   int
	unsent int
	// ran is the strongest verdict of all sends so far.
	ran verdict.Ran
	// prepaid tells that the next send was taken off the retry budget already.
	prepaid bool
	// last is an upstream's failure that is handed on when no better answer comes.
	last *keptResponse
}

// keptResponse is an answer that was read whole.
type keptResponse struct {
	status int
	header http.Header
	body   []byte
	// rest follows the body where the answer is larger than what is kept.
	rest io.ReadCloser
	// length is the length told by the upstream, or -1.
	length int64
}

// answer sends the request until there is an answer to hand on.
func (r *plainRun) answer(ctx context.Context) (*keptResponse, *verdict.Verdict) {
	for {
		response, v := r.attempt(ctx)
		if v == nil && !r.worthRepeating(response) {
			return response, nil
		}
		if v == nil {
			r.last = response
		}
		again := r.mayRepeat(ctx, v)
		if again {
			continue
		}
		if r.last != nil {
			return r.last, nil
		}
		v.Ran = max(v.Ran, r.ran)
		return nil, v
	}
}

// worthRepeating reports whether an upstream's answer is a failure that another
// upstream may not have.
func (r *plainRun) worthRepeating(response *keptResponse) bool {
	return response.status >= http.StatusInternalServerError && r.admitted.route.MayRepeat()
}

// mayRepeat decides whether the request is sent once more. v is nil where an
// upstream answered with a failure.
func (r *plainRun) mayRepeat(ctx context.Context, v *verdict.Verdict) bool {
	if ctx.Err() != nil {
		return false
	}
	if v != nil && v.Reason == verdict.ReasonUpstreamUnreachable && v.Ran == verdict.NotRun {
		r.unsent++
		return r.unsent < maxUnsent
	}
	route := r.admitted.route
	if r.sent == 0 || r.sent >= route.Attempts() {
		return false
	}
	notRun := v != nil && v.Ran == verdict.NotRun
	if !notRun && !route.MayRepeat() {
		return false
	}
	if !r.prepaid && !r.gateway.budget.repeat(r.admitted.service.Name) {
		return false
	}
	r.prepaid = false
	reason := verdict.ReasonUpstreamRefused
	if v != nil {
		reason = v.Reason
	}
	r.gateway.Metrics.Retried(r.admitted.service.Name, reason)
	r.gateway.log.Info("retried", zap.String("request", r.admitted.call.ID), zap.String("reason", string(reason)), zap.Int("sent", r.sent))
	return true
}

// plainShape is the size of a plain upstream.
func (g *Gateway) plainShape(e upstream.Entry) room.Engine {
	return room.Engine{ID: e.ID, Slots: max(e.Slots, 1) * plainDepth, SameDataCentre: e.DataCentre == g.DataCentre}
}

// attempt sends the request to one upstream.
func (r *plainRun) attempt(ctx context.Context) (*keptResponse, *verdict.Verdict) {
	g, a := r.gateway, r.admitted
	r.pool.sync(g.state.Directory, a.service.Name, upstream.Plain, shaped{near: g.DataCentre}, g.plainShape)
	r.pool.spread(g.reportsLate())
	entry, v := r.place()
	if v != nil {
		return nil, v
	}
	g.changed()
	defer r.pool.release(entry.ID, 0)
	r.tried[entry.ID] = true
	a.upstream = entry.ID
	if v := g.mayRun(a); v != nil {
		return nil, v
	}
	r.sent++
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	hedge := time.AfterFunc(r.patience(time.Now()), func() {
		if r.moreAllowed() && g.budget.repeat(a.service.Name) {
			r.prepaid = true
			giveUp(errSlow)
		}
	})
	defer hedge.Stop()
	answer, err := g.Upstreams.Run(ctx, entry, a.call, RunOptions{Priority: a.call.prio})
	if err != nil {
		v := verdict.From(err)
		if context.Cause(ctx) == errSlow {
			v.Reason = verdict.ReasonTimeout
		}
		r.failed(ctx, entry, v)
		return nil, v
	}
	response, err := keep(answer)
	if err != nil {
		v := verdict.Fail(verdict.MayHaveRun, verdict.ReasonTruncated, err, "the upstream's answer ended early")
		r.failed(ctx, entry, v)
		return nil, v
	}
	g.suspects.succeed(entry)
	g.crashes.succeeded(a.call)
	return response, nil
}

// errSlow ends an attempt of a request that is sent to another upstream instead.
var errSlow = errors.New("no answer in the time that leaves another upstream one")

// patience is how long an attempt may go on before another upstream is asked. An upstream that has
// run the request and lost the answer, or that hangs, would otherwise hold it until its deadline. In
// a burst all answers are slow, and second sends within the objective would double the load when
// there is least room.
func (r *plainRun) patience(now time.Time) time.Duration {
	route := r.admitted.route
	if !route.MayRepeat() || route.ObjectiveMS == 0 {
		return defaultPatience
	}
	slow := slowObjectives * time.Duration(route.ObjectiveMS) * time.Millisecond
	return min(slow, r.admitted.call.Deadline.Sub(now)/2)
}

// moreAllowed reports whether the route lets the request be sent once more.
func (r *plainRun) moreAllowed() bool {
	return r.admitted.route.MayRepeat() && r.sent < r.admitted.route.Attempts()
}

// failed notes a failed attempt.
func (r *plainRun) failed(ctx context.Context, entry upstream.Entry, v *verdict.Verdict) {
	if v.Reason == verdict.ReasonUpstreamUnreachable && v.Ran == verdict.NotRun {
		r.sent--
	}
	r.ran = max(r.ran, v.Ran)
	r.gateway.blame(ctx, r.admitted.call, entry, v)
}

// blame notes an upstream's part in a failed attempt.
func (g *Gateway) blame(ctx context.Context, c *Call, entry upstream.Entry, v *verdict.Verdict) {
	if ctx.Err() != nil && v.Reason != verdict.ReasonTimeout {
		return
	}
	if v.Ran != verdict.NotRun && (v.Reason == verdict.ReasonUpstreamCrashed || v.Reason == verdict.ReasonTruncated) {
		g.crashes.broke(c, entry, g.changed)
	}
	switch v.Reason {
	case verdict.ReasonUpstreamUnreachable:
		g.suspects.unreached(entry, v.Cause)
	case verdict.ReasonUpstreamCrashed, verdict.ReasonTimeout:
		g.suspects.fail(entry)
	case verdict.ReasonWrongUpstream:
		g.state.Directory.MarkGone(entry)
	}
	g.log.Info("attempt failed", zap.String("request", c.ID), zap.String("upstream", entry.ID), zap.String("address", entry.Address),
		zap.Stringer("role", entry.Role), zap.String("reason", string(v.Reason)), zap.Stringer("ran", v.Ran), zap.Error(v.Cause))
}

// place claims a place at an upstream.
func (r *plainRun) place() (upstream.Entry, *verdict.Verdict) {
	entries := r.gateway.state.Directory.Service(r.admitted.service.Name)
	except := r.gateway.suspects.among(entries)
	if except == nil {
		except = make(map[string]bool)
	}
	for id := range r.tried {
		except[id] = true
	}
	if entry, ok := r.pool.claim(room.Demand{}, except); ok {
		return entry, nil
	}
	// Better an upstream under suspicion than none.
	if entry, ok := r.pool.claim(room.Demand{}, r.tried); ok {
		return entry, nil
	}
	return upstream.Entry{}, verdict.Refuse(verdict.ReasonNoUpstream, 0, "no upstream of %s has room", r.admitted.service.Name)
}

// keep reads an answer as far as it is kept.
func keep(answer *Answer) (*keptResponse, error) {
	response := &keptResponse{status: answer.Status, header: answer.Header, length: answer.Length}
	var buffer bytes.Buffer
	n, err := io.Copy(&buffer, io.LimitReader(answer.Body, keptAnswer))
	if err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	response.body = buffer.Bytes()
	if n == keptAnswer {
		response.rest = answer.Body
		return response, nil
	}
	// The body's end gives its connection back.
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return nil, err
	}
	return response, answer.Body.Close()
}

// deliver hands an answer on.
func (g *Gateway) deliver(w http.ResponseWriter, a *admitted, response *keptResponse) {
	copyHeader(w.Header(), &Answer{Header: response.header})
	if response.rest == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	} else if response.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.length, 10))
	}
	w.WriteHeader(response.status)
	_, err := w.Write(response.body)
	if err == nil && response.rest != nil {
		_, err = io.Copy(w, response.rest)
	}
	if response.rest != nil {
		_ = response.rest.Close()
	}
	g.ended(a, response.status, err)
	if err != nil {
		// An answer that ends early must not look whole.
		panic(http.ErrAbortHandler)
	}
}

// ended tells of a request that an upstream answered.
func (g *Gateway) ended(a *admitted, status int, err error) {
	took := time.Since(a.call.Arrived)
	if err != nil && !errors.Is(err, context.Canceled) {
		g.log.Info("answer broken off", zap.String("request", a.call.ID), zap.Int("status", status), zap.Duration("took", took), zap.Error(err))
		return
	}
	g.Metrics.Took("answer", a.service.Name, took)
	g.Metrics.Answered(a.service.Name, status)
	g.log.Info("answered", zap.String("request", a.call.ID), zap.String("upstream", a.upstream), zap.Int("status", status), zap.Duration("took", took))
}
