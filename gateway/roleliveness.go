package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/liveness"
	"github.com/cairnworks/cairnworks/upstream"
)

func runOf(e upstream.Entry) liveness.Run { return liveness.Run{ID: e.ID, Started: e.Started} }

func runsOf(entries []upstream.Entry) []liveness.Run {
	out := make([]liveness.Run, len(entries))
	for i, e := range entries {
		out[i] = runOf(e)
	}
	return out
}

// tracker returns what is known of the engines of a service.
func (c *roleController) tracker(service string) *liveness.Tracker {
	t, known := c.liveness[service]
	if !known {
		t = liveness.NewTracker()
		c.liveness[service] = t
	}
	return t
}

// minFailedRequests is the number of requests that an engine must have failed, and none answered, to count as silent.
const minFailedRequests = 3

// silentRole returns the role whose engines are listed and answer nothing, if there is one, and since when they do not.
func (c *roleController) silentRole(ctx context.Context, d *dispatcher, engines map[upstream.Role][]upstream.Entry) (role upstream.Role, since time.Duration, found bool) {
	d.sync() // Reports count for upstreams that the pools contain.
	t := c.tracker(d.service)
	t.Retain(append(runsOf(engines[upstream.Prefill]), runsOf(engines[upstream.Decode])...))
	for _, role := range []upstream.Role{upstream.Decode, upstream.Prefill} {
		listed := engines[role]
		c.recordWork(d, role, listed)
		c.askDue(ctx, d, listed)
		if since, silent := t.SilentSince(boottime.Now(), runsOf(listed)); silent {
			return role, since, true
		}
	}
	return upstream.Plain, 0, false
}

// recordWork records which engines of a role work on requests, and which fail them all.
func (c *roleController) recordWork(d *dispatcher, role upstream.Role, listed []upstream.Entry) {
	t, now := c.tracker(d.service), boottime.Now()
	worked, failing := d.pool(role).signsOfWork()
	unusable := c.gateway.outliers.unusable(listed)
	for _, e := range listed {
		if at, known := worked[e.ID]; known {
			t.Worked(at, runOf(e))
		}
		failed, seen := failing[e.ID]
		switch {
		case unusable[e.ID] && seen:
			// It gets no requests that it could fail.
			t.FailedRequests(failed.first, now, runOf(e))
		case unusable[e.ID]:
			t.FailedRequests(now, now, runOf(e))
		case failed.count >= minFailedRequests:
			t.FailedRequests(failed.first, failed.last, runOf(e))
		}
	}
}

// askDue asks engines of a role until one answers, or all that are due have been asked.
func (c *roleController) askDue(ctx context.Context, d *dispatcher, listed []upstream.Entry) {
	t := c.tracker(d.service)
	first := t.Due(boottime.Now(), runsOf(listed))
	c.ask(ctx, d, listed, first)
	if rest := t.Due(boottime.Now(), runsOf(listed)); len(first) == 1 && len(rest) > 1 {
		c.ask(ctx, d, listed, rest)
	}
}

// ask asks some of the listed engines for their state, all at the same time.
func (c *roleController) ask(ctx context.Context, d *dispatcher, listed []upstream.Entry, due []liveness.Run) {
	if len(due) == 0 {
		return
	}
	entries := make(map[liveness.Run]upstream.Entry, len(listed))
	for _, e := range listed {
		entries[runOf(e)] = e
	}
	type answer struct {
		run liveness.Run
		err error
	}
	asked := boottime.Now()
	call, cancel := context.WithTimeout(ctx, roleCallTimeout)
	defer cancel()
	answers := make(chan answer, len(due))
	for _, run := range due {
		go func() {
			_, err := c.Engines.State(call, entries[run])
			answers <- answer{run, err}
		}()
	}
	for range due {
		a := <-answers
		c.recordAnswer(ctx, d, a.run, asked, a.err)
	}
}

// state returns the state of an engine and records whether it answers.
func (c *roleController) state(ctx context.Context, d *dispatcher, e upstream.Entry) (EngineState, error) {
	asked := boottime.Now()
	state, err := c.Engines.State(ctx, e)
	c.recordAnswer(ctx, d, runOf(e), asked, err)
	return state, err
}

func (c *roleController) recordAnswer(ctx context.Context, d *dispatcher, run liveness.Run, asked time.Duration, err error) {
	t := c.tracker(d.service)
	switch {
	case err == nil:
		t.Answered(boottime.Now(), run)
	case ctx.Err() == nil || context.Cause(ctx) == context.DeadlineExceeded:
		if !t.Silent(boottime.Now(), run) {
			c.gateway.log.Info("engine does not report its state", zap.String("service", d.service), zap.String("upstream", run.ID), zap.Error(err))
		}
		t.Failed(asked, boottime.Now(), run)
	}
}

// silentEngines returns which of the entries have failed to answer lately.
func (c *roleController) silentEngines(d *dispatcher, entries []upstream.Entry) map[string]bool {
	out := make(map[string]bool)
	for _, e := range entries {
		if c.tracker(d.service).Silent(boottime.Now(), runOf(e)) {
			out[e.ID] = true
		}
	}
	return out
}

// limitToSpare reduces a change so that an engine that answers is left in the role that loses engines. A lone
// engine may be ordered to decode, where it serves requests without the other role.
func (c *roleController) limitToSpare(ctx context.Context, d *dispatcher, change roleChange) roleChange {
	if change.roleMissing() && change.to == upstream.Decode {
		return change
	}
	listed := c.enginesByRole(d)[change.from()]
	c.recordWork(d, change.from(), listed)
	var unknown []liveness.Run
	answering := 0
	for _, e := range listed {
		if c.tracker(d.service).Answers(boottime.Now(), runOf(e)) {
			answering++
		} else {
			unknown = append(unknown, runOf(e))
		}
	}
	if missing := change.count + 1 - answering; missing > 0 {
		c.ask(ctx, d, listed, unknown)
		answering = 0
		for _, e := range listed {
			if c.tracker(d.service).Answers(boottime.Now(), runOf(e)) {
				answering++
			}
		}
	}
	if spare := max(answering-1, 0); spare < change.count {
		c.gateway.log.Info("role change limited to engines that can be spared", zap.String("service", d.service), zap.Stringer("to", change.to),
			zap.Int("engines", change.count), zap.Int("answering", answering))
		change.count = spare
	}
	return change
}
