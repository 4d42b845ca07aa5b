package group

import (
	"container/heap"
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
)

// scheduler is implemented by Group and by the baseline it is compared to.
type scheduler interface {
	Submit(now time.Time, req Request) []Decision
	PrefillDone(now time.Time, id uint64) []Decision
	Release(now time.Time, id uint64, out Outcome) []Decision
	Advance(now time.Time) ([]Decision, time.Time)
}

// Properties of the simulated engines and their network.
const (
	networkDelay         = time.Millisecond
	kvLifetime           = 800 * time.Millisecond
	prefillFixed         = 8 * time.Millisecond
	prefillPerToken      = 100 * time.Microsecond
	decodeStep           = 30 * time.Millisecond
	decodeStepPerRequest = 600 * time.Microsecond
	prefixBlock          = 256
	cacheCapacityBlocks  = 24
	cacheEventDelay      = 300 * time.Millisecond
)

// job is one request and what its caller observes.
type job struct {
	req           Request
	outputTokens  int
	callTime      time.Duration // plain services only
	prefillJitter float64       // factor of the prefill duration
	withinRate    bool
	grant         *Grant
	refused       bool
	retryAfter    time.Duration
	failed        bool
	firstToken    time.Time
	done          time.Time
	engineSeconds float64

	prefillStart, prefillEnd time.Time
	firstDecodeStep          float64
}

func (j *job) betweenTokens() time.Duration {
	if j.outputTokens < 2 {
		return 0
	}
	return j.done.Sub(j.firstToken) / time.Duration(j.outputTokens-1)
}

// metTargets reports whether the answer met the targets for the first token and
// between tokens.
func (j *job) metTargets() bool {
	if j.done.IsZero() {
		return false
	}
	first := j.req.Arrived.Add(DefaultFirstToken)
	if j.req.Class == request.Deferrable {
		first = j.req.Deadline
	}
	return !j.firstToken.After(first) && j.betweenTokens() <= DefaultBetweenTokens
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// fakeEngine simulates a prefill, decode or plain upstream in virtual time.
type fakeEngine struct {
	Upstream
	slowdown   float64
	linkFreeAt time.Time
	// Prefill and plain upstreams run jobs in order of arrival, up to Slots at a time.
	running []*job
	queue   []*job
	// cachedPrefixes are ordered by use, least recently used first.
	cachedPrefixes []uint64
	// Decode upstreams generate one token per step for every running job.
	piecesUsed   int
	decodeSteps  float64
	updatedAt    time.Time
	timerVersion int
}

// simulation connects engines, callers and a scheduler through an event heap.
type simulation struct {
	now            time.Time
	events         eventHeap
	seq            int
	scheduler      scheduler
	engines        map[string]*fakeEngine
	servingEngines []*fakeEngine
	jobs           map[string]*job
	roundRobin     int
	timer          time.Time
	// onRefusal is called for each refusal, before the state changes.
	onRefusal            func(j *job)
	prefillSeconds       float64
	wastedPrefillSeconds float64
	answers              int
	evictions            int
}

func newSimulation(scheduler scheduler, ups []Upstream) *simulation {
	sim := &simulation{now: epoch, scheduler: scheduler, engines: map[string]*fakeEngine{}, jobs: map[string]*job{}}
	for _, u := range ups {
		e := &fakeEngine{Upstream: u, slowdown: 1, updatedAt: epoch}
		sim.engines[u.Name] = e
		if u.Role != object.RolePrefill {
			sim.servingEngines = append(sim.servingEngines, e)
		}
	}
	return sim
}

var epoch = time.Unix(1_000_000, 0)

func (sim *simulation) at(t time.Time, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: t, seq: sim.seq, run: run})
}

func (sim *simulation) after(d time.Duration, run func()) { sim.at(sim.now.Add(d), run) }

func (sim *simulation) run() {
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
}

func (sim *simulation) submit(j *job) {
	sim.at(j.req.Arrived, func() {
		sim.jobs[j.req.ID] = j
		sim.apply(sim.scheduler.Submit(sim.now, j.req))
	})
}

func (sim *simulation) apply(decisions []Decision) {
	for _, d := range decisions {
		j := sim.jobs[d.RequestID]
		if d.Refusal != nil {
			j.refused = true
			j.retryAfter = d.Refusal.RetryAfter
			if sim.onRefusal != nil {
				sim.onRefusal(j)
			}
			continue
		}
		j.grant = d.Grant
		sim.after(networkDelay, func() { sim.start(j) })
	}
	sim.advanceScheduler()
}

