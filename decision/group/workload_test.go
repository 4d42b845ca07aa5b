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

// site is one service of a user's deployment, with the size that it has there.
type site struct {
	name            string
	kind            object.Kind
	prefillCount    int // prefill upstreams
	servingCount    int // decode or plain upstreams
	dataCentres     int
	deferrableShare float64 // fraction of the requests
	measured        time.Duration
}

var (
	pisar      = site{"Jadran pisar", object.KindModel, 3, 7, 3, 0.5, 120 * time.Second}
	dezurstva  = site{"Jadran dezurstva", object.KindPlain, 0, 3, 3, 0, 40 * time.Second}
	giltScribe = site{"Brazos gilt-scribe", object.KindModel, 4, 11, 4, 0.1, 120 * time.Second}
	leafDesk   = site{"Brazos leaf-desk", object.KindPlain, 0, 4, 4, 0, 40 * time.Second}
)

const (
	organisations    = 5
	decodeSlots      = 20
	plainSlots       = 4
	plainCall        = 200 * time.Millisecond
	linkRate         = 16 << 30
	enginePieces     = 40
	meanPromptTokens = 1400
	meanOutputTokens = 190
	longRequestScale = 5
)

func (s site) upstreams(linkRate int64) []Upstream {
	var ups []Upstream
	dc := func(i int) string { return fmt.Sprintf("dc-%d", i%s.dataCentres) }
	for i := range s.prefillCount {
		ups = append(ups, Upstream{Name: fmt.Sprintf("prefill-%d", i), Role: object.RolePrefill, DataCentre: dc(i), Slots: 1, LinkBytesPerSecond: linkRate})
	}
	for i := range s.servingCount {
		u := Upstream{Name: fmt.Sprintf("serving-%d", i), Role: object.RolePlain, DataCentre: dc(i), Slots: plainSlots}
		if s.kind == object.KindModel {
			u.Role, u.Slots, u.Pieces, u.LinkBytesPerSecond = object.RoleDecode, decodeSlots, enginePieces, linkRate
		}
		ups = append(ups, u)
	}
	return ups
}

// capacity is the number of mean requests per second that the service can answer.
func (s site) capacity() float64 {
	if s.kind == object.KindPlain {
		return float64(s.servingCount*plainSlots) / plainCall.Seconds()
	}
	step := (decodeStep + decodeSlots*decodeStepPerRequest).Seconds()
	decode := float64(s.servingCount*decodeSlots) / (meanOutputTokens*step + 0.5)
	prefill := float64(s.prefillCount) / (prefillFixed + meanPromptTokens*prefillPerToken).Seconds()
	return min(decode, prefill)
}

// pattern describes the load of each organisation relative to the capacity.
type pattern struct {
	name string
	// rate of an organisation, as a multiple of an equal share of the capacity.
	rate func(org int, at time.Duration) float64
	// slowdown is a factor of the durations on upstream 0 of each role.
	slowdown float64
	// longShare is the fraction of requests whose prompts and answers are
	// longRequestScale times as long.
	longShare float64
	// linkRate is the link rate in bytes per second; 0 means the constant linkRate.
	linkRate int64
	// organisation0Long makes all requests of organisation 0 long.
	organisation0Long bool
	// hotKey makes one key of organisation 0 send nine tenths of its requests.
	hotKey bool
}

func constantRate(x float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return x }
}

func hotOrganisation(org0, others float64) func(int, time.Duration) float64 {
	return func(org int, _ time.Duration) float64 {
		if org == 0 {
			return org0
		}
		return others
	}
}

func periodicBurst(_ int, at time.Duration) float64 {
	if at%(20*time.Second) < 2*time.Second {
		return 3
	}
	return 0.5
}

var patterns = []pattern{
	{name: "at capacity", rate: constantRate(1)},
	{name: "burst", rate: periodicBurst},
	{name: "hot caller", rate: hotOrganisation(5, 0.7)},
	{name: "hot key", rate: hotOrganisation(3, 0.7), hotKey: true},
	{name: "slow upstream", rate: constantRate(0.7), slowdown: 3},
	{name: "long among short", rate: constantRate(0.7), longShare: 0.05},
	{name: "long at capacity", rate: constantRate(0.9), longShare: 0.05},
	{name: "flood of long", rate: hotOrganisation(0.6, 0.7), organisation0Long: true},
	{name: "narrow links", rate: constantRate(0.9), linkRate: 3 << 29},
	{name: "overload 1.5", rate: constantRate(1.5)},
	{name: "overload 3", rate: constantRate(3)},
}

