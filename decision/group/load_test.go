package group

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
)

// site is one service at the size of one of the users.
type site struct {
	name        string
	kind        object.Kind
	entries     int // prefill upstreams
	sinks       int // decode or plain upstreams
	dataCentres int
	deferrable  float64 // part of the requests
	measured    time.Duration
}

var (
	pisar      = site{"Jadran pisar", object.KindModel, 3, 7, 3, 0.5, 120 * time.Second}
	dezurstva  = site{"Jadran dezurstva", object.KindPlain, 0, 3, 3, 0, 40 * time.Second}
	giltScribe = site{"Brazos gilt-scribe", object.KindModel, 4, 11, 4, 0.1, 120 * time.Second}
	leafDesk   = site{"Brazos leaf-desk", object.KindPlain, 0, 4, 4, 0, 40 * time.Second}
)

const (
	organisations = 5
	decodeSlots   = 20
	plainSlots    = 4
	plainCall     = 200 * time.Millisecond
	linkRate      = 16 << 30
	enginePieces  = 40
	meanPrompt    = 1400
	meanOutput    = 190
	longScale     = 5
)

func (s site) upstreams(linkRate int64) []Upstream {
	var ups []Upstream
	dc := func(i int) string { return fmt.Sprintf("dc-%d", i%s.dataCentres) }
	for i := range s.entries {
		ups = append(ups, Upstream{Name: fmt.Sprintf("prefill-%d", i), Role: object.RolePrefill, DataCentre: dc(i), Slots: 1, LinkBytesPerSecond: linkRate})
	}
	for i := range s.sinks {
		u := Upstream{Name: fmt.Sprintf("sink-%d", i), Role: object.RolePlain, DataCentre: dc(i), Slots: plainSlots}
		if s.kind == object.KindModel {
			u.Role, u.Slots, u.Pieces, u.LinkBytesPerSecond = object.RoleDecode, decodeSlots, enginePieces, linkRate
		}
		ups = append(ups, u)
	}
	return ups
}

// capacity is the number of mean requests a second that the service can answer.
func (s site) capacity() float64 {
	if s.kind == object.KindPlain {
		return float64(s.sinks*plainSlots) / plainCall.Seconds()
	}
	step := (decodeStep + decodeSlots*decodeStepPerReq).Seconds()
	decode := float64(s.sinks*decodeSlots) / (meanOutput*step + 0.5)
	prefill := float64(s.entries) / (prefillFixed + meanPrompt*prefillPerToken).Seconds()
	return min(decode, prefill)
}

// pattern is a load in multiples of the capacity, by organisation.
type pattern struct {
	name string
	// rate of an organisation, in parts of an equal share of the capacity.
	rate func(org int, at time.Duration) float64
	// slow is the slowness of upstream 0 of each role.
	slow float64
	// long is the part of requests with prompts and answers longScale times the usual.
	long float64
	// link is the links' rate in bytes a second; 0 means linkRate.
	link int64
	// floodLong makes all requests of organisation 0 long.
	floodLong bool
	// hotKey gives organisation 0 one key that sends nine tenths of its requests.
	hotKey bool
}

func flat(x float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return x }
}

func hot(org0, others float64) func(int, time.Duration) float64 {
	return func(org int, _ time.Duration) float64 {
		if org == 0 {
			return org0
		}
		return others
	}
}

func burst(_ int, at time.Duration) float64 {
	if at%(20*time.Second) < 2*time.Second {
		return 3
	}
	return 0.5
}

var patterns = []pattern{
	{name: "at capacity", rate: flat(1)},
	{name: "burst", rate: burst},
	{name: "hot caller", rate: hot(5, 0.7)},
	{name: "hot key", rate: hot(3, 0.7), hotKey: true},
	{name: "slow upstream", rate: flat(0.7), slow: 3},
	{name: "long among short", rate: flat(0.7), long: 0.05},
	{name: "long at capacity", rate: flat(0.9), long: 0.05},
	{name: "flood of long", rate: hot(0.6, 0.7), floodLong: true},
	{name: "narrow links", rate: flat(0.9), link: 3 << 29},
	{name: "overload 1.5", rate: flat(1.5)},
	{name: "overload 3", rate: flat(3)},
}

