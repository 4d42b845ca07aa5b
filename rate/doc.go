// Package rate limits each organisation to its token rate and burst across all instances:
// in any window of length w the fleet admits at most rate*w + burst tokens, counted at the
// time a home instance grants them.
//
// An organisation's rate and burst are split into share.Count shares. A share is a token
// bucket at one home instance and belongs to one of Shards shards. Package lease decides
// which instance is the home and proves that no two instances spend from one shard at the
// same time. Package bucket proves that charges and refunds of one bucket keep its bound, and
// the sum of the shares' bounds is the organisation's bound.
//
// A home that takes over after its predecessor failed starts with empty buckets. The level
// of the predecessor was at least zero when it stopped, and both fill at the same rate, so
// both together are bounded like one bucket. A home that receives the levels in a handover
// starts with at most the levels of its predecessor. A refund to a term that has ended is
// dropped, since the bucket of the later term was never charged for it.
//
// A request collects its cost from the shares: first from those whose home is its own
// instance, then from the others in random order, each time as much as is still missing. If
// the shares do not hold enough together, all grants are refunded.
//
// The load balancer distributes an organisation's requests unevenly, in the extreme case
// all of them to one instance. With a limit of rate/n on each of n instances, such an
// organisation would be refused at a tenth of its rate. Here every instance can use every
// share.
//
// Commands that change state are in admit.go, settle.go, drain.go, declare.go and
// handler.go; queries are in status.go.
package rate
