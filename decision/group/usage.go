package group

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// organisationUsage counts the grants of one organisation and the resources that
// they use.
type organisationUsage struct {
	grants int
	// engines is the sum of the grants' engineShare.
	engines float64
	// interactive is the share of engines used by interactive requests.
	interactive float64
}

func (g *Group) addUsage(rec *grantRecord) {
	usage := g.usage[rec.Organisation]
	if usage == nil {
		usage = &organisationUsage{}
		g.usage[rec.Organisation] = usage
	}
	usage.grants++
	usage.engines += rec.engineShare
	g.enginesInUse += rec.engineShare
	if rec.class == request.Interactive {
		usage.interactive += rec.engineShare
	}
}

func (g *Group) removeUsage(rec *grantRecord) {
	usage := g.usage[rec.Organisation]
	usage.grants--
	usage.engines -= rec.engineShare
	g.enginesInUse -= rec.engineShare
	if rec.class == request.Interactive {
		usage.interactive -= rec.engineShare
	}
	if usage.grants == 0 {
		delete(g.usage, rec.Organisation)
	}
}

// withinFairShare reports whether the organisation would stay within an equal share
// of the engines if the request were granted; only then may memory be reserved for
// it. Otherwise an organisation that sends many requests of a minute each would
// reserve all memory as it becomes free, and short requests of organisations below
// their share would be refused.
func (g *Group) withinFairShare(w *waiter) bool {
	enginesHeld := 0.0
	organisations := len(g.usage)
	if usage := g.usage[w.Organisation]; usage != nil {
		enginesHeld = usage.engines
	} else {
		organisations++
	}
	return enginesHeld+g.engineShare(w) <= float64(usableCount(g.servingUpstreams))/float64(organisations)
}

// fairShareWait estimates the wait of a deferrable request if its organisation gets
// an equal share of the engines in use. Interactive requests of the organisation are
// served from that share first; the rest serves its deferrable queue.
func (g *Group) fairShareWait(w *waiter) time.Duration {
	interactiveEngines := 0.0
	organisations := len(g.usage)
	if usage := g.usage[w.Organisation]; usage != nil {
		interactiveEngines = usage.interactive
	} else {
		organisations++
	}
	rate := g.enginesInUse/float64(organisations) - interactiveEngines
	if rate <= 0 {
		return maxWaitEstimate
	}
	ahead := g.queue.OrganisationCost(request.Deferrable, w.Organisation) + w.cost
	return min(maxWaitEstimate, seconds(ahead/rate))
}

// maxWaitEstimate is the longest wait that is estimated, for example when a request
// may never be granted.
const maxWaitEstimate = time.Hour
