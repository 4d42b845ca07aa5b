package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Bound on requests while most go to one instance: from contactTime on, those that an undisturbed one has read are
// answered at least minSkewedShare times as often as requests were in the seconds before.
const minSkewedShare = 0.75

// skew is a time in which one instance got most requests.
type skew struct {
	instance   string
	start, end time.Time
}

// sendMostToOne sends most requests to one instance, and then to another.
func (r *run) sendMostToOne(f fault) {
	for n := range 2 {
		i := r.instances[(f.Target+n)%len(r.instances)]
		start := time.Now()
		r.favoured.Store(i)
		time.Sleep((minCrashing + f.Duration) / 2)
		r.favoured.CompareAndSwap(i, nil)
		r.ledger.addSkew(skew{i.name, start, time.Now()})
	}
}

// pickFavoured returns the instance that gets most requests, if there is one and it is ready.
func (r *run) pickFavoured(rng *rand.Rand) *instance {
	i := r.favoured.Load()
	if i == nil || !i.isReady() || rng.Float64() >= skewChance {
		return nil
	}
	return i
}

func (l *ledger) addSkew(s skew) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skews = append(l.skews, s)
}

// checkSkews checks the answers of instances that got most requests.
func (l *ledger) checkSkews() (out []Finding) {
	for _, skew := range l.skews {
		from := skew.start.Add(contactTime)
		if l.hasFaultAround(skew.start, skew.end) || l.hasPartAround(nil, skew.start, skew.end) || !l.undisturbed(skew.instance, skew.start, skew.end) || l.isPartitioned(skew.instance, skew.start, skew.end) {
			continue
		}
		count := func(instance string, since, until time.Time) (asked, good int) {
			for _, s := range l.requests {
				counts := s.badPart == "" && s.status != 0 && s.status != http.StatusTooManyRequests && s.status != http.StatusUnauthorized
				if !counts || s.sentAt.Before(since) || s.sentAt.After(until) || instance != "" && s.instance != instance || !l.undisturbed(s.instance, since, until) {
					continue
				}
				asked++
				if s.status == http.StatusOK && !s.truncated {
					good++
				}
			}
			return asked, good
		}
		beforeAsked, beforeGood := count("", skew.start.Add(-contactTime), skew.start)
		asked, good := count(skew.instance, from, skew.end)
		if min(beforeAsked, asked) >= minCountedEach && float64(good)*float64(beforeAsked) < minSkewedShare*float64(beforeGood)*float64(asked) {
			out = append(out, Finding{"most requests at one instance", "", fmt.Sprintf("%s answered %d of %d, before %d of %d", skew.instance, good, asked, beforeGood, beforeAsked), from})
		}
	}
	return out
}
