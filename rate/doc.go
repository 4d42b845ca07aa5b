// Package rate holds every organisation to its token rate and burst over all
// instances together: in any window of length w the fleet admits at most
// rate*w + burst tokens, counted at the moment a home instance grants them.
//
// An organisation's rate and burst are split into share.Count shares. A share is a
// token bucket at one home instance, in one of Shards shards; package lease decides
// who that is and proves that two never spend at once, package bucket proves that
// charges and refunds of one bucket keep its bound, and the sum of the shares' bounds
// is the organisation's.
//
// A home that takes over after a death starts with empty buckets. Its predecessor's
// level was at least zero when it stopped, and both fill at the same rate, so the
// sequence of both is bounded like one bucket. A home that is handed the levels begins
// with at most what its predecessor had. A refund to a term that has ended is dropped:
// the later term's bucket was never charged for it.
//
// A request gathers its cost from the shares: the ones at home on its own instance
// first, then the others in random order, each for what is still missing. If the sum
// does not suffice all is given back.
//
// Load pattern: the balancer sends an organisation's requests to instances unevenly,
// up to all of them to one. With rate/n on each instance an even organisation at a
// tenth of its rate would be refused there; here every instance draws on every share.
//
// Commands that change state are in admit.go, settle.go, drain.go, vouch.go and handler.go;
// queries in status.go.
package rate
