package group

import (
	"container/heap"
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
)

// decider is what the pool drives: a Group or the naive version.
type decider interface {
	Submit(now time.Time, req Request) []Decision
	PrefillDone(now time.Time, id uint64) []Decision
	Release(now time.Time, id uint64, out Outcome) []Decision
	Advance(now time.Time) ([]Decision, time.Time)
}

// Properties of the fake engines.
const (
	hop              = time.Millisecond
	kvLifetime       = 800 * time.Millisecond
	prefillFixed     = 8 * time.Millisecond
	prefillPerToken  = 100 * time.Microsecond
	decodeStep       = 30 * time.Millisecond
	decodeStepPerReq = 600 * time.Microsecond
	prefixBlock      = 256
	cachedBlocks     = 24
)

// job is one request as its caller sees it.
type job struct {
	req        Request
	output     int
	call       time.Duration // plain services
	jitter     float64       // of the prefill's duration
	inRate     bool
	grant      *Grant
	refused    bool
	retryAfter time.Duration
	failed     bool
	firstToken time.Time
	done       time.Time
	work       float64 // engine seconds

	prefillStart, prefillEnd time.Time
	decodeAt                 float64
}

func (j *job) between() time.Duration {
	if j.output < 2 {
		return 0
	}
	return j.done.Sub(j.firstToken) / time.Duration(j.output-1)
}

// good tells whether the caller got its answer within both targets.
func (j *job) good() bool {
	if j.done.IsZero() {
		return false
	}
	first := j.req.Arrived.Add(DefaultFirstToken)
	if j.req.Class == request.Deferrable {
		first = j.req.Deadline
	}
	return !j.firstToken.After(first) && j.between() <= DefaultBetweenTokens
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

// fakeEngine is a prefill, decode or plain upstream in virtual time.
type fakeEngine struct {
	Upstream
	slow     float64
	linkFree time.Time
	// Prefill and plain: first come, first served over Slots.
	running []*job
	queue   []*job
	// cached prefixes, least recently used first.
	cached []uint64
	// Decode: work advances by one token a step for all that run.
	pieces  int
	token   float64
	updated time.Time
	version int
}

// pool joins engines, callers and a decider by an event heap.
type pool struct {
	now     time.Time
	events  eventHeap
	seq     int
	decider decider
	engines map[string]*fakeEngine
	sinks   []*fakeEngine
	jobs    map[string]*job
	nextRR  int
	timer   time.Time
	// onRefusal is called at each refusal, before the state changes.
	onRefusal     func(j *job)
	prefillSpent  float64
	prefillWasted float64
	answers       int
}

func newPool(d decider, ups []Upstream) *pool {
	p := &pool{now: epoch, decider: d, engines: map[string]*fakeEngine{}, jobs: map[string]*job{}}
	for _, u := range ups {
		e := &fakeEngine{Upstream: u, slow: 1, updated: epoch}
		p.engines[u.Name] = e
		if u.Role != object.RolePrefill {
			p.sinks = append(p.sinks, e)
		}
	}
	return p
}

var epoch = time.Unix(1_000_000, 0)

func (p *pool) at(t time.Time, run func()) {
	p.seq++
	heap.Push(&p.events, event{at: t, seq: p.seq, run: run})
}

func (p *pool) after(d time.Duration, run func()) { p.at(p.now.Add(d), run) }

func (p *pool) run() {
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.run()
	}
}

func (p *pool) submit(j *job) {
	p.at(j.req.Arrived, func() {
		p.jobs[j.req.ID] = j
		p.deliver(p.decider.Submit(p.now, j.req))
	})
}

func (p *pool) deliver(decisions []Decision) {
	for _, d := range decisions {
		j := p.jobs[d.RequestID]
		if d.Refusal != nil {
			j.refused = true
			j.retryAfter = d.Refusal.RetryAfter
			if p.onRefusal != nil {
				p.onRefusal(j)
			}
			continue
		}
		j.grant = d.Grant
		p.after(hop, func() { p.start(j) })
	}
	p.advance()
}