// meanRate of an organisation; one that sends more than its rate all the time has
// no requests that are certainly within it.
func (pat pattern) meanRate(org int) float64 {
	sum := 0.0
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		sum += pat.rate(org, at)
	}
	mean := sum / time.Minute.Seconds()
	if pat.floodLong && org == 0 {
		mean *= longScale
	}
	return mean
}

const (
	// warmUp fills the service and coolDown keeps up the load until what arrived
	// in the measured time is answered.
	warmUp       = 20 * time.Second
	coolDown     = 25 * time.Second
	deferredWait = 25 * time.Second
	rateBurst    = 2 * time.Second
)

func (s site) jobs(pat pattern, seed uint64) []*job {
	rng := rand.New(rand.NewPCG(seed, 1))
	share := s.capacity() / organisations
	var jobs []*job
	for org := range organisations {
		// The rate is in tokens, as operators set it: an equal share of mean requests.
		perSecond := share * (meanPrompt + meanOutput)
		meanRate := pat.meanRate(org)
		tokens, last := rateBurst.Seconds()*perSecond, time.Duration(0)
		for at := time.Duration(0); at < warmUp+s.measured+coolDown; {
			rate := pat.rate(org, at) * share
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			j := s.job(pat, rng, org, len(jobs), epoch.Add(at))
			tokens = min(rateBurst.Seconds()*perSecond, tokens+(at-last).Seconds()*perSecond)
			last = at
			if cost := float64(j.req.PromptTokens + j.output); tokens >= cost {
				tokens -= cost
				j.inRate = meanRate <= 1
			}
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return a.req.Arrived.Compare(b.req.Arrived) })
	return jobs
}

func (s site) job(pat pattern, rng *rand.Rand, org, n int, at time.Time) *job {
	// A log-normal spread with sigma 0.6 and mean 1.
	spread := func() float64 { return math.Exp(0.6*rng.NormFloat64() - 0.18) }
	scale := 1.0
	if rng.Float64() < pat.long || (pat.floodLong && org == 0) {
		scale = longScale
	}
	j := &job{
		output: max(2, int(meanOutput*scale*spread())),
		call:   time.Duration(float64(plainCall) * scale * spread()),
		jitter: 0.9 + 0.2*rng.Float64(),
	}
	prompt := max(20, int(meanPrompt*scale*spread()))
	if pat.link > 0 {
		// A transfer that takes longer than a result lives cannot succeed.
		prompt = min(prompt, int(kvLifetime.Seconds()*0.7*float64(pat.link)/DefaultKVBytesPerToken))
	}
	j.req = Request{
		ID: fmt.Sprintf("r%d", n), Organisation: fmt.Sprintf("org-%d", org), Class: request.Interactive,
		PromptTokens: prompt, MaxTokens: j.output * 2,
		Arrived: at, Deadline: at.Add(DefaultFirstToken), Attempt: 1,
		DataCentre: fmt.Sprintf("dc-%d", rng.IntN(s.dataCentres)),
	}
	key := rng.IntN(4)
	if pat.hotKey && org == 0 && rng.Float64() < 0.9 {
		key = 0
	}
	j.req.KeyID = fmt.Sprintf("key-%d-%d", org, key)
	for block := range 3 {
		if (block+1)*prefixBlock < j.req.PromptTokens {
			j.req.PrefixHashes = append(j.req.PrefixHashes, uint64(org*100+key*10+block+1))
		}
	}
	if rng.Float64() < s.deferrable {
		j.req.Class, j.req.Deadline = request.Deferrable, at.Add(deferredWait)
	}
	return j
}

// measures are what callers of the measured time received.
type measures struct {
	offered     int
	goodput     float64 // good answers a second
	goodPart    float64 // of the answers given
	wasted      float64 // part of prefill time
	prefillEach float64 // seconds of prefill an answer
	worst       float64 // organisation's served part of its fair share
	refused     float64 // part of the requests within rate that got no answer
	refusedFree int     // refused while a place was free
	worstKey    float64 // answered part of the worst quiet key of organisation 0
	longServed  float64 // answered part of the long requests
	shortServed float64
}

func (s site) named(name string, seed uint64, cfg Config, useNaive bool) measures {
	for _, pat := range patterns {
		if pat.name == name {
			return s.run(pat, seed, cfg, useNaive)
		}
	}
	panic("no pattern " + name)
}

