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

// Half of the instances reach the log at another address, or were given another name of the
// fleet. All use one log and know addresses of one another, so they are one fleet. When the
// name decided, they refused one another, and each half took the homes of rates from the other
// as soon as it saw them taken: of 12,000 requests none was served, and no line told why.
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

// Two groups of instances are started with seeds of their own group only, by two operators or
// from two lists. They share one log, so that they are one fleet, whether they were told of one
// another or not: the log names the homes of rates and with them where the others are. Unless
// they meet there, each group takes all homes from the other without end, and every caller of
// both is refused.
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

// serveEverywhere waits until every instance lists all, and then until each of them answers a
// lookup and a booking ten times in a row.
func (f *fleet) waitServedByAll(what string) {
	f.t.Helper()
	for _, d := range f.instances {
		eventually(f.t, d.name+" lists all", func() bool {
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
			assert.Assert(f.t, attempt < 400, "%s is not served at %s", what, d.name)
			if f.serves(d, fmt.Sprintf("%s-%s-%d", what, d.name, attempt)) {
				consecutive++
				continue
			}
			consecutive = 0
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// served reports whether an instance answers a lookup and a booking.
func (f *fleet) serves(d *daemon, idempotencyKey string) bool {
	lookup, _ := callPlain(context.Background(), d.callerAddress, f.keys["alpha"], http.MethodGet, "/roster/today", "", "")
	swap, _ := callPlain(context.Background(), d.callerAddress, f.keys["beta"], http.MethodPost, "/swaps", idempotencyKey, "{}")
	return lookup.status == http.StatusOK && swap.status == http.StatusOK
}
