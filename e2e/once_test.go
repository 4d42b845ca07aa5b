package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/stand"
)

// runs returns how often each idempotency key ran, over all plain upstreams.
func (f *fleet) runsByKey() map[string]int {
	total := map[string]int{}
	for name := range f.upstreams {
		if len(name) < 5 || name[:5] != "plain" {
			continue
		}
		var stats stand.PlainStats
		f.readStats(name, &stats)
		for key, n := range stats.ByIdempotencyKey {
			total[key] += n
		}
	}
	return total
}

// A keeper's client does not hear back in time and sends its swap again, to
// whichever instance the balancer picks, while the first is still on its way. A
// swap that ran twice leaves one enclosure double-staffed and another unwatched.
//
// Once a swap did, while the tests of several fleets ran at the same time, and callers were told
// in_progress for seconds. The survivor of another fleet had reached an instance of this one at
// a port that its own dead peer had before, became a member, and claimed keys on its own log.
// The log told it by "member changed member=instance-2" at two addresses in turn, eight lines
// "declared dead, new incarnation" in four seconds, and "recorded answer has left the log" for
// swaps just made. TestSurvivorOfAnotherFleetTakesNoPart brings it about.
func TestResentSwapsRunOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 2, tokenTime: time.Millisecond})
	resendSwaps(t, f)
	reused, _ := callPlain(context.Background(), f.instances[0].callerAddress, f.keys["alpha"], http.MethodPost, "/swaps", "swap-0", `{"swap":"another"}`)
	assert.Equal(t, reused.code, "idempotency_key_reused")
	assert.Equal(t, reused.ran, "not_run")
	// Another organisation's key of the same text is another key.
	otherOrganisation, _ := callPlain(context.Background(), f.instances[0].callerAddress, f.keys["beta"], http.MethodPost, "/swaps", "swap-0", `{"swap":0}`)
	assert.Equal(t, otherOrganisation.status, http.StatusOK)
}

// resendSwaps sends each of twenty swaps to every instance at the same time, again and
// again until it is answered, and checks that each ran once.
func resendSwaps(t *testing.T, f *fleet) {
	t.Helper()
	const swaps = 20
	var wg sync.WaitGroup
	bodies := make([][]string, swaps)
	for k := range swaps {
		bodies[k] = make([]string, len(f.instances))
		for n, d := range f.instances {
			wg.Go(func() {
				key := fmt.Sprintf("swap-%d", k)
				body := fmt.Sprintf(`{"swap":%d}`, k)
				for range 50 {
					resp, text := callPlain(context.Background(), d.callerAddress, f.keys["alpha"], http.MethodPost, "/swaps", key, body)
					if resp.status == http.StatusOK {
						bodies[k][n] = text
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	runs := f.runsByKey()
	for k := range swaps {
		assert.Equal(t, runs[fmt.Sprintf("swap-%d", k)], 1, "swap %d", k)
		for n := range f.instances {
			assert.Assert(t, bodies[k][n] != "", "swap %d at instance %d got no answer", k, n)
			assert.Equal(t, bodies[k][n], bodies[k][0], "swap %d got two different answers", k)
		}
	}
}

// A second fleet, on a log of its own, reaches this one: a seed's address has been given to
// another fleet's instance since, as happens when a test system is set up beside the real one
// with the same secret or none. Were its instances taken for members, they would decide on
// idempotency keys by a log that this fleet does not read: each of the two logs lets a swap run
// once, and a keeper's enclosure is double-staffed. Two instances of one name would also declare
// one another dead without end.
func TestInstancesOfAnotherFleetAreRejected(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 2, tokenTime: time.Millisecond})
	var seeds []string
	for _, d := range f.instances {
		seeds = append(seeds, d.peerAddress)
	}
	newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond, seeds: seeds})
	resendSwaps(t, f)
}

// Two of the three instances of a fleet die, and the survivor goes on pinging their addresses,
// as it must to find them again after a partition. Meanwhile the port of one of them is given to
// an instance of a second fleet, with the same secret or none. Once the survivor became a member
// of the second fleet, and the owner of a third of its idempotency keys, which it claimed on its
// own log. The instances that asked it let a swap run once, those that asked their own log once
// more: a keeper's enclosure was double-staffed.
//
// Three lines of the second fleet told it: "member changed" with one name at two addresses in
// turn, "declared dead, new incarnation" twice a second, and "recorded answer has left the log"
// for swaps that were seconds old, since the offset was one of the other log.
func TestSurvivorOfAnotherFleetIsRejected(t *testing.T) {
	t.Parallel()
	// Of this loopback address no other process of the tests takes ports.
	other := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond, firstPeerAddress: "127.0.0.2:0"})
	other.instances[0].kill()
	other.instances[1].kill()
	f := newFleet(t, fleetConfig{
		instances: 3, prefill: 1, decode: 1, plain: 2, tokenTime: time.Millisecond,
		firstPeerAddress: other.instances[0].peerAddress,
	})
	resendSwaps(t, f)
}

// The service books and then its answer is lost, as when its process dies at the
// wrong moment. Nobody can know the outcome; the caller must be told that the
// booking may have run, and sending it again must never run it a second time.
func TestSwapWithLostResponseIsNeverRunAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 2, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond})
	f.setFaults("plain-0", stand.Faults{LoseAnswers: 1})
	first, _ := callPlain(context.Background(), f.instances[0].callerAddress, f.keys["alpha"], http.MethodPost, "/swaps", "lost", "{}")
	assert.Equal(t, first.ran, "may_have_run")
	for _, d := range f.instances {
		again, _ := callPlain(context.Background(), d.callerAddress, f.keys["alpha"], http.MethodPost, "/swaps", "lost", "{}")
		assert.Equal(t, again.ran, "may_have_run")
	}
	assert.Equal(t, f.runsByKey()["lost"], 1)
}

// The log is down. A booking cannot be claimed, so it must be refused as not run
// with a time to come back, while lookups and summaries go on; and once the log
// is back the same booking goes through.
func TestSwapsWhileLogIsDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 2, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond})
	d := f.instances[0]
	f.setFaults("log", stand.Faults{Down: true})
	swap, _ := callPlain(context.Background(), d.callerAddress, f.keys["alpha"], http.MethodPost, "/swaps", "later", "{}")
	assert.Equal(t, swap.code, "log_unavailable")
	assert.Equal(t, swap.ran, "not_run")
	assert.Assert(t, swap.header.Get("Retry-After") != "")
	lookup, _ := callPlain(context.Background(), d.callerAddress, f.keys["alpha"], http.MethodGet, "/roster/today", "", "")
	assert.Equal(t, lookup.status, http.StatusOK)
	completion := chat(context.Background(), d.callerAddress, f.keys["beta"], "log down", 5, nil)
	assert.Equal(t, completion.problem("log down", 5), "")
	assert.Equal(t, f.runsByKey()["later"], 0)
	f.setFaults("log", stand.Faults{})
	eventually(t, "the booking goes through", func() bool {
		swap, _ := callPlain(context.Background(), d.callerAddress, f.keys["alpha"], http.MethodPost, "/swaps", "later", "{}")
		return swap.status == http.StatusOK
	})
	assert.Equal(t, f.runsByKey()["later"], 1)
}