// advanceScheduler calls Advance and sets a timer for the next call that is due.
func (sim *simulation) advanceScheduler() {
	decisions, next := sim.scheduler.Advance(sim.now)
	if len(decisions) > 0 {
		sim.apply(decisions)
		return
	}
	if next.IsZero() || next.Equal(sim.timer) {
		return
	}
	sim.timer = next
	sim.at(later(next, sim.now.Add(time.Microsecond)), func() {
		if sim.timer.Equal(next) {
			sim.timer = time.Time{}
			sim.advanceScheduler()
		}
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// start queues the prefill or the plain call of a granted job.
func (sim *simulation) start(j *job) {
	e := sim.engines[j.grant.Prefill]
	if e == nil {
		e = sim.engines[j.grant.Decode]
	}
	e.queue = append(e.queue, j)
	sim.startQueued(e)
}

func (sim *simulation) startQueued(e *fakeEngine) {
	for len(e.queue) > 0 && len(e.running) < e.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, j)
		j.prefillStart = sim.now
		took := time.Duration(float64(j.callTime) * e.slowdown)
		if e.Role == object.RolePrefill {
			took = sim.prefillTime(e, j)
		}
		sim.after(took, func() { sim.finishCall(e, j, took) })
	}
}

func (sim *simulation) prefillTime(e *fakeEngine, j *job) time.Duration {
	uncached := j.req.PromptTokens
	for i, hash := range j.req.PrefixHashes {
		if at := slices.Index(e.cachedPrefixes, hash); at >= 0 {
			uncached = max(1, j.req.PromptTokens-(i+1)*prefixBlock)
			e.cachedPrefixes = slices.Delete(e.cachedPrefixes, at, at+1)
		}
		e.cachedPrefixes = append(e.cachedPrefixes, hash)
	}
	evicted := e.cachedPrefixes[:max(0, len(e.cachedPrefixes)-cacheCapacityBlocks)]
	e.cachedPrefixes = e.cachedPrefixes[len(evicted):]
	for _, hash := range evicted {
		sim.sendEvictionEvent(e, hash)
	}
	return time.Duration(e.slowdown * j.prefillJitter * float64(prefillFixed+time.Duration(uncached)*prefillPerToken))
}

// sendEvictionEvent sends a cache event with a delay; every tenth event is lost.
func (sim *simulation) sendEvictionEvent(e *fakeEngine, hash uint64) {
	sim.evictions++
	if g, ok := sim.scheduler.(*Group); ok && sim.evictions%10 != 0 {
		sim.after(cacheEventDelay, func() { g.CacheEvent(sim.now, e.Name, hash, false) })
	}
}

// finishCall ends a prefill or a plain call.
func (sim *simulation) finishCall(e *fakeEngine, j *job, took time.Duration) {
	for i, r := range e.running {
		if r == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	sim.startQueued(e)
	j.prefillEnd = sim.now
	if e.Role == object.RolePlain {
		j.firstToken, j.done, j.engineSeconds = sim.now, sim.now, took.Seconds()/float64(e.Slots)
		sim.release(j, Outcome{Kind: OutcomeDone, Decode: took})
		return
	}
	sim.prefillSeconds += took.Seconds()
	j.engineSeconds = took.Seconds()
	sim.after(networkDelay, func() { sim.apply(sim.scheduler.PrefillDone(sim.now, j.grant.ID)) })
	sim.at(later(sim.now, j.grant.TransferAfter), func() { sim.transfer(e, j) })
}

// transfer imports the prefill result into the granted decode engine. The baseline
// grants none; then all engines are tried in turn until the result expires.
func (sim *simulation) transfer(from *fakeEngine, j *job) {
	to := sim.engines[j.grant.Decode]
	for i := 0; to == nil && i < len(sim.servingEngines); i++ {
		sim.roundRobin++
		if e := sim.servingEngines[sim.roundRobin%len(sim.servingEngines)]; sim.fits(e, j) {
			to = e
		}
	}
	if to == nil && sim.now.Sub(j.prefillEnd) < kvLifetime {
		sim.after(50*time.Millisecond, func() { sim.transfer(from, j) })
		return
	}
	if to == nil || !sim.fits(to, j) {
		sim.fail(j)
		return
	}
	start := later(sim.now, later(from.linkFreeAt, to.linkFreeAt))
	bytes := int64(j.req.PromptTokens) * DefaultKVBytesPerToken
	duration := time.Duration(float64(bytes) / float64(min(from.LinkBytesPerSecond, to.LinkBytesPerSecond)) * float64(time.Second))
	if start.Add(duration).Sub(j.prefillEnd) > kvLifetime {
		sim.fail(j)
		return
	}
	if start.After(sim.now) {
		// While a transfer waits for one link, the other link remains available.
		sim.at(start, func() { sim.transfer(from, j) })
		return
	}
	from.linkFreeAt, to.linkFreeAt = start.Add(duration), start.Add(duration)
	sim.reserve(to, j)
	sim.at(start.Add(duration), func() { sim.decode(to, j) })
}

func (sim *simulation) fail(j *job) {
	j.failed = true
	sim.wastedPrefillSeconds += j.prefillEnd.Sub(j.prefillStart).Seconds()
	sim.release(j, Outcome{Kind: OutcomeTransferFailed, Prefill: j.prefillEnd.Sub(j.prefillStart)})
}

func piecesFor(j *job) int { return (j.req.PromptTokens + j.req.MaxTokens + 2047) / 2048 }

func (sim *simulation) fits(e *fakeEngine, j *job) bool {
	return len(e.queue)+len(e.running) < e.Slots && e.piecesUsed+piecesFor(j) <= e.Pieces
}

// reserve takes a slot and memory while the transfer still runs.
func (sim *simulation) reserve(e *fakeEngine, j *job) {
	e.queue = append(e.queue, j)
	e.piecesUsed += piecesFor(j)
}

// decode starts the decode. All running decodes of an engine advance together.
func (sim *simulation) decode(e *fakeEngine, j *job) {
	sim.advanceDecode(e)
	for i, q := range e.queue {
		if q == j {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			break
		}
	}
	e.running = append(e.running, j)
	j.firstDecodeStep = e.decodeSteps
	j.firstToken = sim.now.Add(e.stepTime())
	sim.scheduleNextFinish(e)
}

func (e *fakeEngine) stepTime() time.Duration {
	batch := decodeStep + time.Duration(len(e.running))*decodeStepPerRequest
	return time.Duration(e.slowdown * float64(batch))
}

func (sim *simulation) advanceDecode(e *fakeEngine) {
	e.decodeSteps += sim.now.Sub(e.updatedAt).Seconds() / e.stepTime().Seconds()
	e.updatedAt = sim.now
}

func (sim *simulation) scheduleNextFinish(e *fakeEngine) {
	e.timerVersion++
	version := e.timerVersion
	var first *job
	for _, j := range e.running {
		if first == nil || j.firstDecodeStep+float64(j.outputTokens) < first.firstDecodeStep+float64(first.outputTokens) {
			first = j
		}
	}
	if first == nil {
		return
	}
	left := (first.firstDecodeStep + float64(first.outputTokens) - e.decodeSteps) * e.stepTime().Seconds()
	sim.after(time.Duration(max(0, left)*float64(time.Second))+1, func() {
		if e.timerVersion == version {
			sim.advanceDecode(e)
			sim.finishDecode(e, first)
		}
	})
}

func (sim *simulation) finishDecode(e *fakeEngine, j *job) {
	for i, r := range e.running {
		if r == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	e.piecesUsed -= piecesFor(j)
	sim.scheduleNextFinish(e)
	j.done = sim.now
	sim.answers++
	share := max(1/float64(e.Slots), float64(piecesFor(j))/float64(e.Pieces))
	j.engineSeconds += sim.now.Sub(j.prefillEnd).Seconds() * share
	sim.release(j, Outcome{
		Kind: OutcomeDone, Prefill: j.prefillEnd.Sub(j.prefillStart),
		FirstToken: j.firstToken.Sub(j.prefillStart), Decode: sim.now.Sub(j.firstToken), OutputTokens: j.outputTokens,
	})
}

func (sim *simulation) release(j *job, out Outcome) {
	sim.after(networkDelay, func() { sim.apply(sim.scheduler.Release(sim.now, j.grant.ID, out)) })
}
