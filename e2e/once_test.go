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

// runsByKey returns the number of executions of each idempotency key over all plain upstreams.
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

// A client times out and resends its swap of shifts, to any instance that the load balancer picks,
// while the first request is still in flight. A swap that runs twice leaves one enclosure with two
// keepers and another with none.
//
// This test once failed while tests of several fleets ran at the same time: a swap ran twice, and
// callers received in_progress for seconds. The surviving instance of another fleet had contacted
// an instance of this fleet at a port that its own dead peer had used before, became a member, and
// claimed keys in its own log. The symptoms were log lines "member changed member=instance-2" with
// two addresses in turn, eight lines "declared dead, new incarnation" in four seconds, and errors
// that the recorded responses of recent swaps were no longer in the log.
// TestSurvivorOfAnotherFleetIsRejected reproduces it.
func TestResentSwapsRunOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 2, tokenTime: time.Millisecond})
	resendSwaps(t, f)
	reused, _ := callPlain(context.Background(), f.instances[0].callerAddress, f.keys["alpha"], http.MethodPost, "/swaps", "swap-0", `{"swap":"another"}`)
	assert.Equal(t, reused.code, "idempotency_key_reused")
	assert.Equal(t, reused.ran, "not_run")
	// Idempotency keys of different organisations are independent, even if they are equal.
	otherOrganisation, _ := callPlain(context.Background(), f.instances[0].callerAddress, f.keys["beta"], http.MethodPost, "/swaps", "swap-0", `{"swap":0}`)
	assert.Equal(t, otherOrganisation.status, http.StatusOK)
}

// resendSwaps sends each of twenty swaps to all instances concurrently, with retries until it
// succeeds or 50 attempts have failed. It checks that each swap ran once and that all instances
// returned the same response.
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
			assert.Assert(t, bodies[k][n] != "", "swap %d did not succeed through instance %d", k, n)
			assert.Equal(t, bodies[k][n], bodies[k][0], "swap %d has two different responses", k)
		}
	}
}

// The instances of a second fleet with its own log contact this fleet, because the address of one of
// their seeds has been reassigned to it. This happens if a test system runs beside the production
// system with the same secret or without one. If they were accepted as members, they would decide on
// idempotency keys from a log that this fleet does not read: a swap could run once by each log, and
// an enclosure would have two keepers. Two instances with the same name would also declare each
// other dead indefinitely.
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

// Two of the three instances of a fleet are killed. The survivor continues to ping their addresses,
// since it has to find them again after a network partition. Meanwhile the port of one of them is
// assigned to an instance of a second fleet with the same secret or without one. In an earlier
// version the survivor became a member of the second fleet and the owner of a third of its
// idempotency keys, which it claimed in its own log. A swap ran once through the instances that
// asked the survivor and a second time through those that used their own log, so that an enclosure
// had two keepers.
//
// The instances of the second fleet logged "member changed" for one name with two addresses in turn
// and "declared dead, new incarnation" twice a second. They also reported that recorded responses of
// swaps that were seconds old were no longer in the log, since the offsets belonged to the other
// log.
func TestSurvivorOfAnotherFleetIsRejected(t *testing.T) {
	t.Parallel()
	// No other process of the tests uses ports of this loopback address.
	other := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond, firstPeerAddress: "127.0.0.2:0"})
	other.instances[0].kill()
	other.instances[1].kill()
	f := newFleet(t, fleetConfig{
		instances: 3, prefill: 1, decode: 1, plain: 2, tokenTime: time.Millisecond,
		firstPeerAddress: other.instances[0].peerAddress,
	})
	resendSwaps(t, f)
}

// The service executes a swap but its response is lost, as when its process crashes before it
// responds. The outcome is unknown: the caller must be told that the swap may have run, and a
// resent request must never run it a second time.
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

// The log is down, so a swap cannot be claimed. It must be refused as not_run with a Retry-After
// header, while lookups and completions are still served. Once the log is back, the same swap must
// succeed.
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
	eventually(t, "the swap succeeds", func() bool {
		swap, _ := callPlain(context.Background(), d.callerAddress, f.keys["alpha"], http.MethodPost, "/swaps", "later", "{}")
		return swap.status == http.StatusOK
	})
	assert.Equal(t, f.runsByKey()["later"], 1)
}
