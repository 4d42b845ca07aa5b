package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/waiting"
	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Figures of model requests.
const (
	// prefillDepth is the prompt tokens that may wait at a prefill engine, all
	// instances together: at 55 tokens a millisecond some 600 ms, after which the
	// first event would be late.
	prefillDepth = 24_000
	// prefillTries is how many prefill engines are asked, as reading a prompt runs
	// nothing.
	prefillTries = 2
	// growEvents is by how many events the claim of a request grows that runs over its
	// estimate: about half a second of its run.
	growEvents = 10
	// reservedOutput is the tokens of output that are reserved at the engine besides
	// the prompt. What is reserved there nobody else can use, so that it covers the
	// start only; that the rest fits is what claims are for.
	reservedOutput = 720
	// reservePatience bounds one reservation, which takes a round trip.
	reservePatience = 250 * time.Millisecond
	// reservationTime is how long an engine keeps memory set aside: the longest
	// prefill and its transfer.
	reservationTime = 1500 * time.Millisecond
	// fullRetry is when a caller is told to come back after engines had no room.
	fullRetry = 1500 * time.Millisecond
	// cleanPatience bounds the calls that give memory back.
	cleanPatience = 500 * time.Millisecond
)

// modelRun is a model request on its way.
type modelRun struct {
	gateway  *Gateway
	admitted *admitted
	desk     *desk
	// tokens is the engine memory that the request claims, output the part of it that
	// is for the answer.
	tokens, output int
	sent           int
	// ran is the strongest verdict of all sends so far.
	ran verdict.Ran
	// except are decode engines that are not asked again, full those that have just refused
	// to set memory aside.
	except, full map[string]bool
}

// serveModel has the prompt read at a prefill engine and the answer generated at a
// decode engine.
func (g *Gateway) serveModel(ctx context.Context, w http.ResponseWriter, a *admitted) *verdict.Verdict {
	run := &modelRun{gateway: g, admitted: a, desk: g.desks.get(a.service), except: make(map[string]bool), full: make(map[string]bool)}
	run.output = run.desk.estimate(a.call)
	run.tokens = a.call.PromptTokens + run.output
	out := &stream{gateway: g, admitted: a, w: w, lastID: a.call.LastEventID}
	defer out.release()
	for {
		before := run.sent
		v := run.attempt(ctx, out)
		if v == nil {
			g.ended(a, out.status, nil)
			return nil
		}
		run.ran = max(run.ran, v.Ran)
		if run.sent > before && run.mayGoOn(ctx, out, v) {
			g.Metrics.Retried(a.service.Name, v.Reason)
			g.log.Info("retried", zap.String("request", a.call.ID), zap.String("reason", string(v.Reason)),
				zap.Int("sent", run.sent), zap.String("after_event", out.lastID))
			continue
		}
		if out.started {
			g.ended(a, out.status, v)
			panic(http.ErrAbortHandler)
		}
		v.Ran = max(v.Ran, run.ran)
		return v
	}
}

// mayGoOn decides, after a send that failed, whether the request is sent to a further decode engine.
func (r *modelRun) mayGoOn(ctx context.Context, out *stream, v *verdict.Verdict) bool {
	route := r.admitted.route
	if ctx.Err() != nil || r.sent >= route.Attempts() {
		return false
	}
	if v.Ran != verdict.NotRun && !route.MayRepeat() {
		return false
	}
	if out.started && !out.resumable() {
		return false
	}
	return r.gateway.budget.repeat(r.admitted.service.Name)
}

// attempt places the request, has its prompt read and its answer generated.
func (r *modelRun) attempt(ctx context.Context, out *stream) *verdict.Verdict {
	g := r.gateway
	r.desk.sync()
	place, v := r.place(ctx)
	if v != nil {
		return v
	}
	placed := time.Now()
	waited := placed.Sub(r.admitted.call.Arrived)
	g.Metrics.Took("placement", r.admitted.service.Name, waited)
	g.log.Info("placed", zap.String("request", r.admitted.call.ID), zap.String("upstream", place.entry.ID), zap.Int("tokens", r.tokens),
		zap.Duration("waited", waited), zap.Float64("pool_free", r.desk.decode.free()), zap.Uint64("list", g.state.Directory.Version()))
	defer func() { r.desk.leave(place.entry, r.tokens) }()
	out.progress = func(events int) { r.grow(place.entry, events) }
	source, from, v := r.prefill(ctx)
	if v != nil {
		r.drop(place)
		return v
	}
	if v := r.ready(place); v != nil {
		r.drop(place)
		r.free(from, source)
		return v
	}
	answer, v := r.send(ctx, place, source, from, out.lastID)
	if v != nil {
		return v
	}
	begun := time.Now()
	v = out.copy(answer)
	g.Metrics.Took("decode", r.admitted.service.Name, time.Since(begun))
	if v == nil && answer.Status == http.StatusOK {
		g.crashes.succeeded(r.admitted.call)
		r.desk.finished(r.admitted.call, out.events*r.desk.shape().EventTokens, r.tokens, time.Since(placed))
	}
	if v != nil && ctx.Err() == nil {
		r.except[place.entry.ID] = true
		g.blame(ctx, r.admitted.call, place.entry, v)
	}
	return v
}