// meanRate is the mean rate of an organisation. If it is above 1, no request of the
// organisation counts as within its rate.
func (pat pattern) meanRate(org int) float64 {
	sum := 0.0
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		sum += pat.rate(org, at)
	}
	mean := sum / time.Minute.Seconds()
	if pat.organisation0Long && org == 0 {
		mean *= longRequestScale
	}
	return mean
}

const (
	// warmUp fills the service. coolDown keeps up the load until the requests of the
	// measured time are answered.
	warmUp             = 20 * time.Second
	coolDown           = 25 * time.Second
	deferrableDeadline = 25 * time.Second
	rateBurst          = 2 * time.Second
)

func (s site) jobs(pat pattern, seed uint64) []*job {
	rng := rand.New(rand.NewPCG(seed, 1))
	share := s.capacity() / organisations
	var jobs []*job
	for org := range organisations {
		// Operators set rates in tokens; this one is an equal share of mean requests.
		perSecond := share * (meanPromptTokens + meanOutputTokens)
		meanRate := pat.meanRate(org)
		tokens, last := rateBurst.Seconds()*perSecond, time.Duration(0)
		for at := time.Duration(0); at < warmUp+s.measured+coolDown; {
			rate := pat.rate(org, at) * share
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			j := s.job(pat, rng, org, len(jobs), epoch.Add(at))
			tokens = min(rateBurst.Seconds()*perSecond, tokens+(at-last).Seconds()*perSecond)
			last = at
			if cost := float64(j.req.PromptTokens + j.outputTokens); tokens >= cost {
				tokens -= cost
				j.withinRate = meanRate <= 1
			}
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return a.req.Arrived.Compare(b.req.Arrived) })
	return jobs
}