// pool is the site's fake engines, driven by a group.
func (s site) pool(cfg Config, linkRate int64) *pool {
	cfg.Kind, cfg.PrefixBlockTokens = s.kind, prefixBlock
	g := New(cfg)
	g.SetUpstreams(epoch, s.upstreams(linkRate))
	return newPool(g, s.upstreams(linkRate))
}

// run drives one decider through one load.
func (s site) run(pat pattern, seed uint64, cfg Config, useNaive bool) measures {
	p := s.pool(cfg, cmp.Or(pat.link, linkRate))
	g := p.decider.(*Group)
	if useNaive {
		p.decider = newNaive(s.kind, s.upstreams(0))
	}
	if pat.slow > 0 {
		p.engines["sink-0"].slow = pat.slow
		if e := p.engines["prefill-0"]; e != nil {
			e.slow = pat.slow
		}
	}
	var m measures
	p.onRefusal = func(j *job) {
		if j.inRate && !useNaive && g.place(p.now, g.newWaiter(p.now, j.req)) != nil {
			m.refusedFree++
		}
	}
	jobs := s.jobs(pat, seed)
	for _, j := range jobs {
		p.submit(j)
	}
	p.run()
	m.collect(p, jobs, s.measured)
	return m
}

func (m *measures) collect(p *pool, jobs []*job, measured time.Duration) {
	var served, asked [organisations]float64
	keyAsked, keyServed := map[string]float64{}, map[string]float64{}
	var good, answered, inRate, unanswered float64
	var long, longDone, short, shortDone float64
	for _, j := range jobs {
		at := j.req.Arrived.Sub(epoch)
		if at < warmUp || at >= warmUp+measured {
			continue
		}
		m.offered++
		org := int(j.req.Organisation[len("org-")] - '0')
		cost := j.expectedWork()
		asked[org] += cost
		keyAsked[j.req.KeyID]++
		isLong := j.req.PromptTokens > 3*meanPrompt || j.output > 3*meanOutput
		if isLong {
			long++
		} else {
			short++
		}
		if j.inRate {
			inRate++
		}
		if j.done.IsZero() {
			if j.inRate {
				unanswered++
			}
			continue
		}
		served[org] += cost
		keyServed[j.req.KeyID]++
		answered++
		if isLong {
			longDone++
		} else {
			shortDone++
		}
		if j.good() {
			good++
		}
	}
	m.goodput = good / measured.Seconds()
	m.goodPart = good / max(1, answered)
	m.refused = unanswered / max(1, inRate)
	m.prefillEach = p.prefillSpent / max(1, float64(p.answers))
	m.wasted = p.prefillWasted / max(1e-9, p.prefillSpent)
	m.worst = worstShare(served[:], asked[:])
	m.longServed, m.shortServed = longDone/max(1, long), shortDone/max(1, short)
	m.worstKey = 1
	for key := 1; key < 4; key++ {
		name := fmt.Sprintf("key-0-%d", key)
		m.worstKey = min(m.worstKey, keyServed[name]/max(1, keyAsked[name]))
	}
}

// expectedWork is the same for every decider: it does not depend on the batch.
func (j *job) expectedWork() float64 {
	if j.req.PromptTokens == 0 || j.grantedPlain() {
		return j.call.Seconds()
	}
	share := max(1.0/decodeSlots, float64(piecesOf(j))/enginePieces)
	step := decodeStep + decodeSlots*decodeStepPerReq
	return float64(j.req.PromptTokens)*prefillPerToken.Seconds() + float64(j.output)*step.Seconds()*share
}

func (j *job) grantedPlain() bool { return j.grant != nil && j.grant.Prefill == "" }

// worstShare is the least of served/fair, where fair shares out all that was
// served equally, nobody more than asked (max-min).
func worstShare(served, asked []float64) float64 {
	total := 0.0
	for _, s := range served {
		total += s
	}
	order := make([]int, len(asked))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if asked[a] < asked[b] {
			return -1
		}
		return 1
	})
	worst := 1.0
	for rank, i := range order {
		fair := min(asked[i], total/float64(len(order)-rank))
		total -= fair
		worst = min(worst, served[i]/fair)
	}
	return worst
}