// send has the answer generated at a decode engine.
func (r *modelRun) send(ctx context.Context, place place, source KVSource, from upstream.Entry, after string) (*Answer, *verdict.Verdict) {
	g := r.gateway
	r.sent++
	r.admitted.upstream = place.entry.ID
	begun := time.Now()
	answer, err := g.Upstreams.Run(ctx, place.entry, r.admitted.call, RunOptions{
		Source: source, Reservation: place.reservation, LastEventID: after, Priority: r.admitted.call.prio,
	})
	if err == nil {
		g.Metrics.Took("transfer", r.admitted.service.Name, time.Since(begun))
		g.suspects.succeed(place.entry)
		return answer, nil
	}
	v := verdict.From(err)
	r.except[place.entry.ID] = true
	g.blame(ctx, r.admitted.call, place.entry, v)
	if v.Ran == verdict.NotRun {
		r.refusedBy(place)
		r.free(from, source)
		if v.RetryAfter == 0 {
			v.RetryAfter = fullRetry
		}
	}
	return nil, v
}

// refusedBy gives up a place at an engine that had reserved it and refuses nevertheless.
func (r *modelRun) refusedBy(place place) {
	r.drop(place)
	r.desk.refusedBy(r.desk.decode, place.entry)
}

// grow raises the claim of a request whose answer is longer than was estimated, by
// some events at a time.
func (r *modelRun) grow(entry upstream.Entry, events int) {
	per := r.desk.shape().EventTokens
	if per <= 0 || (events+1)*per <= r.output || r.output >= r.admitted.call.MaxOutput {
		return
	}
	by := min(growEvents*per, r.admitted.call.MaxOutput-r.output)
	r.output += by
	r.tokens += by
	r.desk.decode.resize(entry.ID, by)
	r.gateway.changed()
}

// ready checks, right before the request is sent, that what allowed it still holds.
func (r *modelRun) ready(p place) *verdict.Verdict {
	if v := r.gateway.mayRun(r.admitted); v != nil {
		return v
	}
	if _, ok := r.gateway.state.Directory.Current(p.entry.ID); !ok {
		return verdict.Refuse(verdict.ReasonNoUpstream, plainRetry, "the decode engine is leaving")
	}
	return nil
}

// place is a claim at a decode engine, with the engine's own reservation.
type place struct {
	entry       upstream.Entry
	reservation string
}

// place waits for room at a decode engine and reserves it there. The claims of all
// instances are known here some milliseconds late; the engine's reservation is
// exact, and a request whose prompt is read without one may find the engine full.
func (r *modelRun) place(ctx context.Context) (place, *verdict.Verdict) {
	c := r.admitted.call
	item := &waiting.Item{
		Organisation: c.Organisation, Priority: c.prio, Tokens: r.tokens, Output: r.output, Arrived: c.Arrived,
		Objective: time.Duration(r.admitted.route.ObjectiveMS) * time.Millisecond, Deadline: c.Deadline, Point: hashPoint(c.ID),
	}
	for {
		entry, v := r.desk.place(ctx, want{item: item, except: r.except, full: r.full})
		if v != nil {
			return place{}, v
		}
		clear(r.full)
		if r.desk.shape().ReservationMS <= 0 {
			return place{entry: entry}, nil
		}
		reservation, v := r.reserve(ctx, entry)
		if v == nil {
			return place{entry, reservation}, nil
		}
		r.desk.shut(entry.ID)
		r.desk.leave(entry, r.tokens)
		if ctx.Err() != nil {
			return place{}, gone(ctx)
		}
		if v.Reason != verdict.ReasonUpstreamRefused {
			r.gateway.blame(ctx, c, entry, v)
		} else {
			r.full[entry.ID] = true
		}
	}
}

