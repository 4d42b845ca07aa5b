package routed

import (
	"math/rand/v2"
	"time"
)

const (
	// renewSpread is the time over which the instances write their entries again after the store came back from a copy.
	renewSpread = 500 * time.Millisecond
	// refreshStagger is the time between the checks of the fleet ID by two instances.
	refreshStagger = 200 * time.Millisecond
)

// handleEra handles an era that begins because the store has come back from a copy: what this instance has written
// since the copy was made is missing.
func (i *Instance) handleEra(era uint64) {
	for {
		before := i.storeEra.Load()
		if era <= before {
			return
		}
		if i.storeEra.CompareAndSwap(before, era) {
			break
		}
	}
	i.metrics.CountStoreEra()
	time.AfterFunc(rand.N(renewSpread), i.members.RenewNow)
	// The first instances write the ID again, and the others find it.
	time.AfterFunc(time.Duration(min(i.exchange.Rank("fleet ID"), maxStaggerRank))*refreshStagger, i.fleetID.Refresh)
}

// awaitsPeers reports whether this instance, which has just read the configuration, must hear of the others first: the
// store may have come back from a copy, and they know what it has lost.
func (i *Instance) awaitsPeers() bool {
	return !i.settings.FirstStart && i.idStore.MayHaveLost() && (!i.members.HasSynced() || i.exchange.KnowsOthers())
}
