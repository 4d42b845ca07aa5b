package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/settings"
)

// Half of the instances use another address of the log, or are configured with another fleet name.
// All of them use one log and know addresses of each other, so they are one fleet. When the name
// determined the fleet, the halves rejected each other, and each claimed the rate homes as soon as
// the other had claimed them: none of 12,000 requests was served, and no log line gave the reason.
func TestInstancesWithOneLogAndTwoFleetNamesAreOneFleet(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 2, tokenTime: time.Millisecond})
	for n := 3; n < 6; n++ {
		f.startInstance(n, func(s *settings.Settings) { s.Fleet = "the log by another address" })
	}
	f.waitReady()
	f.waitServedByAll("two-names")
	resendSwaps(t, f)
}

// Two groups of instances are started with seeds of their own group only, by two operators or from
// two lists. They share one log and are therefore one fleet, even if they do not know each other:
// the log records the rate homes and thus the addresses of the other group. Unless they discover
// each other from it, each group repeatedly claims all rate homes from the other, and every request
// to either group is refused.
func TestGroupsThatShareOnlyTheirLogDiscoverEachOther(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 2, tokenTime: time.Millisecond})
	var groupSeeds []string
	for n := 3; n < 6; n++ {
		d := f.startInstance(n, func(s *settings.Settings) { s.Peers.Seeds = groupSeeds })
		groupSeeds = append(groupSeeds, d.peerAddress)
	}
	f.waitReady()
	f.waitServedByAll("two-groups")
	resendSwaps(t, f)
}

// waitServedByAll waits until every instance reports all instances as alive, and then until each
// of them serves a lookup and a swap ten times in a row.
func (f *fleet) waitServedByAll(what string) {
	f.t.Helper()
	for _, d := range f.instances {
		eventually(f.t, d.name+" reports all instances as alive", func() bool {
			alive := 0
			for _, state := range f.memberStates(d) {
				if state == "alive" {
					alive++
				}
			}
			return alive == len(f.instances)
		})
	}
	for _, d := range f.instances {
		for attempt, consecutive := 0, 0; consecutive < 10; attempt++ {
			assert.Assert(f.t, attempt < 400, "%s: %s does not serve requests", what, d.name)
			if f.serves(d, fmt.Sprintf("%s-%s-%d", what, d.name, attempt)) {
				consecutive++
				continue
			}
			consecutive = 0
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// serves reports whether a lookup and a swap succeed through an instance.
func (f *fleet) serves(d *daemon, idempotencyKey string) bool {
	lookup, _ := callPlain(context.Background(), d.callerAddress, f.keys["alpha"], http.MethodGet, "/roster/today", "", "")
	swap, _ := callPlain(context.Background(), d.callerAddress, f.keys["beta"], http.MethodPost, "/swaps", idempotencyKey, "{}")
	return lookup.status == http.StatusOK && swap.status == http.StatusOK
}