// reserve sets memory aside at a decode engine.
func (r *modelRun) reserve(ctx context.Context, entry upstream.Entry) (string, *verdict.Verdict) {
	ctx, cancel := context.WithTimeout(ctx, reservePatience)
	defer cancel()
	ttl := min(reservationTime, time.Duration(r.desk.shape().ReservationMS)*time.Millisecond)
	reservation, err := r.gateway.Upstreams.Reserve(ctx, entry, r.admitted.call.PromptTokens+min(reservedOutput, r.output), ttl)
	return reservation, verdict.From(err)
}

// drop gives reserved memory back that will not be used.
func (r *modelRun) drop(p place) {
	if p.reservation == "" {
		return
	}
	r.clean(p.entry, "reservation", func(ctx context.Context) error {
		return r.gateway.Upstreams.DropReservation(ctx, p.entry, p.reservation)
	})
}

// free drops a KV cache that will not be fetched.
func (r *modelRun) free(from upstream.Entry, source KVSource) {
	if source.Handle == "" {
		return
	}
	r.clean(from, "handle", func(ctx context.Context) error {
		return r.gateway.Upstreams.FreeHandle(ctx, from, source.Handle)
	})
}

// clean makes a call beside the request that gives memory back; if it fails, the
// engine frees the memory itself in some seconds.
func (r *modelRun) clean(entry upstream.Entry, what string, call func(context.Context) error) {
	log, id := r.gateway.log, r.admitted.call.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cleanPatience)
		defer cancel()
		if err := call(ctx); err != nil {
			log.Debug("memory not given back", zap.String("request", id), zap.String("upstream", entry.ID), zap.String("what", what), zap.Error(err))
		}
	}()
}

// prefill has the prompt read. The source is empty where no prefill engine could; the
// request has not run then, as reading a prompt runs nothing.
func (r *modelRun) prefill(ctx context.Context) (KVSource, upstream.Entry, *verdict.Verdict) {
	g, c := r.gateway, r.admitted.call
	tried := make(map[string]bool)
	var last *verdict.Verdict
	for try := range prefillTries {
		if ctx.Err() != nil {
			return KVSource{}, upstream.Entry{}, gone(ctx)
		}
		if try > 0 && !g.budget.repeat(r.admitted.service.Name) {
			break
		}
		if v := g.mayRun(r.admitted); v != nil {
			return KVSource{}, upstream.Entry{}, v
		}
		entry, ok := r.desk.claimPrefill(ctx, r.admitted.call.PromptTokens, tried)
		if !ok {
			break
		}
		tried[entry.ID] = true
		handle, v := r.prefillAt(ctx, entry)
		if v == nil {
			return KVSource{Address: entry.Address, Handle: handle}, entry, nil
		}
		g.blame(ctx, c, entry, v)
		if v.Reason == verdict.ReasonUpstreamRefused {
			g.suspects.fail(entry)
			r.desk.refusedBy(r.desk.prefill, entry)
		}
		last = v
	}
	if ctx.Err() != nil {
		return KVSource{}, upstream.Entry{}, gone(ctx)
	}
	if last != nil && last.Reason != verdict.ReasonUpstreamUnreachable {
		// What a prefill engine refused has arrived there; the decode engine is the second.
		g.budget.count(r.admitted.service.Name)
	}
	// A decode engine reads the prompt itself, at half the speed and between the tokens
	// of others, which is better than no answer.
	g.log.Info("prompt left to the decode engine", zap.String("request", c.ID), zap.Int("tried", len(tried)), zap.NamedError("last", last.OrNil()))
	return KVSource{}, upstream.Entry{}, nil
}

func (r *modelRun) prefillAt(ctx context.Context, entry upstream.Entry) (string, *verdict.Verdict) {
	tokens := r.admitted.call.PromptTokens
	alone := r.desk.prefill.requests(entry.ID) == 1
	r.gateway.changed()
	defer func() {
		r.desk.prefill.release(entry.ID, tokens)
		r.desk.tell(r.desk.prefill, entry.ID)
	}()
	ctx, cancel := context.WithTimeout(ctx, r.desk.prefillPatience(tokens))
	defer cancel()
	begun := time.Now()
	handle, err := r.gateway.Upstreams.Prefill(ctx, entry, r.admitted.call)
	if err != nil {
		return "", verdict.From(err)
	}
	r.desk.prefilled(tokens, time.Since(begun), alone)
	r.gateway.Metrics.Took("prefill", r.admitted.service.Name, time.Since(begun))
	r.gateway.suspects.succeed(entry)
	return handle, nil
}