func (s site) job(pat pattern, rng *rand.Rand, org, n int, at time.Time) *job {
	// spread is log-normally distributed with sigma 0.6 and mean 1.
	spread := func() float64 { return math.Exp(0.6*rng.NormFloat64() - 0.18) }
	scale := 1.0
	if rng.Float64() < pat.longShare || (pat.organisation0Long && org == 0) {
		scale = longRequestScale
	}
	j := &job{
		outputTokens:  max(2, int(meanOutputTokens*scale*spread())),
		callTime:      time.Duration(float64(plainCall) * scale * spread()),
		prefillJitter: 0.9 + 0.2*rng.Float64(),
	}
	prompt := max(20, int(meanPromptTokens*scale*spread()))
	if pat.linkRate > 0 {
		// A transfer that takes longer than the lifetime of a result cannot succeed.
		prompt = min(prompt, int(kvLifetime.Seconds()*0.7*float64(pat.linkRate)/DefaultKVBytesPerToken))
	}
	j.req = Request{
		ID: fmt.Sprintf("r%d", n), Organisation: fmt.Sprintf("org-%d", org), Class: request.Interactive,
		PromptTokens: prompt, MaxTokens: j.outputTokens * 2,
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
	if rng.Float64() < s.deferrableShare {
		j.req.Class, j.req.Deadline = request.Deferrable, at.Add(deferrableDeadline)
	}
	return j
}

// measures are the results for requests of the measured time.
type measures struct {
	offered             int
	goodput             float64 // answers within the targets per second
	withinTargets       float64 // fraction of the answers
	wastedPrefill       float64 // fraction of the prefill time
	prefillPerAnswer    float64 // seconds of prefill per answer
	worstOrganisation   float64 // lowest served fraction of an organisation's fair share
	refusedWithinRate   float64 // unanswered fraction of the requests within rate
	refusedWithFreeSlot int     // requests within rate that could have been placed when refused
	worstQuietKey       float64 // lowest answered fraction of organisation 0's quiet keys
	longAnswered        float64 // answered fraction of the long requests
	shortAnswered       float64 // answered fraction of the other requests
}

func (s site) runPattern(name string, seed uint64, cfg Config, useBaseline bool) measures {
	for _, pat := range patterns {
		if pat.name == name {
			return s.run(pat, seed, cfg, useBaseline)
		}
	}
	panic("no pattern " + name)
}

// simulation returns the site's simulated engines with a Group as scheduler.
func (s site) simulation(cfg Config, linkRate int64) *simulation {
	cfg.Kind, cfg.PrefixBlockTokens = s.kind, prefixBlock
	g := New(cfg)
	g.SetUpstreams(epoch, s.upstreams(linkRate))
	return newSimulation(g, s.upstreams(linkRate))
}

// run simulates one load pattern with a Group or the baseline.
func (s site) run(pat pattern, seed uint64, cfg Config, useBaseline bool) measures {
	sim := s.simulation(cfg, cmp.Or(pat.linkRate, linkRate))
	g := sim.scheduler.(*Group)
	if useBaseline {
		sim.scheduler = newBaseline(s.kind, s.upstreams(0))
	}
	if pat.slowdown > 0 {
		sim.engines["serving-0"].slowdown = pat.slowdown
		if e := sim.engines["prefill-0"]; e != nil {
			e.slowdown = pat.slowdown
		}
	}
	var m measures
	sim.onRefusal = func(j *job) {
		if j.withinRate && !useBaseline && g.place(sim.now, g.newWaiter(sim.now, j.req)) != nil {
			m.refusedWithFreeSlot++
		}
	}
	jobs := s.jobs(pat, seed)
	for _, j := range jobs {
		sim.submit(j)
	}
	sim.run()
	m.collect(sim, jobs, s.measured)
	return m
}

func (m *measures) collect(sim *simulation, jobs []*job, measured time.Duration) {
	var served, requested [organisations]float64
	keyRequested, keyServed := map[string]float64{}, map[string]float64{}
	var withinTargets, answered, withinRate, unanswered float64
	var long, longDone, short, shortDone float64
	for _, j := range jobs {
		at := j.req.Arrived.Sub(epoch)
		if at < warmUp || at >= warmUp+measured {
			continue
		}
		m.offered++
		org := int(j.req.Organisation[len("org-")] - '0')
		cost := j.expectedEngineSeconds()
		requested[org] += cost
		keyRequested[j.req.KeyID]++
		isLong := j.req.PromptTokens > 3*meanPromptTokens || j.outputTokens > 3*meanOutputTokens
		if isLong {
			long++
		} else {
			short++
		}
		if j.withinRate {
			withinRate++
		}
		if j.done.IsZero() {
			if j.withinRate {
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
		if j.metTargets() {
			withinTargets++
		}
	}
	m.goodput = withinTargets / measured.Seconds()
	m.withinTargets = withinTargets / max(1, answered)
	m.refusedWithinRate = unanswered / max(1, withinRate)
	m.prefillPerAnswer = sim.prefillSeconds / max(1, float64(sim.answers))
	m.wastedPrefill = sim.wastedPrefillSeconds / max(1e-9, sim.prefillSeconds)
	m.worstOrganisation = worstFairShare(served[:], requested[:])
	m.longAnswered, m.shortAnswered = longDone/max(1, long), shortDone/max(1, short)
	m.worstQuietKey = 1
	for key := 1; key < 4; key++ {
		name := fmt.Sprintf("key-0-%d", key)
		m.worstQuietKey = min(m.worstQuietKey, keyServed[name]/max(1, keyRequested[name]))
	}
}

// expectedEngineSeconds does not depend on the batch size, so that it is the same for
// every scheduler.
func (j *job) expectedEngineSeconds() float64 {
	if j.req.PromptTokens == 0 || j.grantedPlain() {
		return j.callTime.Seconds()
	}
	share := max(1.0/decodeSlots, float64(piecesFor(j))/enginePieces)
	step := decodeStep + decodeSlots*decodeStepPerRequest
	return float64(j.req.PromptTokens)*prefillPerToken.Seconds() + float64(j.outputTokens)*step.Seconds()*share
}

func (j *job) grantedPlain() bool { return j.grant != nil && j.grant.Prefill == "" }

// worstFairShare is the lowest ratio of served work to the max-min fair share of all
// served work.
func worstFairShare(served, requested []float64) float64 {
	total := 0.0
	for _, s := range served {
		total += s
	}
	order := make([]int, len(requested))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if requested[a] < requested[b] {
			return -1
		}
		return 1
	})
	worst := 1.0
	for rank, i := range order {
		fair := min(requested[i], total/float64(len(order)-rank))
		total -= fair
		worst = min(worst, served[i]/fair)
	}
	return worst
}