// advance keeps one timer for the decider.
func (p *pool) advance() {
	decisions, next := p.decider.Advance(p.now)
	if len(decisions) > 0 {
		p.deliver(decisions)
		return
	}
	if next.IsZero() || next.Equal(p.timer) {
		return
	}
	p.timer = next
	p.at(later(next, p.now.Add(time.Microsecond)), func() {
		if p.timer.Equal(next) {
			p.timer = time.Time{}
			p.advance()
		}
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// start runs a granted job: prefill or plain call.
func (p *pool) start(j *job) {
	e := p.engines[j.grant.Prefill]
	if e == nil {
		e = p.engines[j.grant.Decode]
	}
	e.queue = append(e.queue, j)
	p.pump(e)
}

func (p *pool) pump(e *fakeEngine) {
	for len(e.queue) > 0 && len(e.running) < e.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, j)
		j.prefillStart = p.now
		took := time.Duration(float64(j.call) * e.slow)
		if e.Role == object.RolePrefill {
			took = p.prefillTime(e, j)
		}
		p.after(took, func() { p.finish(e, j, took) })
	}
}

func (p *pool) prefillTime(e *fakeEngine, j *job) time.Duration {
	uncached := j.req.PromptTokens
	for i, hash := range j.req.PrefixHashes {
		if at := slices.Index(e.cached, hash); at >= 0 {
			uncached = max(1, j.req.PromptTokens-(i+1)*prefixBlock)
			e.cached = slices.Delete(e.cached, at, at+1)
		}
		e.cached = append(e.cached, hash)
	}
	e.cached = e.cached[max(0, len(e.cached)-cachedBlocks):]
	return time.Duration(e.slow * j.jitter * float64(prefillFixed+time.Duration(uncached)*prefillPerToken))
}

func (p *pool) finish(e *fakeEngine, j *job, took time.Duration) {
	for i, r := range e.running {
		if r == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	p.pump(e)
	j.prefillEnd = p.now
	if e.Role == object.RolePlain {
		j.firstToken, j.done, j.work = p.now, p.now, took.Seconds()/float64(e.Slots)
		p.release(j, Outcome{Kind: OutcomeDone, Decode: took})
		return
	}
	p.prefillSpent += took.Seconds()
	j.work = took.Seconds()
	p.after(hop, func() { p.deliver(p.decider.PrefillDone(p.now, j.grant.ID)) })
	p.at(later(p.now, j.grant.TransferAfter), func() { p.transfer(e, j) })
}

// transfer imports the result into the granted decode engine. Without one the
// naive router tries all in turn until the result expires.
func (p *pool) transfer(from *fakeEngine, j *job) {
	to := p.engines[j.grant.Decode]
	for i := 0; to == nil && i < len(p.sinks); i++ {
		p.nextRR++
		if e := p.sinks[p.nextRR%len(p.sinks)]; p.fits(e, j) {
			to = e
		}
	}
	if to == nil && p.now.Sub(j.prefillEnd) < kvLifetime {
		p.after(50*time.Millisecond, func() { p.transfer(from, j) })
		return
	}
	if to == nil || !p.fits(to, j) {
		p.fail(j)
		return
	}
	start := later(p.now, later(from.linkFree, to.linkFree))
	bytes := int64(j.req.PromptTokens) * DefaultKVBytesPerToken
	length := time.Duration(float64(bytes) / float64(min(from.LinkBytesPerSecond, to.LinkBytesPerSecond)) * float64(time.Second))
	if start.Add(length).Sub(j.prefillEnd) > kvLifetime {
		p.fail(j)
		return
	}
	from.linkFree, to.linkFree = start.Add(length), start.Add(length)
	p.join(to, j)
	p.at(start.Add(length), func() { p.decode(to, j) })
}

func (p *pool) fail(j *job) {
	j.failed = true
	p.prefillWasted += j.prefillEnd.Sub(j.prefillStart).Seconds()
	p.release(j, Outcome{Kind: OutcomeTransferFailed, Prefill: j.prefillEnd.Sub(j.prefillStart)})
}

func piecesOf(j *job) int { return (j.req.PromptTokens + j.req.MaxTokens + 2047) / 2048 }

func (p *pool) fits(e *fakeEngine, j *job) bool {
	return len(e.queue)+len(e.running) < e.Slots && e.pieces+piecesOf(j) <= e.Pieces
}

// join takes slot and memory; the transfer still runs.
func (p *pool) join(e *fakeEngine, j *job) {
	e.queue = append(e.queue, j)
	e.pieces += piecesOf(j)
}

// decode starts the stream; all streams of an engine advance together.
func (p *pool) decode(e *fakeEngine, j *job) {
	p.progress(e)
	for i, q := range e.queue {
		if q == j {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			break
		}
	}
	e.running = append(e.running, j)
	j.decodeAt = e.token
	j.firstToken = p.now.Add(e.step())
	p.schedule(e)
}

func (e *fakeEngine) step() time.Duration {
	batch := decodeStep + time.Duration(len(e.running))*decodeStepPerReq
	return time.Duration(e.slow * float64(batch))
}

func (p *pool) progress(e *fakeEngine) {
	e.token += p.now.Sub(e.updated).Seconds() / e.step().Seconds()
	e.updated = p.now
}

func (p *pool) schedule(e *fakeEngine) {
	e.version++
	version := e.version
	var first *job
	for _, j := range e.running {
		if first == nil || j.decodeAt+float64(j.output) < first.decodeAt+float64(first.output) {
			first = j
		}
	}
	if first == nil {
		return
	}
	left := (first.decodeAt + float64(first.output) - e.token) * e.step().Seconds()
	p.after(time.Duration(max(0, left)*float64(time.Second))+1, func() {
		if e.version == version {
			p.progress(e)
			p.finishDecode(e, first)
		}
	})
}

func (p *pool) finishDecode(e *fakeEngine, j *job) {
	for i, r := range e.running {
		if r == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	e.pieces -= piecesOf(j)
	p.schedule(e)
	j.done = p.now
	p.answers++
	share := max(1/float64(e.Slots), float64(piecesOf(j))/float64(e.Pieces))
	j.work += p.now.Sub(j.prefillEnd).Seconds() * share
	p.release(j, Outcome{
		Kind: OutcomeDone, Prefill: j.prefillEnd.Sub(j.prefillStart),
		FirstToken: j.firstToken.Sub(j.prefillStart), Decode: p.now.Sub(j.firstToken), OutputTokens: j.output,
	})
}

func (p *pool) release(j *job, out Outcome) {
	p.after(hop, func() { p.deliver(p.decider.Release(p.now, j.grant.ID, out)) })
}

// naive is first come, first served, round robin, without reservation or refusal.
type naive struct {
	kind    object.Kind
	entries []string
	next    int
	ids     uint64
}

func newNaive(kind object.Kind, ups []Upstream) *naive {
	n := &naive{kind: kind}
	for _, u := range ups {
		if u.Role != object.RoleDecode {
			n.entries = append(n.entries, u.Name)
		}
	}
	return n
}

func (n *naive) Submit(now time.Time, req Request) []Decision {
	n.ids++
	entry := n.entries[n.next%len(n.entries)]
	n.next++
	grant := &Grant{ID: n.ids, RequestID: req.ID, Prefill: entry, TransferAfter: now}
	if n.kind == object.KindPlain {
		grant.Prefill, grant.Decode = "", entry
	}
	return []Decision{{RequestID: req.ID, Grant: grant}}
}

func (n *naive) PrefillDone(time.Time, uint64) []Decision      { return nil }
func (n *naive) Release(time.Time, uint64, Outcome) []Decision { return nil }
func (n *naive) Advance(time.Time) ([]Decision, time.Time)     { return nil, time.Time{} }
